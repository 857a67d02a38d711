#ifndef VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_HPP

#include "verbenacove/process/control_server.hpp"
#include "verbenacove/process/discovery/crash_exchange.hpp"
#include "verbenacove/process/discovery/delta_cache.hpp"
#include "verbenacove/process/discovery/departure_log.hpp"
#include "verbenacove/process/discovery/membership_view.hpp"
#include "verbenacove/process/discovery/view_settling.hpp"
#include "verbenacove/teams/key_confirmation.hpp"

#include <QHash>
#include <QSet>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace verbenacove
{

/** Identity of a replica, and the seed addresses of others. */
struct discovery_settings
{
    replica_content self;
    /** Addresses of some replicas; they may be down or outdated. */
    std::vector<socket_address> seeds;
    /** Folder on the VM's disk for the departures of upstreams. */
    QString data_folder;
};

/** Provides discovery of upstreams, entries and other replicas in a control
    replica.

    Upstreams send heartbeats to it and entries poll it for updates; replicas
    read each other's membership views. The departure of an upstream is
    acknowledged only once a majority of the voting replicas has it on their
    disks, so that entries receive it also when all replicas are killed right
    afterwards.
*/
class discovery_service
{
public:
    /** Called once, with true when a majority of the voting replicas has
        recorded the update and false when it has not. */
    using acknowledge_callback = std::function<void(bool)>;

    /** Maximum number of readers that wait for updates concurrently. */
    static constexpr std::size_t maximum_waiting = 4096;

    /** Returns the latest confirmation of the keys that this replica has. */
    using confirmation_lookup =
        std::function<std::optional<key_confirmation>()>;

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

        The departure is dropped when its caller has left: an upstream may have
        started again under the same id since.

        @param is_awaited  returns whether the caller still waits
        @param done        called once it is known whether a majority has
                           recorded the departure
    */
    void handle_leave(upstream_id const& id, std::function<bool()> is_awaited,
                      acknowledge_callback done);

    /** Sets where the confirmation is looked up that entries are sent; none is
        sent before. */
    void set_confirmation_lookup(confirmation_lookup lookup)
    {
        find_confirmation_ = std::move(lookup);
    }

    /** Replaces the seed addresses. */
    void set_seeds(std::vector<socket_address> seeds)
    {
        settings_.seeds = std::move(seeds);
    }

    /** Schedules responses to the waiting readers; must be called when the
        routes have changed. */
    void routes_changed();

    /** Returns the replica that an upstream should send its heartbeats to: one
        of its zone or region, the same one for all replicas with the same view;
        nothing when none is known.

        A replica that has lost contact with a leader and with a majority names
        one that it has no contact with itself, which may be on the side of the
        majority.
    */
    std::optional<socket_address>
    heartbeat_receiver(upstream_id const& id, zone_name const& zone) const;

    /** Lets others name this replica no longer to upstreams; must be called
        when it begins to stop. */
    void prepare_stop();

    /** Returns the number of readers that wait for updates. */
    std::size_t waiting_readers() const { return waiting_.size(); }

    /** Returns which deltas were made for entries since the previous call. */
    delta_cache::made_deltas take_made_deltas()
    {
        return entry_deltas_.take_made();
    }

    /** Returns the number of replicas whose latest read failed. */
    std::size_t lost_replica_count() const
    {
        return static_cast<std::size_t>(unreachable_replicas({}).size());
    }

    /** Returns whether entries should read this replica: it has contact with a
        leader and has read another replica, or appears to be the only one. */
    bool is_current() const;

    membership_view const& membership() const { return membership_; }

    /** Returns the number of heartbeats of upstreams that were not acknowledged
        as what they say does not hold, since the start. */
    qint64 refused_heartbeats() const { return refused_heartbeats_; }

    /** Returns whether the view of the entries is complete enough to answer
        look-ups. */
    bool has_settled_view() const;

private:
    using reply_function = control_server::reply_function;

    /** Request for updates whose response is delayed until there are some (long
        polling). */
    struct waiting_reader
    {
        QCborMap request;
        sync_position position;
        view_reader view;
        quarantine_cursor crash_cursor;
        /** Time before which changes of the view and crashes are not sent. */
        monotonic_time not_before;
        /** Time at which the response is sent even without updates. */
        monotonic_time deadline;
        reply_function reply;
        /** Time at which the request was taken. */
        boot_time received;
    };

    /** Returns whether the reader may use what this replica knows: as
        `is_current`, but an entry that cannot read teams has to serve nothing
        of a configuration that uses keys. */
    bool is_current_for(QCborMap const& request) const;

    /** Departure that is not stored yet. */
    struct unstored_departure
    {
        upstream_member record;
        acknowledge_callback done;
    };

    /** Replica whose membership view is read. */
    struct source
    {
        std::unique_ptr<rpc_client> client;
        sync_position position;
        crash_position crashes;
        bool is_reading = false;
        /** Whether it has ever been read. */
        bool was_read = false;
        /** Whether the latest read failed. */
        bool is_lost = false;
        /** Names of the lost replicas that the read in progress tells of. */
        QSet<QString> sent_lost;
        /** Those for which this source has sent what it knows. */
        QSet<QString> answered_lost;
        /** The same of all replicas that cannot be read, of which only
            departures are asked for. */
        QSet<QString> sent_unreachable;
        QSet<QString> answered_unreachable;
        /** Time at which its whole view was read last. */
        std::optional<monotonic_time> last_whole_view;
        /** Whether it is asked for all entries, as long as the view has not
            settled. */
        bool sends_all_entries = false;
        /** Whether it has sent all entries since the view has begun to
            settle. */
        bool has_sent_all_entries = false;
        monotonic_time next_read;
        /** Time of its last response; before the first, of its addition. */
        monotonic_time last_response;
    };

    void handle_updates_request(QCborMap const& request,
                                reply_function const& reply);
    void handle_push(QCborMap const& request, reply_function const& reply);
    /** Returns whether a response cannot wait for further changes. */
    bool is_urgent(waiting_reader const& reader) const;
    bool is_response_due(waiting_reader const& reader) const;
    bool has_changes_for(waiting_reader const& reader) const;
    /** Returns whether an entry whose keys were last confirmed long ago would
        get a much later confirmation. */
    bool has_confirmation_for(waiting_reader const& reader) const;
    /** Returns which crashes a reader needs of this replica. */
    static record_scope crash_scope(waiting_reader const& reader);
    /** Returns those of the given replicas with which this one has contact. */
    QSet<QString> heard_replicas(QSet<QString> const& names) const;
    bool is_in_contact(source const& from) const;
    /** Returns whether this replica has contact with a majority of the voting
        replicas, so that a leader is missing and not the network. */
    bool hears_majority() const;
    bool may_send_all_entries(source const& from) const;
    QCborArray vouched_replicas(QSet<QString> const& lost) const;
    void respond(waiting_reader const& reader);
    /** Returns the part of the membership view that a reader gets. */
    QCborMap view_for(waiting_reader const& reader);
    void respond_to_waiting();
    void schedule_responses(milliseconds delay);
    /** Schedules responses with changes of the membership view, which are
        gathered for a while. */
    void schedule_updates();
    void handle_tick();
    void record_own_heartbeat();
    void add_sources();
    void read(socket_address const& address, source& from);
    QCborMap make_read_request(socket_address const& address, source& from);
    /** Returns the names of the replicas whose records others are asked for;
        none while most cannot be read. */
    QSet<QString> lost_replicas(socket_address const& except) const;
    /** Returns the names of the replicas whose latest read failed. */
    QSet<QString> unreachable_replicas(socket_address const& except) const;
    void record_read(socket_address const& address, source& from,
                     QCborMap const& reply);
    void handle_response(socket_address const& address,
                         std::optional<QCborMap> const& reply);
    /** Returns the routes in force for entries, packed. */
    QByteArray const& packed_routes();
    void merge_crashes(QCborMap const& message, record_origin origin);
    std::optional<location> location_of(socket_address const& replica) const;
    std::size_t live_entries() const;
    /** Returns whether each source has been read, or cannot be. */
    bool has_read_sources() const;
    void update_settling();
    /** Lets the view settle anew after this process did not run for a while.
     */
    void check_pause(monotonic_time now);
    /** Finds whether this replica has lost contact with most others. */
    void check_isolation(monotonic_time now);
    void log_relayed_changes(monotonic_time now);
    void leave(upstream_id const& id, acknowledge_callback done);
    /** Sends an upstream's record to all voting replicas and reports whether a
        majority of them has stored it. */
    void push(upstream_member const& record, acknowledge_callback done);
    void restore_departures();
    /** Returns whether a record is a departure from before this process
        started, so that the upstream may have started again since. */
    bool is_restored(upstream_member const& record) const;
    /** Stores a departure together with the others that come meanwhile. */
    void store_departure(upstream_member const& record,
                         acknowledge_callback done);
    void flush_departures();
    /** Lets the waiting readers know at once that an upstream has turned
        cold. */
    void handle_upstream_cooled(upstream_member const& record);
    void handle_upstream_change(upstream_member const& record);
    void handle_entry_change(entry_member const& record);
    void handle_replica_change(replica_member const& record);

    discovery_settings settings_;
    control_server& server_;
    confirmation_lookup find_confirmation_ = []
    {
        return std::nullopt;
    };
    steady_clock_source clock_;
    timer_service timers_;
    membership_view membership_;
    view_settling settling_;
    /** Requests that crash upstreams, as reported by entries; relayed to other
        entries and replicas. */
    quarantine known_crashes_{clock_};
    shared_crash_update crash_update_;
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
    delta_cache entry_deltas_{{}, delta_cache::packing::large_deltas};
    /** For replicas that need nothing of lost ones. */
    delta_cache replica_deltas_{
        {.wants_heartbeats = true, .is_delegating = true},
        delta_cache::packing::none};
    /** Time of the scheduled responses; absent if there are none. */
    std::optional<monotonic_time> next_responses_;
    monotonic_time last_responses_{};
    /** Time until which changes wait no longer than `expedited_interval`. */
    monotonic_time expedited_until_{};
    monotonic_time last_current_{};
    monotonic_time last_tick_{};
    monotonic_time next_expiry_{};
    /** Time since which this replica has had no contact with most others;
       absent while it has. */
    std::optional<monotonic_time> isolated_since_;
    departure_log departures_;
    std::vector<unstored_departure> unstored_departures_;
    /** Starts of the upstreams whose departures were on disk when this process
        started. */
    QHash<QString, incarnation> restored_departures_;
    bool is_stopping_ = false;
    /** Number of relayed changes of upstreams that were not logged yet. */
    int relayed_changes_ = 0;
    qint64 refused_heartbeats_ = 0;
    monotonic_time last_relayed_log_{};
    timer_service::subscription tick_;
    timer_service::subscription response_timer_;
    QObject context_;
};

} // namespace verbenacove

#endif
