#include "verbenacove/request/routed_request_detail.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

using namespace routed_request_detail;

namespace
{

/** Time that a connection may take to open on a link that is free. */
constexpr milliseconds connect_timeout{300};
constexpr qint64 maximum_response_size = qint64{16} * 1024 * 1024;
constexpr int lowest_server_error = 500;
constexpr int misdirected_status = 421;

/** Returns the time since the start in milliseconds, or -1 without an end. */
qint64 time_to(std::optional<monotonic_time> end, monotonic_time start)
{
    return end ? qint64{elapsed(start, *end).count()} : -1;
}

/** Returns the reported time that work takes, in percent of the usual, or -1
    if there is none. */
int work_percent(std::optional<upstream_load> const& load)
{
    constexpr double whole = 100;
    return load && load->work_factor
               ? static_cast<int>(*load->work_factor * whole)
               : -1;
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

void routed_request::send_to(pool_choice choice)
{
    ++started_attempts_;
    quarantine_attempt_ = services_.request_quarantine.track(
        fingerprint_, choice.member.id, choice.member.started,
        choice.member.zone);
    tried_upstreams_.push_back(choice.member.id);
    attempt_span_ = trace_span::begin_child(QStringLiteral("attempt"),
                                            span_kind::client, span_.context());
    attempt_span_.note("upstream", choice.member.id.value());
    choice_ = std::move(choice);
    start_upstream_attempt();
}

void routed_request::start_upstream_attempt()
{
    running_attempt_ = services_.upstreams.start(
        make_attempt_request(*choice_),
        [self = shared_from_this()](attempt_result result)
        { self->handle_result(std::move(result)); });
    if (route_.is_idempotent)
    {
        cut_off_callback_ = services_.reachability.call_when_cut_off(
            [self = shared_from_this()] { self->handle_cut_off(); });
    }
}

void routed_request::handle_cut_off()
{
    cut_off_callback_.reset();
    bool const can_move = running_attempt_ &&
                          sent_attempts_ + 1 < route_.maximum_attempts &&
                          pool_->retries.take_retry();
    if (can_move)
    {
        is_moving_ = true;
        services_.upstreams.cancel(*running_attempt_);
    }
}

attempt_request
routed_request::make_request(socket_address const& address) const
{
    auto const& request = exchange_->request();
    attempt_request attempt;
    attempt.address = address;
    attempt.method = request.method;
    attempt.target = target_of(request);
    // Otherwise a `Connection` header could name those that are set below, and
    // they would not be sent.
    attempt.headers =
        team_ ? end_to_end_headers(request.headers) : request.headers;
    remove_relay_headers(attempt.headers);
    attempt.body = request.body;
    attempt.connect_timeout = std::min(
        services_.path_delay.time_to_connect(connect_timeout), time_left());
    attempt.time_left = time_left();
    attempt.stall_timeout = attempt.time_left;
    attempt.maximum_response_bytes = maximum_response_size;
    attempt.may_reuse_connection = route_.is_idempotent;
    return attempt;
}

attempt_request routed_request::make_attempt_request(pool_choice const& choice)
{
    auto attempt = make_request(choice.member.address);
    if (team_)
    {
        services_.header_codec.set_team(attempt.headers, *team_);
    }
    services_.header_codec.set_request_headers(attempt.headers, time_left(),
                                               choice.member.id);
    attempt.is_own_response =
        [this](http_response const& head, connection_age age)
    {
        return is_own_response(head, age);
    };
    attempt.on_connected =
        [this, zone = choice.member.zone](milliseconds duration)
    {
        services_.reachability.record_connection(services_.clock.now());
        services_.path_delay.record_connection(zone, duration);
        services_.link.observe_delay(services_.path_delay.delay());
    };
    return attempt;
}

// An upstream that could not read the request may refuse it without its id. On
// a fresh connection nothing else can be meant.
bool routed_request::is_own_response(http_response const& head,
                                     connection_age age) const
{
    auto const metadata = services_.header_codec.read_response(head);
    bool const is_refusal =
        metadata.is_not_executed || head.status == misdirected_status;
    bool const may_lack_id = is_refusal && age == connection_age::fresh;
    return metadata.request_id == metadata_.id ||
           (may_lack_id && metadata.request_id.isEmpty());
}

void routed_request::handle_result(attempt_result result)
{
    running_attempt_.reset();
    stages_ = {result.connected, result.response_begun};
    if (auto const id = std::exchange(cut_off_callback_, std::nullopt))
    {
        services_.reachability.remove(*id);
    }
    sent_attempts_ += may_have_been_sent(result.end) ? 1 : 0;
    if (has_ended_)
    {
        return;
    }
    services_.reachability.record_attempt(choice_->member.id, result);
    bool const was_moved =
        std::exchange(is_moving_, false) && result.end != attempt_end::answered;
    if (was_moved)
    {
        may_have_run_ = may_have_run_ || may_have_been_sent(result.end);
        end_attempt(upstream_outcome::inconclusive,
                    {{}, 0, QStringLiteral("no upstream can be reached")});
        try_next();
        return;
    }
    if (result.end != attempt_end::answered)
    {
        // Only a broken connection may indicate a crashed process.
        bool const is_connection_intact =
            result.end == attempt_end::timed_out_after_send ||
            result.end == attempt_end::oversized ||
            result.end == attempt_end::foreign_response;
        handle_failure(result, is_connection_intact
                                   ? upstream_outcome::failure
                                   : upstream_outcome::connection_lost);
        return;
    }
    auto const metadata = services_.header_codec.read_response(result.response);
    bool const is_refusal = metadata.is_not_executed ||
                            result.response.status == misdirected_status;
    bool const is_invalid =
        is_success(result.response.status) && metadata.signature.isEmpty();
    if (is_refusal)
    {
        handle_not_executed(result, metadata);
    }
    else if (is_invalid)
    {
        result.end = attempt_end::failed_after_send;
        result.reason = QStringLiteral("The response has no signature.");
        handle_failure(result, upstream_outcome::failure);
    }
    else
    {
        handle_response(result, metadata);
    }
}

void routed_request::handle_response(attempt_result const& result,
                                     response_metadata const& metadata)
{
    bool const has_failed = result.response.status >= lowest_server_error;
    apply_signals(metadata);
    end_attempt(has_failed ? upstream_outcome::failure
                           : upstream_outcome::success,
                {metadata,
                 result.response.body.size(),
                 {},
                 process_evidence::answered});
    may_have_run_ = true;
    if (has_failed && can_retry(execution::may_have_run))
    {
        try_next();
        return;
    }
    respond(result.response, run_verdict::ran, "answered");
}

void routed_request::handle_not_executed(attempt_result const& result,
                                         response_metadata const& metadata)
{
    bool const is_misdirected = result.response.status == misdirected_status;
    if (!is_misdirected)
    {
        apply_signals(metadata);
    }
    if (!is_misdirected && metadata.pause.value_or(milliseconds(0)).count() > 0)
    {
        pause_upstream(*metadata.pause);
    }
    end_attempt(is_misdirected ? upstream_outcome::misdirected
                               : upstream_outcome::full,
                {metadata, 0, QStringLiteral("not executed")});
    if (can_retry(execution::not_run))
    {
        try_next();
        return;
    }
    if (may_have_run_)
    {
        respond_may_have_run(bad_gateway, "not executed after a loss");
        return;
    }
    respond_not_run(is_misdirected ? "misdirected" : "full");
}

void routed_request::handle_failure(attempt_result const& result,
                                    upstream_outcome outcome)
{
    bool const was_sent = may_have_been_sent(result.end);
    bool const has_timed_out = result.end == attempt_end::timed_out_after_send;
    // What did not reach the upstream says nothing of why it has ended.
    bool const is_lost =
        was_sent && outcome == upstream_outcome::connection_lost;
    end_attempt(outcome,
                {{},
                 0,
                 result.reason,
                 is_lost ? process_evidence::lost : process_evidence::none});
    may_have_run_ = may_have_run_ || was_sent;
    // A suspect that has just lost an upstream may have crashed it.
    bool const may_crash_next =
        is_lost && services_.request_quarantine.is_suspect(fingerprint_);
    if (!may_crash_next &&
        can_retry(was_sent ? execution::may_have_run : execution::not_received))
    {
        try_next();
        return;
    }
    if (may_have_run_)
    {
        respond_may_have_run(has_timed_out ? gateway_timeout : bad_gateway,
                             "lost");
        return;
    }
    respond_not_run("unreachable");
}

void routed_request::apply_signals(response_metadata const& metadata)
{
    auto const report = pool_->upstreams.observe_rate_limit(
        choice_->member, choice_->started, metadata);
    if (report)
    {
        services_.on_rate_limit(*report);
    }
    if (metadata.is_leaving && pool_->upstreams.mark_leaving(choice_->member))
    {
        request_log.note("upstream.leaving",
                         {{"upstream", choice_->member.id.value()}});
    }
}

void routed_request::pause_upstream(milliseconds duration)
{
    pool_->upstreams.pause(choice_->member, duration);
    request_log.note("upstream.paused",
                     {{"upstream", choice_->member.id.value()},
                      {"pause_ms", qint64{duration.count()}}});
}

void routed_request::end_attempt(upstream_outcome outcome,
                                 attempt_report const& report)
{
    auto const choice = std::exchange(choice_, std::nullopt);
    if (auto const number = std::exchange(quarantine_attempt_, std::nullopt))
    {
        auto& crashes = services_.request_quarantine;
        report.process == process_evidence::lost ? crashes.lost(*number)
        : report.process == process_evidence::answered
            ? crashes.answered(*number)
            : crashes.ended(*number);
    }
    attempt_span_.end();
    auto const stages = std::exchange(stages_, {});
    pool_->unreadable_loads += report.response.is_load_unreadable ? 1 : 0;
    auto const& load = report.response.load;
    if (load)
    {
        auto const now = services_.clock.now();
        bool const was_run = outcome == upstream_outcome::success;
        pool_->admission.record_load(
            *load, was_run ? elapsed(choice->started, now) : milliseconds(0),
            now);
    }
    auto const& named_limit = report.response.rate_limit;
    auto const& rate_limit = choice->member.rate_limit;
    pool_->upstreams.finish(
        *choice, route_.has_affinity ? metadata_.affinity_key : QByteArray(),
        outcome, load,
        exchange_->request().body.size() + report.response_bytes);
    request_log.note(
        "request.attempt",
        {{"request", QString::fromLatin1(metadata_.id)},
         {"upstream", choice->member.id.value()},
         {"key", QString::fromUtf8(metadata_.affinity_key)},
         {"zone", choice->member.zone.value()},
         {"evidence", static_cast<int>(outcome)},
         {"reason", report.reason},
         {"work", static_cast<qint64>(choice->recency.value())},
         {"expected_ms", qint64{choice->expected.count()}},
         {"load", load ? load->running + load->waiting : -1},
         {"work_percent", work_percent(load)},
         {"named_limit", named_limit ? named_limit->value() : -1},
         {"rate_share", rate_limit ? rate_limit->share.value() : -1},
         {"connect_ms", time_to(stages.connected, choice->started)},
         {"first_byte_ms", time_to(stages.response_begun, choice->started)},
         {"took_ms",
          qint64{elapsed(choice->started, services_.clock.now()).count()}}});
}

} // namespace verbenacove
