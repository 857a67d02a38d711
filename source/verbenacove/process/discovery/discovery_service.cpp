#include "verbenacove/process/discovery/discovery_service_detail.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/packed_cbor.hpp"
#include "verbenacove/process/discovery/heartbeat_receiver.hpp"
#include "verbenacove/process/discovery/rate_limit_reporter.hpp"

#include <QDateTime>
#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace verbenacove
{

using namespace discovery_detail;

namespace
{

constexpr milliseconds tick_interval{100};
/** Maximum number of replicas that a reader may report as lost. */
constexpr qsizetype maximum_lost = 64;
/** Time without contact with a leader after which upstreams are sent to other
    replicas; longer than an election. */
constexpr milliseconds leaderless_time{1500};

/** Time after which a replica that has read no other one may be the only
    one. */
constexpr milliseconds sole_replica_timeout{2500};

qint64 new_view_id()
{
    return static_cast<qint64>(QRandomGenerator::system()->generate64() >> 1);
}

QSet<QString> names_in(QCborMap const& request, char const* key)
{
    QSet<QString> names;
    for (auto const& name : cbor_array(request, key))
    {
        if (names.size() < maximum_lost)
        {
            names.insert(name.toString());
        }
    }
    return names;
}

view_reader parse_view_reader(QCborMap const& request)
{
    view_reader reader;
    reader.wants_heartbeats = cbor_flag(request, "replica");
    reader.is_delegating = cbor_flag(request, "delegates");
    reader.wants_all_entries =
        !reader.is_delegating || cbor_flag(request, "all_entries");
    reader.lost = names_in(request, "lost");
    reader.newly_lost = names_in(request, "newly_lost");
    reader.unreachable = names_in(request, "unreachable");
    reader.newly_unreachable = names_in(request, "newly_unreachable");
    reader.has_old_departures = cbor_flag(request, "has_old_departures");
    return reader;
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
                   [this](rate_limit_record const&) { schedule_updates(); },
                   [this](upstream_member const& record)
                   {
                       handle_upstream_cooled(record);
                   }})
    , started_(QDateTime::currentMSecsSinceEpoch())
    , created_(clock_.now())
    , last_tick_(created_)
    , departures_(settings_.data_folder)
{
    server_.set_location_lookup([this](raft_member const& member)
                                { return location_of(member.address); });
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
    restore_departures();
    record_own_heartbeat();
    add_sources();
    tick_ = timers_.call_every(tick_interval, [this] { handle_tick(); });
    handle_tick();
}

void discovery_service::handle_heartbeat(upstream_member update,
                                         acknowledge_callback done)
{
    auto const id = update.id;
    if (membership_.is_foreign(update))
    {
        discovery_log.note("heartbeat.foreign",
                           {{"upstream", id},
                            {"service", update.content.service.value()},
                            {"address", update.content.address.text()}});
        membership_.apply_heartbeat(std::move(update));
        done(true);
        return;
    }
    bool const is_leaving = update.phase != member_phase::serving;
    auto const said = update;
    membership_.apply_heartbeat(std::move(update));
    if (!membership_.holds(said))
    {
        ++refused_heartbeats_;
        discovery_log.note("heartbeat.refused",
                           {{"upstream", id},
                            {"start", said.started.value()},
                            {"sequence", said.sequence},
                            {"phase", phase_name(said.phase)}});
        done(false);
        return;
    }
    auto const* known = membership_.upstreams().find(id);
    if (is_leaving && known != nullptr)
    {
        push(*known, std::move(done));
        return;
    }
    done(true);
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
        if (from->was_read)
        {
            return true;
        }
    }
    return elapsed(created_, now) > sole_replica_timeout;
}

bool discovery_service::is_current_for(QCborMap const& request) const
{
    bool const reads_all = cbor_flag(request, "replica") ||
                           cbor_flag(request, "teams") ||
                           !uses_keys(*server_.state().routes().current());
    return reads_all && is_current();
}

std::optional<location>
discovery_service::location_of(socket_address const& replica) const
{
    auto const* known = membership_.replicas().find(replica.text());
    return known == nullptr ? std::nullopt
                            : std::optional(location{known->content.region,
                                                     known->content.zone});
}

std::optional<socket_address>
discovery_service::heartbeat_receiver(upstream_id const& id,
                                      zone_name const& zone) const
{
    bool const is_leaderless =
        elapsed(last_current_, clock_.now()) > leaderless_time &&
        elapsed(created_, clock_.now()) > leaderless_time;
    // During an election all others are without a leader, too.
    return is_leaderless && !hears_majority()
               ? choose_remote_receiver(membership_, settings_.self.address, id,
                                        heartbeat_sequence_)
               : choose_receiver(membership_, id, zone);
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
    work_meter::scope const scope(server_.work(),
                                  is_replica ? work_kind::replica_requests
                                             : work_kind::entry_requests);
    if (is_replica && from_cbor(self, now, replica))
    {
        membership_.apply_heartbeat(std::move(replica));
    }
    else if (!is_replica && from_cbor(self, now, entry))
    {
        membership_.apply_heartbeat(std::move(entry));
    }
    merge_crashes(request, record_origin::own);
    rate_limit_reporter::apply(request, membership_, now);
    auto view = parse_view_reader(request);
    // Records of replicas that are gone would come from each source at once.
    view.lost = heard_replicas(view.lost);
    view.newly_lost = heard_replicas(view.newly_lost);
    view.unreachable -= view.lost;
    view.newly_unreachable -= view.newly_lost;
    auto const hold = std::clamp(milliseconds(cbor_number(request, "hold")),
                                 milliseconds(0), maximum_hold);
    waiting_reader const reader{
        request,
        parse_sync_position(cbor_map(request, "position")),
        std::move(view),
        crash_position::parse(request),
        is_replica && now >= expedited_until_ ? now + replica_update_interval
                                              : now,
        now + hold,
        reply,
        boot_clock::now()};
    if (is_urgent(reader) || waiting_.size() >= maximum_waiting)
    {
        respond(reader);
        return;
    }
    if (has_changes_for(reader))
    {
        schedule_updates();
    }
    waiting_.push_back(reader);
}

