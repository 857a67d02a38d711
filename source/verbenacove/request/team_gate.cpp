#include "verbenacove/request/team_gate.hpp"

#include "verbenacove/teams/bearer_key.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr int unauthorized = 401;
constexpr int unavailable = 503;

bool has_region(std::vector<region_name> const& regions,
                region_name const& region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

void team_gate::set_configuration(route_configuration const& configuration)
{
    table_ = team_table_of(configuration);
    keys_ = key_table(configuration.teams);
}

bool team_gate::depends_on_keys(http_request const& request,
                                route_record const& route) const
{
    if (!uses_keys() || route.is_public)
    {
        return false;
    }
    return table_ == team_table_state::present ||
           read_bearer_key(request.headers).found != bearer_key::state::missing;
}

team_gate::decision team_gate::decide(http_request const& request,
                                      route_record const& route) const
{
    if (!depends_on_keys(request, route))
    {
        return {};
    }
    auto const key = read_bearer_key(request.headers);
    if (key.found != bearer_key::state::present)
    {
        bool const is_missing = key.found == bearer_key::state::missing;
        return {refusal{unauthorized, is_missing ? "no-key" : "unreadable-key"},
                nullptr};
    }
    auto const* const team = keys_.find(key.value);
    if (team == nullptr)
    {
        return {refusal{unauthorized, "unknown-key"}, nullptr};
    }
    if (!has_common_home(*team, route))
    {
        return {refusal{unavailable, "no-common-home"}, team};
    }
    return {std::nullopt, team};
}

bool team_gate::has_common_home(team_record const& team,
                                route_record const& route)
{
    return team.homes.empty() || route.homes.empty() ||
           std::any_of(team.homes.begin(), team.homes.end(),
                       [&route](region_name const& home)
                       { return has_region(route.homes, home); });
}

route_record team_gate::route_for(team_record const& team, route_record route)
{
    route.priority = team.priority.value_or(route.priority);
    if (route.homes.empty())
    {
        route.homes = team.homes;
    }
    else if (!team.homes.empty())
    {
        std::erase_if(route.homes, [&team](region_name const& home)
                      { return !has_region(team.homes, home); });
    }
    return route;
}

} // namespace verbenacove
