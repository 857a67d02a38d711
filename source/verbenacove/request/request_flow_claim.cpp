#include "verbenacove/request/request_flow.hpp"

#include "verbenacove/core/log.hpp"

#include <algorithm>
#include <utility>

// The part of request_flow that claims and sends non-idempotent requests and
// commits their outcomes.

namespace verbenacove
{

namespace
{

log_part const request_log{"request"};

/** Maximum time for committing an outcome or the release of a claim. */
constexpr milliseconds settle_timeout{60000};
/** Maximum time for which the response waits for the commit of an outcome. */
constexpr milliseconds maximum_outcome_wait{1500};
/** Interval between tries to claim a key that an earlier copy holds. */
constexpr milliseconds claim_poll_interval{150};
/** Maximum time for which a request waits for the result of its claim. */
constexpr milliseconds maximum_claim_wait{5000};

} // namespace

void request_flow::claim()
{
    if (time_left() <= milliseconds(0))
    {
        respond_not_sent(504, "deadline", "The deadline has passed.");
        return;
    }
    holder_ = services_.claims.next_holder();
    claim_span_ = trace_span::begin_child(QStringLiteral("claim"),
                                          span_kind::client, span_.context());
    services_.claims.propose(
        claim_command{key_, fingerprint_, holder_},
        std::min(time_left(), maximum_claim_wait),
        [self = shared_from_this()](std::optional<claim_answer> const& answer)
        { self->handle_claim_answer(answer); });
}

void request_flow::handle_claim_answer(
    std::optional<claim_answer> const& answer)
{
    claim_span_.end();
    if (!answer)
    {
        // The claim may still be committed later. It is released here; no
        // upstream gets the request, because only the holder of the claim, this
        // flow, may send it.
        release_claim();
        respond_not_sent(503, "no-quorum",
                         "No majority of the control replicas responds.");
        return;
    }
    switch (answer->result)
    {
    case claim_result::granted:
        send_claimed();
        return;
    case claim_result::held:
        was_key_held_ = true;
        // The slot is free for other requests during the wait.
        leave_admission();
        wait_for_holder();
        return;
    case claim_result::finished:
        replay(answer->outcome.value_or(claim_outcome{}));
        return;
    case claim_result::mismatch:
        respond_error(409, "key-reused",
                      "The key was already used for a different request.",
                      run_verdict::not_run);
        return;
    case claim_result::abandoned:
        respond_error(502, "upstream-failed",
                      "The entry that held the claim on the request has ended.",
                      run_verdict::may_have_run);
        return;
    default:
        break;
    }
    respond_not_sent(503, "overloaded",
                     "The request cannot be claimed at the moment.");
}

void request_flow::send_claimed()
{
    if (!exchange_->check_caller())
    {
        // Nothing was sent, so the claim is released: a resend may claim the
        // key.
        release_claim();
        leave_admission();
        return;
    }
    // From here on the request is not cancelled when the caller disconnects: a
    // resend of the request gets the stored outcome.
    attempt_loop::start(
        make_outgoing_request(), pool_, services_.attempts,
        [self = shared_from_this()](attempt_loop_result const& result)
        { self->handle_claimed_result(result); });
}

void request_flow::respond_not_sent(int status, QByteArray const& code,
                                    QByteArray const& message)
{
    if (was_key_held_)
    {
        // An earlier copy held the key and may have run, so the verdict
        // `not-run` would be wrong.
        respond_in_progress();
        return;
    }
    respond_error(status, code, message, run_verdict::not_run);
}

void request_flow::respond_in_progress()
{
    respond_error(409, "in-progress",
                  "An earlier copy of the request is in progress.",
                  run_verdict::may_have_run);
}

void request_flow::wait_for_holder()
{
    if (!exchange_->check_caller() || time_left() <= claim_poll_interval)
    {
        respond_in_progress();
        return;
    }
    wait_timer_ = services_.attempts.timers.call_after(
        claim_poll_interval,
        [self = shared_from_this()]
        {
            // Breaks the ownership cycle: this flow owns the timer, whose
            // callback owns the flow.
            auto const expired_timer = std::move(self->wait_timer_);
            self->request_admission();
        });
}

void request_flow::replay(claim_outcome const& outcome)
{
    if (outcome.verdict != run_verdict::ran)
    {
        respond_error(502, "upstream-failed",
                      "An earlier copy of the request may have run.",
                      run_verdict::may_have_run);
        return;
    }
    http_response response;
    response.status = outcome.status;
    response.body = outcome.body;
    for (auto const& header : outcome.headers)
    {
        response.headers.push_back({header.name, header.value});
    }
    if (!outcome.is_stored)
    {
        response.headers.push_back({"Run-Outcome", "not-stored"});
    }
    response.headers.push_back({"Run-Replayed", "true"});
    respond(std::move(response), run_verdict::ran);
}

void request_flow::handle_claimed_result(attempt_loop_result const& result)
{
    services_.on_attempts_ended(service_.name, result.sent);
    if (result.verdict == run_verdict::not_run)
    {
        release_claim();
        respond_with_result(result);
        return;
    }
    store_outcome(result);
}

void request_flow::store_outcome(attempt_loop_result const& result)
{
    claim_outcome outcome;
    outcome.verdict = result.verdict;
    if (result.response)
    {
        outcome.status = result.response->status;
        outcome.body = result.response->body;
        for (auto const& header : result.response->headers)
        {
            outcome.headers.push_back({header.name, header.value});
        }
    }
    if (outcome.body.size() > service_.max_response_store_bytes)
    {
        outcome.is_stored = false;
        outcome.headers.clear();
        outcome.body.clear();
    }
    // Responds when the outcome is committed or when the wait for the commit
    // times out, whichever comes first.
    auto const pending_response = std::make_shared<std::function<void()>>(
        [self = shared_from_this(), result]
        { self->respond_with_result(result); });
    auto const respond_once = [pending_response]
    {
        auto const call = std::exchange(*pending_response, nullptr);
        if (call)
        {
            call();
        }
    };
    auto const wait =
        std::clamp(time_left(), milliseconds(0), maximum_outcome_wait);
    wait_timer_ = services_.attempts.timers.call_after(
        wait,
        [self = shared_from_this(), respond_once]
        {
            auto const expired_timer = std::move(self->wait_timer_);
            respond_once();
        });
    services_.claims.propose(
        outcome_command{key_, holder_, std::move(outcome)}, settle_timeout,
        [self = shared_from_this(),
         respond_once](std::optional<claim_answer> const& stored)
        {
            if (!stored)
            {
                request_log.warn(QStringLiteral(
                    "The outcome of a claim could not be committed."));
            }
            self->wait_timer_.cancel();
            respond_once();
        });
}

void request_flow::release_claim()
{
    services_.claims.propose(release_command{key_, holder_}, settle_timeout,
                             [](std::optional<claim_answer> const&) {});
}

} // namespace verbenacove
