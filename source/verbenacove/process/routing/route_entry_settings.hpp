#ifndef VERBENACOVE_PROCESS_ROUTING_ROUTE_ENTRY_SETTINGS_HPP
#define VERBENACOVE_PROCESS_ROUTING_ROUTE_ENTRY_SETTINGS_HPP

#include "verbenacove/connection/http_limits.hpp"
#include "verbenacove/core/ini_document.hpp"
#include "verbenacove/core/log.hpp"
#include "verbenacove/core/setting_reader.hpp"
#include "verbenacove/request/steering_settings.hpp"

#include <optional>
#include <vector>

namespace verbenacove
{

/** The settings of an entry that carries requests by routes. */
struct route_entry_settings
{
    entry_id name;
    region_name region;
    zone_name zone;
    /** For callers. */
    socket_address callers;
    /** Tells whether callers may be sent here. */
    socket_address readiness;
    std::optional<socket_address> metrics;
    /** The replicas' internal addresses that are tried first. */
    std::vector<socket_address> replicas;
    /** The region of each zone. */
    QHash<zone_name, region_name> zones;
    http_limits limits;
    steering_settings steering;
    /** From the wish to stop to the end of the process. */
    milliseconds stop_grace{6000};
    /** How long callers may use the answer to a look-up. */
    milliseconds lookup_ttl{1000};
    /** A request that brings no trace is traced once in so many; 0 never. */
    int trace_one_in = 0;
    log_level log = log_level::info;
};

/** Reads the settings; all that is wrong comes at once. */
boost::leaf::result<route_entry_settings>
parse_route_entry_settings(ini_document const& document);

/** Reads the section `[discovery]`: some replicas' addresses, whose ports
    `port` replaces when it is given. */
std::vector<socket_address> parse_replica_addresses(setting_reader& reader);

/** Reads the section `[zones]`: a zone's name and its region in each line. */
QHash<zone_name, region_name> parse_zones(setting_reader& reader);

/** Reads an address that may be missing or empty. */
std::optional<socket_address> parse_optional_address(setting_reader& reader,
                                                     char const* section,
                                                     char const* key);

} // namespace verbenacove

#endif
