#ifndef VERBENACOVE_PROCESS_ROUTING_ROUTING_VIEW_HPP
#define VERBENACOVE_PROCESS_ROUTING_ROUTING_VIEW_HPP

#include "verbenacove/request/lookup_ranking.hpp"
#include "verbenacove/request/upstream_pool.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <QHash>

#include <memory>
#include <vector>

namespace verbenacove
{

/** An immutable snapshot of the control state of a routing entry.

    The control thread publishes it to the traffic thread.
*/
struct routing_view
{
    /** The current routes. Null until the first routes are received. */
    route_configuration_ptr routes;
    /** The revision of these routes; -1 if there are none. */
    qint64 routes_revision = -1;
    /** The upstreams that may receive requests, by service. */
    QHash<service_name, std::vector<pool_member>> members;
    /** The number of entries that are serving and not silent, including this
        one. They share the configured limits. At least 1. */
    int live_entries = 1;
    /** The number of those entries that are in the local region. At
        least 1. */
    int region_entries = 1;
    /** Entries that requests are relayed to while this entry reaches no
        upstream. */
    std::vector<entry_view> relays;
    /** Some entries of each other region, for requests that may be served
        there only. */
    std::vector<entry_view> remote_relays;
    /** Whether this entry accepts callers. */
    bool is_ready = false;
    /** The time at which the control thread published the view. */
    monotonic_time published_at{};
};

/** A reference to a view that can be shared between threads. */
using routing_view_ptr = std::shared_ptr<routing_view const>;

} // namespace verbenacove

#endif
