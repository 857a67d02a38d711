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
constexpr milliseconds settle_time{60000};
/** Maximum time for which the response waits for the commit of an outcome. */
constexpr milliseconds longest_outcome_wait{1500};
constexpr milliseconds claim_poll_interval{150};
constexpr milliseconds longest_claim_wait{5000};

} // namespace

void request_flow::claim()
{
    if (time_left() <= milliseconds(0))
    {
        answer_unclaimed(504, "deadline", "The deadline has passed.");
        return;
    }
    holder_ = services_.claims.next_holder();
    claim_span_ = trace_span::begin_child(QStringLiteral("claim"),
                                          span_kind::client, span_.context());
    services_.claims.propose(
        claim_command{key_, fingerprint_, holder_},
        std::min(time_left(), longest_claim_wait),
        [self = shared_from_this()](std::optional<claim_answer> const& answer)
        { self->take_claim(answer); });
}

void request_flow::take_claim(std::optional<claim_answer> const& answer)
{
    claim_span_.end();
    if (!answer)
    {
        // The claim may still be committed, but only its holder may send the
        // request, and this flow, the holder, releases the claim here.
        release();
        answer_unclaimed(503, "no-quorum",
                         "No majority of the control replicas responds.");
        return;
    }
    switch (answer->result)
    {
    case claim_result::granted:
        send_claimed();
        return;
    case claim_result::held:
        is_known_held_ = true;
        // The slot is free for other requests during the wait.
        leave();
        wait_for_holder();
        return;
    case claim_result::finished:
        replay(answer->outcome.value_or(claim_outcome{}));
        return;
    case claim_result::mismatch:
        answer_error(409, "key-reused",
                     "The key was already used for a different request.",
                     run_verdict::not_run);
        return;
    case claim_result::abandoned:
        answer_error(502, "upstream-failed",
                     "The entry that held the claim on the request has ended.",
                     run_verdict::may_have_run);
        return;
    default:
        break;
    }
    answer_unclaimed(503, "overloaded",
                     "The request cannot be claimed at the moment.");
}

void request_flow::send_claimed()
{
    if (exchange_->is_cancelled())
    {
        // Nothing was sent, so the key is released for a resend.
        release();
        leave();
        return;
    }
    // From here on the request is not cancelled when the caller disconnects: a
    // resend of the request gets the stored outcome.
    attempt_loop::start(outgoing(), pool_, services_.attempts,
                        [self = shared_from_this()](attempts_end const& end)
                        { self->take_claimed_end(end); });
}

void request_flow::answer_unclaimed(int status, QByteArray const& code,
                                    QByteArray const& message)
{
    if (is_known_held_)
    {
        // An earlier copy held the key and may have run, so the verdict
        // `not-run` would be wrong.
        answer_in_progress();
        return;
    }
    answer_error(status, code, message, run_verdict::not_run);
}

void request_flow::answer_in_progress()
{
    answer_error(409, "in-progress",
                 "An earlier copy of the request is in progress.",
                 run_verdict::may_have_run);
}

void request_flow::wait_for_holder()
{
    if (exchange_->is_cancelled() || time_left() <= claim_poll_interval)
    {
        answer_in_progress();
        return;
    }
    waiting_ =
        services_.attempts.timers.call_after(claim_poll_interval,
                                             [self = shared_from_this()]
                                             {
                                                 // Moved to a local first:
                                                 // its callback owns the
                                                 // flow.
                                                 auto const ended =
                                                     std::move(self->waiting_);
                                                 self->enter();
                                             });
}

void request_flow::replay(claim_outcome const& outcome)
{
    if (outcome.verdict != run_verdict::ran)
    {
        answer_error(502, "upstream-failed",
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

void request_flow::take_claimed_end(attempts_end const& end)
{
    services_.attempted(service_.name, end.sent);
    if (end.verdict == run_verdict::not_run)
    {
        release();
        answer_end(end);
        return;
    }
    store_outcome(end);
}

void request_flow::store_outcome(attempts_end const& end)
{
    claim_outcome outcome;
    outcome.verdict = end.verdict;
    if (end.answer)
    {
        outcome.status = end.answer->status;
        outcome.body = end.answer->body;
        for (auto const& header : end.answer->headers)
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
    auto const answer_once = std::make_shared<std::function<void()>>(
        [self = shared_from_this(), end] { self->answer_end(end); });
    auto const answer = [answer_once]
    {
        auto const call = std::exchange(*answer_once, nullptr);
        if (call)
        {
            call();
        }
    };
    auto const wait =
        std::clamp(time_left(), milliseconds(0), longest_outcome_wait);
    waiting_ =
        services_.attempts.timers.call_after(wait,
                                             [self = shared_from_this(), answer]
                                             {
                                                 auto const ended =
                                                     std::move(self->waiting_);
                                                 answer();
                                             });
    services_.claims.propose(
        outcome_command{key_, holder_, std::move(outcome)}, settle_time,
        [self = shared_from_this(),
         answer](std::optional<claim_answer> const& stored)
        {
            if (!stored)
            {
                request_log.warn(QStringLiteral(
                    "The outcome of a claim could not be committed."));
            }
            self->waiting_.cancel();
            answer();
        });
}

void request_flow::release()
{
    services_.claims.propose(release_command{key_, holder_}, settle_time,
                             [](std::optional<claim_answer> const&) {});
}

} // namespace verbenacove
