#include "verbenacove/version/route_configuration.hpp"

#include "verbenacove/core/cbor.hpp"

#include <QHash>

#include <algorithm>

namespace verbenacove
{

namespace
{

/** An objective this far above the timeout can only be a mistake. */
constexpr milliseconds longest_objective_excess{60000};

auto const source_key = QLatin1String("source");
auto const teams_key = QLatin1String("teams");
auto const team_table_key = QLatin1String("team_table");

QCborArray regions_to_cbor(std::vector<region_name> const& regions)
{
    QCborArray result;
    for (auto const& region : regions)
    {
        result.append(region.value());
    }
    return result;
}

QCborMap to_cbor(route_record const& route, route_detail detail)
{
    QCborArray split;
    for (auto const& share : route.split)
    {
        split.append(QCborArray{share.service.value(), share.weight});
    }
    QCborMap result{
        {QLatin1String("name"), route.name},
        {QLatin1String("host"), route.host},
        {QLatin1String("prefix"), route.path_prefix},
        {QLatin1String("idempotent"), route.is_idempotent},
        {QLatin1String("timeout"), qint64{route.timeout.count()}},
        {QLatin1String("objective"), qint64{route.objective.count()}},
        {QLatin1String("priority"), route.priority},
        {QLatin1String("split"), split},
        {QLatin1String("attempts"), route.maximum_attempts},
        {QLatin1String("affinity"), route.has_affinity},
        {QLatin1String("homes"), regions_to_cbor(route.homes)}};
    if (route.is_public)
    {
        result[QLatin1String("public")] = true;
    }
    if (detail == route_detail::with_source)
    {
        result[source_key] = route.source;
    }
    return result;
}

route_record parse_route(QCborMap const& map)
{
    route_record route;
    route.name = cbor_text(map, "name");
    route.host = cbor_text(map, "host");
    route.path_prefix = cbor_text(map, "prefix");
    route.is_idempotent = cbor_flag(map, "idempotent");
    route.timeout = milliseconds(cbor_number(map, "timeout"));
    route.objective = milliseconds(cbor_number(map, "objective"));
    route.priority = static_cast<int>(cbor_number(map, "priority"));
    for (auto const& item : cbor_array(map, "split"))
    {
        auto const share = item.toArray();
        route.split.push_back({service_name(share.at(0).toString()),
                               static_cast<int>(share.at(1).toInteger())});
    }
    route.maximum_attempts = static_cast<int>(cbor_number(map, "attempts", 1));
    route.has_affinity = cbor_flag(map, "affinity");
    for (auto const& region : cbor_array(map, "homes"))
    {
        route.homes.emplace_back(region.toString());
    }
    route.is_public = cbor_flag(map, "public");
    route.source = cbor_map(map, "source");
    return route;
}

QCborMap to_cbor(routed_service const& service, route_detail detail)
{
    QCborMap result{
        {QLatin1String("name"), service.name.value()},
        {QLatin1String("health"), service.health_path},
        {QLatin1String("connections"), service.connection_limit},
        {QLatin1String("cold_start"), qint64{service.cold_start.count()}},
        {QLatin1String("warmup"), service.warmup_per_second}};
    if (detail == route_detail::with_source)
    {
        result[source_key] = service.source;
    }
    return result;
}

routed_service parse_service(QCborMap const& map)
{
    routed_service service;
    service.name = service_name(cbor_text(map, "name"));
    service.health_path = cbor_text(map, "health");
    service.connection_limit =
        static_cast<int>(cbor_number(map, "connections"));
    service.cold_start = milliseconds(cbor_number(map, "cold_start"));
    service.warmup_per_second = cbor_fraction(map, "warmup");
    service.source = cbor_map(map, "source");
    return service;
}

QCborMap to_cbor(caller_limits const& limits, route_detail detail)
{
    QCborMap result{
        {QLatin1String("header_bytes"), limits.header_bytes},
        {QLatin1String("body_bytes"), limits.body_bytes},
        {QLatin1String("header_timeout"),
         qint64{limits.header_timeout.count()}},
        {QLatin1String("idle_timeout"), qint64{limits.idle_timeout.count()}}};
    if (detail == route_detail::with_source)
    {
        result[source_key] = limits.source;
    }
    return result;
}

caller_limits parse_limits(QCborMap const& map)
{
    caller_limits limits;
    limits.header_bytes = cbor_number(map, "header_bytes", limits.header_bytes);
    limits.body_bytes = cbor_number(map, "body_bytes", limits.body_bytes);
    limits.header_timeout = milliseconds(
        cbor_number(map, "header_timeout", limits.header_timeout.count()));
    limits.idle_timeout = milliseconds(
        cbor_number(map, "idle_timeout", limits.idle_timeout.count()));
    limits.source = cbor_map(map, "source");
    return limits;
}

QString invalid_route_reason(route_configuration const& configuration,
                             route_record const& route)
{
    if (route.host.isEmpty())
    {
        return QStringLiteral("route %1 has no host").arg(route.name);
    }
    int weights = 0;
    for (auto const& share : route.split)
    {
        if (!configuration.services.contains(share.service.value()))
        {
            return QStringLiteral("route %1 names the unknown service %2")
                .arg(route.name, share.service.value());
        }
        if (share.weight < 0)
        {
            return QStringLiteral("route %1 has a weight below 0")
                .arg(route.name);
        }
        weights += share.weight;
    }
    if (weights == 0)
    {
        return QStringLiteral("the weights of route %1 add up to 0")
            .arg(route.name);
    }
    if (route.objective >= route.timeout + longest_objective_excess)
    {
        return QStringLiteral("the objective of route %1 is far above its "
                              "timeout")
            .arg(route.name);
    }
    return {};
}

QByteArray plain_host(QByteArray const& host)
{
    auto const colon = host.lastIndexOf(':');
    return (colon < 0 ? host : host.left(colon)).toLower();
}

QCborArray names_to_cbor(std::vector<QString> const& names)
{
    QCborArray result;
    for (auto const& name : names)
    {
        result.append(name);
    }
    return result;
}

std::vector<QString> parse_names(QCborArray const& names)
{
    std::vector<QString> result;
    for (auto const& name : names)
    {
        result.push_back(name.toString());
    }
    return result;
}

// What a later build writes counts as a table, which refuses every key.
team_table_state parse_team_table(QCborMap const& map)
{
    auto const word = cbor_text(map, "team_table");
    return word.isEmpty() ? team_table_state::never
           : word == to_word(team_table_state::removed)
               ? team_table_state::removed
               : team_table_state::present;
}

QCborMap to_cbor(team_record const& team, route_detail detail)
{
    return verbenacove::to_cbor(team, detail == route_detail::with_source);
}

team_table_state next_team_table(route_configuration const& before,
                                 route_change const& change)
{
    if (change.has_team_table || !change.teams.empty())
    {
        return team_table_state::present;
    }
    bool const leaves_out = change.is_whole && uses_keys(before);
    return leaves_out ? team_table_state::removed : team_table_of(before);
}

// Readers of earlier builds take an empty list for no teams and would let all
// requests run, so they get a team without keys: they refuse every key.
QCborArray teams_without_keys()
{
    return {verbenacove::to_cbor(team_record(), false)};
}

template <class Items>
QCborArray items_to_cbor(Items const& items, route_detail detail)
{
    QCborArray result;
    for (auto const& item : items)
    {
        result.append(to_cbor(item, detail));
    }
    return result;
}

} // namespace

team_table_state team_table_of(route_configuration const& configuration)
{
    return configuration.teams.isEmpty() ? configuration.team_table
                                         : team_table_state::present;
}

bool uses_keys(route_configuration const& configuration)
{
    return team_table_of(configuration) != team_table_state::never;
}

QLatin1String to_word(team_table_state state)
{
    return QLatin1String(state == team_table_state::never     ? "never"
                         : state == team_table_state::present ? "present"
                                                              : "removed");
}

QString invalid_reason(route_configuration const& configuration)
{
    for (auto const& route : configuration.routes)
    {
        auto const reason = invalid_route_reason(configuration, route);
        if (!reason.isEmpty())
        {
            return reason;
        }
    }
    return invalid_teams_reason(configuration.teams);
}

route_configuration changed(route_configuration const& before,
                            route_change const& change)
{
    auto result = change.is_whole ? route_configuration() : before;
    result.version = change.version;
    result.team_table = next_team_table(before, change);
    for (auto const& name : change.removed_routes)
    {
        result.routes.remove(name);
    }
    for (auto const& name : change.removed_services)
    {
        result.services.remove(name);
    }
    for (auto const& route : change.routes)
    {
        result.routes[route.name] = route;
    }
    for (auto const& name : change.removed_teams)
    {
        result.teams.remove(name);
    }
    for (auto const& team : change.teams)
    {
        result.teams[team.name.value()] = team;
    }
    for (auto const& service : change.services)
    {
        result.services[service.name.value()] = service;
    }
    if (change.limits)
    {
        result.limits = *change.limits;
    }
    return result;
}

route_record const* find_route(route_configuration const& configuration,
                               QByteArray const& host, QByteArray const& path)
{
    auto const wanted = QString::fromUtf8(plain_host(host));
    auto const text = QString::fromUtf8(path);
    route_record const* best = nullptr;
    for (auto const& route : configuration.routes)
    {
        bool const is_longer =
            !best || route.path_prefix.size() > best->path_prefix.size();
        if (is_longer && route.host.compare(wanted, Qt::CaseInsensitive) == 0 &&
            text.startsWith(route.path_prefix))
        {
            best = &route;
        }
    }
    return best;
}

QSet<service_name> named_services(route_configuration const& configuration)
{
    QSet<service_name> result;
    for (auto const& service : configuration.services)
    {
        result.insert(service.name);
    }
    return result;
}

std::vector<region_name> common_homes(route_configuration const& configuration,
                                      QByteArray const& host)
{
    auto const wanted = QString::fromUtf8(plain_host(host));
    QHash<region_name, int> counts;
    int routes = 0;
    for (auto const& route : configuration.routes)
    {
        if (route.homes.empty() ||
            route.host.compare(wanted, Qt::CaseInsensitive) != 0)
        {
            continue;
        }
        ++routes;
        for (auto const& region : route.homes)
        {
            ++counts[region];
        }
    }
    std::vector<region_name> some;
    std::vector<region_name> common;
    for (auto item = counts.cbegin(); item != counts.cend(); ++item)
    {
        some.push_back(item.key());
        if (item.value() == routes)
        {
            common.push_back(item.key());
        }
    }
    return common.empty() ? some : common;
}

QCborMap to_cbor(route_configuration const& configuration, route_detail detail)
{
    QCborMap result{
        {QLatin1String("version"), configuration.version.value()},
        {QLatin1String("routes"), items_to_cbor(configuration.routes, detail)},
        {QLatin1String("services"),
         items_to_cbor(configuration.services, detail)},
        {QLatin1String("limits"), to_cbor(configuration.limits, detail)}};
    if (!configuration.teams.isEmpty())
    {
        result[teams_key] = items_to_cbor(configuration.teams, detail);
    }
    else if (uses_keys(configuration))
    {
        result[teams_key] = teams_without_keys();
        result[team_table_key] = to_word(configuration.team_table);
    }
    return result;
}

QCborMap to_cbor(route_change const& change)
{
    auto const detail = route_detail::with_source;
    QCborMap result{
        {QLatin1String("base"), change.base.value()},
        {QLatin1String("version"), change.version.value()},
        {QLatin1String("whole"), change.is_whole},
        {QLatin1String("routes"), items_to_cbor(change.routes, detail)},
        {QLatin1String("services"), items_to_cbor(change.services, detail)},
        {QLatin1String("no_routes"), names_to_cbor(change.removed_routes)},
        {QLatin1String("no_services"), names_to_cbor(change.removed_services)},
        {QLatin1String("signature"), change.signature}};
    if (!change.teams.empty())
    {
        result[teams_key] = items_to_cbor(change.teams, detail);
    }
    else if (change.has_team_table)
    {
        result[team_table_key] = true;
    }
    if (!change.removed_teams.empty())
    {
        result[QLatin1String("no_teams")] = names_to_cbor(change.removed_teams);
    }
    if (change.limits)
    {
        result[QLatin1String("limits")] = to_cbor(*change.limits, detail);
    }
    return result;
}

std::optional<route_configuration>
parse_route_configuration(QCborMap const& map)
{
    if (!map.value(QLatin1String("version")).isInteger())
    {
        return std::nullopt;
    }
    route_configuration result;
    result.version = route_version(cbor_number(map, "version"));
    for (auto const& item : cbor_array(map, "routes"))
    {
        auto route = parse_route(item.toMap());
        result.routes[route.name] = std::move(route);
    }
    for (auto const& item : cbor_array(map, "services"))
    {
        auto service = parse_service(item.toMap());
        result.services[service.name.value()] = std::move(service);
    }
    result.team_table = parse_team_table(map);
    if (!map.contains(team_table_key))
    {
        for (auto const& item : cbor_array(map, "teams"))
        {
            auto team = parse_team(item.toMap());
            result.teams[team.name.value()] = std::move(team);
        }
    }
    result.limits = parse_limits(cbor_map(map, "limits"));
    return result;
}

std::optional<route_change> parse_route_change(QCborMap const& map)
{
    if (!map.value(QLatin1String("version")).isInteger())
    {
        return std::nullopt;
    }
    route_change change;
    change.base = route_version(cbor_number(map, "base"));
    change.version = route_version(cbor_number(map, "version"));
    change.is_whole = cbor_flag(map, "whole");
    for (auto const& item : cbor_array(map, "routes"))
    {
        change.routes.push_back(parse_route(item.toMap()));
    }
    for (auto const& item : cbor_array(map, "services"))
    {
        change.services.push_back(parse_service(item.toMap()));
    }
    for (auto const& item : cbor_array(map, "teams"))
    {
        change.teams.push_back(parse_team(item.toMap()));
    }
    change.has_team_table = cbor_flag(map, "team_table");
    change.removed_teams = parse_names(cbor_array(map, "no_teams"));
    change.removed_routes = parse_names(cbor_array(map, "no_routes"));
    change.removed_services = parse_names(cbor_array(map, "no_services"));
    change.signature = cbor_bytes(map, "signature");
    if (map.contains(QLatin1String("limits")))
    {
        change.limits = parse_limits(cbor_map(map, "limits"));
    }
    return change;
}

} // namespace verbenacove
