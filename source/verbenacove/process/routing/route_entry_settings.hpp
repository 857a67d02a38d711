#ifndef VERBENACOVE_PROCESS_ROUTING_ROUTE_ENTRY_SETTINGS_HPP
#define VERBENACOVE_PROCESS_ROUTING_ROUTE_ENTRY_SETTINGS_HPP

#include "verbenacove/connection/caller_budget.hpp"
#include "verbenacove/connection/http_limits.hpp"
#include "verbenacove/core/ini_document.hpp"
#include "verbenacove/core/log.hpp"
#include "verbenacove/core/setting_reader.hpp"
#include "verbenacove/request/steering_settings.hpp"

#include <optional>
#include <vector>

namespace verbenacove
{

/** Settings of an entry that routes requests. */
struct route_entry_settings
{
    entry_id name;
    region_name region;
    zone_name zone;
    /** The listening address for callers. */
    socket_address callers;
    /** The listening address of the readiness check, which reports whether
        this entry accepts callers. */
    socket_address readiness;
    /** The listening address for metrics, if enabled. */
    std::optional<socket_address> metrics;
    /** Internal addresses of the replicas to try first. */
    std::vector<socket_address> replicas;
    /** The region of each zone. */
    QHash<zone_name, region_name> zones;
    http_limits limits;
    /** What callers of all endpoints may make the process hold. */
    caller_share callers_share;
    steering_settings steering;
    /** The rate of the VM's link in each direction; absent if it is not
        known. */
    std::optional<megabits_per_second> link;
    /** The time after which a withdrawn key must not be accepted anywhere.
        Absent where entries may use the keys that they have for any time. */
    std::optional<milliseconds> revocation;
    /** The maximum time from the stop request to the exit of the process. */
    milliseconds stop_grace{6000};
    /** The time for which callers may cache a look-up response. */
    milliseconds lookup_ttl{1000};
    /** One in this many requests without a trace context is traced; 0 disables
        sampling. */
    int trace_one_in = 0;
    log_level log = log_level::info;
};

/** Reads the settings. An error lists all problems at once. */
boost::leaf::result<route_entry_settings>
parse_route_entry_settings(ini_document const& document);

/** Reads `memory_mb` and `max_fds`, the machine's memory in MB and the most
    descriptors of a process, from the section `[limits]`. */
caller_share parse_caller_share(setting_reader& reader);

/** Reads the replica addresses from the section `[discovery]`. The key `port`,
    if given, replaces their ports. */
std::vector<socket_address> parse_replica_addresses(setting_reader& reader);

/** Reads the section `[zones]`, which maps zone names to region names. */
QHash<zone_name, region_name> parse_zones(setting_reader& reader);

/** Reads an address. Returns no value if the key is missing or empty. */
std::optional<socket_address> parse_optional_address(setting_reader& reader,
                                                     char const* section,
                                                     char const* key);

} // namespace verbenacove

#endif
