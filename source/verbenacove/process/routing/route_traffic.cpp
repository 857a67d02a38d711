#include "verbenacove/process/routing/route_traffic.hpp"

#include "verbenacove/core/event_log.hpp"

#include <QJsonArray>
#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

event_log const entry_log{"entry"};

constexpr milliseconds probe_interval{200};
/** The interval between crash reports. Crashes within one interval are
    reported together. */
constexpr milliseconds crash_report_interval{250};
/** The interval at which the end of the lease of the keys is looked for. */
constexpr milliseconds lease_log_interval{200};
constexpr double bytes_per_megabit = 125000;
/** The retry delay of an entry that knows no routes yet, before it is spread:
    after a loss of power most entries start together and need about this
    long. */
constexpr milliseconds start_up_delay{1200};

/** Returns the limits of the readiness and metrics endpoints. Their clients may
    stay idle for longer than callers. */
http_limits internal_endpoint_limits(route_entry_settings const& settings)
{
    auto limits = settings.limits;
    limits.idle_timeout = std::max(limits.idle_timeout, milliseconds(60000));
    return limits;
}

} // namespace

route_traffic::route_traffic(route_entry_settings settings,
                             route_header_codec const& header_codec,
                             listener calls)
    : settings_(std::move(settings))
    , header_codec_(header_codec)
    , request_quarantine_(clock_)
    , calls_(std::move(calls))
    , region_shift_(settings_.steering.maximum_region_shift)
    , reachability_(clock_, [this](bool is_cut_off)
                    { handle_reachability_change(is_cut_off); })
    , relays_(clock_, QRandomGenerator::system()->generate64())
    , link_(settings_.link, clock_)
    , path_delay_(clock_)
    , load_meter_([this](process_load_meter::load const& used)
                  { report_load(used); })
    , allowance_gate_(QRandomGenerator::system()->generate64())
    , key_gate_(settings_.revocation)
    , caller_budget_(settings_.callers_share,
                     [this] { return upstream_client_.attempts_in_flight(); })
    , caller_endpoint_(
          settings_.limits,
          [this](exchange_ptr const& exchange) { handle_request(exchange); },
          &caller_budget_)
    , readiness_endpoint_(
          internal_endpoint_limits(settings_),
          [this](exchange_ptr const& exchange) { handle_readiness(exchange); },
          &caller_budget_)
    , metrics_endpoint_(
          internal_endpoint_limits(settings_),
          [this](exchange_ptr const& exchange) { handle_metrics(exchange); },
          &caller_budget_)
{
}

QString route_traffic::start()
{
    if (settings_.link)
    {
        upstream_client_.pace_bodies(settings_.link->value() *
                                     bytes_per_megabit);
    }
    struct endpoint
    {
        http_server& server;
        socket_address address;
    };
    std::vector<endpoint> endpoints{{caller_endpoint_, settings_.callers},
                                    {readiness_endpoint_, settings_.readiness}};
    if (settings_.metrics)
    {
        endpoints.push_back({metrics_endpoint_, *settings_.metrics});
    }
    for (auto const& each : endpoints)
    {
        if (!each.server.listen(each.address))
        {
            return each.address.text() + QStringLiteral(": ") +
                   each.server.error_text();
        }
    }
    load_meter_.start();
    probe_timer_ = timers_.call_every(probe_interval, [this] { probe(); });
    crash_report_timer_ =
        timers_.call_every(crash_report_interval, [this] { report_crashes(); });
    if (settings_.revocation)
    {
        lease_log_timer_ = timers_.call_every(lease_log_interval, [this]
                                              { key_gate_.log_changes(); });
    }
    return {};
}

void route_traffic::update(routing_view_ptr view)
{
    bool const has_new_routes = view->routes != view_->routes;
    bool const has_new_allowances =
        has_new_routes || view->live_entries != view_->live_entries;
    view_ = std::move(view);
    key_gate_.set_routes(view_->routes_revision,
                         view_->routes && uses_keys(*view_->routes));
    if (has_new_routes && view_->routes)
    {
        auto const age = elapsed(view_->published_at, clock_.now());
        entry_log.note("routes.applied",
                       {{"version", view_->routes->version.value()},
                        {"team_table", to_word(team_table_of(*view_->routes))},
                        {"queued_ms", qint64{age.count()}}});
        apply_limits();
        team_gate_.set_configuration(*view_->routes);
        split_chooser_.keep_only(*view_->routes);
    }
    if (has_new_allowances && view_->routes)
    {
        set_allowances();
    }
    relays_.set_entries(view_->relays, view_->remote_relays);
    request_quarantine_.set_trial_turns(settings_.callers.text().toUtf8(),
                                        view_->live_entries);
    for (auto item = view_->members.cbegin(); item != view_->members.cend();
         ++item)
    {
        update_pool(item.key(), item.value());
    }
    for (auto const& service : pools_.keys())
    {
        if (!view_->members.contains(service))
        {
            update_pool(service, {});
        }
    }
}

