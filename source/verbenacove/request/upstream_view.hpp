#ifndef VERBENACOVE_REQUEST_UPSTREAM_VIEW_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_VIEW_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

/** The state that an upstream reports. */
enum class upstream_state
{
    starting,
    serving,
    draining
};

/** The last report of an upstream, as an entry received it. */
struct upstream_view
{
    upstream_id id;
    service_name service;
    socket_address address;
    region_name region;
    zone_name zone;
    /** The number of requests that it can run concurrently. */
    slot_count slots;
    /** The maximum number of connections that it accepts. */
    int connections = 0;
    /** The reported share of its slots in use, 0 to 1. */
    double load = 0;
    /** The time of the report, on the entry's clock. */
    monotonic_time reported_at;
    upstream_state state = upstream_state::starting;
    /** The number of starts of the upstream, including the current one. */
    verbenacove::incarnation incarnation;
    /** The time of the first report of this incarnation, from which on its
        usable share of slots is ramped up. */
    monotonic_time first_seen;
};

/** Returns the number of slots of an upstream, at least 1 even if it reports
    less. */
inline int slots_of(upstream_view const& view)
{
    return std::max(1, view.slots.value());
}

/** Returns the load of an upstream, clamped to 0 to 1; 1 if the reported value
    is not finite. */
inline double load_of(upstream_view const& view)
{
    return std::isfinite(view.load) ? std::clamp(view.load, 0.0, 1.0) : 1.0;
}

} // namespace verbenacove

#endif
