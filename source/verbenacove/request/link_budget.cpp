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

/** Delay of packets that does not lower the rate: that of a short burst. */
constexpr milliseconds tolerated_delay{50};
/** Delay beyond that at which nothing would be admitted. */
constexpr double full_delay_seconds = 0.4;
/** Least share of the rate, as a processor that is late delays packets, too. */
constexpr double minimum_share = 0.3;
/** Age at which a delay says nothing of the present. */
constexpr milliseconds delay_retention{1000};

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

bool link_budget::admit(traffic const& expected, double kept_free)
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
    auto const kept = full * kept_free;
    missing_ = std::max(std::min(received + kept, full) - received_left_,
                        std::min(sent + kept, full) - sent_left_);
    if (missing_ > 0)
    {
        ++usage_.refused;
        shortage_.note_refusal(refilled_);
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

void link_budget::observe_delay(milliseconds delay)
{
    if (!rate_)
    {
        return;
    }
    refill();
    delay_ = delay;
    delay_observed_ = refilled_;
    auto const now_usable = share(refilled_);
    usage_.lowest_share = std::min(usage_.lowest_share, now_usable);
    auto const most = *rate_ * burst_seconds * now_usable;
    received_left_ = std::min(received_left_, most);
    sent_left_ = std::min(sent_left_, most);
}

double link_budget::share(monotonic_time now) const
{
    bool const is_recent = elapsed(delay_observed_, now) <= delay_retention;
    if (!is_recent || delay_ <= tolerated_delay)
    {
        return 1;
    }
    auto const excess =
        std::chrono::duration<double>(delay_ - tolerated_delay).count();
    return std::max(minimum_share, 1 - excess / full_delay_seconds);
}

milliseconds link_budget::time_until_room() const
{
    if (!rate_ || missing_ <= 0)
    {
        return milliseconds(0);
    }
    return milliseconds(
        static_cast<qint64>(missing_ / (*rate_ * share(clock_.now())) * 1000));
}

milliseconds link_budget::return_delay(double lot) const
{
    return shortage_.return_delay(time_until_room(), lot, clock_.now());
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
    auto const rate = *rate_ * share(now);
    auto const full = rate * burst_seconds;
    received_left_ = std::min(full, received_left_ + rate * seconds);
    sent_left_ = std::min(full, sent_left_ + rate * seconds);
}

} // namespace verbenacove
