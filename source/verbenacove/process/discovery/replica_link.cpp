#include "verbenacove/process/discovery/replica_link_detail.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/packed_cbor.hpp"

#include <QDateTime>
#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace verbenacove
{

using namespace replica_link_detail;

namespace
{

/** Time for which a replica without updates delays its response (long
    polling). */
constexpr milliseconds hold{600};
/** Part of the revocation time for which a response may be delayed: it carries
    the confirmation that extends the lease of the keys. */
constexpr int hold_divisor = 8;
constexpr milliseconds minimum_hold{100};
/** Time to wait for a response, in addition to the hold, before another replica
    is read. */
constexpr milliseconds read_margin{500};
/** Maximum duration of a read. Covers a full transfer of 2.5 MB, about ten
    thousand upstreams, from a replica that was not read before, on a link of
    2 Mbit/s. */
constexpr milliseconds maximum_read_duration{10000};
/** Time to wait for the response to a heartbeat that is sent at once because
    this entry has changed. */
constexpr milliseconds heartbeat_timeout{500};
/** Interval at which an entry that finds no replica with a leader still reads
    the membership view of the one that it asks next. In between it gets the
    changes of the view that it has. */
constexpr milliseconds leaderless_view_interval{2000};
/** Minimum interval between the log lines that count departures. */
constexpr milliseconds departure_log_interval{1000};

// The view of an entry is not read by others, so it needs no identifier.
qint64 no_view_id()
{
    return 0;
}

bool is_successful(std::optional<QCborMap> const& reply)
{
    return reply && cbor_text(*reply, "status") == QLatin1String("ok");
}

} // namespace

replica_link::replica_link(replica_link_settings settings, listener calls)
    : settings_(std::move(settings))
    , calls_(std::move(calls))
    , membership_(no_view_id(), failure_detector::source, clock_,
                  {[this](upstream_member const& record)
                   {
                       has_changes_ = true;
                       record_departure(record);
                   },
                   [this](entry_member const&) { has_changes_ = true; },
                   [](replica_member const&) {},
                   [this](rate_limit_record const&) { has_changes_ = true; },
                   [this](upstream_member const& record)
                   {
                       if (!evacuated_.contains(record.content.zone))
                       {
                           calls_.cooled();
                       }
                   }})
    , rate_limits_(settings_.name, membership_, clock_)
    , selector_({settings_.self.region, settings_.self.zone},
                QRandomGenerator::system()->generate64())
    , started_(QDateTime::currentMSecsSinceEpoch())
    , lag_(tick_interval)
{
}

void replica_link::start()
{
    selector_.set_seeds(settings_.seeds);
    tick_ = timers_.call_every(tick_interval, [this] { handle_tick(); });
    handle_tick();
}

void replica_link::set_seeds(std::vector<socket_address> seeds)
{
    selector_.set_seeds(std::move(seeds));
}

void replica_link::set_phase(member_phase phase)
{
    if (phase_ == phase)
    {
        return;
    }
    phase_ = phase;
    send_heartbeat();
}

void replica_link::set_reaches_upstreams(bool reaches_upstreams)
{
    if (std::exchange(settings_.self.reaches_upstreams, reaches_upstreams) !=
        reaches_upstreams)
    {
        send_heartbeat();
    }
}

void replica_link::send_heartbeat()
{
    if (current_)
    {
        client_of(*current_).call(make_request(milliseconds(0)),
                                  heartbeat_timeout,
                                  [](std::optional<QCborMap> const&) {});
    }
}

void replica_link::report_rate_limit(rate_limit_report const& report)
{
    if (rate_limits_.record(report))
    {
        has_changes_ = false;
        calls_.changed();
    }
}

void replica_link::report_allowances(allowance_report const& report,
                                     allowance_callback done)
{
    if (!current_)
    {
        done(std::nullopt);
        return;
    }
    auto message = to_cbor(report.uses);
    message[QLatin1String("m")] = QLatin1String("allowance");
    // Not given up before a read, since the connection is then closed.
    client_of(*current_).call(
        std::move(message), hold + read_margin,
        [done = std::move(done)](std::optional<QCborMap> const& reply)
        { done(reply ? parse_allowance_answer(*reply) : std::nullopt); });
}

void replica_link::handle_tick()
{
    lag_.record_tick(clock_.now());
    membership_.expire();
    log_departures(clock_.now());
    if (has_changes_)
    {
        has_changes_ = false;
        calls_.changed();
    }
    if ((!is_reading_ || is_following_) && clock_.now() >= next_read_)
    {
        read();
    }
}

QCborMap replica_link::make_request(milliseconds hold_time)
{
    entry_member self;
    self.id = settings_.name.value();
    self.started = started_;
    self.sequence = ++heartbeat_sequence_;
    self.phase = phase_;
    self.content = settings_.self;
    self.last_heartbeat = clock_.now();
    return {{QLatin1String("m"), QLatin1String("news")},
            {QLatin1String("position"), to_cbor(position_)},
            {QLatin1String("routes"), routes_revision_},
            {QLatin1String("current"), was_replica_current_},
            {QLatin1String("hold"), qint64{hold_time.count()}},
            {QLatin1String("packed"), true},
            {QLatin1String("packed_view"), true},
            {QLatin1String("teams"), true},
            {QLatin1String("self"), to_cbor(self, self.last_heartbeat)}};
}

void replica_link::read()
{
    if (!current_ || selector_.has_nearer(*current_, membership_, clock_.now()))
    {
        select_replica();
    }
    if (!current_)
    {
        return;
    }
    is_following_ = false;
    // A replica without a leader would delay its response, too, so an immediate
    // one is requested.
    send_read(was_replica_current_ ? poll_hold() : milliseconds(0));
}

void replica_link::send_read(milliseconds requested_hold)
{
    is_reading_ = true;
    read_started_ = clock_.now();
    read_sent_ = boot_clock::now();
    auto const number = ++read_number_;
    auto message = make_request(requested_hold);
    bool const is_brief = is_following_ || (!was_replica_current_ &&
                                            elapsed(last_view_, read_started_) <
                                                leaderless_view_interval);
    message[QLatin1String("brief")] = is_brief;
    reads_view_ = !is_brief;
    // The seeds tell which replicas there are; the view is read from the
    // nearest.
    is_finding_replicas_ = membership_.replicas().records().isEmpty();
    if (is_finding_replicas_)
    {
        message[QLatin1String("replicas_only")] = true;
        message[QLatin1String("hold")] = 0;
    }
    received_crashes_.add_to(message);
    auto const sent_crashes =
        add_crashes(message, own_crashes_, confirmed_crashes_);
    rate_limits_.add_to(message, position_.view_id);
    if (settings_.revocation && routes_ && uses_keys(*routes_))
    {
        add_age_to(message, confirmation_, read_sent_);
    }
    client_of(*current_).call(
        std::move(message),
        {requested_hold + read_margin, maximum_read_duration},
        [this, from = *current_, number,
         sent_crashes](std::optional<QCborMap> const& reply)
        {
            if (is_successful(reply))
            {
                confirmed_crashes_ = std::max(confirmed_crashes_, sent_crashes);
                if (number == read_number_)
                {
                    rate_limits_.confirm();
                }
            }
            handle_response(from, number, reply);
        });
}

void replica_link::handle_response(socket_address const& from, quint64 number,
                                   std::optional<QCborMap> const& reply)
{
    if (number != read_number_)
    {
        return;
    }
    is_reading_ = false;
    bool const was_following = std::exchange(is_following_, false);
    if (!is_successful(reply) && was_following)
    {
        // The search goes on after the pause.
        view_replica_.reset();
        current_.reset();
        return;
    }
    if (!is_successful(reply))
    {
        leave_replica(from, "no response");
        continue_search();
        return;
    }
    if (is_finding_replicas_ && !reply->contains(QLatin1String("next")))
    {
        membership_.merge_replica_records(*reply);
        if (membership_.replicas().records().isEmpty())
        {
            leave_replica(from, "no replicas known");
            continue_search();
            return;
        }
        current_.reset();
        read();
        return;
    }
    bool const has_view = merge_view(from, *reply);
    report_received_crashes(*reply);
    was_replica_current_ = cbor_flag(*reply, "current");
    if (was_replica_current_)
    {
        selector_.record_success(from);
        has_changes_ = has_changes_ || !has_synchronised_;
        has_synchronised_ = true;
        failed_reads_ = 0;
        apply_routes(*reply);
    }
    apply_confirmation(*reply);
    if (std::exchange(has_changes_, false))
    {
        calls_.changed();
    }
    if (!was_replica_current_ && was_following)
    {
        current_.reset();
        // A replica of an earlier build sends no changes without a leader.
        if (has_view)
        {
            follow_view();
        }
        return;
    }
    if (!was_replica_current_)
    {
        leave_replica(from, "no contact with a leader");
        continue_search();
        return;
    }
    read();
}

bool replica_link::merge_view(socket_address const& from, QCborMap const& reply)
{
    auto const packed = reply.value(QLatin1String("packed_view"));
    auto const view = packed.isByteArray() ? unpack_cbor(packed.toByteArray())
                                           : std::optional(reply);
    if (!view)
    {
        link_log.note("view.unreadable", {});
        return false;
    }
    bool const has_view = view->contains(QLatin1String("next"));
    if (has_view)
    {
        view_replica_ = from;
        auto const previous_view = position_.view_id;
        position_ = membership_.merge(*view);
        if (position_.view_id != previous_view)
        {
            // The one that was told of them may be gone.
            confirmed_crashes_ = quarantine_cursor(0);
        }
        last_view_ = reads_view_ ? clock_.now() : last_view_;
    }
    return has_view;
}

void replica_link::record_departure(upstream_member const& record)
{
    if (record.phase != member_phase::draining || !has_synchronised_)
    {
        return;
    }
    ++departures_;
    longest_departure_age_ = std::max(
        longest_departure_age_, elapsed(record.last_heartbeat, clock_.now()));
}

void replica_link::log_departures(monotonic_time now)
{
    if (departures_ == 0 ||
        elapsed(last_departure_log_, now) < departure_log_interval)
    {
        return;
    }
    last_departure_log_ = now;
    auto const age = std::exchange(longest_departure_age_, milliseconds(0));
    link_log.note("departures.applied",
                  {{"departures", std::exchange(departures_, 0)},
                   {"longest_ms", qint64{age.count()}}});
}

void replica_link::report_received_crashes(QCborMap const& reply)
{
    auto crashes = parse_crashes(reply);
    received_crashes_.apply_response(position_.view_id, crashes);
    if (crashes)
    {
        calls_.crashed(std::move(*crashes));
    }
}

void replica_link::apply_routes(QCborMap const& reply)
{
    auto const revision = cbor_number(reply, "routes_revision", -1);
    if (revision <= routes_revision_)
    {
        return;
    }
    // A replica of an earlier version sends them as a map.
    auto const packed = reply.value(QLatin1String("packed_routes"));
    auto const routes = packed.isByteArray()
                            ? unpack_cbor(packed.toByteArray())
                            : std::optional(cbor_map(reply, "routes"));
    auto parsed = parse_route_configuration(routes.value_or(QCborMap()));
    if (!parsed)
    {
        link_log.note("routes.unreadable", {{"revision", revision}});
        return;
    }
    routes_revision_ = revision;
    evacuated_.clear();
    for (auto const& zone : cbor_array(reply, "evacuated"))
    {
        evacuated_.insert(zone_name(zone.toString()));
    }
    if (parsed->version.value() > 0)
    {
        routes_ =
            std::make_shared<route_configuration const>(std::move(*parsed));
        membership_.set_named_services(named_services(*routes_));
    }
    has_changes_ = true;
    link_log.note("routes.in_force",
                  {{"revision", revision},
                   {"version", routes_ ? routes_->version.value() : 0},
                   {"evacuated", evacuated_.size()}});
}

// Also that of a replica without contact with a leader is used: it says up to
// which time it is true.
void replica_link::apply_confirmation(QCborMap const& reply)
{
    if (!settings_.revocation)
    {
        return;
    }
    auto const received =
        parse_key_confirmation(reply, read_sent_, boot_clock::now());
    if (received && advance(confirmation_, *received))
    {
        calls_.confirmed(*received);
    }
}

milliseconds replica_link::poll_hold() const
{
    return settings_.revocation
               ? std::clamp(*settings_.revocation / hold_divisor, minimum_hold,
                            hold)
               : hold;
}

rpc_client& replica_link::client_of(socket_address const& address)
{
    auto& known = clients_[address];
    if (!known)
    {
        known = std::make_shared<rpc_client>(address);
    }
    return *known;
}

} // namespace verbenacove
