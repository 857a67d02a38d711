#include "capacity_cluster.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/control_client.hpp"
#include "verbenacove/request/fingerprint.hpp"
#include "verbenacove/version/claim_table.hpp"

#include <QFileInfo>
#include <QProcess>

// Usage: capacity_control_bench BINARIES
// Three real control replicas on synced disks. Prints what they and an entry
// take when idle, what polling entries cost the replica they ask, how long a
// change takes to reach all of them, and what claims cost against the number
// in flight.

namespace
{

using namespace verbenacove;
using namespace verbenacove::bench;

constexpr int replicas = 3;
constexpr milliseconds poll_interval{250};
constexpr int polls_per_report = 4;
constexpr milliseconds call_timeout{5000};
constexpr milliseconds settling_time{1000};
constexpr milliseconds measured_time{3000};
constexpr int frame_length_bytes = 4;
constexpr qsizetype answer_bytes = 128;
constexpr int changes_for_each_size = 3;

QString replica_name(int number)
{
    return QStringLiteral("control-%1").arg(number);
}

double replica_cpu(capacity_cluster& cluster, int number)
{
    return process_cpu_seconds(cluster.process(replica_name(number)).pid());
}

void measure_idle(QString const& binaries)
{
    capacity_cluster cluster(binaries, replicas, true);
    run_for(settling_time);
    std::printf("Idle, three control replicas and one entry\n"
                "%9s %9s %9s\n",
                "process", "% core", "RSS MB");
    std::vector<QString> const names{replica_name(1), replica_name(2),
                                     replica_name(3),
                                     QStringLiteral("entry-1")};
    std::vector<double> before;
    for (auto const& name : names)
    {
        before.push_back(process_cpu_seconds(cluster.process(name).pid()));
    }
    stopwatch const watch;
    run_for(measured_time);
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        auto const pid = cluster.process(names[i]).pid();
        auto const spent = process_cpu_seconds(pid) - before[i];
        std::printf("%9s %9.2f %9.1f\n", qPrintable(names[i]),
                    100 * spent / watch.seconds(), process_megabytes(pid));
    }
}

/** An entry, as far as its reading of the configuration goes. */
class polling_entry
{
public:
    polling_entry(int number, socket_address const& replica)
        : number_(number)
        , client_(replica)
    {
    }

    void start(timer_service& timers, milliseconds offset)
    {
        first_ = timers.call_after(offset,
                                   [this, &timers]
                                   {
                                       poll();
                                       round_ = timers.call_every(
                                           poll_interval, [this] { poll(); });
                                   });
    }

    qint64 version = 0;
    qint64 polls = 0;
    qint64 bytes = 0;

private:
    void poll()
    {
        QCborMap request{
            {QLatin1String("m"), QLatin1String("sync")},
            {QLatin1String("entry"), QStringLiteral("polling-%1").arg(number_)},
            {QLatin1String("incarnation"), qint64(1700000000000)},
            {QLatin1String("config_version"), version}};
        if (++sent_ % polls_per_report == 0)
        {
            request[QLatin1String("address")] =
                QStringLiteral("10.20.30.40:8080");
            request[QLatin1String("zone")] = QStringLiteral("wcape-a");
            request[QLatin1String("serving")] = true;
            request[QLatin1String("ups")] = QCborArray();
        }
        bytes += size_of(request);
        client_.call(std::move(request), call_timeout,
                     [this](std::optional<QCborMap> const& reply)
                     {
                         if (reply)
                         {
                             take(*reply);
                         }
                     });
    }

    void take(QCborMap const& reply)
    {
        ++polls;
        bytes += size_of(reply);
        version = std::max(version, cbor_number(reply, "config_version"));
    }

    static qint64 size_of(QCborMap const& message)
    {
        return message.toCborValue().toCbor().size() + frame_length_bytes;
    }

    int number_;
    rpc_client client_;
    qint64 sent_ = 0;
    timer_service::subscription first_;
    timer_service::subscription round_;
};

/** Returns the number of the leading replica, 0 when there is none. */
int find_leader(capacity_cluster const& cluster)
{
    int leader = 0;
    for (int i = 1; i <= replicas; ++i)
    {
        rpc_client client(
            cluster.address(replica_name(i), support::door::internal));
        bool is_answered = false;
        client.call({{QLatin1String("m"), QLatin1String("sync")},
                     {QLatin1String("entry"), QStringLiteral("probe")},
                     {QLatin1String("incarnation"), 1},
                     {QLatin1String("first"), true}},
                    call_timeout,
                    [&](std::optional<QCborMap> const& reply)
                    {
                        is_answered = true;
                        bool const is_ok =
                            reply &&
                            cbor_text(*reply, "status") == QLatin1String("ok");
                        leader = is_ok ? i : leader;
                    });
        support::wait_until([&] { return is_answered; });
    }
    return leader;
}