void route_traffic::update_pool(service_name const& service,
                                std::vector<pool_member> members)
{
    auto const ended_processes = pool(service)->update(
        std::move(members), view_->region_entries, view_->live_entries);
    for (auto const& process : ended_processes)
    {
        request_quarantine_.upstream_gone(process.id, process.started);
    }
}

void route_traffic::report_crashes()
{
    if (!request_quarantine_.has_changes(reported_crashes_, record_scope::own))
    {
        return;
    }
    auto const reports =
        request_quarantine_.export_update(reported_crashes_, record_scope::own);
    reported_crashes_ = reports.next;
    for (auto const& record : reports.records)
    {
        entry_log.note(
            "request.crashes",
            {{"fingerprint",
              QString::fromLatin1(record.fingerprint.value().toHex())},
             {"upstreams", qint64(record.crashes.size())}});
    }
    calls_.crashes(reports);
}

void route_traffic::apply_limits()
{
    auto const& configured = view_->routes->limits;
    auto limits = settings_.limits;
    limits.maximum_header_bytes = configured.header_bytes;
    limits.maximum_body_bytes = configured.body_bytes;
    limits.header_timeout = configured.header_timeout;
    limits.idle_timeout = configured.idle_timeout;
    caller_endpoint_.set_limits(limits);
}

std::shared_ptr<routed_pool> route_traffic::pool(service_name const& service)
{
    auto& result = pools_[service];
    if (!result)
    {
        result = std::make_shared<routed_pool>(
            service, settings_.steering, clock_, region_shift_,
            QRandomGenerator::system()->generate64());
    }
    return result;
}

routed_request_services route_traffic::services()
{
    return {upstream_client_,
            clock_,
            timers_,
            header_codec_,
            request_quarantine_,
            reachability_,
            relays_,
            link_,
            path_delay_,
            [this](routed_request_result const& result)
            { record_result(result); },
            calls_.rate_limit,
            settings_.trace_one_in};
}

// Caller requests.

void route_traffic::handle_request(exchange_ptr const& exchange)
{
    auto const& request = exchange->request();
    auto metadata = header_codec_.read_request(request);
    if (!view_->routes || is_refusing_)
    {
        refuse(exchange, metadata, 503,
               is_refusing_ ? "stopping" : "no-routes");
        return;
    }
    if (metadata.id.isEmpty())
    {
        refuse(exchange, metadata, 400, "no-request-id");
        return;
    }
    auto const relayed = read_relay_request(request);
    if (relayed && relayed->version > view_->routes->version)
    {
        refuse(exchange, metadata, 503, "older-routes");
        return;
    }
    auto const* route =
        find_route(*view_->routes, request.header("Host"), request.path);
    if (route == nullptr)
    {
        refuse(exchange, metadata, 404, "no-route");
        return;
    }
    if (!caller_budget_.has_upstream_room(request.is_followed))
    {
        refuse(exchange, metadata, 503, "overloaded");
        return;
    }
    auto destination = destination_of(exchange, metadata, *route);
    if (!destination)
    {
        return;
    }
    auto request_services = services();
    // The entry that relayed a request has counted it.
    if (!relayed && has_allowance(*destination))
    {
        if (!is_within_allowance(exchange, metadata, *destination->team))
        {
            return;
        }
        refund_if_not_run(request_services, *destination->team);
    }
    routed_request::start(request_services, exchange, std::move(metadata),
                          std::move(*destination));
}

std::optional<request_destination>
route_traffic::destination_of(exchange_ptr const& exchange,
                              request_metadata const& metadata,
                              route_record const& route)
{
    // Before the key: that it is unknown here may no longer be true.
    if (team_gate_.depends_on_keys(exchange->request(), route) &&
        !key_gate_.permits_request())
    {
        metrics_.count_key_refusal("keys-unconfirmed");
        refuse(exchange, metadata, 503, "keys-unconfirmed");
        return std::nullopt;
    }
    auto const decision = team_gate_.decide(exchange->request(), route);
    if (decision.refused)
    {
        metrics_.count_key_refusal(decision.refused->reason);
        refuse(exchange, metadata, decision.refused->status,
               decision.refused->reason);
        return std::nullopt;
    }
    auto const* const team = decision.team;
    request_destination result{
        team != nullptr ? team_gate::route_for(*team, route) : route,
        view_->routes->version, pool(split_chooser_.choose(route))};
    if (team_gate_.uses_keys())
    {
        result.team = team != nullptr ? team->name : team_name();
    }
    return result;
}

