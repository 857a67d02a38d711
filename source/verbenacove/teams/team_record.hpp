#ifndef VERBENACOVE_TEAMS_TEAM_RECORD_HPP
#define VERBENACOVE_TEAMS_TEAM_RECORD_HPP

#include "verbenacove/core/ids.hpp"

#include <QByteArray>
#include <QCborMap>
#include <QMap>
#include <QString>

#include <optional>
#include <vector>

namespace verbenacove
{

/** The rate at which a team's requests are run, over all entries together. */
struct team_allowance
{
    /** Requests per second; 0 for no limit. */
    requests_per_second rate{0};
    /** Number of requests that may be run beyond the rate. */
    double burst = 0;
};

/** A team, as operators configure it. */
struct team_record
{
    team_name name;
    /** Digest of each of its keys; entries never hold the keys themselves.
        @see key_digest */
    std::vector<QByteArray> key_digests;
    /** Rank of its requests, 0 the most urgent; takes precedence over the
        route's. Absent for that of the route. */
    std::optional<int> priority;
    team_allowance allowance;
    /** The only regions that may serve its requests; empty for all. */
    std::vector<region_name> homes;
    /** The item as the operator wrote it, with the keys; only replicas hold
        it. */
    QCborMap source;
};

/** Returns the digest that identifies a key: its SHA-256. */
QByteArray key_digest(QByteArray const& key);

/** Returns why teams cannot be in force together: one has no name, or a key
    has two holders. Empty when they can. Names no key. */
QString invalid_teams_reason(QMap<QString, team_record> const& teams);

/** Returns a team as CBOR, and reads it back.

    @param has_source  whether what the operator wrote is included
*/
QCborMap to_cbor(team_record const& team, bool has_source);
team_record parse_team(QCborMap const& map);

} // namespace verbenacove

#endif
