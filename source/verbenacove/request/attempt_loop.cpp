#include "verbenacove/request/attempt_loop.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

/** Fraction of the remaining time that an attempt may use while further
    attempts are possible. */
constexpr double attempt_time_share = 0.5;
/** Remaining time up to which an attempt may use all of it. */
constexpr milliseconds minimum_time_for_retry{200};
/** Interval at which a request that currently may not be sent to any upstream
    is tried again. */
constexpr milliseconds retry_interval{50};
/** Maximum total time a request waits while no upstream is available. */
constexpr milliseconds maximum_upstream_wait{1000};
/** Interval between liveness checks of an upstream whose connection was lost.
 */
constexpr milliseconds liveness_check_interval{200};
/** Maximum time by which an attempt's timer, which counts whole milliseconds,
    fires early. */
constexpr milliseconds timer_tolerance{2};

bool is_load_shed(http_response const& response)
{
    return response.status == 503 &&
           find_http_header(response.headers, "Run-Verdict") == "not-run";
}

bool is_server_failure(http_response const& response)
{
    return response.status == 500 || response.status == 502 ||
           response.status == 503 || response.status == 504;
}

} // namespace

std::shared_ptr<attempt_loop>
attempt_loop::start(outgoing_request request,
                    std::shared_ptr<service_pool> pool,
                    attempt_services const& services, callback done)
{
    std::shared_ptr<attempt_loop> loop(new attempt_loop(
        std::move(request), std::move(pool), services, std::move(done)));
    loop->pool_->retries.count_request();
    loop->try_next();
    return loop;
}

attempt_loop::attempt_loop(outgoing_request request,
                           std::shared_ptr<service_pool> pool,
                           attempt_services const& services, callback done)
    : request_(std::move(request))
    , pool_(std::move(pool))
    , services_(services)
    , done_(std::move(done))
{
}

void attempt_loop::cancel()
{
    is_cancelled_ = true;
    if (running_attempt_)
    {
        services_.upstreams.cancel(*running_attempt_);
    }
}

void attempt_loop::try_next()
{
    auto const time_left = elapsed(services_.clock.now(), request_.deadline);
    if (is_cancelled_)
    {
        finish_without_response("cancelled", "The caller has disconnected.");
        return;
    }
    if (time_left <= milliseconds(0))
    {
        finish_without_response("deadline", "The deadline has passed.");
        return;
    }
    auto const permission =
        services_.request_quarantine.permission(request_.fingerprint);
    if (permission == send_permission::refused)
    {
        // Earlier copies of the request ran, even if this one did not.
        verdict_ = run_verdict::may_have_run;
        finish_without_response("quarantined",
                                "The request has crashed too many upstreams.");
        return;
    }
    if (permission == send_permission::undecided)
    {
        schedule_retry();
        return;
    }
    auto choice = choose();
    bool const can_wait = permission == send_permission::isolated ||
                          permission == send_permission::trial ||
                          (!is_over_limit_ && can_wait_for_upstream());
    if (!choice && can_wait)
    {
        schedule_retry();
        return;
    }
    if (!choice)
    {
        finish_without_response(failure_code("no-upstream"),
                                "No upstream is available for the request.");
        return;
    }
    send_to(std::move(*choice), time_left);
}

std::optional<upstream_chooser::choice> attempt_loop::choose()
{
    // A request suspected of crashing upstreams is sent only to an upstream
    // that runs nothing else, and no other request is sent there meanwhile.
    auto excluded = tried_upstreams_;
    is_over_limit_ = false;
    while (true)
    {
        auto choice = pool_->chooser.choose(request_.kind, excluded,
                                            [this](region_name const& region)
                                            { return is_permitted(region); });
        // The chooser calls `is_permitted` only for other regions, so the
        // limit of the local region is checked here.
        bool const is_region_refused = choice &&
                                       !choice->is_in_other_region() &&
                                       !is_permitted(choice->upstream().region);
        if (is_region_refused)
        {
            return std::nullopt;
        }
        if (!choice || services_.request_quarantine.can_start(
                           request_.fingerprint, choice->upstream().id))
        {
            return choice;
        }
        excluded.push_back(choice->upstream().id);
    }
}

bool attempt_loop::is_permitted(region_name const& region)
{
    bool const is_within_limit = services_.region_limits.permits(region);
    is_over_limit_ = is_over_limit_ || !is_within_limit;
    return is_within_limit;
}

