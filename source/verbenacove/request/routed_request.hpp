#ifndef VERBENACOVE_REQUEST_ROUTED_REQUEST_HPP
#define VERBENACOVE_REQUEST_ROUTED_REQUEST_HPP

#include "verbenacove/connection/http_exchange.hpp"
#include "verbenacove/connection/upstream_client.hpp"
#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/core/trace.hpp"
#include "verbenacove/core/verdict.hpp"
#include "verbenacove/request/link_budget.hpp"
#include "verbenacove/request/path_delay_meter.hpp"
#include "verbenacove/request/quarantine.hpp"
#include "verbenacove/request/relay_headers.hpp"
#include "verbenacove/request/relay_selector.hpp"
#include "verbenacove/request/route_header_codec.hpp"
#include "verbenacove/request/routed_pool.hpp"
#include "verbenacove/request/upstream_reachability.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace verbenacove
{

/** The result of a routed request. */
struct routed_request_result
{
    QString route;
    service_name service;
    run_verdict verdict = run_verdict::not_run;
    /** HTTP status of the response to the caller. */
    int status = 0;
    /** Number of attempts that may have reached an upstream. */
    int attempts = 0;
    /** Time from the arrival of the request to the response. */
    milliseconds duration{0};
};

/** Services of the entry process that routed requests use.

    Every referenced object must outlive the requests.
*/
struct routed_request_services
{
    upstream_client& upstreams;
    clock_source const& clock;
    timer_service& timers;
    route_header_codec const& header_codec;
    quarantine& request_quarantine;
    upstream_reachability& reachability;
    relay_selector& relays;
    link_budget& link;
    path_delay_meter& path_delay;
    /** Called with the result of each request that gets a response, to update
        metrics. */
    std::function<void(routed_request_result const&)> on_result;
    /** Called when an upstream names another rate limit than the known one. */
    std::function<void(rate_limit_report const&)> on_rate_limit;
    /** Sampling rate for requests that arrive without a trace context: one
        in this many is traced; 0 traces none. */
    int sample_one_in = 0;
};

/** Destination of a request, as decided when it arrived. */
struct request_destination
{
    /** With the homes and the rank (`priority`) that hold for the request's
        team.
        @see team_gate::route_for */
    route_record route;
    /** Version of the configuration that the route is from. */
    route_version version;
    /** Upstreams of the service that the route's split selected. */
    std::shared_ptr<routed_pool> pool;
    /** Team whose key the request bears, empty on a public route; absent if the
        configuration uses no keys. */
    std::optional<team_name> team = std::nullopt;
};

/** Handles one caller's request on a route, from its arrival to the response.

    Sends the request to one upstream after another until one responds or the
    request must not be sent again. A request that may have run is retried only
    on an idempotent route. The deadline, the maximum number of attempts and the
    service's retry budget limit the retries. The route that matched on arrival
    is used throughout, even if the configuration changes in the meantime.

    While this entry reaches no upstream, the request is relayed to an entry
    that does. A request that was relayed to this entry is not relayed again.
*/
class routed_request : public std::enable_shared_from_this<routed_request>
{
public:
    /** Starts handling a request; the object keeps itself alive until it has
        responded or the caller has disconnected. */
    static void start(routed_request_services const& services,
                      std::shared_ptr<http_exchange> exchange,
                      request_metadata metadata,
                      request_destination destination);

private:
    /** Whether an upstream may have run the request in an attempt whose
        response is not passed on to the caller. */
    enum class execution
    {
        /** The request did not reach the upstream. */
        not_received,
        /** The upstream received the request and reported that it did not run
            it. */
        not_run,
        may_have_run
    };

    /** What the end of an attempt tells about the upstream's process. */
    enum class process_evidence
    {
        /** Neither of the others. */
        none,
        /** The connection broke after the request may have been sent. */
        lost,
        /** It has sent its whole response, whatever the status. */
        answered
    };

    /** What an attempt has shown. */
    struct attempt_report
    {
        /** Steering information in the response, if it is the upstream's. */
        response_metadata response = {};
        qint64 response_bytes = 0;
        /** Why there is no response to pass on; empty if there is. */
        QString reason = {};
        process_evidence process = process_evidence::none;
    };

    /** When an attempt reached its stages; absent if it did not. */
    struct attempt_stages
    {
        /** When a new connection was open. */
        std::optional<monotonic_time> connected;
        /** When the first byte of the response came. */
        std::optional<monotonic_time> response_begun;
    };

    routed_request(routed_request_services const& services,
                   std::shared_ptr<http_exchange> exchange,
                   request_metadata metadata, request_destination destination);

    void begin();
    /** Returns whether the upstreams have room for the request. If not, sets
        when it may come back. */
    bool has_room();
    /** Reserves what the request is expected to take of the VM's link; returns
        false if there is no room. */
    bool reserve_link();
    /** Corrects that by the responses to the request that the link has
        carried. */
    void settle_link(link_budget::traffic const& responses);
    void try_next();
    /** Returns the request for an attempt, whether at an upstream or at another
        entry. */
    attempt_request make_request(socket_address const& address) const;
    void start_upstream_attempt();
    /** Ends the attempt at an upstream that cannot be reached any more, if the
        request may be retried; it is then relayed. */
    void handle_cut_off();

    // Relaying; see routed_request_relay.cpp.
    bool should_relay() const;
    /** Relays the request to an entry; returns false if there is none. */
    bool relay();
    attempt_request make_relay_request(socket_address const& address) const;
    void handle_relay_result(entry_id const& entry, attempt_result result);
    void handle_relay_response(attempt_result result,
                               relay_response const& information);
    void handle_relay_failure(entry_id const& entry,
                              attempt_result const& result);
    void apply_relayed_signals(attempt_result const& result,
                               relay_response const& information);
    void log_relay(entry_id const& entry, attempt_result const& result) const;
    void wait_for_upstream(pool_shortage shortage);
    void send_to(pool_choice choice);
    attempt_request make_attempt_request(pool_choice const& choice);
    bool is_own_relay_response(http_response const& head) const;
    bool is_own_response(http_response const& head, connection_age age) const;
    void handle_result(attempt_result result);
    void handle_response(attempt_result const& result,
                         response_metadata const& metadata);
    void handle_not_executed(attempt_result const& result,
                             response_metadata const& metadata);
    void handle_failure(attempt_result const& result, upstream_outcome outcome);
    /** Applies what an upstream asks for in its response. */
    void apply_signals(response_metadata const& metadata);
    void pause_upstream(milliseconds duration);
    void end_attempt(upstream_outcome outcome, attempt_report const& report);
    /** Returns whether another attempt may follow; if it needs the retry
        budget, also takes it from there. */
    bool can_retry(execution last_attempt);
    void cancel();
    void respond_not_run(char const* reason);
    /** Returns the retry delay that a refusal for this reason asks for. */
    milliseconds retry_delay_after(char const* reason) const;
    void respond_may_have_run(int status, char const* reason);
    void respond(http_response response, run_verdict verdict,
                 char const* reason);
    milliseconds time_left() const;

    routed_request_services services_;
    std::shared_ptr<http_exchange> exchange_;
    request_metadata metadata_;
    route_record route_;
    route_version version_;
    std::shared_ptr<routed_pool> pool_;
    /** As in request_destination. */
    std::optional<team_name> team_;
    request_fingerprint fingerprint_;
    monotonic_time arrival_time_{};
    monotonic_time deadline_{};
    std::optional<pool_choice> choice_;
    attempt_stages stages_;
    std::optional<upstream_client::attempt_id> running_attempt_;
    /** Set if another entry has relayed the request to this one. */
    std::optional<relay_request> relayed_from_;
    std::vector<entry_id> tried_entries_;
    /** Whether the running attempt was ended to retry elsewhere. */
    bool is_moving_ = false;
    /** Registered while an idempotent request waits for an upstream. */
    std::optional<upstream_reachability::callback_id> cut_off_callback_;
    /** Number under which the quarantine tracks the running attempt. */
    std::optional<attempt_number> quarantine_attempt_;
    std::vector<upstream_id> tried_upstreams_;
    timer_service::subscription retry_timer_;
    trace_span span_;
    trace_span attempt_span_;
    /** Size of the request as it was read, in bytes. */
    qint64 request_bytes_ = 0;
    /** Size of the response that the link's reservation assumes, in bytes; 0
        without a reservation. */
    qint64 reserved_response_bytes_ = 0;
    /** When a request may come back for which there is no room. */
    milliseconds return_delay_{0};
    /** Number of attempts that may have reached an upstream. */
    int sent_attempts_ = 0;
    /** Number of attempts started, including failed connections. */
    int started_attempts_ = 0;
    /** True if an upstream may have run the request in an earlier attempt. */
    bool may_have_run_ = false;
    bool has_ended_ = false;
};

} // namespace verbenacove

#endif
