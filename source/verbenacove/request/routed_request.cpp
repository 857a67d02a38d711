#include "verbenacove/request/routed_request.hpp"

#include "verbenacove/core/event_log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace verbenacove
{

namespace
{

event_log const request_log{"request"};

constexpr milliseconds connect_timeout{300};
/** Minimum time left for starting an attempt: no upstream responds faster. */
constexpr milliseconds minimum_attempt_time{5};
constexpr milliseconds no_upstream_retry_interval{40};
/** Divisor of the latency objective that gives the maximum time a request waits
    for an upstream to become available. Refusing the request later would cost
    the caller time. */
constexpr int upstream_wait_divisor = 10;
/** Maximum number of upstreams tried per request, including failed
    connections. */
constexpr int maximum_started_attempts = 6;
constexpr qint64 maximum_response_size = qint64{16} * 1024 * 1024;
constexpr milliseconds retry_delay{150};
/** Retry delay sent when a quarantined request is refused; longer, because the
    request must not be resent soon. */
constexpr milliseconds quarantine_delay{1000};
/** Retry delay sent when the upstreams accept no higher rate of requests; the
    shortage lasts for seconds, and early retries would add to it. */
constexpr milliseconds rate_limit_delay{500};

constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int lowest_server_error = 500;
constexpr int misdirected_status = 421;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

/** Returns the retry delay that a refusal for this reason asks for. */
milliseconds retry_delay_after(char const* reason)
{
    struct reason_delay
    {
        char const* reason;
        milliseconds delay;
    };
    static constexpr std::array<reason_delay, 2> delays{
        {{"quarantined", quarantine_delay},
         {"rate limited", rate_limit_delay}}};
    auto const found =
        std::find_if(delays.begin(), delays.end(),
                     [reason](reason_delay const& each)
                     { return qstrcmp(each.reason, reason) == 0; });
    return found == delays.end() ? retry_delay : found->delay;
}

char const* reason_of(pool_shortage shortage)
{
    switch (shortage)
    {
    case pool_shortage::no_time:
        return "overloaded";
    case pool_shortage::rate_limited:
        return "rate limited";
    default:
        return "no upstream";
    }
}

QByteArray target_of(http_request const& request)
{
    return request.query.isEmpty() ? request.path
                                   : request.path + '?' + request.query;
}

} // namespace

void routed_request::start(routed_request_services const& services,
                           std::shared_ptr<http_exchange> exchange,
                           request_metadata metadata,
                           request_destination destination)
{
    std::shared_ptr<routed_request> const request(
        new routed_request(services, std::move(exchange), std::move(metadata),
                           std::move(destination)));
    request->begin();
}

routed_request::routed_request(routed_request_services const& services,
                               std::shared_ptr<http_exchange> exchange,
                               request_metadata metadata,
                               request_destination destination)
    : services_(services)
    , exchange_(std::move(exchange))
    , metadata_(std::move(metadata))
    , route_(std::move(destination.route))
    , version_(destination.version)
    , pool_(std::move(destination.pool))
    , arrival_time_(services_.clock.now())
{
    auto const& request = exchange_->request();
    fingerprint_ =
        fingerprint_of(request.method, target_of(request), request.body);
    auto const left =
        std::min(route_.timeout, metadata_.time_left.value_or(route_.timeout));
    deadline_ = arrival_time_ + left;
}

void routed_request::begin()
{
    pool_->retries.count_request();
    span_ = trace_span::begin(
        QStringLiteral("routed request"),
        parse_traceparent(exchange_->request().header("traceparent")),
        services_.sample_one_in);
    span_.note("route", route_.name);
    exchange_->on_cancelled([self = shared_from_this()] { self->cancel(); });
    try_next();
}

milliseconds routed_request::time_left() const
{
    return elapsed(services_.clock.now(), deadline_);
}

void routed_request::try_next()
{
    auto const left = time_left();
    if (left < minimum_attempt_time)
    {
        may_have_run_ ? respond_may_have_run(gateway_timeout, "deadline")
                      : respond_not_run("deadline");
        return;
    }
    if (services_.request_quarantine.permission(fingerprint_) ==
        send_permission::refused)
    {
        respond_not_run("quarantined");
        return;
    }
    pool_query query;
    query.affinity_key =
        route_.has_affinity ? metadata_.affinity_key : QByteArray();
    query.excluded = tried_upstreams_;
    query.homes = route_.homes;
    query.objective = route_.objective;
    query.objective_left =
        route_.objective - elapsed(arrival_time_, services_.clock.now());
    query.time_left = left;
    auto shortage = pool_shortage::none_known;
    auto choice = pool_->upstreams.choose(query, shortage);
    if (!choice)
    {
        wait_for_upstream(shortage);
        return;
    }
    send_to(std::move(*choice));
}

void routed_request::wait_for_upstream(pool_shortage shortage)
{
    auto const waited = elapsed(arrival_time_, services_.clock.now());
    // Tokens of a rate limit come far apart, so waiting would rarely help.
    bool const can_wait = shortage != pool_shortage::no_time &&
                          shortage != pool_shortage::rate_limited &&
                          waited < route_.objective / upstream_wait_divisor;
    if (can_wait && tried_upstreams_.empty())
    {
        retry_timer_ = services_.timers.call_after(no_upstream_retry_interval,
                                                   [self = shared_from_this()]
                                                   { self->try_next(); });
        return;
    }
    if (may_have_run_)
    {
        respond_may_have_run(bad_gateway, "no other upstream");
        return;
    }
    respond_not_run(reason_of(shortage));
}

void routed_request::send_to(pool_choice choice)
{
    ++started_attempts_;
    quarantine_attempt_ = services_.request_quarantine.track(
        fingerprint_, choice.member.id, choice.member.started);
    tried_upstreams_.push_back(choice.member.id);
    attempt_span_ = trace_span::begin_child(QStringLiteral("attempt"),
                                            span_kind::client, span_.context());
    attempt_span_.note("upstream", choice.member.id.value());
    choice_ = std::move(choice);
    running_attempt_ = services_.upstreams.start(
        make_attempt_request(*choice_),
        [self = shared_from_this()](attempt_result result)
        { self->handle_result(std::move(result)); });
}

attempt_request routed_request::make_attempt_request(pool_choice const& choice)
{
    auto const& request = exchange_->request();
    attempt_request attempt;
    attempt.address = choice.member.address;
    attempt.method = request.method;
    attempt.target = target_of(request);
    attempt.headers = request.headers;
    services_.header_codec.set_request_headers(attempt.headers, time_left(),
                                               choice.member.id);
    attempt.body = request.body;
    attempt.connect_timeout = std::min(connect_timeout, time_left());
    attempt.time_left = time_left();
    attempt.stall_timeout = attempt.time_left;
    attempt.maximum_response_bytes = maximum_response_size;
    attempt.may_reuse_connection = route_.is_idempotent;
    attempt.is_own_response =
        [this](http_response const& head, connection_age age)
    {
        return is_own_response(head, age);
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
    sent_attempts_ += may_have_been_sent(result.end) ? 1 : 0;
    if (has_ended_)
    {
        return;
    }
    if (result.end != attempt_end::answered)
    {
        // Only a broken connection may indicate a crashed process.
        bool const is_connection_intact =
            result.end == attempt_end::timed_out_after_send ||
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
                {metadata, result.response.body.size(), {}});
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
    end_attempt(outcome, {{}, 0, result.reason});
    may_have_run_ = may_have_run_ || was_sent;
    if (can_retry(was_sent ? execution::may_have_run : execution::not_received))
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
        outcome == upstream_outcome::connection_lost
            ? services_.request_quarantine.lost(*number)
        : outcome == upstream_outcome::success
            ? services_.request_quarantine.answered(*number)
            : services_.request_quarantine.ended(*number);
    }
    attempt_span_.end();
    auto const& load = report.response.load;
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
         {"named_limit", named_limit ? named_limit->value() : -1},
         {"rate_share", rate_limit ? rate_limit->share.value() : -1},
         {"took_ms",
          qint64{elapsed(choice->started, services_.clock.now()).count()}}});
}

