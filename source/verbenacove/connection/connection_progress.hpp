#ifndef VERBENACOVE_CONNECTION_CONNECTION_PROGRESS_HPP
#define VERBENACOVE_CONNECTION_CONNECTION_PROGRESS_HPP

#include "verbenacove/connection/http_message.hpp"
#include "verbenacove/core/clock.hpp"

namespace verbenacove
{

/** Tracks when a connection last made progress worth the name: a new phase, or
    a further KiB received or sent. A few bytes now and then don't count. */
class connection_progress
{
public:
    explicit connection_progress(monotonic_time now)
        : since_(now)
    {
    }

    /** Notes the start of a phase. */
    void restart(monotonic_time now)
    {
        since_ = now;
        bytes_ = 0;
    }

    /** Notes bytes that were received or sent. */
    void add(qint64 bytes)
    {
        bytes_ += bytes;
        if (bytes_ >= least_bytes)
        {
            restart(std::chrono::steady_clock::now());
        }
    }

    /** Returns the time of the last progress. */
    monotonic_time last() const { return since_; }

private:
    static constexpr qint64 least_bytes = 1024;

    monotonic_time since_;
    qint64 bytes_ = 0;
};

/** Approximate memory of an open connection without a request, in bytes. */
inline constexpr qint64 connection_cost = 8 * 1024;

/** Returns the approximate memory of a request's headers in bytes: the texts,
    and for each header its entry and two allocations. */
inline qint64 header_cost(std::vector<http_header> const& headers)
{
    constexpr qint64 cost_per_header = 144;
    qint64 result = 0;
    for (auto const& header : headers)
    {
        result += header.name.size() + header.value.size() + cost_per_header;
    }
    return result;
}

} // namespace verbenacove

#endif
