#ifndef VERBENACOVE_REQUEST_ROUTED_POOL_HPP
#define VERBENACOVE_REQUEST_ROUTED_POOL_HPP

#include "verbenacove/request/retry_budget.hpp"
#include "verbenacove/request/upstream_pool.hpp"

#include <vector>

namespace verbenacove
{

/** What an entry keeps for one service, for all its routes. */
struct routed_pool
{
    /** The clock and the limit must outlive the pool.

        @param seed  of the random draws; differs from entry to entry
    */
    routed_pool(service_name name, steering_settings const& settings,
                clock_source const& clock, region_shift_limit& shift,
                quint64 seed);

    /** Replaces the upstreams, and takes this entry's part of the retries that
        all entries may make.

        @param region_entries  the entries of the own region, this one included
        @param all_entries     the entries of all regions
        @return the processes that have ended, as a newer start of the same
                upstream shows
    */
    std::vector<ended_process> update(std::vector<pool_member> members,
                                      int region_entries, int all_entries);

    service_name service;
    upstream_pool upstreams;
    retry_budget retries;

private:
    int retry_slack_;
};

} // namespace verbenacove

#endif
