#ifndef VERBENACOVE_PROCESS_ROUTING_ROUTE_ENTRY_PROCESS_HPP
#define VERBENACOVE_PROCESS_ROUTING_ROUTE_ENTRY_PROCESS_HPP

#include "verbenacove/process/discovery/replica_link.hpp"
#include "verbenacove/process/routing/reopened_zones.hpp"
#include "verbenacove/process/routing/route_traffic.hpp"

#include <QThread>

#include <functional>
#include <memory>

namespace verbenacove
{

/** An entry that carries requests by routes: the control thread's state, and
    the traffic thread.

    It lives on the control thread, reads a control replica, and publishes
    what follows to the traffic thread.
*/
class route_entry_process
{
public:
    /** The dialect must outlive the process. */
    route_entry_process(route_entry_settings settings,
                        route_header_codec const& dialect);
    ~route_entry_process();
    route_entry_process(route_entry_process const&) = delete;
    route_entry_process& operator=(route_entry_process const&) = delete;

    /** Opens the doors; the reason when one cannot be had, else empty. */
    QString start();

    /** Takes in changed settings: the replicas' addresses. */
    void reload(route_entry_settings settings);

    /** Stops gracefully and calls back when nothing is in hand any more.

        The entry leaves look-ups at once, serves on until the cached answers
        that name it have run out, and ends what is in hand.
    */
    void stop(std::function<void()> stopped);

private:
    void take_news();
    void publish();
    void count_entries(routing_view& view) const;
    std::vector<pool_member> members_of(service_name const& service) const;
    pool_member member_of(upstream_member const& upstream,
                          routed_service const& service) const;
    bool is_own_to_warm(upstream_member const& upstream) const;
    region_name region_of(zone_name const& zone) const;
    void finish_stop();
    void call_on_traffic(std::function<void()> call);

    route_entry_settings settings_;
    route_header_codec const& dialect_;
    steady_clock_source clock_;
    timer_service timers_;
    /** Takes calls from the traffic thread. */
    QObject control_context_;
    replica_link link_;
    reopened_zones reopened_;
    bool is_ready_ = false;
    bool is_stopping_ = false;
    std::function<void()> stopped_;
    monotonic_time stop_deadline_{};
    timer_service::subscription refresh_timer_;
    timer_service::subscription stop_timer_;
    QThread traffic_thread_;
    std::unique_ptr<QObject> traffic_context_;
    std::unique_ptr<route_traffic> traffic_;
};

} // namespace verbenacove

#endif
