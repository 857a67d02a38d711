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
/** The same while an upstream has turned cold. */
constexpr milliseconds expedited_interval{20};
/** Minimum interval between the responses with changes to another replica. Each
    replica reads each other one, so the number of responses grows with the
    square of the number of replicas. Departures do not wait for it: they are
    sent to the voting replicas at once. */
constexpr milliseconds replica_update_interval{300};

} // namespace verbenacove::discovery_detail

#endif
