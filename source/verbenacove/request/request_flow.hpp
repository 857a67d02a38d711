#ifndef VERBENACOVE_REQUEST_REQUEST_FLOW_HPP
#define VERBENACOVE_REQUEST_REQUEST_FLOW_HPP

#include "verbenacove/connection/http_exchange.hpp"
#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/core/trace.hpp"
#include "verbenacove/request/admission.hpp"
#include "verbenacove/request/attempt_loop.hpp"
#include "verbenacove/request/claim_service.hpp"
#include "verbenacove/version/service_record.hpp"

#include <functional>
#include <memory>

namespace verbenacove
{

/** Services of the entry process that requests use.

    Every referenced object must outlive the requests.
*/
struct request_services
{
    attempt_services attempts;
    claim_service& claims;
    admission& admission_control;
    milliseconds connect_timeout{500};
    /** Whether idempotent requests may be sent on kept-alive connections. */
    bool keeps_connections = false;
    /** Sampling rate for requests that arrive without a trace context: one
        in this many is traced; 0 traces none. */
    int sample_one_in = 0;
    /** Called with each response and the time since the request arrived, to
        update metrics. */
    std::function<void(service_name const&, run_verdict, int status,
                       std::chrono::microseconds)>
        on_response;
    /** Called with the number of attempts sent for a request, to update
        metrics; see `attempt_loop_result::sent`. */
    std::function<void(service_name const&, int sent)> on_attempts_ended;
};

/** Handles one caller's request, from its arrival to the response.

    An idempotent request is sent to upstreams as soon as it is admitted. A
    non-idempotent request is claimed first: only the holder of the claim sends
    it, at most one upstream runs it, and its outcome is committed before the
    caller gets the response, unless the commit takes too long.
*/
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    /** Starts handling a request; the flow keeps itself alive until it has
        responded or has ended because the caller disconnected before the
        request was sent.

        @param path  part of the path after the service's name, as received
    */
    static void start(request_services const& services,
                      std::shared_ptr<http_exchange> exchange,
                      service_record const& service, QByteArray const& path,
                      std::shared_ptr<service_pool> pool);

private:
    request_flow(request_services const& services,
                 std::shared_ptr<http_exchange> exchange,
                 service_record service, QByteArray path,
                 std::shared_ptr<service_pool> pool);

    void begin();
    // Each responds with an error and returns false if the value is invalid.
    bool read_deadline();
    bool read_key();

    bool needs_claim() const;

    // Admission.
    void request_admission();
    void handle_admission(admission_decision decision);
    void leave_admission();

    // Sending.
    void send_idempotent();
    outgoing_request make_outgoing_request() const;

    // Idempotent requests.
    void handle_idempotent_result(attempt_loop_result const& result);

    // Non-idempotent requests.
    void claim();
    void handle_claim_answer(std::optional<claim_answer> const& answer);
    void send_claimed();
    void wait_for_holder();
    void replay(claim_outcome const& outcome);
    void handle_claimed_result(attempt_loop_result const& result);
    void store_outcome(attempt_loop_result const& result);
    void release_claim();
    void respond_not_sent(int status, QByteArray const& code,
                          QByteArray const& message);
    void respond_in_progress();

    void respond_error(int status, QByteArray const& code,
                       QByteArray const& message, run_verdict verdict);
    void respond_with_result(attempt_loop_result const& result);
    void respond(http_response response, run_verdict verdict);
    milliseconds time_left() const;

    request_services services_;
    std::shared_ptr<http_exchange> exchange_;
    service_record service_;
    QByteArray path_;
    std::shared_ptr<service_pool> pool_;
    request_policy policy_;
    std::optional<admission_ticket> ticket_;
    monotonic_time deadline_{};
    claim_key key_;
    claim_holder holder_;
    request_fingerprint fingerprint_;
    /** True if an earlier copy of the request was found to hold the key. */
    bool was_key_held_ = false;
    /** Timer for the next try to claim a held key, later for the maximum wait
        for the commit of the outcome. */
    timer_service::subscription wait_timer_;
    trace_span span_;
    trace_span claim_span_;
    monotonic_time start_time_{};
};

} // namespace verbenacove

#endif