bool discovery_service::is_urgent(waiting_reader const& reader) const
{
    bool const has_older_routes = cbor_number(reader.request, "routes", -1) <
                                  server_.state().routes().revision();
    bool const is_current = is_current_for(reader.request);
    // An entry must learn that this replica lost its leader, to read another
    // one.
    bool const is_leader_contact_changed =
        !cbor_flag(reader.request, "replica") &&
        cbor_flag(reader.request, "current") != is_current;
    return !membership_.is_known(reader.position) ||
           cbor_flag(reader.request, "replicas_only") ||
           (has_older_routes && is_current) || is_leader_contact_changed ||
           has_confirmation_for(reader) || clock_.now() >= reader.deadline;
}

bool discovery_service::has_confirmation_for(waiting_reader const& reader) const
{
    auto const known = find_confirmation_();
    return known && is_wanted_at_once(reader.request, *known, reader.received);
}

bool discovery_service::is_response_due(waiting_reader const& reader) const
{
    return is_urgent(reader) ||
           (clock_.now() >= reader.not_before && has_changes_for(reader));
}

// A replica reads each other one; a new one also needs what its former process
// had received.
record_scope discovery_service::crash_scope(waiting_reader const& reader)
{
    bool const is_first_read = reader.crash_cursor == quarantine_cursor(0);
    return cbor_flag(reader.request, "delegates") && !is_first_read
               ? record_scope::own
               : record_scope::all;
}

bool discovery_service::has_changes_for(waiting_reader const& reader) const
{
    return membership_.has_updates_since(reader.position, reader.view) ||
           known_crashes_.has_changes(reader.crash_cursor, crash_scope(reader));
}

void discovery_service::respond(waiting_reader const& reader)
{
    bool const is_replica = cbor_flag(reader.request, "replica");
    work_meter::scope const scope(server_.work(),
                                  is_replica ? work_kind::replica_requests
                                             : work_kind::entry_responses);
    auto response = view_for(reader);
    response[QLatin1String("status")] = QLatin1String("ok");
    if (reader.view.is_delegating)
    {
        response[QLatin1String("delegates")] = true;
        response[QLatin1String("vouched")] = vouched_replicas(reader.view.lost);
        response[QLatin1String("sends_vouched_only")] = true;
    }
    bool const is_current = is_current_for(reader.request);
    response[QLatin1String("current")] = is_current;
    response[QLatin1String("settled")] =
        settling_.is_settled() && !isolated_since_;
    auto const& routes = server_.state().routes();
    bool const has_older_routes =
        cbor_number(reader.request, "routes", -1) < routes.revision();
    if (!is_replica && has_older_routes && is_current)
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
    auto const confirmation = is_replica ? std::nullopt : find_confirmation_();
    if (confirmation)
    {
        add_to(response, *confirmation, reader.received);
    }
    if (crash_scope(reader) == record_scope::own)
    {
        add_crashes(response, known_crashes_, reader.crash_cursor,
                    record_scope::own);
    }
    else
    {
        crash_update_.add_to(response, known_crashes_, reader.crash_cursor,
                             clock_.now());
    }
    reader.reply(response);
}

QCborMap discovery_service::view_for(waiting_reader const& reader)
{
    auto const& request = reader.request;
    // An entry that looks for a replica with a leader would receive the view of
    // each one without over its narrow link. It gets the changes of the one
    // that it has.
    if (cbor_flag(request, "brief") && !is_current_for(request) &&
        !membership_.is_known(reader.position))
    {
        return {};
    }
    // An entry that has just started knows the seeds only, which cannot send
    // their views to all entries.
    if (cbor_flag(request, "replicas_only"))
    {
        return membership_.replica_records();
    }
    if (cbor_flag(request, "replica"))
    {
        bool const is_common = reader.view.is_delegating &&
                               !reader.view.wants_all_entries &&
                               reader.view.lost.isEmpty();
        auto delta =
            is_common
                ? replica_deltas_.find(membership_, reader.position, clock_)
                      .plain
                : membership_.updates_since(reader.position, reader.view);
        membership_.add_missed_departures(delta, reader.position, reader.view);
        return delta;
    }
    auto const& delta =
        entry_deltas_.find(membership_, reader.position, clock_);
    bool const is_packed =
        cbor_flag(request, "packed_view") && !delta.packed.isEmpty();
    return is_packed ? QCborMap{{QLatin1String("packed_view"), delta.packed}}
                     : delta.plain;
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
    next_responses_.reset();
    last_responses_ = clock_.now();
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

void discovery_service::routes_changed()
{
    auto const& routes = *server_.state().routes().current();
    if (routes.version.value() > 0)
    {
        membership_.set_named_services(named_services(routes));
    }
    schedule_responses(urgent_delay);
}

void discovery_service::schedule_updates()
{
    auto const now = clock_.now();
    auto const interval =
        now < expedited_until_ ? expedited_interval : update_interval;
    auto const waited = elapsed(last_responses_, now);
    schedule_responses(std::max(urgent_delay, interval - waited));
}

void discovery_service::schedule_responses(milliseconds delay)
{
    auto const at = clock_.now() + delay;
    if (next_responses_ && *next_responses_ <= at)
    {
        return;
    }
    next_responses_ = at;
    response_timer_ =
        timers_.call_after(delay, [this] { respond_to_waiting(); });
}

} // namespace verbenacove
