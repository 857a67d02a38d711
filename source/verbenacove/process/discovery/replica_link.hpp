#ifndef VERBENACOVE_PROCESS_DISCOVERY_REPLICA_LINK_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_REPLICA_LINK_HPP

#include "verbenacove/connection/rpc_client.hpp"
#include "verbenacove/core/loop_lag.hpp"
#include "verbenacove/process/discovery/crash_exchange.hpp"
#include "verbenacove/process/discovery/membership_view.hpp"
#include "verbenacove/process/discovery/rate_limit_reporter.hpp"
#include "verbenacove/process/discovery/replica_selector.hpp"
#include "verbenacove/teams/allowance_gate.hpp"
#include "verbenacove/teams/key_confirmation.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <QHash>
#include <QSet>

#include <functional>
#include <memory>
#include <vector>

namespace verbenacove
{

/** Identity of an entry, and the seed addresses of replicas. */
struct replica_link_settings
{
    entry_id name;
    entry_content self;
    /** Addresses of some replicas; they may be down or outdated. */
    std::vector<socket_address> seeds;
    /** Time after which a withdrawn key must not be accepted; absent where
        keys need no confirmation. */
    std::optional<milliseconds> revocation = std::nullopt;
};

/** Connects an entry to the control replicas.

    It reads one replica at a time, the nearest one that responds and has
    contact with a leader, and sends it the entry's heartbeats. The routes never
    revert to an earlier revision, whichever replica is read.
*/
class replica_link
{
public:
    /** Callbacks of the link. */
    struct listener
    {
        /** Called when routes, upstreams, entries or evacuated zones have
            changed. */
        std::function<void()> changed;
        /** Called when other entries report requests that crash
            upstreams. */
        std::function<void(quarantine_update)> crashed;
        /** Called with each later confirmation of the keys; not called without
            a revocation time, and may then be left out. */
        std::function<void(key_confirmation)> confirmed = {};
        /** Called before `changed` when an upstream that serves a zone which is
            not evacuated has turned cold. */
        std::function<void()> cooled = [] {
        };
    };

    replica_link(replica_link_settings settings, listener calls);
    replica_link(replica_link const&) = delete;
    replica_link& operator=(replica_link const&) = delete;

    /** Starts reading replicas. */
    void start();

    /** Sets the phase of this entry and reports it immediately to the replica
        that is being read. */
    void set_phase(member_phase phase);

    /** Reports whether this entry reaches upstreams, immediately. */
    void set_reaches_upstreams(bool reaches_upstreams);

    /** Reports requests that crash upstreams to the other entries. */
    void report_crashes(quarantine_update const& crashes)
    {
        own_crashes_.merge_update(crashes);
    }

    /** Applies the rate limit that an upstream has named to this entry, and
        reports it to the other entries. */
    void report_rate_limit(rate_limit_report const& report);

    /** Gets the answer to a report of allowances, or nothing. */
    using allowance_callback =
        std::function<void(std::optional<allowance_answer> const&)>;

    /** Sends a report of allowances to the replica that is being read; calls
        back once. */
    void report_allowances(allowance_report const& report,
                           allowance_callback done);

    /** Replaces the seed addresses. */
    void set_seeds(std::vector<socket_address> seeds);

    /** Returns the active routes; null before the first ones were received. */
    route_configuration_ptr const& routes() const { return routes_; }

    /** Returns the revision of the active routes; -1 before the first ones. */
    qint64 routes_revision() const { return routes_revision_; }

    /** Returns the evacuated zones, whose upstreams receive no requests. */
    QSet<zone_name> const& evacuated() const { return evacuated_; }

    /** Returns whether a replica that has contact with a leader was read. */
    bool has_synchronised() const { return has_synchronised_; }

    membership_view const& membership() const { return membership_; }

private:
    void handle_tick();
    /** Sends a heartbeat to the replica that is being read. */
    void send_heartbeat();
    void read();
    /** Waits for changes of the view that was read last, until the search for a
        replica with a leader goes on. */
    void follow_view();
    void send_read(milliseconds requested_hold);
    QCborMap make_request(milliseconds hold_time);
    void handle_response(socket_address const& from, quint64 number,
                         std::optional<QCborMap> const& reply);
    /** Reads the next replica, or pauses when all have been tried. */
    void continue_search();
    /** Returns whether the response had a membership view, or changes of
        one. */
    bool merge_view(socket_address const& from, QCborMap const& reply);
    void record_departure(upstream_member const& record);
    /** Logs the departures since the last line, at most once per second. */
    void log_departures(monotonic_time now);
    void apply_routes(QCborMap const& reply);
    void report_received_crashes(QCborMap const& reply);
    void apply_confirmation(QCborMap const& reply);
    /** Returns how long a replica without updates may delay its response. */
    milliseconds poll_hold() const;
    void leave_replica(socket_address const& failed, char const* reason);
    void select_replica();
    rpc_client& client_of(socket_address const& address);

    replica_link_settings settings_;
    listener calls_;
    steady_clock_source clock_;
    timer_service timers_;
    membership_view membership_;
    rate_limit_reporter rate_limits_;
    replica_selector selector_;
    member_phase phase_ = member_phase::starting;
    incarnation started_;
    /** Sequence number of the latest heartbeat of this entry. */
    qint64 heartbeat_sequence_ = 0;
    QHash<socket_address, std::shared_ptr<rpc_client>> clients_;
    /** Replica that is being read. */
    std::optional<socket_address> current_;
    /** Replica whose membership view was read last. */
    std::optional<socket_address> view_replica_;
    sync_position position_;
    crash_position received_crashes_;
    /** Crashes that this entry observed, and the position up to which a replica
        has confirmed them. */
    quarantine own_crashes_{clock_};
    quarantine_cursor confirmed_crashes_{0};
    /** Number of the latest read; responses to earlier reads are ignored. */
    quint64 read_number_ = 0;
    bool is_reading_ = false;
    /** Whether the read in progress waits for changes during a pause of the
        search. */
    bool is_following_ = false;
    /** Whether the read in progress asks for the view of a replica without a
        leader, too. */
    bool reads_view_ = false;
    /** Whether the read in progress asks only which replicas there are. */
    bool is_finding_replicas_ = false;
    /** Whether the replica that was read last had contact with a leader; also
        false after a read without response. */
    bool was_replica_current_ = true;
    /** Number of reads since a replica with a leader was read last. */
    std::size_t failed_reads_ = 0;
    monotonic_time next_read_{};
    /** Time at which a response to a read of the view came last. */
    monotonic_time last_view_{};
    monotonic_time read_started_{};
    /** Time before the read in progress was sent. */
    boot_time read_sent_{};
    /** Latest confirmation of the keys of the active routes or later ones. */
    std::optional<key_confirmation> confirmation_;
    /** Lag of the control thread since the last logged read. */
    loop_lag lag_;
    qint64 routes_revision_ = -1;
    route_configuration_ptr routes_;
    QSet<zone_name> evacuated_;
    bool has_synchronised_ = false;
    bool has_changes_ = false;
    /** Number of departures that were not logged yet, and the longest time
        since the heartbeat of one of them. */
    int departures_ = 0;
    milliseconds longest_departure_age_{0};
    monotonic_time last_departure_log_{};
    timer_service::subscription tick_;
};

} // namespace verbenacove

#endif
