#include "verbenacove/process/routing/replica_process.hpp"

#include "verbenacove/core/event_log.hpp"
#include "verbenacove/core/setting_reader.hpp"
#include "verbenacove/process/routing/route_entry_settings.hpp"

#include <QUuid>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenacove
{

namespace
{

event_log const replica_log{"replica"};

constexpr milliseconds stop_poll_interval{20};
/** The part of the grace period that is still left when the process exits on
    its own. */
constexpr milliseconds grace_margin{500};
/** The upper limit of each setting that is a duration. */
constexpr milliseconds maximum_duration{60000};
constexpr qint64 one_mebibyte = 1024 * 1024;
/** The maximum size of a configuration in an operator request. */
/** Bounds of bodies, in bytes: of calls that may bring a configuration, and of
    look-ups and reads of metrics, which need none. */
constexpr qint64 maximum_control_body_bytes = 8 * one_mebibyte;
constexpr qint64 maximum_read_body_bytes = 1024;

/** Returns the id of an initial voter. It is derived from the address, so all
    initial voters know the ids of the others. */
replica_id initial_replica_id(socket_address const& address)
{
    return replica_id(address.text() + QStringLiteral("-initial"));
}

/** Returns the number of voters that keeps committed changes when the given
    number of replicas lose their disks while the others lose power. The
    replicas that are left must overlap with every majority. */
std::size_t required_voters(int tolerated_losses)
{
    return std::size_t{3} + 2 * static_cast<std::size_t>(tolerated_losses);
}

control_settings control_settings_of(replica_settings const& settings)
{
    control_settings result;
    result.name = settings.listen.text();
    result.region = settings.region;
    result.zone = settings.zone;
    result.data_folder = settings.data_folder;
    result.listen = settings.listen;
    result.raft = settings.raft;
    result.raft.known_addresses = settings.seeds;
    result.raft.maximum_voters = required_voters(settings.tolerated_losses);
    return result;
}

/** Maximum numbers of connections, whose sum with rpc_server's leaves
    descriptors for the disk and for connections to other replicas among the
    4,096 of a control VM. */
constexpr int maximum_control_connections = 1024;
constexpr int maximum_lookup_connections = 768;
constexpr int maximum_metrics_connections = 16;

boost::leaf::result<void> create_replica(replica_settings const& settings)
{
    bool const is_initial_voter =
        settings.is_first_start &&
        std::find(settings.seeds.begin(), settings.seeds.end(),
                  settings.listen) != settings.seeds.end();
    if (!is_initial_voter)
    {
        replica_log.note("replica.new", {});
        return raft_storage::create(
            settings.data_folder,
            replica_id(QUuid::createUuid().toString(QUuid::WithoutBraces)), {});
    }
    raft_members members;
    for (auto const& seed : settings.seeds)
    {
        members.push_back({seed.text(), initial_replica_id(seed), seed});
    }
    replica_log.note("replica.first", {{"voters", qint64(members.size())}});
    return raft_storage::create(settings.data_folder,
                                initial_replica_id(settings.listen), members);
}

} // namespace

boost::leaf::result<replica_settings>
parse_replica_settings(ini_document const& document)
{
    setting_reader reader(document);
    replica_settings settings;
    settings.region = region_name(reader.name("replica", "region"));
    settings.zone = zone_name(reader.name("replica", "zone"));
    settings.data_folder = reader.text("replica", "data_folder", {});
    if (settings.data_folder.isEmpty())
    {
        reader.report("replica", "data_folder",
                      QStringLiteral("must be a folder on the VM's disk"));
    }
    settings.listen = reader.address("replica", "listen");
    settings.control = reader.address("replica", "control");
    settings.directory = parse_optional_address(reader, "replica", "directory");
    settings.metrics = parse_optional_address(reader, "replica", "metrics");
    settings.is_first_start =
        reader.text("replica", "first_start", {}) == QLatin1String("true");
    // Rounded up: with a voter too many nothing is lost.
    settings.tolerated_losses = static_cast<int>(
        std::ceil(reader.fraction("replica", "tolerated_losses", 1, 0, 3)));
    settings.lookup_ttl =
        reader.duration("replica", "lookup_ttl", settings.lookup_ttl,
                        milliseconds(100), maximum_duration);
    settings.stop_grace =
        reader.duration("replica", "stop_grace", settings.stop_grace,
                        milliseconds(100), maximum_duration);
    settings.raft.heartbeat =
        reader.duration("replica", "heartbeat", settings.raft.heartbeat,
                        milliseconds(10), maximum_duration);
    settings.raft.election_timeout = reader.duration(
        "replica", "election_timeout", settings.raft.election_timeout,
        settings.raft.heartbeat * 3, maximum_duration);
    // Half of the time is left for an election, the change of the voters and
    // the transfer of what the new one has missed.
    settings.raft.replace_after = std::max(
        reader.duration("replica", "catch_up", settings.raft.replace_after * 2,
                        milliseconds(100), maximum_duration) /
            2,
        settings.raft.election_timeout * 2);
    settings.raft.snapshot_after_bytes =
        reader.size("replica", "snapshot_after", 4 * one_mebibyte, 4096,
                    1024 * one_mebibyte);
    settings.callers_share = parse_caller_share(reader);
    settings.log = reader.level("log", "level");
    settings.seeds = parse_replica_addresses(reader);
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

replica_process::replica_process(replica_settings settings)
    : settings_(std::move(settings))
    , caller_budget_(settings_.callers_share)
{
}

replica_process::~replica_process() = default;

QString replica_process::start(std::function<handlers()> make_handlers)
{
    auto const error = open_storage();
    if (!error.isEmpty())
    {
        return error;
    }
    server_ = std::make_unique<control_server>(control_settings_of(settings_),
                                               *storage_);
    discovery_ = std::make_unique<discovery_service>(
        discovery_settings{{settings_.listen, settings_.zone, settings_.region},
                           settings_.seeds,
                           settings_.data_folder},
        *server_);
    directory_ = std::make_unique<entry_directory>(*discovery_);
    routes_ = std::make_unique<route_service>(
        *server_, [this] { discovery_->routes_changed(); });
    confirmations_ = std::make_unique<key_confirmation_service>(*server_);
    discovery_->set_confirmation_lookup([this]
                                        { return confirmations_->latest(); });
    allowances_ = std::make_unique<allowance_service>(*server_);
    if (!server_->start())
    {
        return settings_.listen.text() + QStringLiteral(": ") +
               server_->error_text();
    }
    routes_->start();
    confirmations_->start();
    allowances_->start();
    discovery_->start();
    load_reporter_.start();
    return open_endpoints(make_handlers());
}

QString replica_process::open_storage()
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<QString>
        {
            if (!raft_storage::has_replica(settings_.data_folder))
            {
                BOOST_LEAF_CHECK(create_replica(settings_));
            }
            BOOST_LEAF_ASSIGN(storage_,
                              raft_storage::open(settings_.data_folder));
            return QString();
        },
        [](raft_storage_error const& error)
        { return error.file + QStringLiteral(": ") + error.reason; },
        [] { return QStringLiteral("unknown error"); });
}

