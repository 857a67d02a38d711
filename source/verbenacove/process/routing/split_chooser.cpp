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
    auto& services = weighted_services_[route.name];
    // A changed split starts without deficits.
    if (!is_same_split(services, route))
    {
        services.clear();
        for (auto const& share : route.split)
        {
            services.push_back({share, 0});
        }
    }
    double total = 0;
    for (auto& each : services)
    {
        each.deficit += each.share.weight;
        total += each.share.weight;
    }
    auto const chosen = std::max_element(
        services.begin(), services.end(),
        [](weighted_service const& a, weighted_service const& b)
        { return a.deficit < b.deficit; });
    chosen->deficit -= total;
    return chosen->share.service;
}

bool split_chooser::is_same_split(std::vector<weighted_service> const& services,
                                  route_record const& route)
{
    return std::equal(services.begin(), services.end(), route.split.begin(),
                      route.split.end(),
                      [](weighted_service const& a, traffic_share const& b) {
                          return a.share.service == b.service &&
                                 a.share.weight == b.weight;
                      });
}

void split_chooser::keep_only(route_configuration const& configuration)
{
    weighted_services_.removeIf(
        [&configuration](auto const& item)
        { return !configuration.routes.contains(item.key()); });
}

} // namespace verbenacove
