#include "verbenacove/request/entry_lookup.hpp"

#include "verbenacove/core/distance.hpp"

#include <QSet>

#include <algorithm>
#include <array>
#include <iterator>

namespace verbenacove
{

namespace
{

/** The entries of the caller's zone, of its region and of all regions. */
constexpr std::array<network_distance, 3> scopes{
    network_distance::same_zone, network_distance::same_region,
    network_distance::other_region};

/** The share of a scope's entries that must be left for its callers. */
constexpr double sufficient_share = 0.5;

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

// Returns the share of a scope's entries that reach upstreams.
double connected_share(location const& caller,
                       std::vector<entry_view> const& entries,
                       network_distance scope)
{
    int all = 0;
    int connected = 0;
    for (auto const& entry : entries)
    {
        bool const is_in_scope = distance_between(caller, entry) <= scope;
        all += is_in_scope ? 1 : 0;
        connected += is_in_scope && entry.reaches_upstreams ? 1 : 0;
    }
    return all == 0 ? 0 : static_cast<double>(connected) / all;
}

// Returns the nearest scope of which enough entries reach upstreams, or all:
// where each scope is short, the fewest requests come to one entry if all are
// used alike.
network_distance connected_scope(location const& caller,
                                 std::vector<entry_view> const& entries)
{
    auto const found = std::find_if(
        scopes.begin(), scopes.end(),
        [&](network_distance scope) {
            return connected_share(caller, entries, scope) >= sufficient_share;
        });
    return found == scopes.end() ? scopes.back() : *found;
}

// Returns the entries of the caller's region and of its requests' homes.
std::vector<entry_view> entries_in(region_name const& region,
                                   std::vector<region_name> const& homes,
                                   std::vector<entry_view> const& entries)
{
    std::vector<entry_view> result;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(result),
                 [&](entry_view const& entry)
                 {
                     return entry.region == region ||
                            std::find(homes.begin(), homes.end(),
                                      entry.region) != homes.end();
                 });
    return result;
}

// Returns the nearest scope that has entries, and enough of them.
network_distance populated_scope(location const& caller,
                                 std::vector<entry_view> const& entries)
{
    auto scope = network_distance::other_region;
    std::size_t in_zone = 0;
    for (auto const& entry : entries)
    {
        auto const distance = distance_between(caller, entry);
        scope = std::min(scope, distance);
        in_zone += distance == network_distance::same_zone ? 1 : 0;
    }
    bool const is_short =
        scope == network_distance::same_zone && is_zone_short(entries, in_zone);
    return is_short ? network_distance::same_region : scope;
}

} // namespace

std::vector<entry_view> nearest_entries(location const& caller,
                                        std::vector<entry_view> const& entries,
                                        std::size_t maximum_count,
                                        std::vector<region_name> const& homes)
{
    if (!homes.empty())
    {
        auto const allowed = entries_in(caller.region, homes, entries);
        return nearest_entries(caller, allowed.empty() ? entries : allowed,
                               maximum_count);
    }
    std::vector<entry_view> connected;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(connected),
                 [](entry_view const& entry)
                 { return entry.reaches_upstreams; });
    bool const is_any_connected = !connected.empty();
    auto const& usable = is_any_connected ? connected : entries;
    auto scope = populated_scope(caller, usable);
    if (is_any_connected && usable.size() < entries.size())
    {
        scope = std::max(scope, connected_scope(caller, entries));
    }
    std::vector<entry_view> result;
    for (auto const& entry : usable)
    {
        if (result.size() < maximum_count &&
            distance_between(caller, entry) <= scope)
        {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace verbenacove
