#include "verbenacove/process/routing/split_chooser.hpp"

#include <algorithm>

namespace verbenacove
{

service_name split_chooser::choose(route_record const& route)
{
    if (route.split.size() == 1)
    {
        return route.split.front().service;
    }
    auto& parts = parts_[route.name];
    if (!is_same_split(parts, route))
    {
        parts.clear();
        for (auto const& share : route.split)
        {
            parts.push_back({share, 0});
        }
    }
    double total = 0;
    for (auto& each : parts)
    {
        each.behind += each.share.weight;
        total += each.share.weight;
    }
    auto const chosen = std::max_element(parts.begin(), parts.end(),
                                         [](part const& a, part const& b)
                                         { return a.behind < b.behind; });
    chosen->behind -= total;
    return chosen->share.service;
}

bool split_chooser::is_same_split(std::vector<part> const& parts,
                                  route_record const& route)
{
    return std::equal(
        parts.begin(), parts.end(), route.split.begin(), route.split.end(),
        [](part const& a, traffic_share const& b)
        { return a.share.service == b.service && a.share.weight == b.weight; });
}

void split_chooser::keep_only(route_configuration const& configuration)
{
    parts_.removeIf([&configuration](auto const& item)
                    { return !configuration.routes.contains(item.key()); });
}

} // namespace verbenacove
