#include "verbenacove/process/discovery/discovery_service_detail.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/packed_cbor.hpp"
#include "verbenacove/process/discovery/rate_limit_reporter.hpp"

#include <QDateTime>
#include <QRandomGenerator>

#include <algorithm>
#include <limits>
#include <utility>

namespace verbenacove
{

using namespace discovery_detail;

namespace
{

constexpr milliseconds tick_interval{100};
/** Interval between the heartbeats of a replica. */
constexpr milliseconds heartbeat_interval{1000};
/** Maximum time for which a response is delayed while there are no updates
    (long polling). */
constexpr milliseconds maximum_hold{1000};
/** Delay that batches changes arriving in quick succession. */
constexpr milliseconds response_delay{5};
/** Time to wait for another replica's response, in addition to maximum_hold. */
constexpr milliseconds read_margin{600};
constexpr milliseconds retry_interval{300};
/** Time after which a replica that has read no other one may be the only
    one. */
constexpr milliseconds sole_replica_timeout{2500};
/** Time since the last response after which a source that is no longer a known
    replica is removed. */
constexpr milliseconds source_retention{60000};
constexpr qsizetype maximum_sources = 64;

qint64 new_view_id()
{
    return static_cast<qint64>(QRandomGenerator::system()->generate64() >> 1);
}

} // namespace

discovery_service::discovery_service(discovery_settings settings,
                                     control_server& server)
    : settings_(std::move(settings))
    , server_(server)
    , membership_(new_view_id(), failure_detector::self, clock_,
                  {[this](upstream_member const& record)
                   { handle_upstream_change(record); },
                   [this](entry_member const& record)
                   { handle_entry_change(record); },
                   [this](replica_member const& record)
                   { handle_replica_change(record); },
                   [this](rate_limit_record const&)
                   {
                       schedule_responses();
                   }})
    , started_(QDateTime::currentMSecsSinceEpoch())
    , created_(clock_.now())
{
    server_.add_handler(
        QStringLiteral("news"),
        [this](QCborMap const& request, reply_function const& reply)
        { handle_updates_request(request, reply); });
    server_.add_handler(
        QStringLiteral("push"),
        [this](QCborMap const& request, reply_function const& reply)
        { handle_push(request, reply); });
}

void discovery_service::start()
{
    record_own_heartbeat();
    add_sources();
    tick_ = timers_.call_every(tick_interval, [this] { handle_tick(); });
    handle_tick();
}

void discovery_service::handle_heartbeat(upstream_member update,
                                         acknowledge_callback done)
{
    auto const id = update.id;
    bool const is_leaving = update.phase != member_phase::serving;
    membership_.apply_heartbeat(std::move(update));
    auto const* known = membership_.upstreams().find(id);
    if (is_leaving && known != nullptr)
    {
        push(*known, std::move(done));
        return;
    }
    done(true);
}

void discovery_service::handle_leave(upstream_id const& id,
                                     acknowledge_callback done)
{
    membership_.mark_upstream_gone(id);
    auto const* known = membership_.upstreams().find(id.value());
    upstream_member unknown;
    unknown.id = id.value();
    unknown.phase = member_phase::gone;
    push(known != nullptr ? *known : unknown, std::move(done));
}

bool discovery_service::is_current() const
{
    if (!server_.node().is_current())
    {
        return false;
    }
    auto const now = clock_.now();
    for (auto const& from : sources_)
    {
        if (from->position.view_id != 0)
        {
            return true;
        }
    }
    return elapsed(created_, now) > sole_replica_timeout;
}

// Requests of readers.

void discovery_service::handle_updates_request(QCborMap const& request,
                                               reply_function const& reply)
{
    auto const now = clock_.now();
    entry_member entry;
    replica_member replica;
    auto const self = cbor_map(request, "self");
    bool const is_replica = cbor_flag(request, "replica");
    if (is_replica && from_cbor(self, now, replica))
    {
        membership_.apply_heartbeat(std::move(replica));
    }
    else if (!is_replica && from_cbor(self, now, entry))
    {
        membership_.apply_heartbeat(std::move(entry));
    }
    merge_crashes(request);
    rate_limit_reporter::apply(request, membership_, now);
    auto const hold = std::clamp(milliseconds(cbor_number(request, "hold")),
                                 milliseconds(0), maximum_hold);
    waiting_reader const reader{
        request, parse_sync_position(cbor_map(request, "position")),
        crash_position::parse(request), now + hold, reply};
    if (is_response_due(reader) || waiting_.size() >= maximum_waiting)
    {
        respond(reader);
        return;
    }
    waiting_.push_back(reader);
}

bool discovery_service::is_response_due(waiting_reader const& reader) const
{
    bool const has_older_routes = cbor_number(reader.request, "routes", -1) <
                                  server_.state().routes().revision();
    // An entry must learn that this replica lost its leader, to read another
    // one.
    bool const is_leader_contact_changed =
        !cbor_flag(reader.request, "replica") &&
        cbor_flag(reader.request, "current") != is_current();
    return membership_.has_updates_since(reader.position) ||
           known_crashes_.has_changes(reader.crash_cursor) ||
           (has_older_routes && is_current()) || is_leader_contact_changed ||
           clock_.now() >= reader.deadline;
}

void discovery_service::respond(waiting_reader const& reader)
{
    bool const is_replica = cbor_flag(reader.request, "replica");
    // An entry that looks for a replica with a leader would receive the view of
    // each one without over its narrow link.
    bool const is_brief = cbor_flag(reader.request, "brief") && !is_current();
    auto response =
        is_brief ? QCborMap()
                 : membership_.updates_since(reader.position, is_replica);
    response[QLatin1String("status")] = QLatin1String("ok");
    response[QLatin1String("current")] = is_current();
    response[QLatin1String("settled")] = settling_.is_settled();
    auto const& routes = server_.state().routes();
    bool const has_older_routes =
        cbor_number(reader.request, "routes", -1) < routes.revision();
    if (!is_replica && has_older_routes && is_current())
    {
        QCborArray evacuated;
        for (auto const& zone : routes.evacuated())
        {
            evacuated.append(zone.value());
        }
        if (cbor_flag(reader.request, "packed"))
        {
            response[QLatin1String("packed_routes")] = packed_routes();
        }
        else
        {
            response[QLatin1String("routes")] =
                to_cbor(*routes.current(), route_detail::effective);
        }
        response[QLatin1String("routes_revision")] = routes.revision();
        response[QLatin1String("evacuated")] = evacuated;
    }
    add_crashes(response, known_crashes_, reader.crash_cursor);
    reader.reply(response);
}

QByteArray const& discovery_service::packed_routes()
{
    auto const& routes = server_.state().routes();
    if (packed_revision_ != routes.revision())
    {
        packed_routes_ =
            pack_cbor(to_cbor(*routes.current(), route_detail::effective));
        packed_revision_ = routes.revision();
    }
    return packed_routes_;
}

void discovery_service::respond_to_waiting()
{
    are_responses_scheduled_ = false;
    std::vector<waiting_reader> ready;
    std::erase_if(waiting_,
                  [&](waiting_reader& reader)
                  {
                      if (!is_response_due(reader))
                      {
                          return false;
                      }
                      ready.push_back(std::move(reader));
                      return true;
                  });
    for (auto const& reader : ready)
    {
        respond(reader);
    }
}

void discovery_service::schedule_responses()
{
    if (are_responses_scheduled_)
    {
        return;
    }
    are_responses_scheduled_ = true;
    response_timer_ =
        timers_.call_after(response_delay, [this] { respond_to_waiting(); });
}

// Synchronisation with other replicas.

void discovery_service::handle_tick()
{
    auto const now = clock_.now();
    if (elapsed(last_heartbeat_, now) >= heartbeat_interval)
    {
        record_own_heartbeat();
    }
    membership_.expire();
    update_settling();
    add_sources();
    for (auto item = sources_.begin(); item != sources_.end(); ++item)
    {
        read(item.key(), **item);
    }
    respond_to_waiting();
}

void discovery_service::record_own_heartbeat()
{
    last_heartbeat_ = clock_.now();
    replica_member self;
    self.id = settings_.self.address.text();
    self.started = started_;
    self.sequence = ++heartbeat_sequence_;
    self.phase = member_phase::serving;
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
    auto const* self =
        membership_.replicas().find(settings_.self.address.text());
    QCborMap request{
        {QLatin1String("m"), QLatin1String("news")},
        {QLatin1String("replica"), true},
        {QLatin1String("routes"), std::numeric_limits<qint64>::max()},
        {QLatin1String("hold"), qint64{maximum_hold.count()}},
        {QLatin1String("position"), to_cbor(from.position)},
        {QLatin1String("self"), to_cbor(*self, now)}};
    from.crashes.add_to(request);
    from.client->call(std::move(request), maximum_hold + read_margin,
                      [this, address](std::optional<QCborMap> const& reply)
                      { handle_response(address, reply); });
}

void discovery_service::handle_response(socket_address const& address,
                                        std::optional<QCborMap> const& reply)
{
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
        return;
    }
    from->last_response = now;
    auto const previous_view = from->position.view_id;
    from->position = membership_.merge(*reply);
    bool const is_whole_view = from->position.view_id != previous_view;
    if (is_whole_view && cbor_flag(*reply, "settled"))
    {
        settling_.merge_settled_view(live_entries());
    }
    from->crashes.apply_response(from->position.view_id, parse_crashes(*reply));
    merge_crashes(*reply);
    read(address, *from);
}

