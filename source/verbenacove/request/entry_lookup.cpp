#include "verbenacove/request/entry_lookup.hpp"

#include "verbenacove/core/distance.hpp"

#include <QSet>

#include <algorithm>

namespace verbenacove
{

namespace
{

// Returns whether the entries of one zone are less than half of the average.
bool is_zone_short(std::vector<entry_view> const& entries,
                   std::size_t entries_in_zone)
{
    QSet<zone_name> zones;
    for (auto const& entry : entries)
    {
        zones.insert(entry.zone);
    }
    auto const zone_count = static_cast<std::size_t>(zones.size());
    return entries_in_zone * zone_count * 2 < entries.size();
}

} // namespace

std::vector<entry_view> nearest_entries(location const& caller,
                                        std::vector<entry_view> const& entries,
                                        std::size_t maximum_count)
{
    std::vector<entry_view> result;
    auto limit = network_distance::other_region;
    std::size_t in_zone = 0;
    for (auto const& entry : entries)
    {
        auto const distance = distance_between(caller, entry);
        limit = std::min(limit, distance);
        in_zone += distance == network_distance::same_zone ? 1 : 0;
    }
    if (limit == network_distance::same_zone && is_zone_short(entries, in_zone))
    {
        limit = network_distance::same_region;
    }
    for (auto const& entry : entries)
    {
        if (result.size() < maximum_count &&
            distance_between(caller, entry) <= limit)
        {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace verbenacove