QString replica_process::open_endpoints(handlers request_handlers)
{
    struct endpoint
    {
        std::unique_ptr<http_server>& server;
        socket_address address;
        http_server::handler handle;
        int maximum_connections = 0;
        qint64 maximum_body_bytes = maximum_read_body_bytes;
    };
    std::vector<endpoint> endpoints{
        {control_endpoint_, settings_.control,
         measured(work_kind::control_calls,
                  std::move(request_handlers.control)),
         maximum_control_connections, maximum_control_body_bytes}};
    if (settings_.directory)
    {
        endpoints.push_back({directory_endpoint_, *settings_.directory,
                             measured(work_kind::lookups,
                                      std::move(request_handlers.directory)),
                             maximum_lookup_connections});
    }
    if (settings_.metrics)
    {
        endpoints.push_back(
            {metrics_endpoint_, *settings_.metrics,
             [this](std::shared_ptr<http_exchange> const& exchange)
             {
                 exchange->respond(
                     {200,
                      {{"Content-Type", "text/plain; version=0.0.4"}},
                      metrics_body()});
             },
             maximum_metrics_connections});
    }
    for (auto& each : endpoints)
    {
        bool const is_control = &each.server == &control_endpoint_;
        http_limits limits;
        limits.maximum_body_bytes = each.maximum_body_bytes;
        limits.maximum_connections = each.maximum_connections;
        if (is_control)
        {
            limits.body_bytes_for = request_handlers.control_body_bytes;
        }
        each.server =
            std::make_unique<http_server>(limits, each.handle, &caller_budget_);
        // Orders and departures must not wait behind the reads of all entries.
        if (is_control)
        {
            each.server->set_high_priority();
        }
        if (!each.server->listen(each.address))
        {
            return each.address.text() + QStringLiteral(": ") +
                   each.server->error_text();
        }
    }
    return {};
}

