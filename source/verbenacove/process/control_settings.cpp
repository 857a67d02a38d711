#include "verbenacove/process/control_settings.hpp"

#include "verbenacove/core/setting_reader.hpp"

#include <QStringList>

#include <algorithm>

namespace verbenacove
{

namespace
{

constexpr int maximum_replicas = 7;
constexpr milliseconds longest_timeout{60000};
constexpr qint64 one_mebibyte = 1024 * 1024;

std::vector<replica_address> parse_replicas(setting_reader& reader)
{
    std::vector<replica_address> replicas;
    QSet<QString> names;
    QSet<socket_address> addresses;
    auto const text = reader.text("replicas", "members", {});
    for (auto const& part : text.split(QLatin1Char(','), Qt::SkipEmptyParts))
    {
        auto const sides = part.trimmed().split(QLatin1Char('@'));
        auto const address =
            sides.size() == 2 ? parse_socket_address(sides[1]) : std::nullopt;
        bool const is_new = address && !names.contains(sides[0]) &&
                            !addresses.contains(*address);
        if (!is_new || sides[0].isEmpty())
        {
            reader.report("replicas", "members",
                          QStringLiteral("\"%1\" must be NAME@IP:PORT, with "
                                         "each name and address given once")
                              .arg(part.trimmed()));
            continue;
        }
        names.insert(sides[0]);
        addresses.insert(*address);
        replicas.push_back({sides[0], *address});
    }
    if (replicas.empty() || replicas.size() > maximum_replicas)
    {
        reader.report("replicas", "members",
                      QStringLiteral("must name 1 to %1 replicas as "
                                     "NAME@IP:PORT, ...")
                          .arg(maximum_replicas));
    }
    return replicas;
}

void check_own_place(setting_reader& reader, control_settings const& settings)
{
    bool const is_listed =
        std::any_of(settings.replicas.begin(), settings.replicas.end(),
                    [&settings](replica_address const& replica)
                    { return replica.name == settings.name; });
    if (!is_listed)
    {
        reader.report(
            "replicas", "members",
            QStringLiteral("must name this replica, %1").arg(settings.name));
    }
    if (settings.operators == settings.listen)
    {
        reader.report("control", "operator",
                      QStringLiteral("is the address of [control] listen"));
    }
    if (settings.http == settings.listen || settings.http == settings.operators)
    {
        reader.report("control", "http",
                      QStringLiteral("is the address of another door"));
    }
}

} // namespace

boost::leaf::result<control_settings>
parse_control_settings(ini_document const& document)
{
    setting_reader reader(document);
    control_settings settings;
    settings.name = reader.name("control", "name");
    settings.region = region_name(reader.name("control", "region"));
    settings.zone = zone_name(reader.name("control", "zone"));
    settings.data_folder = reader.text("control", "data_folder", {});
    if (settings.data_folder.isEmpty())
    {
        reader.report("control", "data_folder",
                      QStringLiteral("must be a folder on the VM's disk"));
    }
    settings.listen = reader.address("control", "listen");
    settings.operators = reader.address("control", "operator");
    settings.http = reader.address("control", "http");
    settings.log = reader.level("log", "level");
    settings.replicas = parse_replicas(reader);
    settings.raft.heartbeat =
        reader.duration("replicas", "heartbeat", settings.raft.heartbeat,
                        milliseconds(10), longest_timeout);
    settings.raft.election_timeout = reader.duration(
        "replicas", "election_timeout", settings.raft.election_timeout,
        settings.raft.heartbeat * 3, longest_timeout);
    settings.raft.snapshot_after_bytes = reader.size(
        "replicas", "snapshot_after", settings.raft.snapshot_after_bytes, 4096,
        1024 * one_mebibyte);
    check_own_place(reader, settings);
    BOOST_LEAF_CHECK(reader.finish());
    for (auto const& replica : settings.replicas)
    {
        settings.raft.known_names.insert(replica.name);
        settings.raft.known_addresses.push_back(replica.address);
    }
    return settings;
}

} // namespace verbenacove
