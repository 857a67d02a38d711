#ifndef VERBENACOVE_PROCESS_ROUTING_REOPENED_ZONES_HPP
#define VERBENACOVE_PROCESS_ROUTING_REOPENED_ZONES_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QHash>
#include <QSet>

namespace verbenacove
{

/** Tracks when zones were reopened after an evacuation.

    Upstreams that received no requests during the evacuation may have become
    cold. Their next heartbeat, which would say so, may arrive late or reach
    only other replicas.
*/
class reopened_zones
{
public:
    /** Updates the set of evacuated zones.

        A zone that is no longer in the set counts as reopened at `now`.
    */
    void update(QSet<zone_name> const& evacuated, monotonic_time now);

    /** Returns the time until which the upstreams of a zone are assumed to be
        cold. Returns a time in the past if they are not.

        @param cold_start  the time for which upstreams of the service
                           stay cold after a start
    */
    monotonic_time cold_until(zone_name const& zone,
                              milliseconds cold_start) const;

private:
    QSet<zone_name> evacuated_;
    QHash<zone_name, monotonic_time> reopened_at_;
};

} // namespace verbenacove

#endif
