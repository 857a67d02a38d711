#include "verbenacove/process/discovery/membership_view.hpp"

#include "verbenacove/process/discovery/membership_view_detail.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

using namespace membership_detail;

namespace
{

/** Difference that delays of messages make to the time of a departure or a
    heartbeat. */
constexpr milliseconds age_tolerance{500};

/** Time in which two departures of one id are the same one: an upstream serves
    on after its departure, and ends before it starts again. */
constexpr milliseconds departure_duration{3000};

/** Time after a departure before which its id cannot have started again. */
constexpr milliseconds earliest_restart{2000};

/** Time after a departure from which a heartbeat is not a delayed one. */
constexpr milliseconds latest_heartbeat{10000};

} // namespace

update_result membership_view::mark_upstream_gone(upstream_id const& id,
                                                  QString receiver)
{
    return record_departure(id.value(), std::move(receiver), clock_.now());
}

update_result membership_view::record_departure(QString const& id,
                                                QString receiver,
                                                monotonic_time when)
{
    displaced_.remove(id);
    return handle_upstream_result(
        id, upstreams_.record_departure(id, std::move(receiver), when));
}

update_result membership_view::apply_bare_departure(upstream_member update,
                                                    update_origin origin)
{
    auto const id = update.id;
    displaced_.remove(id);
    auto const* known = upstreams_.find(id);
    if (known == nullptr)
    {
        return handle_upstream_result(
            id, upstreams_.merge(std::move(update), origin, clock_.now()));
    }
    if (known->phase != member_phase::gone)
    {
        return concerns(update, *known)
                   ? record_departure(id, update.receiver,
                                      update.last_heartbeat)
                   : update_result::ignored;
    }
    bool const is_replacement =
        update.is_of_unknown_start || known->is_of_unknown_start
            ? replaces_departure(update, *known)
            : known->started < update.started;
    if (!is_replacement)
    {
        return update_result::ignored;
    }
    if (update.is_of_unknown_start)
    {
        update.started = std::max(update.started, known->started);
    }
    return handle_upstream_result(
        id, upstreams_.replace(std::move(update), origin, clock_.now()));
}

// A departure of an unknown start is that of the one that was known at its
// time. Clocks of replicas and upstreams differ, so that an estimate of the
// start would spare it, or end one that came later.
bool membership_view::concerns(upstream_member const& departure,
                               upstream_member const& known)
{
    return departure.is_of_unknown_start
               ? known.known_since <= departure.last_heartbeat + age_tolerance
               : known.started <= departure.started;
}

// One of the two is of an unknown start. The other may be of the same departure
// and tell which start it was.
bool membership_view::replaces_departure(upstream_member const& update,
                                         upstream_member const& known)
{
    return update.is_of_unknown_start
               ? update.last_heartbeat >
                     known.last_heartbeat + departure_duration
               : update.last_heartbeat + departure_duration >=
                     known.last_heartbeat;
}

// The known record is a departure of an unknown start.
update_result membership_view::apply_after_departure(upstream_member update,
                                                     update_origin origin)
{
    auto const id = update.id;
    auto const& known = *upstreams_.find(id);
    auto const now = clock_.now();
    auto const since = elapsed(known.last_heartbeat, now);
    bool const is_gone = update.phase == member_phase::gone;
    bool const is_departed_start =
        !is_gone &&
        update.last_heartbeat <= known.last_heartbeat + age_tolerance;
    bool const is_new_start =
        !is_gone && since >= earliest_restart &&
        (known.started < update.started || since >= latest_heartbeat);
    if (is_departed_start)
    {
        update.phase = member_phase::gone;
        update.last_heartbeat = known.last_heartbeat;
        update.receiver = known.receiver;
    }
    bool const is_replacement = is_departed_start || is_new_start ||
                                (is_gone && replaces_departure(update, known));
    return is_replacement
               ? handle_upstream_result(
                     id, upstreams_.replace(std::move(update), origin, now))
               : update_result::ignored;
}

bool membership_view::holds(upstream_member const& said) const
{
    auto const* known = upstreams_.find(said.id);
    if (known == nullptr)
    {
        return false;
    }
    if (known->phase == member_phase::gone)
    {
        return said.phase > member_phase::serving;
    }
    return known->own_start() == said.own_start() &&
           known->sequence >= said.sequence && known->phase >= said.phase;
}

} // namespace verbenacove
