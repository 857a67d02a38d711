#ifndef VERBENACOVE_REQUEST_ATTEMPT_LOOP_HPP
#define VERBENACOVE_REQUEST_ATTEMPT_LOOP_HPP

#include "verbenacove/connection/upstream_client.hpp"
#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/core/trace.hpp"
#include "verbenacove/core/verdict.hpp"
#include "verbenacove/request/quarantine.hpp"
#include "verbenacove/request/region_gate.hpp"
#include "verbenacove/request/retry_budget.hpp"
#include "verbenacove/request/upstream_chooser.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace verbenacove
{

/** What an entry keeps for one service, for all its requests. */
struct service_pool
{
    upstream_chooser chooser;
    retry_budget retries;
};

/** What attempts use of their entry; all of it outlives them. */
struct attempt_services
{
    upstream_client& upstreams;
    clock_source const& clock;
    timer_service& timers;
    quarantine& crashes;
    /** Called when an upstream's connection was lost with a request in hand,
        to find out whether its process is gone. */
    std::function<void(upstream_view const&)> connection_lost;
    region_gate& regions;
};

/** One request as it is to reach an upstream. */
struct outgoing_request
{
    request_class kind = request_class::interactive;
    QByteArray method;
    QByteArray target;
    std::vector<http_header> headers;
    QByteArray body;
    request_fingerprint fingerprint;
    monotonic_time deadline;
    /** Whether a request that may have run may be sent again. */
    bool may_run_again = false;
    /** Whether it may go on a connection that was used before. */
    bool may_reuse_connection = false;
    milliseconds connect_timeout{500};
    /** The span of the whole request. */
    trace_context trace;
};

/** How the attempts at a request ended. */
struct attempts_end
{
    run_verdict verdict = run_verdict::not_run;
    /** The upstream's answer; there is one whenever the verdict is `ran`. */
    std::optional<http_response> answer;
    /** The error code for the caller when there is no answer. */
    QByteArray code;
    QByteArray message;
    /** How many upstreams the request was sent to. */
    int sent = 0;
};

/** Sends a request to one upstream after another until it is answered, or
    until it must not be sent again.

    A request that an upstream cannot have seen goes to another one; one that
    may have run goes on only when it may run again and the retry budget has
    something left. The deadline is checked before each attempt.
*/
class attempt_loop : public std::enable_shared_from_this<attempt_loop>
{
public:
    /** Gets the end of the attempts, once. */
    using callback = std::function<void(attempts_end)>;

    /** The most attempts for a request. */
    static constexpr int maximum_attempts = 4;

    /** Starts the attempts; the loop keeps itself alive until their end.

        @see attempt_services
    */
    static std::shared_ptr<attempt_loop>
    start(outgoing_request request, std::shared_ptr<service_pool> pool,
          attempt_services const& services, callback done);

    /** Ends the attempts: the caller has left. What runs is cancelled. */
    void cancel();

private:
    attempt_loop(outgoing_request request, std::shared_ptr<service_pool> pool,
                 attempt_services const& services, callback done);

    void try_next();
    std::optional<upstream_chooser::choice> choose();
    bool is_permitted(region_name const& region);
    bool may_wait_for_upstream();
    void try_later();
    void note_crash_evidence(attempt_end end);
    void ask_about_lost_later();
    void ask_about_lost();
    void send_to(upstream_chooser::choice choice, milliseconds time_left);
    void take_result(attempt_result result);
    void take_answer(attempt_result result);
    bool may_try_again(run_verdict verdict);
    void limit_attempt(milliseconds time_left);
    void give_up_attempt();
    void note(attempt_outcome outcome);
    void finish(attempts_end end);
    QByteArray failure_code(QByteArray const& code_if_not_run) const;
    void finish_without_answer(QByteArray code, QByteArray message);

    outgoing_request request_;
    std::shared_ptr<service_pool> pool_;
    attempt_services services_;
    callback done_;
    std::vector<upstream_id> tried_;
    std::optional<upstream_chooser::choice> choice_;
    std::optional<upstream_client::attempt_id> running_;
    trace_span span_;
    std::optional<attempt_number> number_;
    timer_service::subscription pause_;
    /** Upstreams that closed a connection and may be gone. */
    std::vector<upstream_view> lost_;
    timer_service::subscription next_question_;
    timer_service::subscription attempt_limit_;
    monotonic_time attempt_started_{};
    run_verdict worst_ = run_verdict::not_run;
    int attempts_ = 0;
    int sent_ = 0;
    std::optional<monotonic_time> without_upstream_since_;
    bool is_over_limit_ = false;
    bool is_cancelled_ = false;
    /** The running attempt was cancelled for the sake of the next one. */
    bool is_given_up_ = false;
};

} // namespace verbenacove

#endif
