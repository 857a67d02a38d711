#ifndef VERBENACOVE_PROCESS_ROUTING_ROUTE_ENTRY_PROCESS_HPP
#define VERBENACOVE_PROCESS_ROUTING_ROUTE_ENTRY_PROCESS_HPP

#include "verbenacove/process/discovery/replica_link.hpp"
#include "verbenacove/process/routing/entry_ranking.hpp"
#include "verbenacove/process/routing/reopened_zones.hpp"
#include "verbenacove/process/routing/route_traffic.hpp"

#include <QThread>

#include <functional>
#include <memory>

namespace verbenacove
{

/** An entry that routes requests. It holds the state of the control thread and
    owns the traffic thread.

    It lives on the control thread, follows the state of a control replica and
    publishes a routing_view to the traffic thread.
*/
class route_entry_process
{
public:
    /** Creates the process without starting it.

        @param header_codec  must outlive this object
    */
    route_entry_process(route_entry_settings settings,
                        route_header_codec const& header_codec);
    ~route_entry_process();
    route_entry_process(route_entry_process const&) = delete;
    route_entry_process& operator=(route_entry_process const&) = delete;

    /** Starts the traffic thread, its endpoints and the replica connection.

        @return  an error message, or an empty string on success
    */
    QString start();

    /** Applies changed settings. Only the replica addresses can change. */
    void reload(route_entry_settings settings);

    /** Stops gracefully.

        The entry is removed from look-ups at once. It keeps serving until the
        cached look-up responses that name it expire, but for at most half of
        the grace period. Then it refuses further requests and waits for those
        in flight.

        @param on_stopped  called when no request is in flight, or when the
                           grace period is nearly over
    */
    void stop(std::function<void()> on_stopped);

private:
    void handle_update();
    void handle_reachability_change(bool is_cut_off);
    /** Sends a report to the control replicas, and the answer to the traffic
        thread. */
    void report_allowances(allowance_report const& report);
    /** Sets the entries that requests are relayed to while this one reaches no
        upstream. */
    void add_relays(routing_view& view) const;
    /** Returns the other entries that serve, in an order of this entry's
        own. */
    std::vector<entry_view> other_entries() const;
    /** Publishes the view now, or once the minimum interval has passed. */
    void schedule_publish();
    void publish();
    /** Sets the numbers of entries in the view. */
    void count_entries(routing_view& view) const;
    std::vector<pool_member> usable_members(service_name const& service,
                                            entry_ranking const& ranking) const;
    pool_member make_member(upstream_member const& upstream,
                            routed_service const& service,
                            entry_ranking const& ranking) const;
    /** Returns this entry's share of the rate limit that an upstream has
        named, if any. */
    std::optional<rate_limit_share>
    rate_limit_of(upstream_member const& upstream,
                  entry_ranking const& ranking) const;
    location location_of(upstream_member const& upstream) const;
    region_name region_of(zone_name const& zone) const;
    /** Polls until no request is in flight or the deadline has passed. */
    void finish_stop();
    /** Runs a function on the control thread without waiting for it. */
    void call_on_control(std::function<void()> call);
    /** Runs a function on the traffic thread without waiting for it. */
    void call_on_traffic(std::function<void()> call);

    route_entry_settings settings_;
    route_header_codec const& header_codec_;
    steady_clock_source clock_;
    timer_service timers_;
    /** The context of calls from the traffic thread to the control thread. */
    QObject control_context_;
    replica_link link_;
    reopened_zones reopened_zones_;
    bool is_ready_ = false;
    bool is_stopping_ = false;
    std::function<void()> on_stopped_;
    monotonic_time stop_deadline_{};
    timer_service::subscription publish_timer_;
    monotonic_time last_publish_{};
    /** Whether the next view is not to wait for `minimum_publish_interval`. */
    bool is_publish_expedited_ = false;
    timer_service::subscription refresh_timer_;
    timer_service::subscription cut_off_report_timer_;
    timer_service::subscription stop_timer_;
    QThread traffic_thread_;
    std::unique_ptr<QObject> traffic_context_;
    std::unique_ptr<route_traffic> traffic_;
};

} // namespace verbenacove

#endif