bool attempt_loop::can_wait_for_upstream()
{
    // The shortage can be temporary: upstreams can fail faster than they are
    // replaced, or the only one left can be reserved for a suspected request.
    auto const now = services_.clock.now();
    if (!no_upstream_since_)
    {
        no_upstream_since_ = now;
    }
    return elapsed(*no_upstream_since_, now) < maximum_upstream_wait;
}

void attempt_loop::schedule_retry()
{
    retry_timer_ =
        services_.timers.call_after(retry_interval,
                                    [self = shared_from_this()]
                                    {
                                        // Breaks the ownership
                                        // cycle: this loop owns the
                                        // timer, whose callback
                                        // owns the loop.
                                        auto const expired_timer =
                                            std::move(self->retry_timer_);
                                        self->try_next();
                                    });
}

void attempt_loop::send_to(upstream_chooser::choice choice,
                           milliseconds time_left)
{
    ++started_attempts_;
    tried_upstreams_.push_back(choice.upstream().id);
    attempt_request attempt;
    attempt.address = choice.upstream().address;
    attempt.method = request_.method;
    attempt.target = request_.target;
    attempt.headers = request_.headers;
    attempt.headers.push_back(
        {"Deadline-Ms", QByteArray::number(qint64(time_left.count()))});
    span_ = trace_span::begin_child(QStringLiteral("attempt"),
                                    span_kind::client, request_.trace);
    span_.note("upstream", choice.upstream().id.value());
    attempt.headers.push_back({"traceparent", span_.context().text()});
    attempt.body = request_.body;
    attempt.time_left = time_left;
    attempt.connect_timeout =
        std::min(request_.connect_timeout, attempt.time_left);
    attempt.may_reuse_connection = request_.may_reuse_connection;
    quarantine_attempt_ = services_.request_quarantine.start(
        request_.fingerprint, choice.upstream().id,
        choice.upstream().incarnation, choice.upstream().zone);
    services_.region_limits.begin(choice.upstream().region,
                                  attempt.body.size());
    choice_ = std::move(choice);
    attempt_started_ = services_.clock.now();
    running_attempt_ = services_.upstreams.start(
        std::move(attempt), [self = shared_from_this()](attempt_result result)
        { self->handle_result(std::move(result)); });
    start_attempt_timer(time_left);
}

void attempt_loop::start_attempt_timer(milliseconds time_left)
{
    // Leaves time for a retry if the upstream does not respond.
    bool const reserves_retry_time = request_.may_run_again &&
                                     started_attempts_ < maximum_attempts &&
                                     time_left > minimum_time_for_retry;
    if (!reserves_retry_time)
    {
        return;
    }
    auto const share = std::chrono::duration_cast<milliseconds>(
        time_left * attempt_time_share);
    attempt_timer_ =
        services_.timers.call_after(share,
                                    [weak = weak_from_this()]
                                    {
                                        if (auto const self = weak.lock())
                                        {
                                            self->abandon_attempt();
                                        }
                                    });
}

void attempt_loop::abandon_attempt()
{
    // If the retry budget allows no retry, the attempt runs until the deadline.
    bool const has_retry =
        running_attempt_ && !is_cancelled_ && pool_->retries.take_retry();
    if (has_retry)
    {
        is_abandoned_ = true;
        services_.upstreams.cancel(*running_attempt_);
    }
}

void attempt_loop::handle_result(attempt_result result)
{
    running_attempt_.reset();
    attempt_timer_.cancel();
    bool const is_abandoned = std::exchange(is_abandoned_, false);
    span_.note("reason", result.reason);
    span_.end();
    report_to_quarantine(result.end);
    services_.region_limits.end(choice_->upstream().region,
                                result.response.body.size());
    bool const is_sent = may_have_been_sent(result.end);
    if (is_sent)
    {
        ++sent_attempts_;
    }
    if (result.end == attempt_end::answered)
    {
        handle_response(std::move(result));
        return;
    }
    bool const is_cancelled =
        result.end == attempt_end::cancelled_before_send ||
        result.end == attempt_end::cancelled_after_send;
    finish_choice(is_cancelled && !is_abandoned ? attempt_outcome::cancelled
                                                : attempt_outcome::failed);
    if (is_sent)
    {
        verdict_ = run_verdict::may_have_run;
    }
    bool const has_next =
        is_abandoned ||
        (!is_cancelled &&
         can_retry(is_sent ? run_verdict::may_have_run : run_verdict::not_run));
    if (has_next)
    {
        try_next();
        return;
    }
    bool const is_late =
        elapsed(services_.clock.now(), request_.deadline) <= timer_tolerance;
    finish_without_response(is_late ? "deadline" : failure_code("no-upstream"),
                            result.reason.toUtf8());
}

