#ifndef VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_DETAIL_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_DETAIL_HPP

#include "verbenacove/core/event_log.hpp"
#include "verbenacove/process/discovery/discovery_service.hpp"

/** What the parts of discovery_service share and nobody else uses. */
namespace verbenacove::discovery_detail
{

inline event_log const discovery_log{"discovery"};

/** Maximum time for which a response is delayed while there are no updates
    (long polling). */
constexpr milliseconds maximum_hold{1000};
/** Delay of responses with routes or other urgent updates. */
constexpr milliseconds urgent_delay{5};
/** Minimum interval between responses that carry changes of the membership
    view or crashes; bounds their number however many changes there are. */
constexpr milliseconds update_interval{100};

} // namespace verbenacove::discovery_detail

#endif
