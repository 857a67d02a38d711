#ifndef VERBENACOVE_PROCESS_ENTRY_SETTINGS_HPP
#define VERBENACOVE_PROCESS_ENTRY_SETTINGS_HPP

#include "verbenacove/connection/http_limits.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/ini_document.hpp"
#include "verbenacove/core/log.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <vector>

namespace verbenacove
{

/** The settings of an entry daemon. */
struct entry_settings
{
    entry_id name;
    region_name region;
    zone_name zone;
    /** For callers, upstreams, metrics and health. */
    socket_address http;
    /** For the other entries, by datagrams. */
    socket_address peer;
    std::vector<socket_address> control;
    std::vector<socket_address> peers;
    http_limits limits;
    /** How long callers may cache a look-up. */
    milliseconds lookup_ttl{2000};
    /** How long an upstream is believed without news. */
    milliseconds upstream_lease{3000};
    /** Whether idempotent requests may go on connections that were used
        before: faster, but an upstream that answers twice can then give a
        caller another one's answer. */
    bool keeps_connections = false;
    /** How long to wait for an upstream to accept a connection. */
    milliseconds connect_timeout{500};
    /** A request that brings no trace is traced once in so many; 0 never. */
    int trace_one_in = 100;
    log_level log = log_level::info;
};

/** Reads an entry daemon's settings; all that is wrong comes at once. */
boost::leaf::result<entry_settings>
parse_entry_settings(ini_document const& document);

} // namespace verbenacove

#endif
