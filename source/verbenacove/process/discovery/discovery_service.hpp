#ifndef VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_HPP

#include "verbenacove/process/control_server.hpp"
#include "verbenacove/process/discovery/crash_exchange.hpp"
#include "verbenacove/process/discovery/membership_view.hpp"
#include "verbenacove/process/discovery/view_settling.hpp"

#include <QHash>

#include <functional>
#include <memory>
#include <vector>

namespace verbenacove
{

/** Identity of a replica, and the seed addresses of others. */
struct discovery_settings
{
    replica_content self;
    /** Addresses of some replicas; they may be down or outdated. */
    std::vector<socket_address> seeds;
};

/** Provides discovery of upstreams, entries and other replicas in a control
    replica.

    Upstreams send heartbeats to it and entries poll it for updates; replicas
    read each other's membership views. The departure of an upstream is
    acknowledged only once a majority of the voting replicas has recorded it,
    so that each entry that reads a replica of this majority receives it as
    well.
*/
class discovery_service
{
public:
    /** Called once, with true when a majority of the voting replicas has
        recorded the update and false when it has not. */
    using acknowledge_callback = std::function<void(bool)>;

    /** Maximum number of readers that wait for updates concurrently. */
    static constexpr std::size_t maximum_waiting = 4096;

    /** Creates a service and registers its handlers.

        @param settings  identity and seeds of the replica
        @param server    must outlive the service, and not have been started
    */
    discovery_service(discovery_settings settings, control_server& server);
    discovery_service(discovery_service const&) = delete;
    discovery_service& operator=(discovery_service const&) = delete;

    /** Starts sending heartbeats and reading the other replicas. */
    void start();

    /** Handles an upstream's heartbeat.

        @param done  called immediately when the upstream is serving; otherwise
                     once it is known whether a majority has recorded the
                     update
    */
    void handle_heartbeat(upstream_member update, acknowledge_callback done);

    /** Handles the departure of an upstream that announced it without a
        heartbeat.

        @param done  called once it is known whether a majority has recorded
                     the departure
    */
    void handle_leave(upstream_id const& id, acknowledge_callback done);

    /** Replaces the seed addresses. */
    void set_seeds(std::vector<socket_address> seeds)
    {
        settings_.seeds = std::move(seeds);
    }

    /** Schedules responses to the waiting readers; must be called when the
        routes have changed. */
    void routes_changed() { schedule_responses(); }

    /** Returns whether entries should read this replica: it has contact with a
        leader and has read another replica, or appears to be the only one. */
    bool is_current() const;

    membership_view const& membership() const { return membership_; }

    /** Returns whether the view of the entries is complete enough to answer
        look-ups. */
    bool has_settled_view() const { return settling_.is_settled(); }

private:
    using reply_function = control_server::reply_function;

    /** Request for updates whose response is delayed until there are some (long
        polling). */
    struct waiting_reader
    {
        QCborMap request;
        sync_position position;
        quarantine_cursor crash_cursor;
        /** Time at which the response is sent even without updates. */
        monotonic_time deadline;
        reply_function reply;
    };

    /** Replica whose membership view is read. */
    struct source
    {
        std::unique_ptr<rpc_client> client;
        sync_position position;
        crash_position crashes;
        bool is_reading = false;
        monotonic_time next_read;
        /** Time of its last response; before the first, of its addition. */
        monotonic_time last_response;
    };

    void handle_updates_request(QCborMap const& request,
                                reply_function const& reply);
    void handle_push(QCborMap const& request, reply_function const& reply);
    bool is_response_due(waiting_reader const& reader) const;
    void respond(waiting_reader const& reader);
    void respond_to_waiting();
    void schedule_responses();
    void handle_tick();
    void record_own_heartbeat();
    void add_sources();
    void read(socket_address const& address, source& from);
    void handle_response(socket_address const& address,
                         std::optional<QCborMap> const& reply);
    /** Returns the routes in force for entries, packed. */
    QByteArray const& packed_routes();
    void merge_crashes(QCborMap const& message);
    std::size_t live_entries() const;
    void update_settling();
    /** Sends an upstream's record to all voting replicas and reports whether a
        majority of them has recorded it. */
    void push(upstream_member const& record, acknowledge_callback done);
    void handle_upstream_change(upstream_member const& record);
    void handle_entry_change(entry_member const& record);
    void handle_replica_change(replica_member const& record);

    discovery_settings settings_;
    control_server& server_;
    steady_clock_source clock_;
    timer_service timers_;
    membership_view membership_;
    view_settling settling_;
    /** Requests that crash upstreams, as reported by entries; relayed to other
        entries and replicas. */
    quarantine known_crashes_{clock_};
    incarnation started_;
    /** Sequence number of the latest heartbeat of this replica. */
    qint64 heartbeat_sequence_ = 0;
    monotonic_time last_heartbeat_;
    monotonic_time created_;
    QHash<socket_address, std::shared_ptr<source>> sources_;
    std::vector<waiting_reader> waiting_;
    /** Routes for entries, of one revision; encoded once for all of them. */
    QByteArray packed_routes_;
    qint64 packed_revision_ = -1;
    bool are_responses_scheduled_ = false;
    timer_service::subscription tick_;
    timer_service::subscription response_timer_;
};

} // namespace verbenacove

#endif
