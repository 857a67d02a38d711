#ifndef VERBENACOVE_PROCESS_DISCOVERY_REPLICA_LINK_DETAIL_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_REPLICA_LINK_DETAIL_HPP

#include "verbenacove/core/event_log.hpp"
#include "verbenacove/process/discovery/replica_link.hpp"

/** What the parts of replica_link share and nobody else uses. */
namespace verbenacove::replica_link_detail
{

inline event_log const link_log{"link"};

constexpr milliseconds tick_interval{100};

} // namespace verbenacove::replica_link_detail

#endif
