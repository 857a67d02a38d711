#include "verbenacove/request/link_budget.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

constexpr double bytes_per_megabit = 125000;
/** The share of the link for requests. The rest is for control traffic, for
    headers of the transport and for refusals. */
constexpr double usable_share = 0.85;
/** The time whose bytes may come at once. Longer than the gaps of usual
    traffic, and short beside the objectives of requests. */
constexpr double burst_seconds = 0.4;

} // namespace

link_budget::link_budget(std::optional<megabits_per_second> rate,
                         clock_source const& clock)
    : clock_(clock)
    , refilled_(clock.now())
{
    if (rate)
    {
        rate_ = rate->value() * bytes_per_megabit * usable_share;
        received_left_ = *rate_ * burst_seconds;
        sent_left_ = received_left_;
    }
}

bool link_budget::admit(traffic const& expected)
{
    if (!rate_)
    {
        count(expected);
        ++usage_.admitted;
        return true;
    }
    refill();
    auto const received = static_cast<double>(expected.received);
    auto const sent = static_cast<double>(expected.sent);
    // A request that is larger than the whole burst is admitted when the bucket
    // is full.
    auto const full = *rate_ * burst_seconds;
    missing_ = std::max(std::min(received, full) - received_left_,
                        std::min(sent, full) - sent_left_);
    if (missing_ > 0)
    {
        ++usage_.refused;
        return false;
    }
    ++usage_.admitted;
    count(expected);
    received_left_ -= received;
    sent_left_ -= sent;
    return true;
}

void link_budget::add(traffic const& difference)
{
    count(difference);
    if (!rate_)
    {
        return;
    }
    refill();
    // Nothing is owed: refusals must not use up the room of the requests that
    // are served.
    received_left_ =
        std::max(std::min(0.0, received_left_),
                 received_left_ - static_cast<double>(difference.received));
    sent_left_ = std::max(std::min(0.0, sent_left_),
                          sent_left_ - static_cast<double>(difference.sent));
}

milliseconds link_budget::time_until_room() const
{
    if (!rate_ || missing_ <= 0)
    {
        return milliseconds(0);
    }
    return milliseconds(static_cast<qint64>(missing_ / *rate_ * 1000));
}

void link_budget::count(traffic const& bytes)
{
    usage_.bytes.received += bytes.received;
    usage_.bytes.sent += bytes.sent;
}

void link_budget::refill()
{
    auto const now = clock_.now();
    auto const seconds = std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    auto const full = *rate_ * burst_seconds;
    received_left_ = std::min(full, received_left_ + *rate_ * seconds);
    sent_left_ = std::min(full, sent_left_ + *rate_ * seconds);
}

} // namespace verbenacove
