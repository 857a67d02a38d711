#include "verbenacove/process/discovery/membership_view.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/discovery/membership_delta.hpp"
#include "verbenacove/process/discovery/membership_view_detail.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace verbenacove
{

using namespace membership_detail;

namespace
{

/** Upstreams send a heartbeat every 1.5 s and may need two attempts for one. */
constexpr membership_timeouts upstream_timeouts{milliseconds(5500),
                                                milliseconds(180000)};
/** Entries and replicas request updates at least once per second. */
constexpr membership_timeouts process_timeouts{milliseconds(3000),
                                               milliseconds(60000)};
/** Silence is detected only by the view whose failure detector decides; the
    timeout of one year disables detection in the other views. */
constexpr membership_timeouts remote_detection_timeouts{
    milliseconds(std::chrono::hours(24 * 365)), milliseconds(180000)};
/** Time after which the rate limit of an upstream that is not known, or of an
    earlier incarnation, is removed. */
constexpr milliseconds rate_limit_retention{60000};
/** Time since the first delta of a newly read remote view after which the
    records that it has not contained are marked as silent: that view does not
    track them. */
constexpr milliseconds source_settling_time{8000};

membership_timeouts timeouts_for(failure_detector detector,
                                 membership_timeouts own)
{
    return detector == failure_detector::self ? own : remote_detection_timeouts;
}

/** Maximum number of replicas whose latest contact is kept. */
constexpr qsizetype maximum_contacts = 256;

} // namespace

membership_view::membership_view(qint64 view_id, failure_detector detector,
                                 clock_source const& clock, listener calls)
    : view_id_(view_id)
    , detector_(detector)
    , clock_(clock)
    , calls_(std::move(calls))
    , upstreams_(timeouts_for(detector, upstream_timeouts))
    , entries_(timeouts_for(detector, process_timeouts))
    , replicas_(timeouts_for(detector, process_timeouts))
    , rate_limits_(remote_detection_timeouts)
{
}

update_result membership_view::apply_heartbeat(upstream_member update)
{
    return apply_upstream(std::move(update), update_origin::direct);
}

update_result membership_view::apply_relayed(upstream_member update)
{
    return apply_upstream(std::move(update), update_origin::relayed);
}

update_result membership_view::apply_upstream(upstream_member update,
                                              update_origin origin)
{
    if (is_bare_departure(update))
    {
        return apply_bare_departure(std::move(update), origin);
    }
    if (is_foreign(update))
    {
        keep_displaced(std::move(update));
        return update_result::ignored;
    }
    auto const id = update.id;
    auto const* known = upstreams_.find(id);
    // Which of two services will be named is not known before the first
    // configuration.
    bool const is_undecided = !named_services_ && known != nullptr &&
                              known->content.service != update.content.service;
    bool const needs_place = origin == update_origin::direct && !is_undecided &&
                             !replaces_foreign(update) &&
                             !(known != nullptr && known->is_of_unknown_start);
    bool const is_placed = !needs_place || place_start(upstreams_, update);
    bool const holds_address = is_named(update.content.service);
    if (!is_placed || (holds_address && !mark_replaced_gone(update, origin)))
    {
        return update_result::ignored;
    }
    known = upstreams_.find(id);
    if (known != nullptr && known->is_of_unknown_start)
    {
        return apply_after_departure(std::move(update), origin);
    }
    bool const is_replacement = replaces_foreign(update);
    if (is_replacement || is_undecided)
    {
        bool const is_older = update.started < known->started;
        keep_displaced(is_older && !is_replacement ? update : *known);
    }
    bool const was_warm = concerns_warm(update);
    auto const change =
        is_replacement
            ? upstreams_.replace(std::move(update), origin, clock_.now())
            : upstreams_.merge(std::move(update), origin, clock_.now());
    known = upstreams_.find(id);
    if (was_warm && change == update_result::changed &&
        known->content.is_cold(clock_.now()))
    {
        calls_.cooled(*known);
    }
    return handle_upstream_result(id, change);
}

bool membership_view::concerns_warm(upstream_member const& update) const
{
    auto const* known = upstreams_.find(update.id);
    return known != nullptr && known->own_start() == update.own_start() &&
           known->phase == member_phase::serving &&
           !known->content.is_cold(clock_.now());
}

update_result membership_view::handle_upstream_result(QString const& id,
                                                      update_result change)
{
    if (change == update_result::ignored)
    {
        return change;
    }
    auto const& record = *upstreams_.find(id);
    // Also without a change: the service may have been named since.
    if (is_named(record.content.service) && record.phase != member_phase::gone)
    {
        address_holders_.insert(record.content.address, id);
    }
    if (change == update_result::changed)
    {
        calls_.upstream(record);
    }
    return change;
}

// A process whose heartbeats another replica receives counts as heard of until
// that one says that it is silent.
template <class Content>
monotonic_time
membership_view::last_heard(member_record<Content> const& known) const
{
    bool const is_heard_by_other = !known.receiver.isEmpty() &&
                                   !known.is_silent &&
                                   known.phase != member_phase::gone;
    return is_heard_by_other ? clock_.now() : known.last_heartbeat;
}

template <class Content>
bool membership_view::place_start(membership_table<Content> const& table,
                                  member_record<Content>& update)
{
    auto const* known = table.find(update.id);
    if (known == nullptr || known->started < update.started)
    {
        return true;
    }
    auto const start = update.own_start();
    if (known->own_start() != start)
    {
        bool const has_replaced =
            std::find(known->former.begin(), known->former.end(), start) !=
            known->former.end();
        if (!starts_.takes_over(update.id, start, update.sequence,
                                {has_replaced,
                                 known->phase > member_phase::serving,
                                 !known->content.is_same_place(update.content),
                                 last_heard(*known)},
                                clock_.now()))
        {
            return false;
        }
        update.started = incarnation(known->started.value() + 1);
        update.born = start;
        return true;
    }
    update.started = known->started;
    update.born = known->born;
    return true;
}

// An address belongs to one process at a time, so a process with a later start
// has replaced the earlier one, which is marked as gone. Returns false when the
// update itself comes from the earlier one, or may.
bool membership_view::mark_replaced_gone(upstream_member const& update,
                                         update_origin origin)
{
    auto const* holder =
        upstreams_.find(address_holders_.value(update.content.address));
    bool const is_other = holder != nullptr && holder->id != update.id &&
                          holder->phase != member_phase::gone &&
                          is_named(holder->content.service) &&
                          holder->content.address == update.content.address;
    bool const is_doubted = is_other && holder->started > update.started;
    bool const is_later =
        !is_doubted ||
        (origin == update_origin::direct &&
         (holder->is_silent ||
          starts_.takes_over(update.content.address.text(), update.own_start(),
                             update.sequence,
                             {false, false, true, last_heard(*holder)},
                             clock_.now())));
    if (!is_later)
    {
        return false;
    }
    if (is_other && update.phase != member_phase::gone)
    {
        mark_upstream_gone(upstream_id(holder->id), holder->receiver);
    }
    return true;
}

bool membership_view::is_named(service_name const& service) const
{
    return !named_services_ || named_services_->contains(service);
}

update_result membership_view::apply_rate_limit(rate_limit_record update)
{
    auto const id = update.id;
    auto const change = rate_limits_.merge(
        std::move(update), update_origin::relayed, clock_.now());
    if (change == update_result::changed)
    {
        calls_.rate_limit(*rate_limits_.find(id));
    }
    return change;
}

update_result membership_view::apply_heartbeat(entry_member update)
{
    auto const id = update.id;
    if (!place_start(entries_, update))
    {
        return update_result::ignored;
    }
    auto const change =
        entries_.merge(std::move(update), update_origin::direct, clock_.now());
    if (change == update_result::changed)
    {
        calls_.entry(*entries_.find(id));
    }
    return change;
}

update_result membership_view::apply_heartbeat(replica_member update)
{
    auto const id = update.id;
    if (!place_start(replicas_, update))
    {
        return update_result::ignored;
    }
    auto const change =
        replicas_.merge(std::move(update), update_origin::direct, clock_.now());
    if (change == update_result::changed)
    {
        calls_.replica(*replicas_.find(id));
    }
    return change;
}

sync_position membership_view::position() const
{
    return {view_id_,
            upstreams_.revision(),
            entries_.revision(),
            replicas_.revision(),
            upstreams_.direct_heartbeats(),
            entries_.direct_heartbeats(),
            replicas_.direct_heartbeats(),
            rate_limits_.revision()};
}

QCborMap membership_view::replica_records() const
{
    QCborMap result;
    add(result, "replicas",
        changes_to_cbor(replicas_, 0, view_reader{}, clock_.now()));
    return result;
}

void membership_view::merge_replica_records(QCborMap const& records)
{
    merge_all(replicas_, cbor_array(records, "replicas"),
              update_origin::relayed, qint64{0}, QString(), clock_.now(),
              calls_.replica);
}

QCborMap membership_view::updates_since(sync_position const& position,
                                        view_reader const& reader) const
{
    auto const now = clock_.now();
    auto const from = is_known(position) ? position : sync_position{};
    // Replicas and rate limits are few, and told by each replica.
    auto whole = reader;
    whole.is_delegating = false;
    bool const needs_all_entries =
        reader.wants_all_entries && !is_known(position);
    auto const& entry_reader = needs_all_entries ? whole : reader;
    QCborMap delta{{QLatin1String("next"), to_cbor(this->position())}};
    add(delta, "upstreams",
        changes_to_cbor(upstreams_, from.upstreams, reader, now));
    add(delta, "entries",
        changes_to_cbor(entries_, from.entries, entry_reader, now));
    add(delta, "replicas",
        changes_to_cbor(replicas_, from.replicas, whole, now));
    add(delta, "rate_limits",
        changes_to_cbor(rate_limits_, from.rate_limits, whole, now));
    if (reader.wants_heartbeats)
    {
        add(delta, "upstream_beats",
            heartbeats_to_cbor(upstreams_, from.upstream_heartbeats, reader,
                               now));
        add(delta, "entry_beats",
            heartbeats_to_cbor(entries_, from.entry_heartbeats, reader, now));
        add(delta, "replica_beats",
            heartbeats_to_cbor(replicas_, from.replica_heartbeats, whole, now));
    }
    return delta;
}

void membership_view::add_missed_departures(QCborMap& delta,
                                            sync_position const& position,
                                            view_reader const& reader) const
{
    bool const may_have_missed =
        !reader.unreachable.isEmpty() && is_known(position) &&
        (!reader.newly_unreachable.isEmpty() ||
         position.upstreams < upstreams_.departure_revision());
    if (!may_have_missed)
    {
        return;
    }
    auto records = delta.value(QLatin1String("upstreams")).toArray();
    for (auto const& record : departures_to_cbor(upstreams_, position.upstreams,
                                                 reader, clock_.now()))
    {
        records.append(record);
    }
    add(delta, "upstreams", records);
}

bool membership_view::has_updates_since(sync_position const& position,
                                        view_reader const& reader) const
{
    return !is_known(position) || !reader.newly_lost.isEmpty() ||
           !reader.newly_unreachable.isEmpty() ||
           position.upstreams < revision_for(upstreams_, reader) ||
           position.entries < revision_for(entries_, reader) ||
           position.replicas < replicas_.revision() ||
           position.rate_limits < rate_limits_.revision();
}

sync_position membership_view::merge(QCborMap const& delta,
                                     view_source const& from)
{
    auto const now = clock_.now();
    auto const own_origin =
        from.is_delegate ? update_origin::delegated : update_origin::relayed;
    auto const origin = detector_ == failure_detector::self
                            ? own_origin
                            : update_origin::authoritative;
    auto const next = parse_sync_position(cbor_map(delta, "next"));
    if (next.view_id != source_)
    {
        source_ = next.view_id;
        source_first_read_ = now;
    }
    // A replica of an earlier build relays what any replica has heard, and
    // heartbeats that it has received itself.
    auto const sender = from.is_delegate ? from.name : QString();
    if (from.is_delegate)
    {
        record_contact(from.name, next.view_id);
    }
    for (auto const& item : cbor_array(delta, "upstreams"))
    {
        upstream_member record;
        auto const map = item.toMap();
        if (from_cbor(map, now, record))
        {
            record.source = source_;
            record.receiver = receiver_of(map, sender);
            apply_upstream(std::move(record), origin);
        }
    }
    merge_all(entries_, cbor_array(delta, "entries"), origin, source_, sender,
              now, calls_.entry);
    auto const replica_origin =
        origin == update_origin::delegated ? update_origin::relayed : origin;
    merge_all(replicas_, cbor_array(delta, "replicas"), replica_origin, source_,
              QString(), now, calls_.replica);
    merge_all(rate_limits_, cbor_array(delta, "rate_limits"),
              update_origin::relayed, source_, QString(), now,
              calls_.rate_limit);
    merge_heartbeats(delta, from);
    return next;
}

void membership_view::record_contact(QString const& replica, qint64 view_id)
{
    if (!contacts_.contains(replica) && contacts_.size() >= maximum_contacts)
    {
        return;
    }
    auto& contact = contacts_[replica];
    if (contact.view_id != 0 && contact.view_id != view_id)
    {
        // It has restarted and may not know of all of these processes.
        upstreams_.remove_receiver(replica, contact.at);
        entries_.remove_receiver(replica, contact.at);
    }
    contact = {view_id, clock_.now()};
}

void membership_view::merge_heartbeats(QCborMap const& delta,
                                       view_source const& from)
{
    auto const now = clock_.now();
    merge_heartbeats_of(upstreams_, cbor_array(delta, "upstream_beats"),
                        from.name, now, calls_.upstream);
    merge_heartbeats_of(entries_, cbor_array(delta, "entry_beats"), from.name,
                        now, calls_.entry);
    merge_heartbeats_of(replicas_, cbor_array(delta, "replica_beats"),
                        QString(), now, calls_.replica);
}

void membership_view::expire()
{
    auto const now = clock_.now();
    bool const has_settled =
        detector_ == failure_detector::source && source_ != 0 &&
        elapsed(source_first_read_, now) > source_settling_time;
    if (has_settled)
    {
        notify(upstreams_.mark_silent_all_except(source_), calls_.upstream);
        notify(entries_.mark_silent_all_except(source_), calls_.entry);
        notify(replicas_.mark_silent_all_except(source_), calls_.replica);
    }
    auto const last_contact = [this](auto const& record)
    {
        return contacts_.value(record.receiver).at;
    };
    notify(upstreams_.expire(now, last_contact), calls_.upstream);
    notify(entries_.expire(now, last_contact), calls_.entry);
    notify(replicas_.expire(now), calls_.replica);
    remove_obsolete_rate_limits(now);
    remove_obsolete_address_holders();
    remove_obsolete_displaced(now);
}

// Entries of removed records are left in the index until then.
void membership_view::remove_obsolete_address_holders()
{
    if (address_holders_.size() <= 2 * upstreams_.records().size())
    {
        return;
    }
    address_holders_.removeIf(
        [this](auto const& item)
        {
            auto const* record = upstreams_.find(item.value());
            return record == nullptr || record->content.address != item.key();
        });
}

void membership_view::remove_obsolete_rate_limits(monotonic_time now)
{
    rate_limits_.remove_if(
        [this, now](rate_limit_record const& limit)
        {
            auto const* upstream = upstreams_.find(limit.id);
            bool const is_current =
                upstream != nullptr && upstream->started <= limit.started;
            return !is_current &&
                   elapsed(limit.last_heartbeat, now) > rate_limit_retention;
        });
}

} // namespace verbenacove
