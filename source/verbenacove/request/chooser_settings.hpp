#ifndef VERBENACOVE_REQUEST_CHOOSER_SETTINGS_HPP
#define VERBENACOVE_REQUEST_CHOOSER_SETTINGS_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

namespace verbenacove
{

/** The policy for picking one of the usable upstreams. */
enum class chooser_policy
{
    /** The lowest expected cost. */
    lowest_cost,
    random,
    round_robin,
    /** The lowest share of slots in use, as the upstreams report it. */
    least_reported_load,
    /** The fewest attempts of this entry in flight per slot. */
    least_in_flight
};

/** Switches for the parts of the cost estimate and of the choice. */
struct cost_parts
{
    /** This entry's attempts in flight, relative to the upstream's slots. */
    bool in_flight = true;
    /** The response times that this entry measured. */
    bool latency = true;
    /** The share of attempts that failed. */
    bool failures = true;
    /** The average load that the upstreams of a region report. It decides
        whether other regions are considered, not which upstream is picked. */
    bool reported_load = true;
    /** The round trip to another zone or region. */
    bool zone_distance = true;
    /** Uses another region only if its expected cost, multiplied by a factor,
        is lower than the local one; else a free slot there is enough. */
    bool region_comparison = true;
    /** Uses only a growing share of an upstream's slots after its start. */
    bool ramp = true;
    /** Ejects an upstream after consecutive failures. */
    bool ejection = true;
};

/** The settings of an entry's upstream_chooser. */
struct chooser_settings
{
    /** The location of the entry. */
    region_name region;
    zone_name zone;
    chooser_policy policy = chooser_policy::lowest_cost;
    cost_parts parts;
    /** The maximum age of an upstream's last report; an upstream with an older
        one is not used. */
    milliseconds report_lease{3000};
    /** The time until a new incarnation may use all of its slots. */
    milliseconds ramp_time{5000};
    /** The share of its slots that a new incarnation starts with. */
    double initial_ramp_share = 0.35;
    /** The network round trip to another zone of the region. */
    milliseconds zone_round_trip{8};
    /** The network round trip to another region. */
    milliseconds region_round_trip{70};
    /** The maximum share of upstreams that are ejected at the same time, within
        the local region and within all other regions together. */
    double maximum_ejected_share = 0.5;
};

} // namespace verbenacove

#endif
