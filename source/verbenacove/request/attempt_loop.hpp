#ifndef VERBENACOVE_REQUEST_ATTEMPT_LOOP_HPP
#define VERBENACOVE_REQUEST_ATTEMPT_LOOP_HPP

#include "verbenacove/connection/upstream_client.hpp"
#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/core/trace.hpp"
#include "verbenacove/core/verdict.hpp"
#include "verbenacove/request/quarantine.hpp"
#include "verbenacove/request/region_limit.hpp"
#include "verbenacove/request/retry_budget.hpp"
#include "verbenacove/request/upstream_chooser.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace verbenacove
{

/** State of one service in an entry process, shared by all its requests. */
struct service_pool
{
    upstream_chooser chooser;
    retry_budget retries;
};

/** Services of the entry process that attempts use.

    Every referenced object must outlive the attempts.
*/
struct attempt_services
{
    upstream_client& upstreams;
    clock_source const& clock;
    timer_service& timers;
    quarantine& request_quarantine;
    /** Called when an upstream's connection is lost with a request in
        flight; checks whether the upstream's process has ended. */
    std::function<void(upstream_view const&)> on_connection_lost;
    region_limit& region_limits;
};

/** A request in the form in which it is sent to upstreams. */
struct outgoing_request
{
    request_class kind = request_class::interactive;
    QByteArray method;
    QByteArray target;
    std::vector<http_header> headers;
    QByteArray body;
    request_fingerprint fingerprint;
    monotonic_time deadline;
    /** Whether the request may be sent again after an attempt that may have
        run it. */
    bool may_run_again = false;
    /** Whether the request may be sent on a kept-alive connection. */
    bool may_reuse_connection = false;
    milliseconds connect_timeout{500};
    /** Trace context of the request; parent of the attempts' spans. */
    trace_context trace;
};

/** The result of all attempts of a request. */
struct attempt_loop_result
{
    run_verdict verdict = run_verdict::not_run;
    /** The upstream's response; present if the verdict is `ran`. */
    std::optional<http_response> response;
    /** Error code for the caller when there is no response. */
    QByteArray code;
    /** Error message for the caller when there is no response. */
    QByteArray message;
    /** Number of attempts sent, not counting those that an upstream refused
        without running the request. */
    int sent = 0;
};

/** Sends a request to one upstream after another until one responds or the
    request must not be sent again.

    A request that no upstream has run is sent to another one. A request that
    may have run is retried only if it may run again and the retry budget allows
    it. The deadline is checked before each attempt. While a retry is possible,
    an attempt may use only a part of the remaining time. If no upstream is
    available, the request waits for a limited time.
*/
class attempt_loop : public std::enable_shared_from_this<attempt_loop>
{
public:
    /** Called exactly once, with the result of the attempts. */
    using callback = std::function<void(attempt_loop_result)>;

    /** Maximum number of attempts per request. */
    static constexpr int maximum_attempts = 4;

    /** Starts the attempts; the loop keeps itself alive until they end.

        @see attempt_services
    */
    static std::shared_ptr<attempt_loop>
    start(outgoing_request request, std::shared_ptr<service_pool> pool,
          attempt_services const& services, callback done);

    /** Cancels the attempts, including a running one; called when the caller
        has disconnected. The result callback is still called. */
    void cancel();

private:
    attempt_loop(outgoing_request request, std::shared_ptr<service_pool> pool,
                 attempt_services const& services, callback done);

    void try_next();
    std::optional<upstream_chooser::choice> choose();
    /** Returns whether the region is within its limit; if not, also sets
        `is_over_limit_`. */
    bool is_permitted(region_name const& region);
    /** Returns whether the request may still wait for an upstream; the first
        call starts the waiting time. */
    bool can_wait_for_upstream();
    void schedule_retry();
    void report_to_quarantine(attempt_end end);
    void schedule_liveness_check();
    void check_lost_upstreams();
    void send_to(upstream_chooser::choice choice, milliseconds time_left);
    void handle_result(attempt_result result);
    void handle_response(attempt_result result);
    /** Returns whether another attempt may follow one that ended with the
        verdict; if it needs the retry budget, also takes it from there. */
    bool can_retry(run_verdict verdict);
    void start_attempt_timer(milliseconds time_left);
    void abandon_attempt();
    void finish_choice(attempt_outcome outcome);
    void finish(attempt_loop_result final_result);
    QByteArray failure_code(QByteArray const& not_run_code) const;
    void finish_without_response(QByteArray code, QByteArray message);

    outgoing_request request_;
    std::shared_ptr<service_pool> pool_;
    attempt_services services_;
    callback done_;
    std::vector<upstream_id> tried_upstreams_;
    std::optional<upstream_chooser::choice> choice_;
    std::optional<upstream_client::attempt_id> running_attempt_;
    trace_span span_;
    /** Number under which the quarantine tracks the running attempt. */
    std::optional<attempt_number> quarantine_attempt_;
    timer_service::subscription retry_timer_;
    /** Upstreams that closed a connection and whose process may have ended. */
    std::vector<upstream_view> lost_upstreams_;
    timer_service::subscription liveness_check_timer_;
    timer_service::subscription attempt_timer_;
    monotonic_time attempt_started_{};
    /** Verdict of the request if it ends without a response. */
    run_verdict verdict_ = run_verdict::not_run;
    int started_attempts_ = 0;
    /** Number of attempts sent; see `attempt_loop_result::sent`. */
    int sent_attempts_ = 0;
    /** Time at which no upstream was found for the first time. */
    std::optional<monotonic_time> no_upstream_since_;
    /** True if a region considered in the last choice was over its limit. */
    bool is_over_limit_ = false;
    bool is_cancelled_ = false;
    /** True if the running attempt was cancelled to leave time for a retry. */
    bool is_abandoned_ = false;
};

} // namespace verbenacove

#endif
