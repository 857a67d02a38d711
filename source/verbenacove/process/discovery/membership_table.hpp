#ifndef VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_TABLE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_TABLE_HPP

#include "verbenacove/process/discovery/member_record.hpp"

#include <QHash>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace verbenacove
{

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

    /** Applies an update. Its `revision`, `direct_heartbeat` and
        `direct_since` are ignored, since they are set by this table. */
    update_result merge(record update, update_origin origin, monotonic_time now)
    {
        auto const found = records_.find(update.id);
        if (found == records_.end())
        {
            update.known_since = now;
            return add(std::move(update), origin);
        }
        auto& known = *found;
        known.source = update.source;
        if (known.own_start() == update.own_start())
        {
            // Two replicas may have given it different places.
            known.started = std::max(known.started, update.started);
            return merge_same_incarnation(known, std::move(update), origin,
                                          now);
        }
        if (std::pair(update.started, update.own_start()) <
            std::pair(known.started, known.own_start()))
        {
            return update_result::ignored;
        }
        return replace(std::move(update), origin, now);
    }

    /** Replaces the record of an id, whichever started later. */
    update_result replace(record update, update_origin origin,
                          monotonic_time now)
    {
        update.known_since = now;
        auto const found = records_.find(update.id);
        if (found == records_.end())
        {
            return add(std::move(update), origin);
        }
        update.revision = found->revision;
        update.former = starts_before(*found, update);
        *found = std::move(update);
        return record_change(*found, origin);
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
        set_revision(*found);
        return update_result::changed;
    }

    /** Marks a process that has said that it has left as gone; does nothing
        when it is unknown.

        @param receiver  the replica that it has told; empty for this one
        @param when      the time of its departure
    */
    update_result record_departure(QString const& id, QString receiver,
                                   monotonic_time when)
    {
        auto const result = mark_gone(id);
        if (result == update_result::changed)
        {
            auto& departed = records_[id];
            departed.last_heartbeat = std::max(departed.last_heartbeat, when);
            departed.receiver = std::move(receiver);
            delegated_revision_ = concerns_delegating_readers(departed)
                                      ? departed.revision
                                      : delegated_revision_;
        }
        return result;
    }

    /** Marks processes without recent heartbeats as silent, and removes the
        records whose retention period has passed.

        @param last_contact  returns the time of the last contact with the
                             receiver of a record's heartbeats, which stands for
                             a heartbeat
        @return the records that became silent
    */
    template <class LastContact>
    std::vector<record> expire(monotonic_time now,
                               LastContact const& last_contact)
    {
        std::vector<record> result;
        for (auto& each : records_)
        {
            bool const is_heard_by_other = !each.is_silent &&
                                           each.phase != member_phase::gone &&
                                           !each.receiver.isEmpty();
            if (is_heard_by_other)
            {
                each.last_heartbeat =
                    std::max(each.last_heartbeat, last_contact(each));
            }
            bool const is_expired =
                elapsed(each.last_heartbeat, now) > timeouts_.silence_timeout;
            if (is_expired && mark_silent(each))
            {
                result.push_back(each);
            }
        }
        remove_if([this, now](record const& each)
                  { return is_removable(each, now); });
        note_revision(now);
        return result;
    }

    std::vector<record> expire(monotonic_time now)
    {
        return expire(now, [](record const&) { return monotonic_time{}; });
    }

    /** Forgets that a replica receives the heartbeats of processes: it has
        restarted. They count as heard of at the given time. Recent departures
        are passed on from here, as it may not have told all readers. */
    void remove_receiver(QString const& receiver, monotonic_time last_contact)
    {
        auto const recent = recent_revision();
        for (auto& each : records_)
        {
            if (each.receiver != receiver)
            {
                continue;
            }
            each.receiver.clear();
            each.last_heartbeat = std::max(each.last_heartbeat, last_contact);
            if (is_departure(each) && each.revision > recent)
            {
                set_revision(each);
            }
        }
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
        records_.removeIf(
            [this, &predicate](auto const& item)
            {
                bool const is_removed = predicate(item.value());
                if (is_removed)
                {
                    ids_by_revision_.erase(item.value().revision);
                }
                return is_removed;
            });
    }

    /** Returns a record, or null when the process is unknown. */
    record const* find(QString const& id) const
    {
        auto const found = records_.find(id);
        return found == records_.end() ? nullptr : &*found;
    }

    /** Returns the records for which a predicate is true, in the order of
        their changes. */
    template <class Predicate>
    std::vector<record> select(Predicate const& predicate) const
    {
        std::vector<record> result;
        for (auto const& each : records_)
        {
            if (predicate(each))
            {
                result.push_back(each);
            }
        }
        std::sort(result.begin(), result.end(),
                  [](record const& a, record const& b)
                  { return a.revision < b.revision; });
        return result;
    }

    /** Returns the same of the records that have changed since a revision; the
        cost grows with their number, not with that of all records. */
    template <class Predicate>
    std::vector<record> select_since(qint64 revision,
                                     Predicate const& predicate) const
    {
        std::vector<record> result;
        for (auto item = ids_by_revision_.upper_bound(revision);
             item != ids_by_revision_.end(); ++item)
        {
            auto const& each = *records_.constFind(item->second);
            if (predicate(each))
            {
                result.push_back(each);
            }
        }
        return result;
    }

    QHash<QString, record> const& records() const { return records_; }

    /** Returns the revision of the latest change. */
    qint64 revision() const { return revision_; }

    /** Returns the revision of the latest change that readers which delegate
        need when they have contact with all replicas.
        @see concerns_delegating_readers */
    qint64 delegated_revision() const { return delegated_revision_; }

    /** Returns whether readers that have contact with the receivers of all
        heartbeats need a record from this table: its heartbeats, or its
        departure, are received here. */
    static bool concerns_delegating_readers(record const& each)
    {
        return each.receiver.isEmpty();
    }

    /** Returns whether a process is leaving or has left. */
    static bool is_departure(record const& each)
    {
        return each.phase > member_phase::serving;
    }

    /** Returns the revision of the latest change of a process that is leaving
        or has left. */
    qint64 departure_revision() const { return departure_revision_; }

    /** Returns the revision before the changes of the last `recent_period`. */
    qint64 recent_revision() const
    {
        return revisions_.empty() ? 0 : revisions_.front().revision;
    }

    /** Time for which a departure counts as recent: longer than readers need
        to find that its receiver is lost. */
    static constexpr milliseconds recent_period{10000};

    /** Returns the number of direct heartbeats that were recorded. */
    qint64 direct_heartbeats() const { return direct_heartbeats_; }

    /** Returns that number when a process last began to send its heartbeats
        here. */
    qint64 last_direct_since() const { return last_direct_since_; }

private:
    /** Maximum number of earlier starts of one process that are remembered. */
    static constexpr std::size_t maximum_former = 4;

    static std::vector<incarnation> starts_before(record const& known,
                                                  record const& update)
    {
        auto result = known.former;
        result.push_back(known.own_start());
        std::erase(result, update.own_start());
        if (result.size() > maximum_former)
        {
            result.erase(result.begin());
        }
        return result;
    }

    update_result add(record update, update_origin origin)
    {
        if (records_.size() >= maximum_records)
        {
            return update_result::ignored;
        }
        update.revision = 0;
        auto& added = *records_.insert(update.id, std::move(update));
        return record_change(added, origin);
    }

    update_result merge_same_incarnation(record& known, record update,
                                         update_origin origin,
                                         monotonic_time now)
    {
        bool const is_later = update.sequence > known.sequence;
        bool const has_advanced = update.phase > known.phase;
        bool const is_silence_changed =
            decides_silence(known, update, origin) &&
            update.is_silent != known.is_silent;
        if (known.phase == member_phase::gone ||
            (!is_later && !has_advanced && !is_silence_changed))
        {
            return update_result::ignored;
        }
        bool const is_silent = decides_silence(known, update, origin)
                                   ? update.is_silent
                                   : known.is_silent && !is_later;
        // Readers have not heard of it from here.
        bool const is_departure_taken_over = origin == update_origin::direct &&
                                             is_departure(known) &&
                                             !known.receiver.isEmpty();
        bool const is_changed =
            has_advanced || is_silent != known.is_silent ||
            is_departure_taken_over ||
            (is_later && !known.content.is_equivalent(update.content));
        if (is_later)
        {
            known.content = std::move(update.content);
            known.sequence = update.sequence;
            known.last_heartbeat = std::max(
                known.last_heartbeat, std::min(update.last_heartbeat, now));
        }
        if (is_later || has_advanced)
        {
            set_receiver(known, std::move(update.receiver), origin);
        }
        known.phase = std::max(known.phase, update.phase);
        known.is_silent = is_silent;
        if (is_changed)
        {
            set_revision(known);
        }
        return is_changed ? update_result::changed : update_result::refreshed;
    }

    // The word of the receiver of the heartbeats counts unless a later
    // heartbeat is known.
    static bool decides_silence(record const& known, record const& update,
                                update_origin origin)
    {
        bool const is_of_receiver =
            update.sequence > known.sequence ||
            (update.sequence == known.sequence && !known.receiver.isEmpty() &&
             known.receiver == update.receiver);
        return origin == update_origin::authoritative ||
               (origin == update_origin::delegated && is_of_receiver);
    }

    void set_receiver(record& changed, QString receiver, update_origin origin)
    {
        if (origin == update_origin::direct)
        {
            changed.direct_heartbeat = ++direct_heartbeats_;
            if (changed.direct_since == 0)
            {
                changed.direct_since = changed.direct_heartbeat;
                last_direct_since_ = changed.direct_since;
            }
            changed.receiver.clear();
            return;
        }
        changed.direct_heartbeat = 0;
        changed.direct_since = 0;
        if (!receiver.isEmpty())
        {
            changed.receiver = std::move(receiver);
        }
    }

    void set_revision(record& changed)
    {
        ids_by_revision_.erase(changed.revision);
        changed.revision = ++revision_;
        ids_by_revision_.emplace(changed.revision, changed.id);
        if (concerns_delegating_readers(changed))
        {
            delegated_revision_ = revision_;
        }
        if (is_departure(changed))
        {
            departure_revision_ = revision_;
        }
    }

    void note_revision(monotonic_time now)
    {
        if (revisions_.empty() ||
            elapsed(revisions_.back().at, now) >= revision_interval)
        {
            revisions_.push_back({now, revision_});
        }
        while (revisions_.size() > 1 &&
               elapsed(revisions_[1].at, now) >= recent_period)
        {
            revisions_.pop_front();
        }
    }

    update_result record_change(record& changed, update_origin origin)
    {
        if (origin == update_origin::direct || origin == update_origin::relayed)
        {
            changed.is_silent = false;
        }
        changed.direct_since = 0;
        set_receiver(changed, changed.receiver, origin);
        set_revision(changed);
        return update_result::changed;
    }

    bool mark_silent(record& changed)
    {
        if (changed.is_silent || changed.phase == member_phase::gone)
        {
            return false;
        }
        changed.is_silent = true;
        set_revision(changed);
        return true;
    }

    bool is_removable(record const& item, monotonic_time now) const
    {
        bool const is_silent_or_gone =
            item.is_silent || item.phase == member_phase::gone;
        return is_silent_or_gone &&
               elapsed(item.last_heartbeat, now) > timeouts_.retention_period;
    }

    /** The revision that was the latest one at a time. */
    struct noted_revision
    {
        monotonic_time at;
        qint64 revision = 0;
    };

    static constexpr milliseconds revision_interval{1000};

    membership_timeouts timeouts_;
    QHash<QString, record> records_;
    /** The ids of all records, by the revision of their last change. */
    std::map<qint64, QString> ids_by_revision_;
    qint64 revision_ = 0;
    qint64 delegated_revision_ = 0;
    qint64 departure_revision_ = 0;
    /** One for each second of the recent period. */
    std::deque<noted_revision> revisions_;
    qint64 direct_heartbeats_ = 0;
    qint64 last_direct_since_ = 0;
};

} // namespace verbenacove

#endif
