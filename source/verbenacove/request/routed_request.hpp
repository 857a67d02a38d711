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

/** What a routed request's end is told to. */
struct routed_end
{
    QString route;
    service_name service;
    run_verdict verdict = run_verdict::not_run;
    int status = 0;
    int attempts = 0;
    milliseconds duration{0};
};

/** What routed requests use of their entry; all of it outlives them. */
struct routed_services
{
    upstream_client& upstreams;
    clock_source const& clock;
    timer_service& timers;
    route_dialect const& dialect;
    quarantine& crashes;
    /** Called with each answer, for metrics. */
    std::function<void(routed_end const&)> ended;
    /** A request without a trace is traced once in so many; 0 never. */
    int trace_one_in = 0;
};

/** One caller's request on a route, from its arrival to its answer.

    It is sent to one upstream after another until it is answered or must not
    be sent again: one that may have run goes on only when its route is
    idempotent. It keeps to the route that matched at its arrival.
*/
class routed_request : public std::enable_shared_from_this<routed_request>
{
public:
    /** Starts a request; it keeps itself alive until its answer.

        @param pool  of the service that the route's split gave it
    */
    static void start(routed_services const& services,
                      std::shared_ptr<http_exchange> exchange,
                      request_marks marks, route_record route,
                      std::shared_ptr<routed_pool> pool);

private:
    /** What is known of an attempt that gave no answer to pass on. */
    enum class arrival
    {
        /** The upstream saw nothing of it. */
        never,
        /** The upstream saw it and says that it did not run it. */
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
    void take_loss(attempt_result const& result, upstream_outcome evidence);
    void end_attempt(upstream_outcome evidence,
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
    /** The attempts that may have reached an upstream, and all of them. */
    int attempts_ = 0;
    int tries_ = 0;
    /** It was sent to an upstream that may have run it. */
    bool may_have_run_ = false;
    bool is_done_ = false;
};

} // namespace verbenacove

#endif
