#ifndef VERBENACOVE_REQUEST_CHOOSER_SETTINGS_HPP
#define VERBENACOVE_REQUEST_CHOOSER_SETTINGS_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

namespace verbenacove
{

/** How an upstream is picked among those that may be used. */
enum class chooser_policy
{
    /** The lowest expected cost. */
    lowest_cost,
    random,
    round_robin,
    least_reported_load,
    least_in_flight
};

/** The parts that make up the expected cost of an attempt. */
struct cost_parts
{
    /** The entry's own work in flight, against the slots. */
    bool in_flight = true;
    /** The answer times that the entry saw. */
    bool latency = true;
    /** The share of attempts that failed. */
    bool failures = true;
    /** The load that the upstreams of a region report, on average; it says
        whether other regions are to help, not which upstream is best. */
    bool reported_load = true;
    /** The way to another zone or region. */
    bool zone_distance = true;
    /** Other regions only where they are expected to answer sooner. */
    bool region_comparison = true;
    /** A growing share of the slots after a start. */
    bool ramp = true;
    /** No use at all after consecutive failures. */
    bool ejection = true;
};

/** The settings of an entry's upstream_chooser. */
struct chooser_settings
{
    /** Where the entry is. */
    region_name region;
    zone_name zone;
    chooser_policy policy = chooser_policy::lowest_cost;
    cost_parts parts;
    /** An upstream is not used when its last report is older. */
    milliseconds news_lease{3000};
    /** The time until a new incarnation gets all its slots' share. */
    milliseconds ramp_time{5000};
    /** The share of its slots that it starts with. */
    double first_ramp_share = 0.35;
    /** The way there and back to another zone of the region. */
    milliseconds zone_round_trip{8};
    /** The way there and back to another region. */
    milliseconds region_round_trip{70};
    /** The largest share of a region's upstreams that are ejected at once. */
    double largest_ejected_share = 0.5;
};

} // namespace verbenacove

#endif
