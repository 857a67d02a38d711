#ifndef VERBENACOVE_CORE_DISTANCE_HPP
#define VERBENACOVE_CORE_DISTANCE_HPP

#include "verbenacove/core/ids.hpp"

namespace verbenacove
{

/** Where a process or a caller is; empty names when it does not say. */
struct location
{
    region_name region;
    zone_name zone;
};

/** How far two processes are from one another, the nearest first. */
enum class network_distance
{
    same_zone,
    same_region,
    other_region
};

/** Returns how far two processes are from one another.

    @param one, other  of any types with a `zone` and a `region`
*/
template <class One, class Other>
network_distance distance_between(One const& one, Other const& other)
{
    if (one.region != other.region)
    {
        return network_distance::other_region;
    }
    return one.zone == other.zone ? network_distance::same_zone
                                  : network_distance::same_region;
}

} // namespace verbenacove

#endif
