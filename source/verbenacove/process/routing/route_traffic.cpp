#include "verbenacove/process/routing/route_traffic.hpp"

#include "verbenacove/core/event_log.hpp"

#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

event_log const entry_log{"entry"};

constexpr milliseconds probe_interval{200};
constexpr milliseconds probe_timeout{1000};
/** The interval between crash reports. Crashes within one interval are
    reported together. */
constexpr milliseconds crash_report_interval{250};
/** The retry delay that a 503 response asks of the caller. */
constexpr milliseconds refusal_delay{250};

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
    return {};
}

void route_traffic::update(routing_view_ptr view)
{
    bool const has_new_routes = view->routes != view_->routes;
    view_ = std::move(view);
    if (has_new_routes && view_->routes)
    {
        auto const age = elapsed(view_->published_at, clock_.now());
        entry_log.note("routes.applied",
                       {{"version", view_->routes->version.value()},
                        {"queued_ms", qint64{age.count()}}});
        apply_limits();
        split_chooser_.keep_only(*view_->routes);
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
    auto const service = split_chooser_.choose(*route);
    routed_request::start(services(), exchange, std::move(metadata),
                          {*route, view_->routes->version, pool(service)});
}

void route_traffic::refuse(exchange_ptr const& exchange,
                           request_metadata const& metadata, int status,
                           char const* code)
{
    auto response = not_run_response(status, code, "It was not run.");
    if (status == 503)
    {
        header_codec_.set_retry_after(response.headers, refusal_delay);
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

void route_traffic::report_load(process_load_meter::load const& used)
{
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

// Readiness, metrics and health probes.

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
    exchange->respond({200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       metrics_.text()});
}

void route_traffic::handle_reachability_change(bool is_cut_off)
{
    entry_log.note(is_cut_off ? "upstreams.unreachable" : "upstreams.reachable",
                   {{"relays", static_cast<qint64>(view_->relays.size())}});
    metrics_.set_cut_off(is_cut_off);
    if (!is_cut_off)
    {
        for (auto const& each : pools_)
        {
            each->upstreams.end_connection_ejections();
        }
    }
    calls_.reachability(is_cut_off);
}

void route_traffic::probe_path()
{
    if (!reachability_.start_due_probe())
    {
        return;
    }
    std::vector<std::pair<std::shared_ptr<routed_pool>, pool_member>> targets;
    for (auto const& each : pools_)
    {
        for (auto const& member : each->upstreams.members())
        {
            targets.emplace_back(each, member);
        }
    }
    if (targets.empty())
    {
        return;
    }
    auto const chosen = QRandomGenerator::global()->bounded(
        static_cast<quint32>(targets.size()));
    probe_upstream(targets[chosen].first, targets[chosen].second);
}

void route_traffic::probe()
{
    if (reachability_.is_cut_off())
    {
        probe_path();
        return;
    }
    for (auto const& each : pools_)
    {
        for (auto const& member : each->upstreams.start_due_probes())
        {
            probe_upstream(each, member);
        }
    }
}

void route_traffic::probe_upstream(std::shared_ptr<routed_pool> const& target,
                                   pool_member const& member)
{
    if (member.health_path.isEmpty())
    {
        return;
    }
    attempt_request probe;
    probe.address = member.address;
    probe.method = "GET";
    probe.target = member.health_path.toUtf8();
    probe.headers = {{"Host", member.address.text().toLatin1()}};
    probe.time_left = probe_timeout;
    probe.connect_timeout = probe_timeout;
    probe.on_connected = [this](milliseconds)
    {
        reachability_.record_connection(clock_.now());
    };
    upstream_client_.start(std::move(probe),
                           [this, target, member](attempt_result const& result)
                           { handle_probe_response(target, member, result); });
}

void route_traffic::handle_probe_response(
    std::shared_ptr<routed_pool> const& target, pool_member const& member,
    attempt_result const& result)
{
    reachability_.record_attempt(member.id, result);
    auto const metadata = header_codec_.read_response(result.response);
    bool const is_healthy = result.end == attempt_end::answered &&
                            result.response.status == 200 &&
                            metadata.responder == member.id;
    if (metadata.responder == member.id)
    {
        apply_signals(*target, member, result, metadata);
    }
    if (result.end == attempt_end::connect_failed)
    {
        request_quarantine_.upstream_gone(member.id, member.started);
    }
    auto const cold_start_remaining =
        metadata.cold_start_remaining.value_or(milliseconds(0));
    entry_log.note("upstream.probed",
                   {{"upstream", member.id.value()},
                    {"healthy", is_healthy},
                    {"cold_ms", qint64{cold_start_remaining.count()}}});
    target->upstreams.handle_probe_result(member.id, is_healthy,
                                          cold_start_remaining);
}

void route_traffic::apply_signals(routed_pool& target,
                                  pool_member const& member,
                                  attempt_result const& result,
                                  response_metadata const& metadata) const
{
    if (metadata.is_leaving)
    {
        target.upstreams.mark_leaving(member);
    }
    auto const sent = clock_.now() - result.duration;
    if (auto const report =
            target.upstreams.observe_rate_limit(member, sent, metadata))
    {
        calls_.rate_limit(*report);
    }
}

} // namespace verbenacove
