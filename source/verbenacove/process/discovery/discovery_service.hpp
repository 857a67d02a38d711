#ifndef VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_DISCOVERY_SERVICE_HPP

#include "verbenacove/process/control_server.hpp"
#include "verbenacove/process/discovery/crash_exchange.hpp"
#include "verbenacove/process/discovery/discovery_board.hpp"

#include <QHash>

#include <functional>
#include <memory>
#include <vector>

namespace verbenacove
{

/** Who a replica is, and where it finds the first others. */
struct discovery_settings
{
    replica_content self;
    /** Some of the replicas' addresses; they may be down or out of date. */
    std::vector<socket_address> seeds;
};

/** A replica's part in finding upstreams, entries and other replicas.

    Upstreams send it heartbeats and entries ask it for news; replicas read
    each other's boards. An upstream that leaves is acknowledged once a
    majority of the voting replicas knows of it, so that each entry that reads
    a replica of the majority hears of it as well.
*/
class discovery_service
{
public:
    /** Gets whether a majority knows what was said; called once. */
    using acknowledge_callback = std::function<void(bool)>;

    /** The most readers that may wait for news at a time. */
    static constexpr std::size_t maximum_waiting = 4096;

    /** The server must outlive the service, and not have been started. */
    discovery_service(discovery_settings settings, control_server& server);
    discovery_service(discovery_service const&) = delete;
    discovery_service& operator=(discovery_service const&) = delete;

    /** Begins to read the other replicas. */
    void start();

    /** Takes in an upstream's heartbeat. */
    void take_heartbeat(upstream_presence news, acknowledge_callback done);

    /** Takes in that an upstream ends, said without a heartbeat. */
    void take_leave(upstream_id const& id, acknowledge_callback done);

    /** Replaces the addresses that are tried first. */
    void set_seeds(std::vector<socket_address> seeds)
    {
        settings_.seeds = std::move(seeds);
    }

    /** Answers the waiting readers soon: the routes have changed. */
    void routes_changed() { answer_soon(); }

    /** Returns whether entries should read this replica: it hears of a
        leader and has read other replicas. */
    bool is_current() const;

    discovery_board const& board() const { return board_; }

private:
    using reply_function = control_server::reply_function;

    struct waiting_reader
    {
        QCborMap request;
        board_position position;
        quarantine_cursor crashes;
        monotonic_time until;
        reply_function reply;
    };

    /** One replica whose board is read. */
    struct source
    {
        std::unique_ptr<rpc_client> client;
        board_position position;
        crash_position crashes;
        bool is_reading = false;
        monotonic_time next_read;
        /** When it answered last. */
        monotonic_time heard;
    };

    void handle_news(QCborMap const& request, reply_function const& reply);
    void handle_push(QCborMap const& request, reply_function const& reply);
    bool has_answer(waiting_reader const& reader) const;
    void answer(waiting_reader const& reader);
    void answer_waiting();
    void answer_soon();
    void act();
    void beat();
    void add_sources();
    void read(socket_address const& address, source& from);
    void take_news(socket_address const& address,
                   std::optional<QCborMap> const& reply);
    void take_crashes(QCborMap const& message);
    void push(upstream_presence const& record, acknowledge_callback done);
    void note_upstream(upstream_presence const& record);
    void note_entry(entry_presence const& record);
    void note_replica(replica_presence const& record);

    discovery_settings settings_;
    control_server& server_;
    steady_clock_source clock_;
    timer_service timers_;
    discovery_board board_;
    /** What entries told of requests that crash upstreams, to pass on. */
    quarantine crashes_{clock_};
    incarnation started_;
    qint64 beats_ = 0;
    monotonic_time last_beat_;
    monotonic_time created_;
    QHash<socket_address, std::shared_ptr<source>> sources_;
    std::vector<waiting_reader> waiting_;
    bool is_answer_due_ = false;
    timer_service::subscription tick_;
    timer_service::subscription answer_timer_;
};

} // namespace verbenacove

#endif