void attempt_loop::report_to_quarantine(attempt_end end)
{
    auto const number = std::exchange(quarantine_attempt_, std::nullopt);
    if (!number)
    {
        return;
    }
    switch (end)
    {
    case attempt_end::answered:
        services_.request_quarantine.answered(*number);
        return;
    case attempt_end::failed_after_send:
        services_.request_quarantine.lost(*number);
        lost_upstreams_.push_back(choice_->upstream());
        services_.on_connection_lost(lost_upstreams_.back());
        schedule_liveness_check();
        return;
    default:
        break;
    }
    services_.request_quarantine.ended(*number);
}

// A process that exits closes its connections before its listening socket, so
// the first check may still be accepted and then cut off. Checks repeat, also
// after the request has ended, until the quarantine knows whether the process
// has ended or no longer waits to find out.
void attempt_loop::schedule_liveness_check()
{
    liveness_check_timer_ = services_.timers.call_after(
        liveness_check_interval,
        [self = shared_from_this()]
        {
            auto const expired_timer = std::move(self->liveness_check_timer_);
            self->check_lost_upstreams();
        });
}

void attempt_loop::check_lost_upstreams()
{
    std::erase_if(lost_upstreams_,
                  [this](upstream_view const& upstream)
                  {
                      return !services_.request_quarantine.is_undecided(
                          upstream.id, upstream.incarnation);
                  });
    for (auto const& upstream : lost_upstreams_)
    {
        services_.on_connection_lost(upstream);
    }
    if (!lost_upstreams_.empty())
    {
        schedule_liveness_check();
    }
}

void attempt_loop::handle_response(attempt_result result)
{
    auto& response = result.response;
    if (is_load_shed(response))
    {
        finish_choice(attempt_outcome::refused);
        // `handle_result` counted the attempt, but refused ones do not count.
        --sent_attempts_;
        if (can_retry(run_verdict::not_run))
        {
            try_next();
            return;
        }
        finish_without_response(failure_code("overloaded"),
                                "All upstreams are at their capacity limit.");
        return;
    }
    bool const is_failure = is_server_failure(response);
    finish_choice(is_failure ? attempt_outcome::failed
                             : attempt_outcome::answered);
    if (is_failure && request_.may_run_again &&
        can_retry(run_verdict::may_have_run))
    {
        verdict_ = run_verdict::may_have_run;
        try_next();
        return;
    }
    attempt_loop_result final_result;
    final_result.verdict = run_verdict::ran;
    final_result.response = std::move(response);
    finish(std::move(final_result));
}

bool attempt_loop::can_retry(run_verdict verdict)
{
    bool const has_time = services_.clock.now() < request_.deadline;
    if (is_cancelled_ || started_attempts_ >= maximum_attempts || !has_time)
    {
        return false;
    }
    if (verdict == run_verdict::not_run)
    {
        return true;
    }
    return request_.may_run_again && pool_->retries.take_retry();
}

void attempt_loop::finish_choice(attempt_outcome outcome)
{
    if (choice_)
    {
        choice_->finish(outcome,
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            services_.clock.now() - attempt_started_));
        choice_.reset();
    }
}

QByteArray attempt_loop::failure_code(QByteArray const& not_run_code) const
{
    return verdict_ == run_verdict::not_run ? not_run_code
                                            : QByteArray("upstream-failed");
}

void attempt_loop::finish_without_response(QByteArray code, QByteArray message)
{
    attempt_loop_result final_result;
    final_result.verdict = verdict_;
    final_result.code = std::move(code);
    final_result.message = std::move(message);
    finish(std::move(final_result));
}

void attempt_loop::finish(attempt_loop_result final_result)
{
    final_result.sent = sent_attempts_;
    auto const done = std::exchange(done_, nullptr);
    if (done)
    {
        done(std::move(final_result));
    }
}

} // namespace verbenacove
