#include "verbenacove/process/routing/route_entry_settings.hpp"

namespace verbenacove
{

namespace
{

/** The upper limit of each setting that is a duration. */
constexpr milliseconds maximum_duration{60000};
/** In megabits per second. */
constexpr double maximum_link_rate = 1000000;
/** The lower limit of the revocation time: a lease must last for longer than it
    takes to extend it. */
constexpr milliseconds minimum_revocation{1000};
constexpr qint64 one_mebibyte = 1024 * 1024;
constexpr double maximum_memory_mb = 100000000;
constexpr double bytes_per_mb = 1000000;
constexpr qint64 maximum_descriptors = 1000000000;

void parse_steering(setting_reader& reader, steering_settings& steering)
{
    steering.zone_crossing_cost = reader.fraction(
        "steering", "zone_crossing_cost", steering.zone_crossing_cost, 0, 1);
    steering.region_crossing_cost =
        reader.fraction("steering", "region_crossing_cost",
                        steering.region_crossing_cost, 0, 1);
    steering.maximum_crossing_cost =
        reader.fraction("steering", "highest_crossing_cost",
                        steering.maximum_crossing_cost, 0, 1);
    steering.leave_margin = reader.fraction("steering", "leave_margin",
                                            steering.leave_margin, 0, 1);
    steering.maximum_wait_share = reader.fraction(
        "steering", "longest_wait", steering.maximum_wait_share, 0, 1);
    steering.extra_time_share = reader.fraction(
        "steering", "unseen_share", steering.extra_time_share, 0, 1);
    steering.value_tolerance = reader.fraction("steering", "worth_tolerance",
                                               steering.value_tolerance, 0, 1);
    steering.object_spread = reader.fraction("steering", "object_spread",
                                             steering.object_spread, 0, 1);
    steering.zone_round_trip =
        reader.duration("steering", "zone_round_trip", steering.zone_round_trip,
                        milliseconds(0), maximum_duration);
    steering.region_round_trip = reader.duration(
        "steering", "region_round_trip", steering.region_round_trip,
        milliseconds(0), maximum_duration);
    steering.maximum_region_shift =
        reader.fraction("steering", "maximum_region_shift",
                        steering.maximum_region_shift, 0.01, 1);
    steering.retry_ratio =
        reader.fraction("steering", "retry_ratio", steering.retry_ratio, 0, 10);
    steering.retry_slack = reader.fraction("steering", "retry_slack",
                                           steering.retry_slack, 0, 1000000);
    steering.retry_window =
        reader.duration("steering", "retry_window", steering.retry_window,
                        milliseconds(100), maximum_duration);
}

} // namespace

caller_share parse_caller_share(setting_reader& reader)
{
    auto const memory =
        reader.fraction("limits", "memory_mb", 0, 0, maximum_memory_mb);
    auto const descriptors =
        reader.number("limits", "max_fds", 0, 0, maximum_descriptors);
    return caller_share_of(static_cast<qint64>(memory * bytes_per_mb),
                           descriptors);
}

std::vector<socket_address> parse_replica_addresses(setting_reader& reader)
{
    auto addresses = reader.addresses("discovery", "replicas");
    auto const port =
        static_cast<quint16>(reader.number("discovery", "port", 0, 0, 65535));
    for (auto& address : addresses)
    {
        address.port = port == 0 ? address.port : port;
    }
    return addresses;
}

QHash<zone_name, region_name> parse_zones(setting_reader& reader)
{
    QHash<zone_name, region_name> result;
    auto const lines = reader.section("zones");
    for (auto line = lines.cbegin(); line != lines.cend(); ++line)
    {
        result.insert(zone_name(line.key()), region_name(line.value()));
    }
    return result;
}

std::optional<socket_address> parse_optional_address(setting_reader& reader,
                                                     char const* section,
                                                     char const* key)
{
    if (reader.text(section, key, {}).isEmpty())
    {
        return std::nullopt;
    }
    return reader.address(section, key);
}

boost::leaf::result<route_entry_settings>
parse_route_entry_settings(ini_document const& document)
{
    setting_reader reader(document);
    route_entry_settings settings;
    settings.name = entry_id(reader.name("entry", "name"));
    settings.region = region_name(reader.name("entry", "region"));
    settings.zone = zone_name(reader.name("entry", "zone"));
    settings.callers = reader.address("entry", "callers");
    settings.readiness = reader.address("entry", "readiness");
    settings.metrics = parse_optional_address(reader, "entry", "metrics");
    settings.stop_grace =
        reader.duration("entry", "stop_grace", settings.stop_grace,
                        milliseconds(100), maximum_duration);
    settings.lookup_ttl =
        reader.duration("entry", "lookup_ttl", settings.lookup_ttl,
                        milliseconds(100), maximum_duration);
    settings.trace_one_in = static_cast<int>(reader.number(
        "trace", "sample_one_in", settings.trace_one_in, 0, 1000000));
    settings.log = reader.level("log", "level");
    settings.replicas = parse_replica_addresses(reader);
    settings.zones = parse_zones(reader);
    settings.callers_share = parse_caller_share(reader);
    if (auto const held = reader.size("limits", "held_bytes", 0, one_mebibyte,
                                      1024 * one_mebibyte);
        held > 0)
    {
        settings.limits.maximum_held_bytes = held;
        settings.callers_share.memory_bytes = held;
    }
    parse_steering(reader, settings.steering);
    auto const link = reader.fraction("limits", "link_mbit_per_second", 0, 0,
                                      maximum_link_rate);
    if (link > 0)
    {
        settings.link = megabits_per_second(link);
    }
    auto const revocation =
        reader.duration("teams", "revocation", milliseconds(0),
                        minimum_revocation, maximum_duration);
    if (revocation.count() > 0)
    {
        settings.revocation = revocation;
    }
    settings.steering.zone = settings.zone;
    settings.steering.region = settings.region;
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

} // namespace verbenacove
