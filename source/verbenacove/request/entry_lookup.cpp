#include "verbenacove/request/entry_lookup.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

int distance(caller_place const& caller, entry_view const& entry)
{
    if (entry.zone == caller.zone)
    {
        return 0;
    }
    return entry.region == caller.region ? 1 : 2;
}

} // namespace

std::vector<entry_view> nearest_entries(caller_place const& caller,
                                        std::vector<entry_view> const& entries,
                                        std::size_t most)
{
    std::vector<entry_view> result;
    int nearest = 2;
    for (auto const& entry : entries)
    {
        nearest = std::min(nearest, distance(caller, entry));
    }
    for (auto const& entry : entries)
    {
        if (result.size() < most && distance(caller, entry) == nearest)
        {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace verbenacove
