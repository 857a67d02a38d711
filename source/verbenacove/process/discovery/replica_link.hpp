#ifndef VERBENACOVE_PROCESS_DISCOVERY_REPLICA_LINK_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_REPLICA_LINK_HPP

#include "verbenacove/connection/rpc_client.hpp"
#include "verbenacove/process/discovery/crash_exchange.hpp"
#include "verbenacove/process/discovery/discovery_board.hpp"
#include "verbenacove/process/discovery/replica_choice.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <QHash>
#include <QSet>

#include <functional>
#include <memory>
#include <vector>

namespace verbenacove
{

/** Who an entry is, and where it finds the first replicas. */
struct replica_link_settings
{
    entry_id name;
    entry_content self;
    /** Some of the replicas' addresses; they may be down or out of date. */
    std::vector<socket_address> seeds;
};

/** An entry's line to the control replicas.

    It reads one replica at a time, the nearest that answers and hears of a
    leader, and tells it how this entry is. The routes never go back to an
    earlier revision, whichever replica is read.
*/
class replica_link
{
public:
    /** What the link calls. */
    struct listener
    {
        /** Routes, upstreams, entries or zones changed. */
        std::function<void()> changed;
        /** Other entries tell of requests that crash upstreams. */
        std::function<void(quarantine_update)> crashed;
    };

    replica_link(replica_link_settings settings, listener calls);
    replica_link(replica_link const&) = delete;
    replica_link& operator=(replica_link const&) = delete;

    /** Begins to look for a replica. */
    void start();

    /** Sets how far this entry has come, and tells the replica at once. */
    void set_phase(presence_phase phase);

    /** Tells the other entries of requests that crash upstreams. */
    void tell_crashes(quarantine_update const& news)
    {
        own_.merge_update(news);
    }

    /** Replaces the addresses that are tried first. */
    void set_seeds(std::vector<socket_address> seeds);

    /** Returns the routes in force; null before the first ones are known. */
    route_configuration_ptr const& routes() const { return routes_; }

    /** Returns the zones whose upstreams get no requests. */
    QSet<zone_name> const& evacuated() const { return evacuated_; }

    /** Returns whether a replica that hears of a leader was read. */
    bool has_read() const { return has_read_; }

    discovery_board const& board() const { return board_; }

private:
    void act();
    void read();
    QCborMap request(milliseconds hold);
    void take_news(socket_address const& from, quint64 number,
                   std::optional<QCborMap> const& reply);
    void pause_or_read();
    void take_routes(QCborMap const& reply);
    void take_crashes(QCborMap const& reply);
    void leave_replica(socket_address const& failed, char const* reason);
    void choose_replica();
    rpc_client& client_of(socket_address const& address);

    replica_link_settings settings_;
    listener calls_;
    steady_clock_source clock_;
    timer_service timers_;
    discovery_board board_;
    replica_choice choice_;
    presence_phase phase_ = presence_phase::starting;
    incarnation started_;
    qint64 beats_ = 0;
    QHash<socket_address, std::shared_ptr<rpc_client>> clients_;
    /** The replica that is read. */
    std::optional<socket_address> current_;
    board_position position_;
    crash_position heard_crashes_;
    /** What this entry saw, and how much of it a replica has taken in. */
    quarantine own_{clock_};
    quarantine_cursor told_{0};
    /** Counts the reads; the answer to an earlier one is late. */
    quint64 read_number_ = 0;
    bool is_reading_ = false;
    bool was_current_ = true;
    monotonic_time next_read_{};
    qint64 routes_revision_ = -1;
    route_configuration_ptr routes_;
    QSet<zone_name> evacuated_;
    bool has_read_ = false;
    bool has_changes_ = false;
    timer_service::subscription tick_;
};

} // namespace verbenacove

#endif
