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
    /** Of each KiB that leaves the zone; links between zones are billed. */
    double zone_crossing_cost = 0.08;
    /** Of each KiB that leaves the region, besides. */
    double region_crossing_cost = 0.04;
    /** The most that crossing costs, whatever the size. */
    double highest_crossing_cost = 0.35;
    /** How much of the extra time of an object that an upstream has not
        handled counts in the choice: handling it makes later requests faster,
        so that only a part is its own. */
    double unseen_share = 0.3;
    /** How much less worth than the best an upstream's answer may be, by its
        time alone, and still count as good as it: what one entry measures of
        speed and queues is too coarse to move an object from where others send
        it. Failures and crossings are not forgiven. */
    double worth_tolerance = 0.3;
    /** How far apart two upstreams must be in worth, beyond the tolerance, for
        nearly all objects to go to the better one; below, objects are spread
        over both. */
    double object_spread = 0.4;
    /** How much more worth an upstream of another region must promise, on the
        average over all objects. */
    double leave_margin = 0.1;
    /** A request is refused when its answer is expected to take more of the
        time that its caller has left. */
    double longest_wait = 0.95;
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