http_server::handler replica_process::measured(work_kind kind,
                                               http_server::handler handle)
{
    return [this, kind, handle = std::move(handle)](
               std::shared_ptr<http_exchange> const& exchange)
    {
        work_meter::scope const scope(server_->work(), kind);
        handle(exchange);
    };
}

void replica_process::reload(replica_settings settings)
{
    discovery_->set_seeds(std::move(settings.seeds));
}

void replica_process::stop(std::function<void()> on_stopped)
{
    replica_log.note("replica.stopping", {});
    discovery_->prepare_stop();
    control_endpoint_->prepare_stop();
    if (directory_endpoint_)
    {
        directory_endpoint_->prepare_stop();
    }
    server_->stop([this, on_stopped = std::move(on_stopped)]
                  { finish_stop(on_stopped); });
}

// Waits until the requests received during the leadership transfer have been
// answered.
void replica_process::finish_stop(std::function<void()> on_stopped)
{
    auto const deadline =
        clock_.now() + settings_.stop_grace / 2 - grace_margin;
    stop_timer_ = timers_.call_every(
        stop_poll_interval,
        [this, deadline, on_stopped = std::move(on_stopped)]
        {
            int const busy =
                control_endpoint_->busy_connections() +
                (directory_endpoint_ ? directory_endpoint_->busy_connections()
                                     : 0);
            if (busy == 0 || clock_.now() >= deadline)
            {
                replica_log.note("replica.stopped", {{"cut_off", busy}});
                stop_timer_.cancel();
                on_stopped();
            }
        });
}

replica_load replica_process::measure_load()
{
    auto const& node = server_->node();
    replica_load load;
    load.work = server_->work().take();
    load.deltas = discovery_->take_made_deltas();
    load.waiting_readers = static_cast<qint64>(discovery_->waiting_readers());
    load.lost_replicas = static_cast<qint64>(discovery_->lost_replica_count());
    load.control_connections = control_endpoint_->connection_count();
    load.lookup_connections =
        directory_endpoint_ ? directory_endpoint_->connection_count() : 0;
    load.is_leader = node.is_leader();
    load.term = node.term().value();
    load.followed_leader = server_->leader_name();
    for (auto const& voter : node.members())
    {
        load.voters += voter.name;
    }
    for (auto const& peer : node.peers())
    {
        load.learners += peer.is_voter ? 0 : 1;
        load.learners_silent += !peer.is_voter && !peer.is_heard ? 1 : 0;
        load.learners_behind +=
            !peer.is_voter && peer.match < node.commit_index() ? 1 : 0;
    }
    return load;
}

QByteArray replica_process::metrics_body()
{
    auto const& node = server_->node();
    control_metrics::state state;
    state.is_leader = node.is_leader();
    state.is_voter = node.is_voter();
    state.term = node.term().value();
    state.commit_index = node.commit_index().value();
    state.applied_index = node.applied_index().value();
    state.config_version = server_->state().routes().current()->version.value();
    state.log_bytes = storage_->log_bytes();
    state.serving_entries =
        static_cast<qint64>(directory_->serving_entries().size());
    state.restricted_teams = allowances_->restricted_teams();
    state.refused_heartbeats = discovery_->refused_heartbeats();
    state.team_table = static_cast<qint64>(
        team_table_of(*server_->state().routes().current()));
    return metrics_.text(state);
}

} // namespace verbenacove
