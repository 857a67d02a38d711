#ifndef VERBENACOVE_REQUEST_ENTRY_LOOKUP_HPP
#define VERBENACOVE_REQUEST_ENTRY_LOOKUP_HPP

#include "verbenacove/request/lookup_ranking.hpp"

#include <vector>

namespace verbenacove
{

/** Returns the entries among which a caller should spread its connections.

    These are the entries of the caller's zone if there are any, else those of
    its region, else all. Callers pick among the returned entries at random, so
    entries that are farther away are not returned, unless most of the zone's
    entries are missing: when it has less than half of a zone's average, the
    callers of the zone would overload them, and those of its region are
    returned as well. The given order is kept.

    Entries that are cut off from all upstreams are left out, unless all are. If
    that leaves less than half of the entries of the zone, those of the region
    are returned instead, or all, so that the callers of short zones and regions
    are spread alike.

    Entries outside the caller's region and the homes of its requests are
    returned only if there are no others.

    @param entries        the entries that are known to serve
    @param maximum_count  the maximum number of entries to return
    @param homes          the regions that may serve the caller's requests;
                          empty for all
*/
std::vector<entry_view>
nearest_entries(location const& caller, std::vector<entry_view> const& entries,
                std::size_t maximum_count,
                std::vector<region_name> const& homes = {});

} // namespace verbenacove

#endif
