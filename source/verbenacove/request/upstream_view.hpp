#ifndef VERBENACOVE_REQUEST_UPSTREAM_VIEW_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_VIEW_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

/** What an upstream says of itself. */
enum class upstream_state
{
    starting,
    serving,
    draining
};

/** What an entry knows of one upstream, from the upstream's announcements. */
struct upstream_view
{
    upstream_id id;
    service_name service;
    socket_address address;
    region_name region;
    zone_name zone;
    /** The requests that it can run at the same time. */
    slot_count slots;
    /** The connections that it accepts. */
    int connections = 0;
    /** The share of its slots in use, 0 to 1, as it reports itself. */
    double load = 0;
    /** When the report was made, on the entry's own clock. */
    monotonic_time reported_at;
    upstream_state state = upstream_state::starting;
    /** Counts its starts. */
    verbenacove::incarnation incarnation;
    /** When this incarnation was first heard of; its ramp starts here. */
    monotonic_time first_seen;
};

/** Returns the slots of an upstream, at least 1 whatever it announced. */
inline int slots_of(upstream_view const& view)
{
    return std::max(1, view.slots.value());
}

/** Returns the load of an upstream, 0 to 1 whatever it announced. */
inline double load_of(upstream_view const& view)
{
    return std::isfinite(view.load) ? std::clamp(view.load, 0.0, 1.0) : 1.0;
}

} // namespace verbenacove

#endif
