#include "verbenacove/process/entry_settings.hpp"

#include "verbenacove/core/setting_reader.hpp"

namespace verbenacove
{

namespace
{

constexpr milliseconds one_minute{60000};
constexpr qint64 one_mebibyte = 1024 * 1024;

void parse_limits(setting_reader& reader, http_limits& limits)
{
    limits.maximum_body_bytes = reader.size(
        "limits", "body", limits.maximum_body_bytes, 1024, 16 * one_mebibyte);
    limits.maximum_header_bytes = reader.size(
        "limits", "headers", limits.maximum_header_bytes, 1024, one_mebibyte);
    limits.maximum_connections = static_cast<int>(reader.number(
        "limits", "connections", limits.maximum_connections, 1, 65536));
    limits.header_timeout =
        reader.duration("limits", "header_timeout", limits.header_timeout,
                        milliseconds(100), one_minute);
    limits.body_timeout =
        reader.duration("limits", "body_timeout", limits.body_timeout,
                        milliseconds(100), one_minute);
    limits.idle_timeout =
        reader.duration("limits", "idle_timeout", limits.idle_timeout,
                        milliseconds(100), 10 * one_minute);
}

} // namespace

boost::leaf::result<entry_settings>
parse_entry_settings(ini_document const& document)
{
    setting_reader reader(document);
    entry_settings settings;
    settings.name = entry_id(reader.name("entry", "name"));
    settings.region = region_name(reader.name("entry", "region"));
    settings.zone = zone_name(reader.name("entry", "zone"));
    settings.http = reader.address("entry", "http");
    settings.peer = reader.address("entry", "peer");
    settings.control = reader.addresses("control", "addresses");
    settings.peers = reader.addresses("peers", "addresses");
    settings.log = reader.level("log", "level");
    settings.trace_one_in = static_cast<int>(reader.number(
        "trace", "sample_one_in", settings.trace_one_in, 0, 1000000));
    settings.lookup_ttl =
        reader.duration("entry", "lookup_ttl", settings.lookup_ttl,
                        milliseconds(100), one_minute);
    settings.upstream_lease =
        reader.duration("upstreams", "lease", settings.upstream_lease,
                        milliseconds(500), one_minute);
    settings.keeps_connections =
        reader.number("upstreams", "keep_connections", 0, 0, 1) == 1;
    settings.connect_timeout =
        reader.duration("upstreams", "connect_timeout",
                        settings.connect_timeout, milliseconds(10), one_minute);
    parse_limits(reader, settings.limits);
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

} // namespace verbenacove
