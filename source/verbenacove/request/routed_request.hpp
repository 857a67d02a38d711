#ifndef VERBENACOVE_REQUEST_ROUTED_REQUEST_HPP
#define VERBENACOVE_REQUEST_ROUTED_REQUEST_HPP

#include "verbenacove/connection/http_exchange.hpp"
#include "verbenacove/connection/upstream_client.hpp"
#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/core/trace.hpp"
#include "verbenacove/core/verdict.hpp"
#include "verbenacove/request/quarantine.hpp"
#include "verbenacove/request/route_dialect.hpp"
#include "verbenacove/request/routed_pool.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <functional>
#include <memory>

namespace verbenacove
{

/** The outcome of a routed request, as reported to `routed_services::ended`.
 */
struct routed_end
{
    QString route;
    service_name service;
    run_verdict verdict = run_verdict::not_run;
    int status = 0;
    int attempts = 0;
    milliseconds duration{0};
};

/** Services of the entry process that routed requests use.

    Every referenced object must outlive the requests.
*/
struct routed_services
{
    upstream_client& upstreams;
    clock_source const& clock;
    timer_service& timers;
    route_dialect const& dialect;
    quarantine& crashes;
    /** Called after each response, to update metrics. */
    std::function<void(routed_end const&)> ended;
    /** Sampling rate for requests that arrive without a trace context: one
        in this many is traced; 0 traces none. */
    int trace_one_in = 0;
};

/** Handles one caller's request on a route, from its arrival to the response.

    Sends the request to one upstream after another until one responds or the
    request must not be sent again. A request that may have run is retried only
    on an idempotent route. The route that matched on arrival is used
    throughout, even if the configuration changes in the meantime.
*/
class routed_request : public std::enable_shared_from_this<routed_request>
{
public:
    /** Starts handling a request; the object keeps itself alive until it has
        responded or the caller has disconnected.

        @param pool  upstreams of the service that the route's split selected
    */
    static void start(routed_services const& services,
                      std::shared_ptr<http_exchange> exchange,
                      request_marks marks, route_record route,
                      std::shared_ptr<routed_pool> pool);

private:
    /** Whether an upstream may have run an attempt whose response is not passed
        on to the caller. */
    enum class arrival
    {
        /** The request did not reach the upstream. */
        never,
        /** The upstream received the request and reported that it did not run
            it. */
        not_run,
        may_have_run
    };

    routed_request(routed_services const& services,
                   std::shared_ptr<http_exchange> exchange, request_marks marks,
                   route_record route, std::shared_ptr<routed_pool> pool);

    void begin();
    void try_next();
    void wait_for_upstream(pool_shortage shortage);
    void send_to(pool_choice choice);
    attempt_request attempt_to(pool_choice const& choice);
    void take_result(attempt_result result);
    void take_answer(attempt_result const& result, answer_marks const& marks);
    void take_not_executed(attempt_result const& result,
                           answer_marks const& marks);
    void take_loss(attempt_result const& result, upstream_evidence evidence);
    void end_attempt(upstream_evidence evidence,
                     std::optional<upstream_load> const& load,
                     qint64 answer_bytes = 0);
    bool may_try_again(arrival last);
    void cancel();
    void answer_shortage(char const* reason);
    void answer_unknown(int status, char const* reason);
    void respond(http_response response, run_verdict verdict,
                 char const* reason);
    milliseconds time_left() const;

    routed_services services_;
    std::shared_ptr<http_exchange> exchange_;
    request_marks marks_;
    route_record route_;
    std::shared_ptr<routed_pool> pool_;
    request_fingerprint fingerprint_;
    monotonic_time arrived_{};
    monotonic_time deadline_{};
    std::optional<pool_choice> choice_;
    std::optional<upstream_client::attempt_id> running_;
    std::optional<attempt_number> number_;
    std::vector<upstream_id> tried_;
    timer_service::subscription pause_;
    trace_span span_;
    trace_span attempt_span_;
    /** Number of attempts that may have reached an upstream. */
    int attempts_ = 0;
    /** Number of attempts started, including failed connections. */
    int tries_ = 0;
    /** True if an upstream may have run the request in an earlier attempt. */
    bool may_have_run_ = false;
    bool is_done_ = false;
};

} // namespace verbenacove

#endif
