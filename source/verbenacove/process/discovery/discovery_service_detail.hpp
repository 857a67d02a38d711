#ifndef VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_DETAIL_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_DETAIL_HPP

#include "verbenacove/core/event_log.hpp"
#include "verbenacove/process/discovery/discovery_service.hpp"

/** What the parts of discovery_service share and nobody else uses. */
namespace verbenacove::discovery_detail
{

inline event_log const discovery_log{"discovery"};

} // namespace verbenacove::discovery_detail

#endif
