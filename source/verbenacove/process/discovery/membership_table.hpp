#ifndef VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_TABLE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_TABLE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QHash>
#include <QString>

#include <algorithm>
#include <utility>
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
    /** Incarnation of the process; a later one replaces an earlier one. */
    incarnation started;
    /** Heartbeat number within the incarnation. */
    qint64 sequence = 0;
    member_phase phase = member_phase::starting;
    Content content;
    /** Time of the latest heartbeat, on the local clock. */
    monotonic_time last_heartbeat;
    /** Whether the process is considered failed for lack of heartbeats. */
    bool is_silent = false;
    /** Table revision of the last change that must be propagated. */
    qint64 revision = 0;
    /** Value of the table's counter of direct heartbeats when the latest
        heartbeat was recorded; 0 when that heartbeat was relayed. */
    qint64 direct_heartbeat = 0;
    /** Identifier of the remote membership view that last contained this
        record; 0 when no remote view did. */
    qint64 source = 0;
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

/** Tracks all processes of one kind by their heartbeats.

    Updates may be delayed, duplicated or reordered: an earlier incarnation or
    sequence number never replaces a later one. Each change gets the next
    revision, so that readers can request the changes after the last revision
    they received. The size is bounded; updates about further processes are
    ignored.
*/
template <class Content>
class membership_table
{
public:
    using record = member_record<Content>;

    /** Maximum number of records. */
    static constexpr qsizetype maximum_records = 20000;

    explicit membership_table(membership_timeouts timeouts)
        : timeouts_(timeouts)
    {
    }

    /** Applies an update. Its `revision` and `direct_heartbeat` are ignored,
        since they are set by this table. */
    update_result merge(record update, update_origin origin, monotonic_time now)
    {
        auto const found = records_.find(update.id);
        if (found == records_.end())
        {
            return add(std::move(update), origin);
        }
        auto& known = *found;
        known.source = update.source;
        if (update.started < known.started)
        {
            return update_result::ignored;
        }
        if (known.started < update.started)
        {
            update.direct_heartbeat = 0;
            known = std::move(update);
            return record_change(known, origin);
        }
        return merge_same_incarnation(known, std::move(update), origin, now);
    }

    /** Marks a process as gone; does nothing when it is unknown. */
    update_result mark_gone(QString const& id)
    {
        auto const found = records_.find(id);
        if (found == records_.end() || found->phase == member_phase::gone)
        {
            return update_result::ignored;
        }
        found->phase = member_phase::gone;
        found->revision = ++revision_;
        return update_result::changed;
    }

    /** Marks processes without recent heartbeats as silent, and removes the
        records whose retention period has passed.

        @return the records that became silent
    */
    std::vector<record> expire(monotonic_time now)
    {
        std::vector<record> result;
        for (auto& each : records_)
        {
            bool const is_expired =
                elapsed(each.last_heartbeat, now) > timeouts_.silence_timeout;
            if (is_expired && mark_silent(each))
            {
                result.push_back(each);
            }
        }
        records_.removeIf([this, now](auto const& item)
                          { return is_removable(item.value(), now); });
        return result;
    }

    /** Marks all processes as silent whose last update did not come from this
        source.

        @return the records that became silent
    */
    std::vector<record> mark_silent_all_except(qint64 source)
    {
        std::vector<record> result;
        for (auto& each : records_)
        {
            if (each.source != source && mark_silent(each))
            {
                result.push_back(each);
            }
        }
        return result;
    }

    /** Removes the records for which a predicate is true; readers are not
        told. */
    template <class Predicate>
    void remove_if(Predicate const& predicate)
    {
        records_.removeIf([&predicate](auto const& item)
                          { return predicate(item.value()); });
    }

    /** Returns a record, or null when the process is unknown. */
    record const* find(QString const& id) const
    {
        auto const found = records_.find(id);
        return found == records_.end() ? nullptr : &*found;
    }

    /** Returns the records that changed after a revision, in the order of
        their changes. */
    std::vector<record> changes_since(qint64 revision) const
    {
        std::vector<record> result;
        for (auto const& each : records_)
        {
            if (each.revision > revision)
            {
                result.push_back(each);
            }
        }
        std::sort(result.begin(), result.end(),
                  [](record const& a, record const& b)
                  { return a.revision < b.revision; });
        return result;
    }

    /** Returns the records with a direct heartbeat after the given value of
        the counter of direct heartbeats. */
    std::vector<record> heartbeats_since(qint64 count) const
    {
        std::vector<record> result;
        for (auto const& each : records_)
        {
            if (each.direct_heartbeat > count &&
                each.phase != member_phase::gone)
            {
                result.push_back(each);
            }
        }
        return result;
    }

    QHash<QString, record> const& records() const { return records_; }

    /** Returns the revision of the latest change. */
    qint64 revision() const { return revision_; }

    /** Returns the number of direct heartbeats that were recorded. */
    qint64 direct_heartbeats() const { return direct_heartbeats_; }

private:
    update_result add(record update, update_origin origin)
    {
        if (records_.size() >= maximum_records)
        {
            return update_result::ignored;
        }
        update.direct_heartbeat = 0;
        auto& added = *records_.insert(update.id, std::move(update));
        return record_change(added, origin);
    }

    update_result merge_same_incarnation(record& known, record update,
                                         update_origin origin,
                                         monotonic_time now)
    {
        bool const is_authoritative = origin == update_origin::authoritative;
        bool const is_later = update.sequence > known.sequence;
        bool const has_advanced = update.phase > known.phase;
        bool const is_silence_changed =
            is_authoritative && update.is_silent != known.is_silent;
        if (known.phase == member_phase::gone ||
            (!is_later && !has_advanced && !is_silence_changed))
        {
            return update_result::ignored;
        }
        bool const is_changed =
            has_advanced || is_silence_changed ||
            (is_later && !known.content.is_equivalent(update.content)) ||
            (is_later && !is_authoritative && known.is_silent);
        if (is_later)
        {
            known.content = std::move(update.content);
            known.sequence = update.sequence;
            known.last_heartbeat = std::max(
                known.last_heartbeat, std::min(update.last_heartbeat, now));
            known.is_silent = false;
            known.direct_heartbeat =
                origin == update_origin::direct ? ++direct_heartbeats_ : 0;
        }
        known.phase = std::max(known.phase, update.phase);
        known.is_silent = is_authoritative ? update.is_silent : known.is_silent;
        known.revision = is_changed ? ++revision_ : known.revision;
        return is_changed ? update_result::changed : update_result::refreshed;
    }

    update_result record_change(record& changed, update_origin origin)
    {
        if (origin != update_origin::authoritative)
        {
            changed.is_silent = false;
        }
        changed.direct_heartbeat =
            origin == update_origin::direct ? ++direct_heartbeats_ : 0;
        changed.revision = ++revision_;
        return update_result::changed;
    }

    bool mark_silent(record& changed)
    {
        if (changed.is_silent || changed.phase == member_phase::gone)
        {
            return false;
        }
        changed.is_silent = true;
        changed.revision = ++revision_;
        return true;
    }

    bool is_removable(record const& item, monotonic_time now) const
    {
        bool const is_silent_or_gone =
            item.is_silent || item.phase == member_phase::gone;
        return is_silent_or_gone &&
               elapsed(item.last_heartbeat, now) > timeouts_.retention_period;
    }

    membership_timeouts timeouts_;
    QHash<QString, record> records_;
    qint64 revision_ = 0;
    qint64 direct_heartbeats_ = 0;
};

} // namespace verbenacove

#endif
