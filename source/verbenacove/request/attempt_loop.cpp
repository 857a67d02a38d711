#include "verbenacove/request/attempt_loop.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

/** The part of the time left that the first of several attempts may use. */
constexpr double first_attempt_share = 0.5;
constexpr milliseconds shortest_shared_time{200};
/** How long a request waits that may go to no upstream for the moment. */
constexpr milliseconds pause_of_suspect{50};
/** How long a request waits in all when no upstream is to be had. */
constexpr milliseconds longest_upstream_wait{1000};
/** How long after a question that decided nothing the next one comes. */
constexpr milliseconds pause_of_question{200};
/** An attempt's timer, in whole milliseconds, may fire this early. */
constexpr milliseconds timer_tolerance{2};

bool is_shed(http_response const& answer)
{
    return answer.status == 503 &&
           find_http_header(answer.headers, "Run-Verdict") == "not-run";
}

bool is_server_failure(http_response const& answer)
{
    return answer.status == 500 || answer.status == 502 ||
           answer.status == 503 || answer.status == 504;
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
    if (running_)
    {
        services_.upstreams.cancel(*running_);
    }
}

void attempt_loop::try_next()
{
    auto const time_left = elapsed(services_.clock.now(), request_.deadline);
    if (is_cancelled_)
    {
        finish_without_answer("cancelled", "The caller has left.");
        return;
    }
    if (time_left <= milliseconds(0))
    {
        finish_without_answer("deadline", "The deadline has passed.");
        return;
    }
    auto const permission = services_.crashes.permission(request_.fingerprint);
    if (permission == send_permission::refused)
    {
        // Earlier copies of it ran, if this one did not.
        worst_ = run_verdict::may_have_run;
        finish_without_answer("quarantined",
                              "The request has crashed too many upstreams.");
        return;
    }
    if (permission == send_permission::undecided)
    {
        try_later();
        return;
    }
    auto choice = choose();
    bool const may_wait = permission == send_permission::isolated ||
                          (!is_over_limit_ && may_wait_for_upstream());
    if (!choice && may_wait)
    {
        try_later();
        return;
    }
    if (!choice)
    {
        finish_without_answer(failure_code("no-upstream"),
                              "No upstream can take the request.");
        return;
    }
    send_to(std::move(*choice), time_left);
}

std::optional<upstream_chooser::choice> attempt_loop::choose()
{
    // A suspect goes where nothing else runs, and nothing joins it there.
    auto excluded = tried_;
    is_over_limit_ = false;
    while (true)
    {
        auto choice = pool_->chooser.choose(request_.kind, excluded,
                                            [this](region_name const& region)
                                            { return is_permitted(region); });
        bool const is_refused = choice && !choice->is_other_region() &&
                                !is_permitted(choice->upstream().region);
        if (is_refused)
        {
            return std::nullopt;
        }
        if (!choice || services_.crashes.can_start(request_.fingerprint,
                                                   choice->upstream().id))
        {
            return choice;
        }
        excluded.push_back(choice->upstream().id);
    }
}

bool attempt_loop::is_permitted(region_name const& region)
{
    bool const is_within = services_.regions.permits(region);
    is_over_limit_ = is_over_limit_ || !is_within;
    return is_within;
}

bool attempt_loop::may_wait_for_upstream()
{
    // Upstreams are lost faster than others take their place, or the only
    // one left is a suspect's for the moment.
    auto const now = services_.clock.now();
    if (!without_upstream_since_)
    {
        without_upstream_since_ = now;
    }
    return elapsed(*without_upstream_since_, now) < longest_upstream_wait;
}

void attempt_loop::try_later()
{
    pause_ = services_.timers.call_after(pause_of_suspect,
                                         [self = shared_from_this()]
                                         {
                                             // Moved out first: it keeps the
                                             // loop alive by its callback.
                                             auto const ended =
                                                 std::move(self->pause_);
                                             self->try_next();
                                         });
}

void attempt_loop::send_to(upstream_chooser::choice choice,
                           milliseconds time_left)
{
    ++attempts_;
    tried_.push_back(choice.upstream().id);
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
    number_ =
        services_.crashes.start(request_.fingerprint, choice.upstream().id,
                                choice.upstream().incarnation);
    services_.regions.begin(choice.upstream().region, attempt.body.size());
    choice_ = std::move(choice);
    attempt_started_ = services_.clock.now();
    running_ = services_.upstreams.start(
        std::move(attempt), [self = shared_from_this()](attempt_result result)
        { self->take_result(std::move(result)); });
    limit_attempt(time_left);
}

void attempt_loop::limit_attempt(milliseconds time_left)
{
    // A silent upstream must leave time for another one.
    bool const is_shared = request_.may_run_again &&
                           attempts_ < maximum_attempts &&
                           time_left > shortest_shared_time;
    if (!is_shared)
    {
        return;
    }
    auto const share = std::chrono::duration_cast<milliseconds>(
        time_left * first_attempt_share);
    attempt_limit_ =
        services_.timers.call_after(share,
                                    [weak = weak_from_this()]
                                    {
                                        if (auto const self = weak.lock())
                                        {
                                            self->give_up_attempt();
                                        }
                                    });
}