void route_traffic::refuse(exchange_ptr const& exchange,
                           request_metadata const& metadata, int status,
                           char const* code, milliseconds delay)
{
    auto response = not_run_response(status, code, "It was not run.");
    if (status == 503 || status == 429)
    {
        header_codec_.set_retry_after(
            response.headers,
            view_->routes
                ? delay
                : spread_return(start_up_delay, admission_lot(metadata.id)));
    }
    if (status == 401)
    {
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    if (read_relay_request(exchange->request()))
    {
        set_relay_headers(response.headers,
                          relay_response{run_verdict::not_run, {}});
    }
    entry_log.note("request.refused",
                   {{"request", QString::fromLatin1(metadata.id)},
                    {"status", status},
                    {"reason", QLatin1String(code)},
                    {"version", view_->routes ? view_->routes->version.value()
                                              : qint64{0}}});
    exchange->respond(response);
}

void route_traffic::record_result(routed_request_result const& result)
{
    metrics_.count_request(
        result.service.value(), verdict_word(result.verdict), result.status,
        std::chrono::duration_cast<std::chrono::microseconds>(result.duration));
    metrics_.count_attempts(result.service.value(), result.attempts);
}

qint64 route_traffic::unreadable_loads() const
{
    qint64 result = 0;
    for (auto const& each : pools_)
    {
        result += each->unreadable_loads;
    }
    return result;
}

void route_traffic::report_admission()
{
    for (auto const& each : pools_)
    {
        auto const& admission = each->admission;
        qint64 refused = 0;
        QJsonArray admitted_by_priority;
        QJsonArray refused_by_priority;
        for (auto const& counts : admission.decisions())
        {
            refused += counts.refused;
            admitted_by_priority.append(counts.admitted);
            refused_by_priority.append(counts.refused);
        }
        if (std::exchange(reported_refusals_[each->service], refused) !=
            refused)
        {
            entry_log.note("entry.admission",
                           {{"service", each->service.value()},
                            {"room", admission.room()},
                            {"queue", admission.queue()},
                            {"teams", admission.team_count()},
                            {"admitted", admitted_by_priority},
                            {"refused", refused_by_priority}});
        }
    }
}

void route_traffic::report_load(process_load_meter::load const& used)
{
    report_admission();
    auto const link = link_.take_usage();
    entry_log.note(
        "entry.load",
        {{"interval_ms", qint64{used.interval.count()}},
         {"processor_ms", qint64{used.processor_time.count()}},
         {"loop_lag_ms", qint64{used.loop_lag.count()}},
         {"path_delay_ms", qint64{path_delay_.delay().count()}},
         {"longest_path_delay_ms", qint64{path_delay_.take_maximum().count()}},
         {"link_share", link.lowest_share},
         {"link_admitted", link.admitted},
         {"link_refused", link.refused},
         {"received_bytes", link.bytes.received},
         {"sent_bytes", link.bytes.sent},
         {"unreadable_loads", unreadable_loads()},
         {"connections", caller_endpoint_.connection_count()},
         {"woken_connections", caller_endpoint_.woken_connections()},
         {"open_requests", caller_endpoint_.open_exchanges()},
         {"open_attempts", upstream_client_.attempts_in_flight()},
         {"caller_bytes", caller_budget_.charged_bytes()},
         {"released_for_memory", caller_budget_.totals().released_for_memory},
         {"released_for_connections",
          caller_budget_.totals().released_for_connections},
         {"callers_refused", caller_budget_.totals().refused}});
}

// Readiness and metrics.

void route_traffic::handle_readiness(exchange_ptr const& exchange)
{
    if (view_->is_ready)
    {
        exchange->respond({200, {{"Content-Type", "text/plain"}}, "ready\n"});
        return;
    }
    exchange->respond(not_run_response(503, "not-ready", "It is not ready."));
}

void route_traffic::handle_metrics(exchange_ptr const& exchange)
{
    std::size_t upstreams = 0;
    for (auto const& members : view_->members)
    {
        upstreams += members.size();
    }
    metrics_.set_state(view_->routes ? view_->routes->version.value() : 0,
                       static_cast<std::size_t>(view_->live_entries), upstreams,
                       caller_endpoint_.open_exchanges());
    if (auto const left = key_gate_.remaining())
    {
        metrics_.set_key_lease(*left);
    }
    metrics_.set_unreadable_loads(unreadable_loads());
    metrics_.set_restricted_teams(allowance_gate_.restricted_teams());
    exchange->respond({200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       metrics_.text()});
}

} // namespace verbenacove
