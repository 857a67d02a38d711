#ifndef VERBENACOVE_VERSION_ROUTE_CONFIGURATION_HPP
#define VERBENACOVE_VERSION_ROUTE_CONFIGURATION_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/teams/team_record.hpp"

#include <QByteArray>
#include <QCborMap>
#include <QMap>
#include <QSet>
#include <QString>

#include <memory>
#include <optional>
#include <vector>

namespace verbenacove
{

/** A version of the route configuration as operators number it; 0 before the
    first one. */
using route_version = strong_type<struct route_version_tag, qint64>;

/** A service's part of a route's requests. */
struct traffic_share
{
    service_name service;
    /** Relative to the sum of the route's weights; 0 or more. */
    int weight = 0;
};

/** Which requests go to which service, and how. */
struct route_record
{
    QString name;
    QString host;
    /** Begins and ends with a slash. */
    QString path_prefix;
    /** Whether its requests may run more than once. */
    bool is_idempotent = false;
    /** The longest time that a caller is kept waiting. */
    milliseconds timeout{30000};
    /** The time within which an answer has its full worth. */
    milliseconds objective{1000};
    /** 0 is the most urgent. */
    int priority = 0;
    std::vector<traffic_share> split;
    /** The most upstreams that one request is sent to. */
    int maximum_attempts = 1;
    /** Whether requests with the same affinity key should meet. */
    bool has_affinity = false;
    /** The only regions that may serve it; empty for all. */
    std::vector<region_name> homes;
    /** Whether its requests need no key where there are teams. */
    bool is_public = false;
    /** The item as the operator wrote it; reads return it unchanged. */
    QCborMap source;
};

/** How a service's upstreams are to be treated. */
struct routed_service
{
    service_name name;
    QString health_path;
    /** The connections that one upstream takes from all entries together. */
    int connection_limit = 0;
    /** How long an upstream is cold after its start. */
    milliseconds cold_start{0};
    /** Requests per second that a cold upstream bears, from all entries. */
    double warmup_per_second = 0;
    QCborMap source;
};

/** The bounds of what callers may send. */
struct caller_limits
{
    qint64 header_bytes = qint64{16} * 1024;
    qint64 body_bytes = qint64{1024} * 1024;
    milliseconds header_timeout{5000};
    milliseconds idle_timeout{30000};
    QCborMap source;
};

/** Whether a configuration has a table of teams. One that has nobody in it is
    not the same as none. */
enum class team_table_state
{
    /** No version up to this one had a table: requests need no keys, and
        `Authorization` is a header like any other. */
    never,
    /** There is a table, perhaps an empty one: each request needs a key of one
        of its teams, unless its route is public. */
    present,
    /** An earlier version had a table: requests need no key, and one that
        carries a key is refused, as nobody holds it. */
    removed
};

/** All routes, services and limits of one version. */
struct route_configuration
{
    route_version version;
    QMap<QString, route_record> routes;
    QMap<QString, routed_service> services;
    /** By name; may be empty in each state of the table. */
    QMap<QString, team_record> teams;
    /** Not read where there are teams. @see team_table_of */
    team_table_state team_table = team_table_state::never;
    caller_limits limits;
};

/** Returns whether there is a table of teams. */
team_table_state team_table_of(route_configuration const& configuration);

/** Returns whether a request may be refused because of its key: there is a
    table of teams, or there was one. */
bool uses_keys(route_configuration const& configuration);

/** Returns the word for a state of the table in logs: `never`, `present` or
    `removed`. */
QLatin1String to_word(team_table_state state);

/** An immutable configuration that several parts use at the same time. */
using route_configuration_ptr = std::shared_ptr<route_configuration const>;

/** A change of the configuration: a whole one, or named items of it. */
struct route_change
{
    /** The version that the change builds on. */
    route_version base;
    route_version version;
    /** Whether items that are not given are dropped. */
    bool is_whole = false;
    std::vector<route_record> routes;
    std::vector<routed_service> services;
    std::vector<team_record> teams;
    /** Whether it is a whole configuration with a table of teams, perhaps an
        empty one; not read where it has teams. */
    bool has_team_table = false;
    std::optional<caller_limits> limits;
    std::vector<QString> removed_routes;
    std::vector<QString> removed_services;
    std::vector<QString> removed_teams;
    /** Digest of all that the operator sent; equal for a resend alone. */
    QByteArray signature;
};

/** Returns why a configuration cannot be in force; empty when it can. */
QString invalid_reason(route_configuration const& configuration);

/** Returns the configuration that a change makes of another one. */
route_configuration changed(route_configuration const& before,
                            route_change const& change);

/** Returns the host's route with the longest prefix of the path; null when
    there is none.

    @param host  as the caller wrote it; a port and the case are ignored
*/
route_record const* find_route(route_configuration const& configuration,
                               QByteArray const& host, QByteArray const& path);

/** Returns the services that a configuration names. */
QSet<service_name> named_services(route_configuration const& configuration);

/** Returns the regions that may serve the requests to a host: those that are
    homes of each of its routes that has any, or, if there are none, of some of
    them; empty when no route has homes.

    @param host  as the caller wrote it; a port and the case are ignored
*/
std::vector<region_name> common_homes(route_configuration const& configuration,
                                      QByteArray const& host);

/** Which parts of a configuration its CBOR form holds. */
enum class route_detail
{
    /** What entries need. */
    effective,
    /** Also what the operator wrote. */
    with_source
};

/** Returns these as CBOR, and reads them back; nothing when they are not. */
QCborMap to_cbor(route_configuration const& configuration, route_detail detail);
QCborMap to_cbor(route_change const& change);
std::optional<route_configuration>
parse_route_configuration(QCborMap const& map);
std::optional<route_change> parse_route_change(QCborMap const& map);

} // namespace verbenacove

#endif