/** Changes a service and returns the seconds until the client was told that
    it is accepted, and from then until all entries know. */
std::pair<double, double>
time_change(QString const& binaries, capacity_cluster const& cluster,
            int number, std::vector<std::unique_ptr<polling_entry>> const& all)
{
    auto const wanted = all.front()->version + 1;
    auto const name = QStringLiteral("new-%1").arg(number);
    QProcess client;
    stopwatch const watch;
    client.start(
        binaries + QStringLiteral("/verbenactl"),
        {QStringLiteral("--control"),
         cluster.address(replica_name(1), support::door::operators).text() +
             u',' +
             cluster.address(replica_name(2), support::door::operators).text() +
             u',' +
             cluster.address(replica_name(3), support::door::operators).text(),
         QStringLiteral("create"), QStringLiteral("service"), name,
         QStringLiteral("--file"), QStringLiteral("-")});
    client.write(QStringLiteral(R"({"name":"%1","class":"interactive",)"
                                R"("timeout_ms":5000,"max_body_bytes":65536})")
                     .arg(name)
                     .toUtf8());
    client.closeWriteChannel();
    double accepted = 0;
    double in_force = 0;
    QObject::connect(&client, &QProcess::finished,
                     [&] { accepted = watch.seconds(); });
    support::wait_until(
        [&]
        {
            bool const is_known = std::all_of(
                all.begin(), all.end(),
                [wanted](auto const& each) { return each->version >= wanted; });
            in_force = is_known && in_force == 0 ? watch.seconds() : in_force;
            return in_force > 0 && accepted > 0;
        });
    require(in_force > 0 && client.exitCode() == 0, "a change");
    return {accepted, std::max(0.0, in_force - accepted)};
}

void measure_polls(QString const& binaries)
{
    capacity_cluster cluster(binaries, replicas, false);
    auto const leader = find_leader(cluster);
    require(leader > 0, "to find the leader");
    int const asked = leader % replicas + 1;
    std::printf("Entries that poll a follower four times a second\n"
                "%9s %9s %9s %9s %9s %9s %9s %9s\n",
                "entries", "polls/s", "B/poll", "% core", "leader %",
                "accept s", "then s", "RSS MB");
    line_fit cpu_fit;
    line_fit leader_fit;
    line_fit time_fit;
    int change = 0;
    for (int const count : {12, 50, 100, 200, 400})
    {
        timer_service timers;
        std::vector<std::unique_ptr<polling_entry>> entries;
        for (int i = 0; i < count; ++i)
        {
            entries.push_back(std::make_unique<polling_entry>(
                i,
                cluster.address(replica_name(asked), support::door::internal)));
            entries.back()->start(timers, i * poll_interval / count);
        }
        run_for(settling_time);
        for (auto const& entry : entries)
        {
            entry->polls = 0;
            entry->bytes = 0;
        }
        auto const cpu = replica_cpu(cluster, asked);
        auto const leader_cpu = replica_cpu(cluster, leader);
        stopwatch const watch;
        run_for(measured_time);
        auto const span = watch.seconds();
        double polls = 0;
        double bytes = 0;
        for (auto const& entry : entries)
        {
            polls += double(entry->polls);
            bytes += double(entry->bytes);
        }
        auto const percent = 100 * (replica_cpu(cluster, asked) - cpu) / span;
        auto const leader_percent =
            100 * (replica_cpu(cluster, leader) - leader_cpu) / span;
        double accept = 0;
        double spread = 0;
        for (int i = 0; i < changes_for_each_size; ++i)
        {
            auto const [accepted, then] =
                time_change(binaries, cluster, ++change, entries);
            accept = std::max(accept, accepted);
            spread = std::max(spread, then);
        }
        std::printf(
            "%9d %9.0f %9.0f %9.2f %9.2f %9.3f %9.3f %9.1f\n", count,
            polls / span, bytes / polls, percent, leader_percent, accept,
            spread,
            process_megabytes(cluster.process(replica_name(asked)).pid()));
        std::fflush(stdout);
        cpu_fit.add(polls / span, percent);
        leader_fit.add(count, leader_percent);
        time_fit.add(count, spread);
    }
    cpu_fit.print("CPU of the replica asked", "% of a core", "poll/s");
    leader_fit.print("CPU of the leader", "% of a core", "entry");
    time_fit.print("time from acceptance to the last entry", "s", "entry");
}

