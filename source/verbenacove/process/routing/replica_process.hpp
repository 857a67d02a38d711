#ifndef VERBENACOVE_PROCESS_ROUTING_REPLICA_PROCESS_HPP
#define VERBENACOVE_PROCESS_ROUTING_REPLICA_PROCESS_HPP

#include "verbenacove/connection/http_server.hpp"
#include "verbenacove/process/discovery/discovery_service.hpp"
#include "verbenacove/process/metrics.hpp"
#include "verbenacove/process/route_service.hpp"
#include "verbenacove/process/routing/entry_directory.hpp"
#include "verbenacove/process/routing/replica_load.hpp"
#include "verbenacove/teams/allowance_service.hpp"
#include "verbenacove/teams/key_confirmation_service.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace verbenacove
{

/** Settings of a control replica that discovers the other replicas. */
struct replica_settings
{
    zone_name zone;
    region_name region;
    QString data_folder;
    /** The listening address for other replicas and entries. Its text is also
        the name of the replica. */
    socket_address listen;
    /** The listening address for operators and upstreams. */
    socket_address control;
    /** The listening address for look-ups by callers, if enabled. */
    std::optional<socket_address> directory;
    /** The listening address for metrics, if enabled. */
    std::optional<socket_address> metrics;
    /** Whether this is the first start of the whole system. The replicas at
        the addresses in `seeds` are then the initial voters. */
    bool is_first_start = false;
    /** Addresses of the replicas to try first. */
    std::vector<socket_address> seeds;
    /** The number of replicas that may lose their disks at the same time
        without losing committed changes. */
    int tolerated_losses = 1;
    /** What callers of all endpoints may make the process hold. */
    caller_share callers_share;
    /** The time for which callers may cache a look-up response. */
    milliseconds lookup_ttl{1000};
    /** The maximum time from the stop request to the exit of the process. */
    milliseconds stop_grace{6000};
    raft_settings raft;
    log_level log = log_level::info;
};

/** Reads the settings. An error lists all problems at once. */
boost::leaf::result<replica_settings>
parse_replica_settings(ini_document const& document);

/** A control replica that needs no complete list of the other replicas.

    It runs the replicated log, process discovery and the HTTP endpoints for
    operator commands and look-ups by callers. The handlers define the contents
    of requests and responses.
*/
class replica_process
{
public:
    /** The request handlers of the HTTP endpoints. */
    struct handlers
    {
        http_server::handler control;
        http_server::handler directory;
        /** @see http_limits::body_bytes_for */
        std::function<qint64(QByteArray const& method, QByteArray const& path)>
            control_body_bytes;
    };

    explicit replica_process(replica_settings settings);
    ~replica_process();
    replica_process(replica_process const&) = delete;
    replica_process& operator=(replica_process const&) = delete;

    /** Opens the storage, joins the other replicas and starts listening on
        all endpoints.

        @param make_handlers  called once discovery() and routes() can be used
        @return  an error message, or an empty string on success
    */
    QString start(std::function<handlers()> make_handlers);

    /** Applies changed settings. Only the seeds can change. */
    void reload(replica_settings settings);

    /** Stops gracefully.

        @param on_stopped  called when no request is in flight, or when nearly
                           half of the grace period has passed since the
                           leadership transfer
    */
    void stop(std::function<void()> on_stopped);

    discovery_service& discovery() { return *discovery_; }
    route_service& routes() { return *routes_; }
    entry_directory& directory() { return *directory_; }
    replica_settings const& settings() const { return settings_; }

private:
    QString open_storage();
    QString open_endpoints(handlers request_handlers);
    void finish_stop(std::function<void()> on_stopped);
    QByteArray metrics_body();
    replica_load measure_load();
    /** Returns a handler whose time is counted for a kind of work. */
    http_server::handler measured(work_kind kind, http_server::handler handle);

    replica_settings settings_;
    steady_clock_source clock_;
    timer_service timers_;
    timer_service::subscription stop_timer_;
    control_metrics metrics_;
    std::unique_ptr<raft_storage> storage_;
    std::unique_ptr<control_server> server_;
    std::unique_ptr<discovery_service> discovery_;
    std::unique_ptr<route_service> routes_;
    std::unique_ptr<key_confirmation_service> confirmations_;
    std::unique_ptr<allowance_service> allowances_;
    std::unique_ptr<entry_directory> directory_;
    replica_load_reporter load_reporter_{[this]
                                         {
                                             return measure_load();
                                         }};
    caller_budget caller_budget_;
    std::unique_ptr<http_server> control_endpoint_;
    std::unique_ptr<http_server> directory_endpoint_;
    std::unique_ptr<http_server> metrics_endpoint_;
};

} // namespace verbenacove

#endif
