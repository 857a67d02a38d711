#ifndef VERBENACOVE_PROCESS_CONTROL_SETTINGS_HPP
#define VERBENACOVE_PROCESS_CONTROL_SETTINGS_HPP

#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/ini_document.hpp"
#include "verbenacove/core/log.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/process/raft_node.hpp"

#include <vector>

namespace verbenacove
{

/** Where one control replica is to be reached, as settings say. */
struct replica_address
{
    QString name;
    socket_address address;
};

/** The settings of a control daemon. */
struct control_settings
{
    QString name;
    region_name region;
    zone_name zone;
    QString data_folder;
    /** For the other replicas and the entries. */
    socket_address listen;
    /** For operators. */
    socket_address operators;
    /** For metrics and health. */
    socket_address http;
    std::vector<replica_address> replicas;
    raft_settings raft;
    log_level log = log_level::info;
};

/** Reads a control daemon's settings; all that is wrong comes at once. */
boost::leaf::result<control_settings>
parse_control_settings(ini_document const& document);

} // namespace verbenacove

#endif
