#ifndef VERBENACOVE_PROCESS_ROUTING_REOPENED_ZONES_HPP
#define VERBENACOVE_PROCESS_ROUTING_REOPENED_ZONES_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QHash>
#include <QSet>

namespace verbenacove
{

/** Remembers since when zones may be used again after an evacuation.

    Upstreams that got no requests for a while may have become cold, and their
    next heartbeat may come late or reach other replicas only.
*/
class reopened_zones
{
public:
    /** Takes in which zones are evacuated now. */
    void update(QSet<zone_name> const& evacuated, monotonic_time now);

    /** Returns until when an upstream of a zone must be taken for cold; a
        time in the past when it need not.

        @param cold_start  how long the service's upstreams are cold
    */
    monotonic_time cold_until(zone_name const& zone,
                              milliseconds cold_start) const;

private:
    QSet<zone_name> evacuated_;
    QHash<zone_name, monotonic_time> reopened_;
};

} // namespace verbenacove

#endif
