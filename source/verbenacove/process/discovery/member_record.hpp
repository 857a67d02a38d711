#ifndef VERBENACOVE_PROCESS_DISCOVERY_MEMBER_RECORD_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_MEMBER_RECORD_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QString>

#include <optional>
#include <vector>

namespace verbenacove
{

/** Lifecycle phase of a process. Within one incarnation it only moves
    forward. */
enum class member_phase
{
    starting,
    serving,
    draining,
    gone
};

/** Holds the latest known state of a process that sends heartbeats.

    @tparam Content  attributes that the process reports about itself; must
                     provide `is_equivalent`
*/
template <class Content>
struct member_record
{
    QString id;
    /** Place of this start among those of the process: a higher one replaces a
        lower one. What the process says of its start, unless that is not above
        the place of an earlier start. */
    incarnation started;
    /** What the process says of its start where that differs from its place. */
    std::optional<incarnation> born;
    /** What earlier starts that were seen here said of theirs, the latest one
        last. */
    std::vector<incarnation> former;
    /** Heartbeat number within the incarnation. */
    qint64 sequence = 0;
    member_phase phase = member_phase::starting;
    Content content;
    /** Time of the latest heartbeat, or of the departure, on the local clock.
     */
    monotonic_time last_heartbeat;
    /** Time since which this incarnation is known here. */
    monotonic_time known_since;
    /** True for the departure of a process whose incarnation the replica that
        acknowledged it did not know: the one that ran at `last_heartbeat` has
        left, and `started` is an estimate by that replica's clock. */
    bool is_of_unknown_start = false;
    /** Whether the process is considered failed for lack of heartbeats. */
    bool is_silent = false;
    /** Table revision of the last change that must be propagated. */
    qint64 revision = 0;
    /** Value of the table's counter of direct heartbeats when the latest
        heartbeat was recorded; 0 when that heartbeat was relayed. */
    qint64 direct_heartbeat = 0;
    /** Value of that counter when the process began to send its heartbeats
        here; 0 while it sends them to another replica. */
    qint64 direct_since = 0;
    /** Name of the other replica that received the last heartbeat, or the
        departure, of the process; empty when this one did, or when none is
        known to have. */
    QString receiver;
    /** Identifier of the remote membership view that last contained this
        record; 0 when no remote view did. */
    qint64 source = 0;

    /** Returns what the process says of its start; the same for each of its
        heartbeats. */
    incarnation own_start() const { return born.value_or(started); }
};

/** Effect of an update on a membership_table. */
enum class update_result
{
    /** The update was outdated, or the process has ended. */
    ignored,
    /** The process is alive; nothing else changed. */
    refreshed,
    /** The record changed and must be propagated. */
    changed
};

/** Origin of an update. */
enum class update_origin
{
    /** Received from the process itself. */
    direct,
    /** Relayed by a peer that received it from the process. */
    relayed,
    /** Relayed for the replica that receives the heartbeats of the process,
        whose failure detector decides whether it is silent. */
    delegated,
    /** Sent by a peer whose failure detector also decides whether the process
        is silent. */
    authoritative
};

/** Timeouts of a membership_table. */
struct membership_timeouts
{
    /** Time without a heartbeat after which a process is considered silent. */
    milliseconds silence_timeout{5000};
    /** Retention period of the record of a process that is gone or silent, so
        that a late heartbeat of it is recognised as outdated. */
    milliseconds retention_period{120000};
};

} // namespace verbenacove

#endif
