#include "cluster_fixture.hpp"

#include "http_caller.hpp"
#include "wait_until.hpp"

#include <QDir>
#include <QProcess>

namespace verbenacove::support
{

namespace
{

constexpr int client_bound_ms = 30000;

} // namespace

cluster_fixture::cluster_fixture(QString binaries)
    : binaries_(std::move(binaries))
{
    folder_.setAutoRemove(!qEnvironmentVariableIsSet("VERBENACOVE_KEEP"));
}

// Processes end before their folder goes.
cluster_fixture::~cluster_fixture()
{
    members_.clear();
}

cluster_fixture::member& cluster_fixture::add(QString const& name, kind what,
                                              place const& where,
                                              std::vector<door> const& doors)
{
    auto made = std::make_unique<member>();
    made->name = name;
    made->what = what;
    made->where = where;
    for (auto const which : doors)
    {
        made->addresses[which] = {QHostAddress(QHostAddress::LocalHost),
                                  free_port()};
    }
    members_.push_back(std::move(made));
    return *members_.back();
}

void cluster_fixture::add_control(QString const& name, place const& where)
{
    add(name, kind::control, where,
        {door::http, door::internal, door::operators});
}

void cluster_fixture::add_entry(QString const& name, place const& where)
{
    add(name, kind::entry, where, {door::http, door::peer});
}

void cluster_fixture::add_upstream(QString const& name, QString const& service,
                                   place const& where,
                                   QStringList const& arguments)
{
    auto& made = add(name, kind::upstream, where, {door::http});
    made.service = service;
    made.arguments = arguments;
}

void cluster_fixture::add_settings(QString const& name, QString const& lines)
{
    find(name).settings += lines + u'\n';
}

void cluster_fixture::advertise(QString const& name, door which,
                                socket_address const& address,
                                QString const& viewer)
{
    advertised_[{name, which, viewer}] = address;
}

socket_address cluster_fixture::address(QString const& name, door which) const
{
    return find(name).addresses.at(which);
}

socket_address cluster_fixture::advertised(QString const& name, door which,
                                           QString const& viewer) const
{
    for (auto const& seen_by : {viewer, QString()})
    {
        auto const found = advertised_.find({name, which, seen_by});
        if (found != advertised_.end())
        {
            return found->second;
        }
    }
    return address(name, which);
}

cluster_fixture::member& cluster_fixture::find(QString const& name) const
{
    for (auto const& candidate : members_)
    {
        if (candidate->name == name)
        {
            return *candidate;
        }
    }
    qFatal("cluster fixture: no process %s", qPrintable(name));
}

QString cluster_fixture::list(kind what, door which, QString const& viewer,
                              bool is_named) const
{
    QStringList result;
    for (auto const& listed : members_)
    {
        if (listed->what == what)
        {
            result += (is_named ? listed->name + u'@' : QString()) +
                      advertised(listed->name, which, viewer).text();
        }
    }
    return result.join(QStringLiteral(", "));
}

QString cluster_fixture::control_settings(member const& of) const
{
    return QStringLiteral("[control]\nname = %1\ndata_folder = %2\n"
                          "listen = %3\noperator = %4\nhttp = %5\n"
                          "region = %6\nzone = %7\n"
                          "[replicas]\nmembers = %8\n")
        .arg(of.name, path(of.name, QStringLiteral("data")),
             of.addresses.at(door::internal).text(),
             of.addresses.at(door::operators).text(),
             of.addresses.at(door::http).text(), of.where.region, of.where.zone,
             list(kind::control, door::internal, of.name, true));
}

QString cluster_fixture::entry_settings(member const& of) const
{
    return QStringLiteral("[entry]\nname = %1\nregion = %2\nzone = %3\n"
                          "http = %4\npeer = %5\n"
                          "[control]\naddresses = %6\n"
                          "[peers]\naddresses = %7\n")
        .arg(of.name, of.where.region, of.where.zone,
             of.addresses.at(door::http).text(),
             of.addresses.at(door::peer).text(),
             list(kind::control, door::internal, of.name, false),
             list(kind::entry, door::peer, of.name, false));
}

QStringList cluster_fixture::upstream_arguments(member const& of) const
{
    QStringList result{QStringLiteral("--id"),
                       of.name,
                       QStringLiteral("--service"),
                       of.service,
                       QStringLiteral("--region"),
                       of.where.region,
                       QStringLiteral("--zone"),
                       of.where.zone,
                       QStringLiteral("--listen"),
                       of.addresses.at(door::http).text(),
                       QStringLiteral("--announce-address"),
                       advertised(of.name, door::http).text(),
                       QStringLiteral("--run-log"),
                       path(of.name, QStringLiteral("runs"))};
    auto const entries = list(kind::entry, door::http, of.name, false);
    if (!entries.isEmpty())
    {
        result += {QStringLiteral("--entries"), entries};
    }
    return result + of.arguments;
}

bool cluster_fixture::start(QString const& name)
{
    auto& starting = find(name);
    auto const log = path(name, QStringLiteral("log"));
    if (starting.what == kind::upstream)
    {
        return starting.process.start(
            binaries_ + QStringLiteral("/tests/upstream_stand_in"),
            upstream_arguments(starting), log);
    }
    bool const is_control = starting.what == kind::control;
    QFile file(path(name, QStringLiteral("ini")));
    if (!file.open(QIODevice::WriteOnly))
    {
        return false;
    }
    auto const settings =
        is_control ? control_settings(starting) : entry_settings(starting);
    file.write((settings + starting.settings).toUtf8());
    file.close();
    if (is_control && !initialize(starting, file.fileName()))
    {
        return false;
    }
    auto const program = is_control ? QStringLiteral("/verbenacove-control")
                                    : QStringLiteral("/verbenacove-entry");
    return starting.process.start(binaries_ + program,
                                  {QStringLiteral("--config"), file.fileName()},
                                  log);
}

bool cluster_fixture::initialize(member& of, QString const& settings_file) const
{
    if (of.is_initialized)
    {
        return true;
    }
    child_process initializing;
    of.is_initialized =
        initializing.start(binaries_ + QStringLiteral("/verbenacove-control"),
                           {QStringLiteral("--config"), settings_file,
                            QStringLiteral("--initialize")},
                           path(of.name, QStringLiteral("log"))) &&
        wait_until([&] { return initializing.exit_code() == 0; });
    return of.is_initialized;
}

void cluster_fixture::lose_disk(QString const& name)
{
    QDir(path(name, QStringLiteral("data"))).removeRecursively();
}

cluster_fixture::client_result
cluster_fixture::run_client(QStringList const& arguments,
                            QByteArray const& input) const
{
    QProcess client;
    client.start(
        binaries_ + QStringLiteral("/verbenactl"),
        QStringList{
            QStringLiteral("--control"),
            list(kind::control, door::operators, {}, false).remove(u' ')} +
            arguments);
    client.write(input);
    client.closeWriteChannel();
    client.waitForFinished(client_bound_ms);
    bool const has_ended = client.state() == QProcess::NotRunning &&
                           client.exitStatus() == QProcess::NormalExit;
    return {has_ended ? client.exitCode() : -1, client.readAllStandardOutput(),
            client.readAllStandardError()};
}

bool cluster_fixture::start_all()
{
    for (auto const what : {kind::control, kind::entry, kind::upstream})
    {
        for (auto const& each : members_)
        {
            bool const starts =
                each->what == what && !each->process.is_running();
            if (starts && !start(each->name))
            {
                return false;
            }
        }
    }
    return true;
}

bool cluster_fixture::wait_ready(QString const& name, milliseconds bound)
{
    http_call call;
    call.address = address(name, door::http);
    call.target = find(name).what == kind::upstream ? "/health" : "/readyz";
    call.timeout = milliseconds(500);
    return wait_until([&] { return call_http(call).is(200); }, bound);
}

child_process& cluster_fixture::process(QString const& name)
{
    return find(name).process;
}

QString cluster_fixture::path(QString const& name, QString const& kind) const
{
    return folder_.filePath(name + u'.' + kind);
}

QString cluster_fixture::log_tails() const
{
    QString result;
    for (auto const& each : members_)
    {
        result += QStringLiteral("--- %1\n%2\n")
                      .arg(each->name, each->process.log_tail());
    }
    return result;
}

} // namespace verbenacove::support
