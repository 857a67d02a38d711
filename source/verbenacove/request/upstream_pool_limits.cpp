#include "verbenacove/request/upstream_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr double one_second_ms = 1000;

} // namespace

// What upstreams ask for in their responses.

void upstream_pool::apply_rate_limit(pool_member const& member, state& tracked,
                                     monotonic_time now)
{
    auto const whole = member.rate_limit
                           ? std::optional(member.rate_limit->whole)
                           : std::nullopt;
    if (tracked.rate_limit != whole)
    {
        tracked.rate_limit = whole;
        tracked.rate_limit_since = now;
    }
    if (member.rate_limit)
    {
        tracked.bucket.set_rate(member.rate_limit->share, now);
    }
}

bool upstream_pool::is_rate_limited(pool_member const& member,
                                    state const& tracked, monotonic_time now)
{
    return member.rate_limit && !tracked.bucket.has_token(now);
}

int upstream_pool::usable_slots(pool_member const& member,
                                double mean_processing_ms)
{
    if (!member.rate_limit)
    {
        return member.slots.value();
    }
    auto const busy =
        member.rate_limit->whole.value() * mean_processing_ms / one_second_ms;
    return std::min(member.slots.value(), static_cast<int>(std::ceil(busy)));
}

std::optional<rate_limit_report>
upstream_pool::observe_rate_limit(pool_member const& member,
                                  monotonic_time sent,
                                  response_metadata const& metadata) const
{
    auto const tracked = states_.constFind(member.id);
    bool const is_known =
        tracked != states_.cend() && tracked->started == member.started;
    if (!is_known || metadata.is_rate_limit_unreadable ||
        metadata.rate_limit == tracked->rate_limit)
    {
        return std::nullopt;
    }
    if (tracked->rate_limit && sent < tracked->rate_limit_since)
    {
        return std::nullopt;
    }
    return rate_limit_report{member.id, member.started, metadata.rate_limit};
}

void upstream_pool::pause(pool_member const& member, milliseconds duration)
{
    auto const tracked = states_.find(member.id);
    if (tracked != states_.end() && tracked->started == member.started)
    {
        tracked->paused_until =
            std::max(tracked->paused_until, clock_.now() + duration);
    }
}

bool upstream_pool::mark_leaving(pool_member const& member)
{
    auto const tracked = states_.find(member.id);
    bool const is_known =
        tracked != states_.end() && tracked->started == member.started;
    return is_known && !std::exchange(tracked->is_leaving, true);
}

} // namespace verbenacove