std::size_t discovery_service::live_entries() const
{
    auto const& entries = membership_.entries().records();
    return static_cast<std::size_t>(std::count_if(
        entries.begin(), entries.end(),
        [](entry_member const& entry)
        { return entry.phase == member_phase::serving && !entry.is_silent; }));
}

void discovery_service::update_settling()
{
    bool const was_settled = settling_.is_settled();
    auto const live = live_entries();
    settling_.update(live, clock_.now());
    if (settling_.is_settled() != was_settled)
    {
        discovery_log.note("view.settled",
                           {{"settled", settling_.is_settled()},
                            {"entries", static_cast<qint64>(live)}});
    }
}

void discovery_service::merge_crashes(QCborMap const& message)
{
    auto const crashes = parse_crashes(message);
    if (crashes)
    {
        known_crashes_.merge_update(*crashes);
        schedule_responses();
    }
}

// Changes of the membership view: logged, and sent to the waiting readers.

void discovery_service::handle_upstream_change(upstream_member const& record)
{
    discovery_log.note("upstream.changed",
                       {{"upstream", record.id},
                        {"service", record.content.service.value()},
                        {"phase", phase_name(record.phase)},
                        {"silent", record.is_silent},
                        {"started", record.started.value()},
                        {"sequence", record.sequence}});
    schedule_responses();
}

void discovery_service::handle_entry_change(entry_member const& record)
{
    discovery_log.note("entry.changed", {{"entry", record.id},
                                         {"phase", phase_name(record.phase)},
                                         {"silent", record.is_silent}});
    schedule_responses();
}

void discovery_service::handle_replica_change(replica_member const& record)
{
    discovery_log.note("replica.changed",
                       {{"replica", record.id}, {"silent", record.is_silent}});
    schedule_responses();
}

} // namespace verbenacove
