#ifndef VERBENACOVE_PROCESS_ROUTING_ROUTE_TRAFFIC_HPP
#define VERBENACOVE_PROCESS_ROUTING_ROUTE_TRAFFIC_HPP

#include "verbenacove/connection/http_server.hpp"
#include "verbenacove/process/metrics.hpp"
#include "verbenacove/process/process_load_meter.hpp"
#include "verbenacove/process/routing/route_entry_settings.hpp"
#include "verbenacove/process/routing/routing_view.hpp"
#include "verbenacove/process/routing/split_chooser.hpp"
#include "verbenacove/request/routed_request.hpp"
#include "verbenacove/request/team_gate.hpp"
#include "verbenacove/teams/allowance_gate.hpp"
#include "verbenacove/teams/key_lease_gate.hpp"

#include <QHash>

#include <functional>
#include <memory>
#include <optional>

namespace verbenacove
{

/** Serves the HTTP endpoints of an entry that routes requests: callers,
    readiness and metrics.

    It lives on the traffic thread and uses the most recent routing_view.

    @see route_entry_process
*/
class route_traffic
{
public:
    /** Receives what the traffic shows; called on the traffic thread. */
    struct listener
    {
        /** Called with this entry's new reports of requests that crash
            upstreams. */
        std::function<void(quarantine_update const&)> crashes;
        /** Called when an upstream names another rate limit than the known
            one. */
        std::function<void(rate_limit_report const&)> rate_limit;
        /** Called when this entry has lost or regained the path to all
            upstreams. */
        std::function<void(bool is_cut_off)> reachability;
        /** Called with each report of the use of allowances;
            handle_allowance_answer is then called once. May be left out:
            there are then no reports. */
        std::function<void(allowance_report const&)> allowances = {};
    };

    /** Creates the endpoints without opening them.

        @param header_codec  must outlive this object
    */
    route_traffic(route_entry_settings settings,
                  route_header_codec const& header_codec, listener calls);
    route_traffic(route_traffic const&) = delete;
    route_traffic& operator=(route_traffic const&) = delete;

    /** Merges other entries' reports of requests that crash upstreams. */
    void merge_crash_reports(quarantine_update const& reports)
    {
        request_quarantine_.merge_update(reports);
    }

    /** Starts listening on all endpoints.

        @return  an error message, or an empty string on success
    */
    QString start();

    /** Replaces the current view. */
    void update(routing_view_ptr view);

    /** Extends the time for which keys may be used. */
    void confirm_keys(key_confirmation const& confirmation)
    {
        key_gate_.confirm(confirmation);
    }
    /** Applies the answer to a report of the use of allowances, if there is
        one. */
    void handle_allowance_answer(allowance_report_number number,
                                 std::optional<allowance_answer> const& answer);

    /** Closes each caller connection after its next response. New connections
        are still accepted. */
    void prepare_stop() { caller_endpoint_.prepare_stop(); }

    /** Refuses all requests from now on. Those in flight continue. */
    void refuse_requests() { is_refusing_ = true; }

    /** Returns the number of caller connections with a request in progress
        or a response that is not fully sent. */
    int busy_connections() const { return caller_endpoint_.busy_connections(); }

private:
    /** Retry delay of a response that does not know a better one. */
    static constexpr milliseconds refusal_delay{250};

    using exchange_ptr = std::shared_ptr<http_exchange>;

    void handle_request(exchange_ptr const& exchange);
    /** Returns where a request goes that may run; refuses one that must not,
        and then returns nothing. */
    std::optional<request_destination>
    destination_of(exchange_ptr const& exchange,
                   request_metadata const& metadata, route_record const& route);
    /** @param delay  retry delay of a 503 or 429 response */
    void refuse(exchange_ptr const& exchange, request_metadata const& metadata,
                int status, char const* code,
                milliseconds delay = refusal_delay);
    // Allowances; see route_traffic_allowances.cpp.
    /** Applies the view's allowances. */
    void set_allowances();
    bool has_allowance(request_destination const& destination) const;
    /** Refuses a request of a team that has used up its allowance; returns
        whether it is admitted. */
    bool is_within_allowance(exchange_ptr const& exchange,
                             request_metadata const& metadata,
                             team_name const& team);
    /** Makes a request give its token back when it ends without having
        run. */
    void refund_if_not_run(routed_request_services& services,
                           team_name const& team);
    void report_allowances();
    void handle_readiness(exchange_ptr const& exchange);
    void handle_metrics(exchange_ptr const& exchange);
    void apply_limits();
    std::shared_ptr<routed_pool> pool(service_name const& service);
    routed_request_services services();
    void probe();
    /** Probes one upstream while this entry reaches none. */
    void probe_path();
    void handle_reachability_change(bool is_cut_off);
    void probe_upstream(std::shared_ptr<routed_pool> const& target,
                        pool_member const& member);
    void handle_probe_response(std::shared_ptr<routed_pool> const& target,
                               pool_member const& member,
                               attempt_result const& result);
    /** Applies what an upstream asks for in its response to a probe. */
    void apply_signals(routed_pool& target, pool_member const& member,
                       attempt_result const& result,
                       response_metadata const& metadata) const;
    void update_pool(service_name const& service,
                     std::vector<pool_member> members);
    void report_crashes();
    /** Returns how many responses had a load that could not be read. */
    qint64 unreadable_loads() const;
    void record_result(routed_request_result const& result);
    /** Reports the services for which requests were refused for want of room
        since the previous report. */
    void report_admission();
    void report_load(process_load_meter::load const& used);

    route_entry_settings settings_;
    route_header_codec const& header_codec_;
    steady_clock_source clock_;
    timer_service timers_;
    timer_service::subscription probe_timer_;
    timer_service::subscription crash_report_timer_;
    timer_service::subscription lease_log_timer_;
    timer_service::subscription allowance_timer_;
    entry_metrics metrics_;
    quarantine request_quarantine_;
    listener calls_;
    quarantine_cursor reported_crashes_{0};
    region_shift_limit region_shift_;
    upstream_reachability reachability_;
    relay_selector relays_;
    link_budget link_;
    path_delay_meter path_delay_;
    process_load_meter load_meter_;
    split_chooser split_chooser_;
    team_gate team_gate_;
    allowance_gate allowance_gate_;
    /** Whether the answer to a report of allowances has not come yet. */
    bool is_reporting_allowances_ = false;
    routing_view_ptr view_ = std::make_shared<routing_view const>();
    key_lease_gate key_gate_;
    bool is_refusing_ = false;
    QHash<service_name, std::shared_ptr<routed_pool>> pools_;
    /** The refusals for want of room that were reported, by service. */
    QHash<service_name, qint64> reported_refusals_;
    upstream_client upstream_client_;
    caller_budget caller_budget_;
    http_server caller_endpoint_;
    http_server readiness_endpoint_;
    http_server metrics_endpoint_;
};

} // namespace verbenacove

#endif
