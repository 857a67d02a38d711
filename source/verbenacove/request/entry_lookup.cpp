#include "verbenacove/request/entry_lookup.hpp"

#include "verbenacove/core/distance.hpp"

#include <algorithm>

namespace verbenacove
{

std::vector<entry_view> nearest_entries(location const& caller,
                                        std::vector<entry_view> const& entries,
                                        std::size_t maximum_count)
{
    std::vector<entry_view> result;
    auto nearest = network_distance::other_region;
    for (auto const& entry : entries)
    {
        nearest = std::min(nearest, distance_between(caller, entry));
    }
    for (auto const& entry : entries)
    {
        if (result.size() < maximum_count &&
            distance_between(caller, entry) == nearest)
        {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace verbenacove
