#ifndef VERBENACOVE_REQUEST_STEERING_SETTINGS_HPP
#define VERBENACOVE_REQUEST_STEERING_SETTINGS_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

namespace verbenacove
{

/** How an entry chooses among upstreams; costs are shares of what an answer
    within its objective is worth. */
struct steering_settings
{
    zone_name zone;
    region_name region;
    /** Of a request that leaves the zone; links between zones are billed. */
    double zone_crossing_cost = 0.25;
    /** Of a request that leaves the region, in place of the former. */
    double region_crossing_cost = 0.4;
    /** What an answer after its objective is worth. */
    double late_worth = 0.2;
    /** The round trip that leaving the region adds. */
    milliseconds region_round_trip{70};
    /** The round trip that leaving the zone adds. */
    milliseconds zone_round_trip{9};
    /** The most that the share of requests leaving the region may change
        within two seconds. */
    double maximum_region_shift = 0.15;
    /** Retries for each request, summed over all entries. */
    double retry_ratio = 0.2;
    /** Retries of a window however few requests there are, over all entries.
     */
    int retry_slack = 64;
    milliseconds retry_window{10000};
};

} // namespace verbenacove

#endif