bool routed_request::can_retry(execution last_attempt)
{
    bool const is_safe =
        route_.is_idempotent ||
        (last_attempt != execution::may_have_run && !may_have_run_);
    bool const has_attempts_left = sent_attempts_ < route_.maximum_attempts &&
                                   started_attempts_ < maximum_started_attempts;
    if (!is_safe || !has_attempts_left || time_left() <= minimum_attempt_time)
    {
        return false;
    }
    // Attempts that did not reach an upstream add no load to the service, so
    // they do not use the retry budget.
    return sent_attempts_ == 0 || pool_->retries.take_retry();
}

void routed_request::cancel()
{
    if (has_ended_)
    {
        return;
    }
    has_ended_ = true;
    retry_timer_.cancel();
    if (running_attempt_)
    {
        services_.upstreams.cancel(*running_attempt_);
    }
    if (choice_)
    {
        end_attempt(upstream_outcome::inconclusive,
                    {{}, 0, QStringLiteral("the caller left")});
    }
    request_log.note("request.left",
                     {{"request", QString::fromLatin1(metadata_.id)},
                      {"route", route_.name}});
    span_.end();
}

void routed_request::respond_not_run(char const* reason)
{
    auto response =
        not_run_response(unavailable, "not-run", "No upstream ran it.");
    services_.header_codec.set_retry_after(response.headers,
                                           retry_delay_after(reason));
    respond(std::move(response), run_verdict::not_run, reason);
}

void routed_request::respond_may_have_run(int status, char const* reason)
{
    http_response response;
    response.status = status;
    response.headers = {
        {"Run-Verdict", verdict_word(run_verdict::may_have_run)}};
    respond(std::move(response), run_verdict::may_have_run, reason);
}

void routed_request::respond(http_response response, run_verdict verdict,
                             char const* reason)
{
    has_ended_ = true;
    retry_timer_.cancel();
    auto const duration = elapsed(arrival_time_, services_.clock.now());
    request_log.note("request.ended",
                     {{"request", QString::fromLatin1(metadata_.id)},
                      {"route", route_.name},
                      {"service", pool_->service.value()},
                      {"version", version_.value()},
                      {"status", response.status},
                      {"reason", QLatin1String(reason)},
                      {"verdict", QString::fromLatin1(verdict_word(verdict))},
                      {"attempts", sent_attempts_},
                      {"took_ms", qint64{duration.count()}},
                      {"left_ms", qint64{time_left().count()}}});
    span_.end();
    services_.on_result({route_.name, pool_->service, verdict, response.status,
                         sent_attempts_, duration});
    exchange_->respond(response);
}

} // namespace verbenacove
