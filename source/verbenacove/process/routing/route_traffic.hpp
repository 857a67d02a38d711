#ifndef VERBENACOVE_PROCESS_ROUTING_ROUTE_TRAFFIC_HPP
#define VERBENACOVE_PROCESS_ROUTING_ROUTE_TRAFFIC_HPP

#include "verbenacove/connection/http_server.hpp"
#include "verbenacove/process/metrics.hpp"
#include "verbenacove/process/routing/route_entry_settings.hpp"
#include "verbenacove/process/routing/routing_view.hpp"
#include "verbenacove/process/routing/split_chooser.hpp"
#include "verbenacove/request/routed_request.hpp"

#include <QHash>

#include <functional>
#include <memory>

namespace verbenacove
{

/** The doors of an entry that carries requests by routes, at work on the
    traffic thread. It steers by the routing_view published last.

    @see route_entry_process
*/
class route_traffic
{
public:
    /** Gets what this entry has learned of requests that crash upstreams. */
    using crash_callback = std::function<void(quarantine_update const&)>;

    /** The dialect must outlive the traffic. */
    route_traffic(route_entry_settings settings,
                  route_header_codec const& dialect, crash_callback crashed);
    route_traffic(route_traffic const&) = delete;
    route_traffic& operator=(route_traffic const&) = delete;

    /** Takes in what other entries saw of requests that crash upstreams. */
    void take_crashes(quarantine_update const& news)
    {
        crashes_.merge_update(news);
    }

    /** Opens the doors; the reason when one cannot be had, else empty. */
    QString start();

    /** Steers by another view from now on. */
    void update(routing_view_ptr view);

    /** Ends each connection with its next answer; new ones are taken. */
    void prepare_stop() { callers_.prepare_stop(); }

    /** Takes no new connections; what is in hand goes on. */
    void stop_accepting() { callers_.stop_accepting(); }

    /** Returns how many connections have something in hand. */
    int busy_connections() const { return callers_.busy_connections(); }

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    void handle(exchange_ptr const& exchange);
    void refuse(exchange_ptr const& exchange, request_metadata const& marks,
                int status, char const* code);
    void handle_readiness(exchange_ptr const& exchange);
    void handle_metrics(exchange_ptr const& exchange);
    void take_limits();
    std::shared_ptr<routed_pool> pool(service_name const& service);
    routed_request_services services();
    void probe();
    void probe_upstream(std::shared_ptr<routed_pool> const& of,
                        pool_member const& member);
    void handle_probe_result(std::shared_ptr<routed_pool> const& of,
                             pool_member const& member,
                             attempt_result const& result);
    void update_pool(service_name const& service,
                     std::vector<pool_member> members);
    void tell_crashes();
    void note_end(routed_request_result const& end);

    route_entry_settings settings_;
    route_header_codec const& dialect_;
    steady_clock_source clock_;
    timer_service timers_;
    timer_service::subscription probe_timer_;
    timer_service::subscription crash_timer_;
    entry_metrics metrics_;
    quarantine crashes_;
    crash_callback crashed_;
    quarantine_cursor told_crashes_{0};
    region_shift_limit shift_;
    split_chooser splits_;
    routing_view_ptr view_ = std::make_shared<routing_view const>();
    QHash<service_name, std::shared_ptr<routed_pool>> pools_;
    upstream_client upstreams_;
    http_server callers_;
    http_server readiness_;
    http_server metrics_door_;
};

} // namespace verbenacove

#endif