/** Keeps a number of claims, each with its outcome, in flight. */
class claim_load
{
public:
    claim_load(capacity_cluster const& cluster, int in_flight)
        : client_({cluster.address(replica_name(1), support::door::internal),
                   cluster.address(replica_name(2), support::door::internal),
                   cluster.address(replica_name(3), support::door::internal)})
        , in_flight_(in_flight)
    {
    }

    void start()
    {
        for (int i = 0; i < in_flight_; ++i)
        {
            claim();
        }
    }

    void stop() { is_stopping_ = true; }

    qint64 commits = 0;
    qint64 failures = 0;

private:
    void claim()
    {
        static int next = 0;
        int const number = ++next;
        auto const print =
            fingerprint_of("POST", "/release", QByteArray::number(number));
        send(claim_command{key_of(number), print, holder_of(number)},
             [this, number] { outcome(number); });
    }

    void outcome(int number)
    {
        claim_outcome const ended{
            run_verdict::ran,
            200,
            {{QByteArray("content-type"), QByteArray("application/json")}},
            QByteArray(answer_bytes, 'x'),
            true};
        send(outcome_command{key_of(number), holder_of(number), ended},
             [this] { claim(); });
    }

    template <class Command>
    void send(Command command, std::function<void()> then)
    {
        claim_log_command const proposed{log_time(0), std::move(command)};
        client_.call_leader(
            {{QLatin1String("m"), QLatin1String("claim")},
             {QLatin1String("command"), to_cbor(proposed)}},
            call_timeout,
            [this, then = std::move(then)](std::optional<QCborMap> const& reply)
            {
                (reply ? commits : failures) += 1;
                if (!is_stopping_)
                {
                    then();
                }
            });
    }

    static claim_key key_of(int number)
    {
        return {service_name(QStringLiteral("dispatch")),
                request_key(QStringLiteral("bale-2026-%1").arg(number, 8))};
    }

    static claim_holder holder_of(int number)
    {
        return {entry_id(QStringLiteral("entry-1")), incarnation(17),
                attempt_nonce(number)};
    }

    control_client client_;
    int in_flight_;
    bool is_stopping_ = false;
};

void measure_claims(QString const& binaries)
{
    std::printf("Claims and their outcomes in one group of three, a commit "
                "each\n%9s %9s %9s %9s %9s %9s %9s %9s\n",
                "in flight", "commits/s", "ms", "us leader", "us others",
                "log B", "failed", "RSS MB");
    line_fit rate_fit;
    line_fit cpu_fit;
    for (int const in_flight : {1, 4, 16, 64, 256})
    {
        // A new group each time, so that no snapshot falls in between.
        capacity_cluster cluster(binaries, replicas, false);
        auto const leader = find_leader(cluster);
        require(leader > 0, "to find the leader");
        claim_load load(cluster, in_flight);
        load.start();
        run_for(settling_time);
        QFileInfo log(
            cluster.path(replica_name(leader), QStringLiteral("data")) +
            QStringLiteral("/log"));
        auto const log_before = log.size();
        auto const commits_before = load.commits;
        std::vector<double> before;
        for (int i = 1; i <= replicas; ++i)
        {
            before.push_back(replica_cpu(cluster, i));
        }
        stopwatch const watch;
        run_for(measured_time);
        auto const span = watch.seconds();
        double others = 0;
        double own = 0;
        for (int i = 1; i <= replicas; ++i)
        {
            auto const spent =
                replica_cpu(cluster, i) - before[std::size_t(i - 1)];
            (i == leader ? own : others) += spent;
        }
        log.refresh();
        auto const commits = double(load.commits - commits_before);
        auto const bytes = double(log.size() - log_before);
        load.stop();
        std::printf(
            "%9d %9.0f %9.2f %9.0f %9.0f %9.0f %9lld %9.1f\n", in_flight,
            commits / span, 1e3 * in_flight * span / commits,
            1e6 * own / commits, 1e6 * others / (replicas - 1) / commits,
            bytes / commits, static_cast<long long>(load.failures),
            process_megabytes(cluster.process(replica_name(leader)).pid()));
        std::fflush(stdout);
        rate_fit.add(in_flight, commits / span);
        cpu_fit.add(commits / span, 100 * own / span);
    }
    rate_fit.print("rate", "commits/s", "claim in flight");
    cpu_fit.print("CPU of the leader", "% of a core", "commit/s");
}

} // namespace

int main(int argc, char** argv)
{
    support::ensure_application();
    if (argc != 2)
    {
        return 2;
    }
    auto const binaries = QString::fromLocal8Bit(argv[1]);
    measure_idle(binaries);
    measure_polls(binaries);
    measure_claims(binaries);
    return 0;
}
