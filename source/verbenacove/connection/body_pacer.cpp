#include "verbenacove/connection/body_pacer.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

/** The part of the link's rate for paced bodies. The rest lets the queue of
    short messages shrink while a body is being sent. */
constexpr double paced_share = 0.9;
/** The bytes that may be sent at once after a late timer. */
constexpr double most_available = 1.5 * body_pacer::slice_bytes;
/** A smaller part of a body is not worth a write. */
constexpr qint64 least_bytes = body_pacer::slice_bytes / 2;

} // namespace

body_pacer::body_pacer(double link_bytes_per_second)
    : bytes_per_second_(link_bytes_per_second * paced_share)
{
}

qint64 body_pacer::take(qint64 wanted, monotonic_time now)
{
    auto const seconds = std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    available_ =
        std::min(most_available, available_ + seconds * bytes_per_second_);
    auto const due = std::min(wanted, static_cast<qint64>(available_));
    if (due < std::min(wanted, least_bytes))
    {
        return 0;
    }
    available_ -= static_cast<double>(due);
    return due;
}

milliseconds body_pacer::slice_time() const
{
    constexpr double second_ms = 1000;
    return std::max(milliseconds(1),
                    milliseconds(static_cast<qint64>(
                        slice_bytes / bytes_per_second_ * second_ms)));
}

} // namespace verbenacove
