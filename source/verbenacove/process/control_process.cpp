#include "verbenacove/process/control_process.hpp"

#include "verbenacove/core/log.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUuid>

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace verbenacove
{

namespace
{

log_part const control_log{"control"};

constexpr milliseconds stop_poll_interval{10};
/** How long operators' changes in hand may hold up a stop. */
constexpr milliseconds longest_answers{5000};

/** What the replicas of a new system call themselves, so that each knows the
    others before it has met them. */
replica_id first_identity(QString const& name)
{
    return replica_id(name + QStringLiteral("-initial"));
}

replica_id new_identity()
{
    return replica_id(QUuid::createUuid().toString(QUuid::WithoutBraces));
}

QString reason_of(std::function<boost::leaf::result<void>()> const& work)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<QString>
        {
            BOOST_LEAF_CHECK(work());
            return QString();
        },
        [](raft_storage_error const& error)
        { return error.file + QStringLiteral(": ") + error.reason; },
        [] { return QStringLiteral("unknown error"); });
}

QString role_word(raft_role role)
{
    switch (role)
    {
    case raft_role::leader:
        return QStringLiteral("leader");
    case raft_role::follower:
        return QStringLiteral("follower");
    default:
        break;
    }
    return QStringLiteral("candidate");
}

} // namespace

QString initialize_replica(control_settings const& settings)
{
    raft_members members;
    for (auto const& replica : settings.replicas)
    {
        members.push_back(
            {replica.name, first_identity(replica.name), replica.address});
    }
    return reason_of(
        [&]
        {
            return raft_storage::create(settings.data_folder,
                                        first_identity(settings.name), members);
        });
}

control_process::control_process(control_settings settings)
    : settings_(std::move(settings))
{
}

control_process::~control_process() = default;

QString control_process::start()
{
    auto const error = open_files();
    if (!error.isEmpty())
    {
        return error;
    }
    server_ = std::make_unique<control_server>(settings_, *storage_);
    return open_doors();
}

QString control_process::open_doors()
{
    if (!server_->start())
    {
        return settings_.listen.text() + QStringLiteral(": ") +
               server_->error_text();
    }
    backend_ = std::make_unique<operator_backend>(*server_);
    operators_ = std::make_unique<operator_connector>(settings_.operators);
    service_ = std::make_unique<operator_service>(*operators_, *backend_);
    if (!operators_->StartListening())
    {
        return settings_.operators.text() +
               QStringLiteral(": cannot be listened at");
    }
    http_ = std::make_unique<http_server>(
        http_limits{}, [this](std::shared_ptr<http_exchange> const& exchange)
        { handle_http(exchange); });
    if (!http_->listen(settings_.http))
    {
        return settings_.http.text() + QStringLiteral(": ") +
               http_->error_text();
    }
    return {};
}

void control_process::stop(std::function<void()> stopped)
{
    operators_->stop_accepting();
    finish_operators([this, stopped = std::move(stopped)]
                     { server_->stop(stopped); });
}

void control_process::finish_operators(std::function<void()> const& stopped)
{
    auto const deadline = std::chrono::steady_clock::now() + longest_answers;
    stop_timer_ = timers_.call_every(
        stop_poll_interval,
        [this, deadline, stopped]
        {
            bool const is_late = std::chrono::steady_clock::now() > deadline;
            if (operators_->active_requests() == 0 || is_late)
            {
                stop_timer_.cancel();
                stopped();
            }
        });
}

QString control_process::open_files()
{
    return reason_of(
        [this]() -> boost::leaf::result<void>
        {
            if (!raft_storage::has_replica(settings_.data_folder))
            {
                control_log.warn(QStringLiteral(
                    "No replica's files here; starting as a new replica that "
                    "learns from the others."));
                BOOST_LEAF_CHECK(raft_storage::create(settings_.data_folder,
                                                      new_identity(), {}));
            }
            BOOST_LEAF_ASSIGN(storage_,
                              raft_storage::open(settings_.data_folder));
            return {};
        });
}

void control_process::handle_http(
    std::shared_ptr<http_exchange> const& exchange)
{
    auto const& path = exchange->request().path;
    bool const is_ready =
        server_->node().is_voter() && server_->node().is_current();
    if (path == "/readyz" && !is_ready)
    {
        exchange->respond(not_run_response(503, "not-ready",
                                           "This replica hears of no leader, "
                                           "or is behind it."));
        return;
    }
    if (path == "/healthz" || path == "/readyz")
    {
        exchange->respond(
            {200, {{"Content-Type", "application/json"}}, status_body()});
        return;
    }
    if (path == "/metrics")
    {
        exchange->respond({200,
                           {{"Content-Type", "text/plain; version=0.0.4"}},
                           metrics_body()});
        return;
    }
    exchange->respond(
        not_run_response(404, "unknown-path", "There is nothing here."));
}

QByteArray control_process::metrics_body()
{
    auto const& node = server_->node();
    control_metrics::state now;
    now.is_leader = node.is_leader();
    now.is_voter = node.is_voter();
    now.term = node.term().value();
    now.commit_index = node.commit_index().value();
    now.applied_index = node.applied_index().value();
    now.config_version = server_->state().config().version().value();
    now.claims = server_->state().claims().claim_count();
    now.open_claims = server_->state().claims().open_count();
    now.log_bytes = storage_->log_bytes();
    return metrics_.text(now);
}

QByteArray control_process::status_body() const
{
    auto const& node = server_->node();
    QJsonObject const status{
        {QStringLiteral("name"), settings_.name},
        {QStringLiteral("role"), role_word(node.role())},
        {QStringLiteral("leader"), server_->leader_name()},
        {QStringLiteral("term"), node.term().value()},
        {QStringLiteral("applied"), node.applied_index().value()},
        {QStringLiteral("voter"), node.is_voter()},
        {QStringLiteral("config_version"),
         server_->state().config().version().value()},
        {QStringLiteral("claims"), server_->state().claims().claim_count()}};
    return QJsonDocument(status).toJson(QJsonDocument::Compact);
}

} // namespace verbenacove
