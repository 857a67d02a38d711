#ifndef VERBENACOVE_PROCESS_UPSTREAM_WATCH_HPP
#define VERBENACOVE_PROCESS_UPSTREAM_WATCH_HPP

#include "verbenacove/connection/upstream_client.hpp"
#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/process/steering_view.hpp"
#include "verbenacove/request/quarantine.hpp"

#include <QHash>
#include <QSet>

#include <deque>
#include <functional>

namespace verbenacove
{

/** Finds out by itself how upstreams are, where their announcements do not
    say it.

    It asks an upstream at `/health` when its news has grown old, so that a
    lost path of news costs no request, and after a connection was lost, to
    tell a crash from a mere reset. What it learns of crashes it hands to the
    quarantine, and to the other entries. It lives on the traffic thread.
*/
class upstream_watch
{
public:
    /** What is called with news, on this thread. */
    struct listener
    {
        /** An upstream whose news had grown old answered a question. */
        std::function<void(upstream_view)> answered;
        /** Crashes that the other entries should hear of. */
        std::function<void(quarantine_update)> crashed;
    };

    /** All that is handed in must outlive the watch.

        @param lease  how long an upstream is believed without news
    */
    upstream_watch(upstream_client& client, quarantine& crashes,
                   clock_source const& clock, timer_service& timers,
                   milliseconds lease, listener calls);
    upstream_watch(upstream_watch const&) = delete;
    upstream_watch& operator=(upstream_watch const&) = delete;

    /** Watches the upstreams of this view from now on. */
    void update(steering_view_ptr const& view);

    /** Finds out whether an upstream that lost a connection has crashed. */
    void check_crash(upstream_view const& upstream);

private:
    using health_callback = std::function<void(
        attempt_result const&, incarnation, std::optional<upstream_state>)>;

    void ask_silent();
    void ask_news(upstream_view const& upstream);
    void ask_health(upstream_view const& upstream, health_callback done);
    void note_restarts();
    void tell_crashes();

    upstream_client& client_;
    quarantine& crashes_;
    clock_source const& clock_;
    milliseconds lease_;
    listener calls_;
    steering_view_ptr view_ = std::make_shared<steering_view const>();
    QHash<upstream_id, incarnation> incarnations_;
    QSet<upstream_id> asked_;
    std::deque<quarantine_cursor> told_crashes_;
    timer_service::subscription silence_timer_;
    timer_service::subscription crash_timer_;
};

} // namespace verbenacove

#endif
