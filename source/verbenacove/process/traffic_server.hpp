#ifndef VERBENACOVE_PROCESS_TRAFFIC_SERVER_HPP
#define VERBENACOVE_PROCESS_TRAFFIC_SERVER_HPP

#include "verbenacove/connection/http_server.hpp"
#include "verbenacove/process/control_claim_service.hpp"
#include "verbenacove/process/entry_settings.hpp"
#include "verbenacove/process/metrics.hpp"
#include "verbenacove/process/region_budget.hpp"
#include "verbenacove/process/steering_view.hpp"
#include "verbenacove/process/upstream_watch.hpp"
#include "verbenacove/request/request_flow.hpp"

#include <QHash>

#include <functional>
#include <memory>

namespace verbenacove
{

/** An entry's door to callers and upstreams, at work on the traffic thread.

    It answers from the steering_view that the control thread published last,
    and hands announcements to that thread.
*/
class traffic_server
{
public:
    /** What is called with news, on this thread. */
    struct listener
    {
        /** An upstream announced itself here. */
        std::function<void(upstream_view)> announced;
        /** An upstream whose news had grown old answered a question. */
        std::function<void(upstream_view)> answered;
        /** Crashes that the other entries should hear of. */
        std::function<void(quarantine_update)> crashed;
    };

    traffic_server(entry_settings settings, incarnation started,
                   listener calls);
    traffic_server(traffic_server const&) = delete;
    traffic_server& operator=(traffic_server const&) = delete;

    /** Opens the door; false when the address cannot be had. */
    bool start();

    /** Returns why `start` failed. */
    QString error_text() const { return http_.error_text(); }

    /** Steers by another view from now on. */
    void update(steering_view_ptr const& view);

    /** Takes in another entry's news of crashes. */
    void merge_crashes(quarantine_update const& news)
    {
        crashes_.merge_update(news);
    }

    /** Ends each connection with its next answer; new ones are taken. */
    void prepare_stop() { http_.prepare_stop(); }

    /** Takes no new connections; what is in hand goes on. */
    void stop_accepting() { http_.stop_accepting(); }

    /** Returns how many connections have a request in hand or on its way, or
        an answer that has not been sent whole. */
    int busy_connections() const { return http_.busy_connections(); }

private:
    /** An entry as look-ups show it. */
    struct rendered_entry
    {
        socket_address address;
        region_name region;
        zone_name zone;
        QByteArray json;
    };

    using exchange_ptr = std::shared_ptr<http_exchange>;
    using handler = void (traffic_server::*)(exchange_ptr const&);

    void handle(exchange_ptr const& exchange);
    void handle_lookup(exchange_ptr const& exchange);
    void handle_call(exchange_ptr const& exchange);
    void handle_announcement(exchange_ptr const& exchange);
    void handle_health(exchange_ptr const& exchange);
    void handle_readiness(exchange_ptr const& exchange);
    void handle_metrics(exchange_ptr const& exchange);
    void handle_unknown(exchange_ptr const& exchange);
    QByteArray lookup_body(service_name const& service, location const& caller);
    request_services services();
    void update_slots();
    void ask_for_grants();
    void render_entries();
    std::shared_ptr<service_pool> pool(service_name const& service);

    entry_settings settings_;
    steady_clock_source clock_;
    timer_service timers_;
    entry_metrics metrics_;
    quarantine crashes_;
    admission slots_;
    region_budget regions_;
    timer_service::subscription grant_timer_;
    timer_service::subscription expiry_;
    listener calls_;
    steering_view_ptr view_ = std::make_shared<steering_view const>();
    lookup_ranking ranking_;
    QHash<entry_id, rendered_entry> entry_json_;
    QHash<service_name, std::shared_ptr<service_pool>> pools_;
    control_claim_service claims_;
    control_client control_;
    upstream_client upstreams_;
    upstream_watch watch_;
    http_server http_;
};

} // namespace verbenacove

#endif
