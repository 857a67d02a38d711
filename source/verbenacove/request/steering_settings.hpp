#ifndef VERBENACOVE_REQUEST_STEERING_SETTINGS_HPP
#define VERBENACOVE_REQUEST_STEERING_SETTINGS_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

namespace verbenacove
{

/** The settings for the choice of an upstream. Values and costs are relative
    to the value of a response within its latency objective, which is 1. */
struct steering_settings
{
    /** The zone and region of this entry. */
    zone_name zone;
    region_name region;
    /** The cost per KiB that leaves the zone; links between zones are billed.
     */
    double zone_crossing_cost = 0.08;
    /** The additional cost per KiB that leaves the region. */
    double region_crossing_cost = 0.04;
    /** The maximum cost of crossing zones and regions, for any size. */
    double maximum_crossing_cost = 0.35;
    /** How much of the extra processing time counts in the choice when an
        upstream has not handled the object recently, 0 to 1. Only a part is
        attributed to the request, because handling the object makes later
        requests for it faster. */
    double extra_time_share = 0.3;
    /** The difference in value, by response time alone, up to which an
        upstream counts as equal to the best: one entry's measurements of speed
        and queues are too coarse to move an object away from where other
        entries send it. Does not apply to the costs of failures and
        crossings. */
    double value_tolerance = 0.3;
    /** The difference in value between two upstreams, beyond the tolerance,
        from which nearly all objects go to the better one; below it, objects
        are spread over both. */
    double object_spread = 0.4;
    /** The advantage in value minus cost that an upstream of another region
        must have for a request to leave the region, averaged over all
        objects. */
    double leave_margin = 0.1;
    /** The maximum expected response time, as a share of the time left to the
        caller's deadline. Above it a request is refused unless the upstream
        has a free slot. */
    double maximum_wait_share = 0.95;
    /** The value of a response after its latency objective. */
    double late_value = 0.2;
    /** The additional round-trip time for leaving the region. */
    milliseconds region_round_trip{70};
    /** The additional round-trip time for leaving the zone, within the
        region. */
    milliseconds zone_round_trip{9};
    /** The maximum change of the share of requests that leave the region within
        two seconds. */
    double maximum_region_shift = 0.15;
    /** The maximum ratio of retries to requests, over all entries. */
    double retry_ratio = 0.2;
    /** The number of retries that are allowed per window regardless of the
        number of requests, over all entries. */
    double retry_slack = 64;
    /** The window in which retries and requests are counted. */
    milliseconds retry_window{10000};
};

} // namespace verbenacove

#endif
