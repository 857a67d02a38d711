#include "verbenacove/core/stable_hash.hpp"
#include "verbenacove/request/routed_request_detail.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace verbenacove
{

using namespace routed_request_detail;

namespace
{

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
constexpr milliseconds retry_delay{150};
/** Retry delay sent when a quarantined request is refused; longer, because the
    request must not be resent soon. */
constexpr milliseconds quarantine_delay{1000};
/** Retry delay sent when the upstreams accept no higher rate of requests; the
    shortage lasts for seconds, and early retries would add to it. */
constexpr milliseconds rate_limit_delay{500};

/** The reason of refusals for want of room on the VM's link. */
constexpr char link_full[] = "link full";
/** The reason of refusals for want of room at the upstreams. */
constexpr char no_room[] = "no room";

qint64 size_of(std::vector<http_header> const& headers)
{
    // Name and value are followed by a colon, a space and a line break.
    constexpr qint64 separators = 4;
    qint64 result = 0;
    for (auto const& header : headers)
    {
        result += header.name.size() + header.value.size() + separators;
    }
    return result;
}

milliseconds fixed_retry_delay(char const* reason)
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
    , team_(std::move(destination.team))
    , arrival_time_(services_.clock.now())
{
    auto const& request = exchange_->request();
    // The same path of another host is another request.
    fingerprint_ = fingerprint_of(
        request.method, request.header("Host").toLower() + target_of(request),
        request.body);
    relayed_from_ = read_relay_request(request);
    if (relayed_from_)
    {
        route_.maximum_attempts =
            std::min(route_.maximum_attempts, relayed_from_->maximum_attempts);
    }
    auto const left =
        std::min(route_.timeout, metadata_.time_left.value_or(route_.timeout));
    deadline_ = arrival_time_ + left;
}

void routed_request::begin()
{
    if (!should_relay())
    {
        pool_->retries.count_request();
    }
    span_ = trace_span::begin(
        QStringLiteral("routed request"),
        parse_traceparent(exchange_->request().header("traceparent")),
        services_.sample_one_in);
    span_.note("route", route_.name);
    exchange_->on_cancelled([self = shared_from_this()] { self->cancel(); });
    if (!has_room())
    {
        respond_not_run(no_room);
        return;
    }
    if (!reserve_link())
    {
        respond_not_run(link_full);
        return;
    }
    try_next();
}

bool routed_request::has_room()
{
    // The entry that has relayed the request has admitted it.
    if (relayed_from_ || should_relay())
    {
        return true;
    }
    auto const decision = pool_->admission.decide(
        {route_.priority, team_.value_or(team_name()).value(), route_.objective,
         admission_lot(metadata_.id)},
        arrival_time_);
    return_delay_ = decision.retry_after;
    return decision.is_admitted;
}

bool routed_request::reserve_link()
{
    auto const& request = exchange_->request();
    request_bytes_ = size_of(request.headers) + request.path.size() +
                     request.query.size() + request.body.size();
    auto const expected = pool_->response_size.bytes();
    auto const kept_free =
        relayed_from_ ? 0
                      : share_kept_for_urgent(route_.priority,
                                              admission_lot(metadata_.id));
    if (!services_.link.admit({expected, request_bytes_ + expected}, kept_free))
    {
        return false;
    }
    reserved_response_bytes_ = expected;
    return true;
}

void routed_request::settle_link(link_budget::traffic const& responses)
{
    auto const reserved = std::exchange(reserved_response_bytes_, 0);
    auto const further_attempts = std::max(0, started_attempts_ - 1);
    services_.link.add(
        {responses.received - reserved,
         responses.sent - reserved + further_attempts * request_bytes_});
}

// Spread by the request's id, so that callers which were refused together do
// not return together.
milliseconds routed_request::retry_delay_after(char const* reason) const
{
    if (qstrcmp(reason, no_room) == 0)
    {
        return return_delay_;
    }
    return qstrcmp(reason, link_full) == 0
               ? services_.link.return_delay(admission_lot(metadata_.id))
               : fixed_retry_delay(reason);
}

milliseconds routed_request::time_left() const
{
    return elapsed(services_.clock.now(), deadline_);
}

void routed_request::try_next()
{
    if (!exchange_->check_caller())
    {
        return;
    }
    auto const left = time_left();
    // What this VM's own queue holds up for longer would come too late.
    if (left < minimum_attempt_time + services_.path_delay.delay())
    {
        may_have_run_ ? respond_may_have_run(gateway_timeout, "deadline")
                      : respond_not_run("deadline");
        return;
    }
    if (services_.request_quarantine.permission(fingerprint_) ==
        send_permission::refused)
    {
        may_have_run_ ? respond_may_have_run(bad_gateway, "quarantined")
                      : respond_not_run("quarantined");
        return;
    }
    if (should_relay() && relay())
    {
        return;
    }
    if (relayed_from_ && services_.reachability.is_cut_off())
    {
        may_have_run_ ? respond_may_have_run(bad_gateway, "cut off")
                      : respond_not_run("cut off");
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
    settle_link({});
    retry_timer_.cancel();
    if (running_attempt_)
    {
        services_.upstreams.cancel(*running_attempt_);
    }
    if (auto const id = std::exchange(cut_off_callback_, std::nullopt))
    {
        services_.reachability.remove(*id);
    }
    if (choice_)
    {
        end_attempt(upstream_outcome::inconclusive,
                    {{}, 0, QStringLiteral("the caller left")});
    }
    request_log.note(
        "request.left",
        {{"request", QString::fromLatin1(metadata_.id)},
         {"route", route_.name},
         {"attempts", started_attempts_},
         {"took_ms",
          qint64{elapsed(arrival_time_, services_.clock.now()).count()}}});
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
    request_log.note(
        "request.ended",
        {{"request", QString::fromLatin1(metadata_.id)},
         {"route", route_.name},
         {"service", pool_->service.value()},
         {"version", version_.value()},
         {"status", response.status},
         {"reason", QLatin1String(reason)},
         {"verdict", QString::fromLatin1(verdict_word(verdict))},
         {"relayed_from_entry", relayed_from_.has_value()},
         {"attempts", sent_attempts_},
         {"body_bytes", exchange_->request().body.size()},
         {"read_ms", qint64{exchange_->request().reading_time.count()}},
         {"took_ms", qint64{duration.count()}},
         {"left_ms", qint64{time_left().count()}}});
    span_.end();
    auto const bytes = size_of(response.headers) + response.body.size();
    bool const is_from_upstream = verdict == run_verdict::ran;
    settle_link({is_from_upstream ? bytes : 0, bytes});
    if (is_from_upstream)
    {
        pool_->response_size.record(bytes);
    }
    if (relayed_from_)
    {
        auto const last =
            tried_upstreams_.empty() ? upstream_id() : tried_upstreams_.back();
        set_relay_headers(response.headers, relay_response{verdict, last});
    }
    services_.on_result({route_.name, pool_->service, verdict, response.status,
                         sent_attempts_, duration});
    exchange_->respond(response);
}

} // namespace verbenacove