void attempt_loop::give_up_attempt()
{
    // Without a retry to follow, it may go on until the deadline.
    bool const has_retry =
        running_ && !is_cancelled_ && pool_->retries.take_retry();
    if (has_retry)
    {
        is_given_up_ = true;
        services_.upstreams.cancel(*running_);
    }
}

void attempt_loop::take_result(attempt_result result)
{
    running_.reset();
    attempt_limit_.cancel();
    bool const is_given_up = std::exchange(is_given_up_, false);
    span_.note("reason", result.reason);
    span_.end();
    note_crash_evidence(result.end);
    services_.regions.end(choice_->upstream().region,
                          result.response.body.size());
    bool const is_sent = may_have_been_sent(result.end);
    if (is_sent)
    {
        ++sent_;
    }
    if (result.end == attempt_end::answered)
    {
        take_answer(std::move(result));
        return;
    }
    bool const is_cancelled =
        result.end == attempt_end::cancelled_before_send ||
        result.end == attempt_end::cancelled_after_send;
    note(is_cancelled && !is_given_up ? attempt_outcome::cancelled
                                      : attempt_outcome::failed);
    if (is_sent)
    {
        worst_ = run_verdict::may_have_run;
    }
    bool const has_next =
        is_given_up ||
        (!is_cancelled && may_try_again(is_sent ? run_verdict::may_have_run
                                                : run_verdict::not_run));
    if (has_next)
    {
        try_next();
        return;
    }
    bool const is_late =
        elapsed(services_.clock.now(), request_.deadline) <= timer_tolerance;
    finish_without_answer(is_late ? "deadline" : failure_code("no-upstream"),
                          result.reason.toUtf8());
}

void attempt_loop::note_crash_evidence(attempt_end end)
{
    auto const number = std::exchange(number_, std::nullopt);
    if (!number)
    {
        return;
    }
    switch (end)
    {
    case attempt_end::answered:
        services_.crashes.answered(*number);
        return;
    case attempt_end::failed_after_send:
        services_.crashes.lost(*number);
        lost_.push_back(choice_->upstream());
        services_.connection_lost(lost_.back());
        ask_about_lost_later();
        return;
    default:
        break;
    }
    services_.crashes.ended(*number);
}

// A process that ends closes its connections before the socket it listens on,
// so that the first question may be accepted and then cut off. Goes on after
// the request's end, until it is known or too late to matter.
void attempt_loop::ask_about_lost_later()
{
    next_question_ =
        services_.timers.call_after(pause_of_question,
                                    [self = shared_from_this()]
                                    {
                                        auto const ended =
                                            std::move(self->next_question_);
                                        self->ask_about_lost();
                                    });
}

void attempt_loop::ask_about_lost()
{
    std::erase_if(lost_,
                  [this](upstream_view const& upstream) {
                      return !services_.crashes.is_undecided(
                          upstream.id, upstream.incarnation);
                  });
    for (auto const& upstream : lost_)
    {
        services_.connection_lost(upstream);
    }
    if (!lost_.empty())
    {
        ask_about_lost_later();
    }
}

void attempt_loop::take_answer(attempt_result result)
{
    auto& answer = result.response;
    if (is_shed(answer))
    {
        note(attempt_outcome::refused);
        --sent_;
        if (may_try_again(run_verdict::not_run))
        {
            try_next();
            return;
        }
        finish_without_answer(failure_code("overloaded"),
                              "All upstreams are at their limit.");
        return;
    }
    bool const is_failure = is_server_failure(answer);
    note(is_failure ? attempt_outcome::failed : attempt_outcome::answered);
    if (is_failure && request_.may_run_again &&
        may_try_again(run_verdict::may_have_run))
    {
        worst_ = run_verdict::may_have_run;
        try_next();
        return;
    }
    attempts_end end;
    end.verdict = run_verdict::ran;
    end.answer = std::move(answer);
    finish(std::move(end));
}

bool attempt_loop::may_try_again(run_verdict verdict)
{
    bool const has_time = services_.clock.now() < request_.deadline;
    if (is_cancelled_ || attempts_ >= maximum_attempts || !has_time)
    {
        return false;
    }
    if (verdict == run_verdict::not_run)
    {
        return true;
    }
    return request_.may_run_again && pool_->retries.take_retry();
}

void attempt_loop::note(attempt_outcome outcome)
{
    if (choice_)
    {
        choice_->finish(outcome,
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            services_.clock.now() - attempt_started_));
        choice_.reset();
    }
}

QByteArray attempt_loop::failure_code(QByteArray const& code_if_not_run) const
{
    return worst_ == run_verdict::not_run ? code_if_not_run
                                          : QByteArray("upstream-failed");
}

void attempt_loop::finish_without_answer(QByteArray code, QByteArray message)
{
    attempts_end end;
    end.verdict = worst_;
    end.code = std::move(code);
    end.message = std::move(message);
    finish(std::move(end));
}

void attempt_loop::finish(attempts_end end)
{
    end.sent = sent_;
    auto const done = std::exchange(done_, nullptr);
    if (done)
    {
        done(std::move(end));
    }
}

} // namespace verbenacove
