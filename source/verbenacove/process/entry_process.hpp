#ifndef VERBENACOVE_PROCESS_ENTRY_PROCESS_HPP
#define VERBENACOVE_PROCESS_ENTRY_PROCESS_HPP

#include "verbenacove/process/control_client.hpp"
#include "verbenacove/process/entry_settings.hpp"
#include "verbenacove/process/peer_mesh.hpp"
#include "verbenacove/process/traffic_server.hpp"
#include "verbenacove/process/upstream_directory.hpp"

#include <QHash>
#include <QThread>

#include <functional>
#include <memory>

namespace verbenacove
{

/** An entry at work: the control thread's state, and the traffic thread.

    It lives on the control thread. It reads the configuration from the
    control replicas, hears of upstreams and other entries, and publishes what
    follows to the traffic thread.
*/
class entry_process
{
public:
    explicit entry_process(entry_settings settings);
    ~entry_process();
    entry_process(entry_process const&) = delete;
    entry_process& operator=(entry_process const&) = delete;

    /** Opens both doors; the reason when one cannot be had, else empty. */
    QString start();

    /** Stops gracefully and calls back when nothing is in hand any more.

        The entry leaves look-ups first, serves on until every cached answer
        that names it has run out, takes no further connection, and ends what
        is in hand.
    */
    void stop(std::function<void()> stopped);

private:
    void read_first_configuration();
    void read_configuration();
    void add_report(QCborMap& request);
    bool take_configuration(QCborMap const& reply, bool is_first);
    void take_announcement(upstream_view upstream);
    void take_news(upstream_view const& upstream);
    void take_crashes(QCborMap const& news);
    void take_readiness();
    void publish();
    void publish_soon();
    void finish_stop();
    own_entry_status status() const;
    std::vector<upstream_view> own_upstreams();
    void call_on_traffic(std::function<void()> call);

    entry_settings settings_;
    steady_clock_source clock_;
    timer_service timers_;
    incarnation started_;
    control_client control_;
    peer_mesh mesh_;
    upstream_directory directory_;
    QHash<upstream_id, monotonic_time> announced_here_;
    config_view_ptr config_ = config_view::empty();
    /** What goes along with the next round of the mesh. */
    QCborMap crashes_;
    int reads_ = 0;
    bool has_configuration_ = false;
    bool has_heard_others_ = false;
    bool is_ready_ = false;
    bool is_reading_ = false;
    bool is_stopping_ = false;
    bool is_publish_due_ = false;
    std::function<void()> stopped_;

    timer_service::subscription hearing_timer_;
    timer_service::subscription read_timer_;
    timer_service::subscription refresh_timer_;
    timer_service::subscription publish_timer_;
    timer_service::subscription stop_timer_;
    QThread traffic_thread_;
    QObject context_;
    std::unique_ptr<QObject> traffic_context_;
    std::unique_ptr<traffic_server> traffic_;
};

} // namespace verbenacove

#endif
