#include "verbenacove/request/routed_pool.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

/** The share of the retry limits that is used. The rest is a margin, because
    the entries' views of the number of entries may differ. */
constexpr double used_retry_share = 0.6;

/** Returns how many retries this entry may make per window regardless of its
    number of requests. */
int retry_floor(double slack, int all_entries)
{
    return static_cast<int>(slack * used_retry_share /
                            std::max(1, all_entries));
}

} // namespace

routed_pool::routed_pool(service_name name, steering_settings const& settings,
                         clock_source const& clock, region_shift_limit& shift,
                         quint64 seed)
    : service(std::move(name))
    , upstreams(settings, clock, shift, seed)
    , retries({settings.retry_ratio * used_retry_share,
               retry_floor(settings.retry_slack, 1), settings.retry_window},
              clock)
    , retry_slack_(settings.retry_slack)
{
}

std::vector<ended_incarnation>
routed_pool::update(std::vector<pool_member> members, int region_entries,
                    int all_entries)
{
    retries.set_minimum_retries(retry_floor(retry_slack_, all_entries));
    return upstreams.update(std::move(members), region_entries, all_entries);
}

} // namespace verbenacove
