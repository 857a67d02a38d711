#ifndef VERBENACOVE_PROCESS_ROUTING_REPLICA_PROCESS_HPP
#define VERBENACOVE_PROCESS_ROUTING_REPLICA_PROCESS_HPP

#include "verbenacove/connection/http_server.hpp"
#include "verbenacove/process/discovery/discovery_service.hpp"
#include "verbenacove/process/metrics.hpp"
#include "verbenacove/process/route_service.hpp"
#include "verbenacove/request/lookup_ranking.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace verbenacove
{

/** The settings of a control replica that finds the others by itself. */
struct replica_settings
{
    zone_name zone;
    region_name region;
    QString data_folder;
    /** For other replicas and entries; also the replica's name. */
    socket_address listen;
    /** For operators and upstreams. */
    socket_address control;
    /** For callers' look-ups. */
    std::optional<socket_address> directory;
    std::optional<socket_address> metrics;
    /** Whether the whole system starts for the first time, with the first
        voting replicas at the addresses in `seeds`. */
    bool is_first_start = false;
    std::vector<socket_address> seeds;
    /** How many replicas may lose their disks at once. */
    int tolerated_losses = 1;
    /** How long callers may use the answer to a look-up. */
    milliseconds lookup_ttl{1000};
    /** From the wish to stop to the end of the process. */
    milliseconds stop_grace{6000};
    raft_settings raft;
    log_level log = log_level::info;
};

/** Reads the settings; all that is wrong comes at once. */
boost::leaf::result<replica_settings>
parse_replica_settings(ini_document const& document);

/** A control replica that needs no list of the others: the replicated log,
    the search for processes, operators' orders and callers' look-ups.

    Its doors speak HTTP; what they say is up to the handlers.
*/
class replica_process
{
public:
    /** What answers the requests at the doors. */
    struct handlers
    {
        http_server::handler control;
        http_server::handler directory;
    };

    explicit replica_process(replica_settings settings);
    ~replica_process();
    replica_process(replica_process const&) = delete;
    replica_process& operator=(replica_process const&) = delete;

    /** Opens the files and doors; the reason when that fails, else empty.

        @param make_handlers  called once the parts below are there
    */
    QString start(std::function<handlers()> make_handlers);

    /** Takes in changed settings: the seeds. */
    void reload(replica_settings settings);

    /** Stops gracefully and calls back when that is done. */
    void stop(std::function<void()> stopped);

    discovery_service& discovery() { return *discovery_; }
    route_service& routes() { return *routes_; }
    replica_settings const& settings() const { return settings_; }

    /** Returns the entries that serve, for look-ups. */
    std::vector<entry_view> serving_entries() const;

private:
    QString open_files();
    QString open_doors(handlers handle);
    void finish_stop(std::function<void()> stopped);
    QByteArray metrics_body();

    replica_settings settings_;
    steady_clock_source clock_;
    timer_service timers_;
    timer_service::subscription stop_timer_;
    control_metrics metrics_;
    std::unique_ptr<raft_storage> storage_;
    std::unique_ptr<control_server> server_;
    std::unique_ptr<discovery_service> discovery_;
    std::unique_ptr<route_service> routes_;
    std::unique_ptr<http_server> control_;
    std::unique_ptr<http_server> directory_;
    std::unique_ptr<http_server> metrics_door_;
};

} // namespace verbenacove

#endif
