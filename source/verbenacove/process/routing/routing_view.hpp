#ifndef VERBENACOVE_PROCESS_ROUTING_ROUTING_VIEW_HPP
#define VERBENACOVE_PROCESS_ROUTING_ROUTING_VIEW_HPP

#include "verbenacove/request/upstream_pool.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <QHash>

#include <memory>
#include <vector>

namespace verbenacove
{

/** What the traffic thread of a routing entry needs of the control thread, at
    one moment; it never changes once it is published. */
struct routing_view
{
    /** Null before the first routes are known. */
    route_configuration_ptr routes;
    /** The upstreams of each service that may get requests. */
    QHash<service_name, std::vector<pool_member>> members;
    /** The entries that share the limits, this one included. */
    int live_entries = 1;
    /** Those of the own region, this one included. */
    int region_entries = 1;
    /** Whether callers may be sent here. */
    bool is_ready = false;
};

/** Shares a view among threads. */
using routing_view_ptr = std::shared_ptr<routing_view const>;

} // namespace verbenacove

#endif
