#include "verbenacove/teams/team_record.hpp"

#include "verbenacove/core/cbor.hpp"

#include <QCryptographicHash>
#include <QHash>

namespace verbenacove
{

QByteArray key_digest(QByteArray const& key)
{
    return QCryptographicHash::hash(key, QCryptographicHash::Sha256);
}

QString invalid_teams_reason(QMap<QString, team_record> const& teams)
{
    QHash<QByteArray, team_name> holders;
    for (auto const& team : teams)
    {
        if (team.name.value().isEmpty())
        {
            return QStringLiteral("a team has no name");
        }
        for (auto const& digest : team.key_digests)
        {
            auto const holder = holders.constFind(digest);
            if (holder != holders.constEnd())
            {
                return QStringLiteral("key %1 of team %2 is also held by %3")
                    .arg(QString::number(&digest - team.key_digests.data()),
                         team.name.value(), holder->value());
            }
            holders.insert(digest, team.name);
        }
    }
    return {};
}

QCborMap to_cbor(team_record const& team, bool has_source)
{
    QCborArray keys;
    for (auto const& digest : team.key_digests)
    {
        keys.append(digest);
    }
    QCborMap result{{QLatin1String("name"), team.name.value()},
                    {QLatin1String("keys"), keys}};
    if (team.priority)
    {
        result[QLatin1String("priority")] = *team.priority;
    }
    if (team.allowance.rate.value() > 0)
    {
        result[QLatin1String("rate")] = team.allowance.rate.value();
        result[QLatin1String("burst")] = team.allowance.burst;
    }
    if (!team.homes.empty())
    {
        QCborArray homes;
        for (auto const& region : team.homes)
        {
            homes.append(region.value());
        }
        result[QLatin1String("homes")] = homes;
    }
    if (has_source)
    {
        result[QLatin1String("source")] = team.source;
    }
    return result;
}

team_record parse_team(QCborMap const& map)
{
    team_record team;
    team.name = team_name(cbor_text(map, "name"));
    for (auto const& digest : cbor_array(map, "keys"))
    {
        team.key_digests.push_back(digest.toByteArray());
    }
    if (map.contains(QLatin1String("priority")))
    {
        team.priority = static_cast<int>(cbor_number(map, "priority"));
    }
    team.allowance.rate = requests_per_second(cbor_fraction(map, "rate"));
    team.allowance.burst = cbor_fraction(map, "burst");
    for (auto const& region : cbor_array(map, "homes"))
    {
        team.homes.emplace_back(region.toString());
    }
    team.source = cbor_map(map, "source");
    return team;
}

} // namespace verbenacove
