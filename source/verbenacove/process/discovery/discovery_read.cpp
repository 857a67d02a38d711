#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/discovery/discovery_service_detail.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace verbenacove
{

using namespace discovery_detail;

namespace
{

/** Interval between the heartbeats of a replica. */
constexpr milliseconds heartbeat_interval{1000};
/** Time to wait for another replica's response, in addition to maximum_hold. */
constexpr milliseconds read_margin{600};
constexpr milliseconds retry_interval{300};
/** Time since the last response after which a source that is no longer a known
    replica is removed. */
constexpr milliseconds source_retention{60000};
constexpr qsizetype maximum_sources = 64;
/** Maximum number of replicas that are asked for all entries at a time. */
constexpr int maximum_entry_sources = 2;
/** Time without a response after which a source is read anew. Below the time
    after which its entries count as silent. */
constexpr milliseconds maximum_contact_gap{2500};
/** Interval between searches for processes without heartbeats, which visit all
    records. */
constexpr milliseconds expiry_interval{300};
/** Time between two ticks from which on this process did not run; the time
    after which entries count as silent. */
constexpr milliseconds pause_threshold{3000};
/** Time after a pause in which no process counts as silent. */
constexpr milliseconds expiry_delay_after_pause{1000};
/** Time for which a replica that has lost contact with most others assumes that
    it is late itself: it marks no process as silent and answers look-ups from
    the view that it has. */
constexpr milliseconds isolation_allowance{6000};
/** Time since a whole view in which the recent departures of lost replicas,
    which others tell, cover all that was missed. */
constexpr milliseconds departures_period{8000};
/** Interval between the log lines that count relayed changes. */
constexpr milliseconds relayed_log_interval{1000};

QCborArray to_cbor_texts(QSet<QString> const& texts)
{
    QCborArray result;
    for (auto const& text : texts)
    {
        result.append(text);
    }
    return result;
}

} // namespace

// Synchronisation with other replicas.

void discovery_service::handle_tick()
{
    work_meter::scope const scope(server_.work(), work_kind::housekeeping);
    auto const now = clock_.now();
    if (elapsed(last_heartbeat_, now) >= heartbeat_interval)
    {
        record_own_heartbeat();
    }
    last_current_ = is_current() ? now : last_current_;
    check_pause(now);
    check_isolation(now);
    bool const may_be_late =
        isolated_since_ && elapsed(*isolated_since_, now) < isolation_allowance;
    if (now >= next_expiry_ && !may_be_late)
    {
        next_expiry_ = now + expiry_interval;
        membership_.expire();
    }
    update_settling();
    log_relayed_changes(now);
    add_sources();
    for (auto item = sources_.begin(); item != sources_.end(); ++item)
    {
        read(item.key(), **item);
    }
    if (elapsed(last_responses_, now) >= update_interval)
    {
        respond_to_waiting();
    }
}

void discovery_service::check_pause(monotonic_time now)
{
    auto const passed = elapsed(std::exchange(last_tick_, now), now);
    if (passed < pause_threshold)
    {
        return;
    }
    discovery_log.note("process.paused",
                       {{"paused_ms", qint64{passed.count()}}});
    settling_.restart();
    // What has come meanwhile is read first.
    next_expiry_ = now + expiry_delay_after_pause;
    for (auto const& from : sources_)
    {
        from->has_sent_all_entries = false;
    }
}

void discovery_service::check_isolation(monotonic_time now)
{
    auto const lost = unreachable_replicas({}).size();
    if (lost * 2 <= sources_.size())
    {
        isolated_since_.reset();
        return;
    }
    if (!isolated_since_)
    {
        isolated_since_ = now;
        discovery_log.note("replica.isolated",
                           {{"lost", lost}, {"others", sources_.size()}});
    }
}

bool discovery_service::has_settled_view() const
{
    bool const is_outdated =
        isolated_since_ &&
        elapsed(*isolated_since_, clock_.now()) >= isolation_allowance;
    return settling_.is_settled() && !is_outdated;
}

void discovery_service::log_relayed_changes(monotonic_time now)
{
    if (relayed_changes_ > 0 &&
        elapsed(last_relayed_log_, now) >= relayed_log_interval)
    {
        last_relayed_log_ = now;
        discovery_log.note("relayed.changed",
                           {{"changes", std::exchange(relayed_changes_, 0)}});
    }
}

void discovery_service::prepare_stop()
{
    is_stopping_ = true;
    record_own_heartbeat();
}

void discovery_service::record_own_heartbeat()
{
    last_heartbeat_ = clock_.now();
    replica_member self;
    self.id = settings_.self.address.text();
    self.started = started_;
    self.sequence = ++heartbeat_sequence_;
    self.phase = is_stopping_ ? member_phase::draining : member_phase::serving;
    self.content = settings_.self;
    self.last_heartbeat = last_heartbeat_;
    membership_.apply_heartbeat(std::move(self));
}

void discovery_service::add_sources()
{
    std::vector<socket_address> addresses = settings_.seeds;
    for (auto const& replica : membership_.replicas().records())
    {
        if (replica.phase == member_phase::serving)
        {
            addresses.push_back(replica.content.address);
        }
    }
    for (auto const& address : addresses)
    {
        bool const is_new = address != settings_.self.address &&
                            !sources_.contains(address) &&
                            sources_.size() < maximum_sources;
        if (is_new)
        {
            auto added = std::make_shared<source>();
            added->client = std::make_unique<rpc_client>(address);
            added->last_response = clock_.now();
            sources_.insert(address, added);
        }
    }
    sources_.removeIf(
        [this, &addresses](auto const& item)
        {
            bool const is_known = std::find(addresses.begin(), addresses.end(),
                                            item.key()) != addresses.end();
            return !is_known && !item.value()->is_reading &&
                   elapsed(item.value()->last_response, clock_.now()) >
                       source_retention;
        });
    server_.set_known_addresses(std::move(addresses));
}

void discovery_service::read(socket_address const& address, source& from)
{
    auto const now = clock_.now();
    if (from.is_reading || now < from.next_read)
    {
        return;
    }
    from.is_reading = true;
    work_meter::scope const scope(server_.work(), work_kind::replica_responses);
    from.client->call(make_read_request(address, from),
                      maximum_hold + read_margin,
                      [this, address](std::optional<QCborMap> const& reply)
                      { handle_response(address, reply); });
}

QCborMap discovery_service::make_read_request(socket_address const& address,
                                              source& from)
{
    auto const* self =
        membership_.replicas().find(settings_.self.address.text());
    from.sent_lost = lost_replicas(address);
    QCborMap request{
        {QLatin1String("m"), QLatin1String("news")},
        {QLatin1String("replica"), true},
        {QLatin1String("delegates"), true},
        {QLatin1String("routes"), std::numeric_limits<qint64>::max()},
        // Contact is restored by any response.
        {QLatin1String("hold"),
         from.is_lost ? qint64{0} : qint64{maximum_hold.count()}},
        {QLatin1String("self"), to_cbor(*self, clock_.now())}};
    from.sends_all_entries =
        !settling_.is_settled() && may_send_all_entries(from);
    if (from.sends_all_entries)
    {
        request[QLatin1String("all_entries")] = true;
        // They are sent to a reader of the whole view only.
        from.position =
            from.has_sent_all_entries ? from.position : sync_position{};
    }
    request[QLatin1String("position")] = to_cbor(from.position);
    from.sent_unreachable = unreachable_replicas(address);
    if (!from.sent_unreachable.isEmpty())
    {
        request[QLatin1String("unreachable")] =
            to_cbor_texts(from.sent_unreachable);
        request[QLatin1String("newly_unreachable")] =
            to_cbor_texts(from.sent_unreachable - from.answered_unreachable);
    }
    if (from.last_whole_view &&
        elapsed(*from.last_whole_view, clock_.now()) < departures_period)
    {
        request[QLatin1String("has_old_departures")] = true;
    }
    if (!from.sent_lost.isEmpty())
    {
        auto const newly_lost = from.sent_lost - from.answered_lost;
        request[QLatin1String("lost")] = to_cbor_texts(from.sent_lost);
        request[QLatin1String("newly_lost")] = to_cbor_texts(newly_lost);
    }
    from.crashes.add_to(request);
    return request;
}

// A process that is late itself loses contact with all others at once; telling
// so would make each of them send its whole view.
QSet<QString>
discovery_service::lost_replicas(socket_address const& except) const
{
    return isolated_since_ ? QSet<QString>() : unreachable_replicas(except);
}

QSet<QString>
discovery_service::unreachable_replicas(socket_address const& except) const
{
    QSet<QString> names;
    for (auto item = sources_.begin(); item != sources_.end(); ++item)
    {
        if (item.value()->is_lost && item.key() != except)
        {
            names.insert(item.key().text());
        }
    }
    return names;
}

// One or two suffice: each would send all of them.
bool discovery_service::may_send_all_entries(source const& from) const
{
    auto const others =
        std::count_if(sources_.begin(), sources_.end(),
                      [&from](std::shared_ptr<source> const& each) {
                          return each.get() != &from &&
                                 each->sends_all_entries && !each->is_lost;
                      });
    return others < maximum_entry_sources;
}

bool discovery_service::is_in_contact(source const& from) const
{
    return from.was_read && !from.is_lost && from.position.view_id != 0 &&
           elapsed(from.last_response, clock_.now()) <
               maximum_hold + read_margin;
}

QSet<QString>
discovery_service::heard_replicas(QSet<QString> const& names) const
{
    QSet<QString> result;
    for (auto item = sources_.begin(); item != sources_.end(); ++item)
    {
        auto const name = item.key().text();
        if (names.contains(name) && is_in_contact(*item.value()))
        {
            result.insert(name);
        }
    }
    return result;
}

bool discovery_service::hears_majority() const
{
    auto const& voters = server_.node().members();
    auto const heard =
        std::count_if(voters.begin(), voters.end(),
                      [this](raft_member const& voter)
                      {
                          auto const from = sources_.value(voter.address);
                          return voter.address == settings_.self.address ||
                                 (from && is_in_contact(*from));
                      });
    return heard * 2 > static_cast<qint64>(voters.size());
}

// Replicas that this one reads and the reader does not.
QCborArray discovery_service::vouched_replicas(QSet<QString> const& lost) const
{
    QCborArray result;
    for (auto item = sources_.begin(); item != sources_.end(); ++item)
    {
        auto const& from = *item.value();
        auto const name = item.key().text();
        if (lost.contains(name) && is_in_contact(from))
        {
            result.append(QCborArray{name, from.position.view_id});
        }
    }
    return result;
}

void discovery_service::handle_response(socket_address const& address,
                                        std::optional<QCborMap> const& reply)
{
    work_meter::scope const scope(server_.work(), work_kind::replica_responses);
    // Keeps the source alive, as a callback may remove it.
    auto const from = sources_.value(address);
    if (!from)
    {
        return;
    }
    auto const now = clock_.now();
    from->is_reading = false;
    if (!reply || cbor_text(*reply, "status") != QLatin1String("ok"))
    {
        from->next_read = now + retry_interval;
        from->is_lost = true;
        from->has_sent_all_entries = false;
        return;
    }
    auto const silent_for = elapsed(from->last_response, now);
    from->last_response = now;
    auto const previous_view = from->position.view_id;
    record_read(address, *from, *reply);
    bool const is_continued = from->position.view_id == previous_view;
    if (is_continued && silent_for > maximum_contact_gap)
    {
        // Some of its processes may count as silent here since, which is no
        // change there.
        from->position = {};
    }
    read(address, *from);
}

void discovery_service::record_read(socket_address const& address, source& from,
                                    QCborMap const& reply)
{
    if (std::exchange(from.is_lost, false))
    {
        for (auto const& other : sources_)
        {
            other->answered_lost.remove(address.text());
            other->answered_unreachable.remove(address.text());
        }
    }
    auto const lost = lost_replicas({});
    // A replica of an earlier build sends all records that it knows.
    bool const sends_vouched_only = cbor_flag(reply, "sends_vouched_only");
    from.answered_lost =
        sends_vouched_only ? QSet<QString>() : from.sent_lost & lost;
    from.answered_unreachable = from.sent_unreachable;
    bool const is_delegate = cbor_flag(reply, "delegates");
    auto const previous_view = from.position.view_id;
    from.position = membership_.merge(reply, {address.text(), is_delegate});
    from.was_read = true;
    for (auto const& item : cbor_array(reply, "vouched"))
    {
        auto const name = item.toArray().at(0).toString();
        if (lost.contains(name))
        {
            from.answered_lost.insert(name);
            membership_.record_contact(name, item.toArray().at(1).toInteger());
        }
    }
    // A replica of an earlier build sends all entries to each reader.
    if (from.position.view_id != previous_view)
    {
        from.last_whole_view = clock_.now();
    }
    bool const has_all_entries = from.position.view_id != previous_view &&
                                 (from.sends_all_entries || !is_delegate);
    from.has_sent_all_entries = from.has_sent_all_entries || has_all_entries;
    if (has_all_entries && cbor_flag(reply, "settled"))
    {
        settling_.merge_settled_view(live_entries());
    }
    from.crashes.apply_response(from.position.view_id, parse_crashes(reply));
    merge_crashes(reply, record_origin::other);
}

std::size_t discovery_service::live_entries() const
{
    auto const& entries = membership_.entries().records();
    return static_cast<std::size_t>(std::count_if(
        entries.begin(), entries.end(),
        [](entry_member const& entry)
        { return entry.phase == member_phase::serving && !entry.is_silent; }));
}

bool discovery_service::has_read_sources() const
{
    return std::all_of(sources_.begin(), sources_.end(),
                       [](std::shared_ptr<source> const& from) {
                           return from->position.view_id != 0 || from->is_lost;
                       });
}

void discovery_service::update_settling()
{
    bool const was_settled = settling_.is_settled();
    auto const live = live_entries();
    settling_.update(live, has_read_sources(), clock_.now());
    if (settling_.is_settled() != was_settled)
    {
        discovery_log.note("view.settled",
                           {{"settled", settling_.is_settled()},
                            {"entries", static_cast<qint64>(live)}});
    }
}

void discovery_service::merge_crashes(QCborMap const& message,
                                      record_origin origin)
{
    auto const crashes = parse_crashes(message);
    if (crashes)
    {
        known_crashes_.merge_update(*crashes, origin);
        schedule_updates();
    }
}

} // namespace verbenacove
