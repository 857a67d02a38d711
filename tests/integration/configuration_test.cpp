#include "support/cluster_fixture.hpp"
#include "support/fault_proxy.hpp"
#include "support/http_caller.hpp"
#include "support/wait_until.hpp"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

/** An accepted change is in force on every entry within this time. */
constexpr milliseconds in_force_bound{7000};
constexpr milliseconds observer_pause{20};
constexpr int entry_count = 3;

QString control_name(int number)
{
    return QStringLiteral("control-%1").arg(number);
}

QString entry_name(int number)
{
    return QStringLiteral("entry-%1").arg(number);
}

/** Returns the seed of the environment, else this one. */
unsigned seed_or(unsigned fallback)
{
    auto const seed = qEnvironmentVariableIntValue("VERBENACOVE_SEED");
    return seed > 0 ? unsigned(seed) : fallback;
}

/** Control replicas and three entries, each service that was accepted, and a
    thread that watches that no entry forgets one. */
class configuration_fixture : public cluster_fixture
{
public:
    explicit configuration_fixture(int controls)
        : cluster_fixture(QStringLiteral(VERBENACOVE_BINARIES))
        , controls_(controls)
    {
        for (int i = 1; i <= controls_; ++i)
        {
            place const where{QStringLiteral("region-%1").arg(i % 3),
                              QStringLiteral("zone-%1").arg(i)};
            add_control(control_name(i), where);
            // Small, so that snapshots are taken and sent.
            add_settings(control_name(i),
                         QStringLiteral("[replicas]\nsnapshot_after = 16 KiB"));
        }
        for (int i = 1; i <= entry_count; ++i)
        {
            add_entry(entry_name(i), {QStringLiteral("region-%1").arg(i % 3),
                                      QStringLiteral("zone-%1").arg(i)});
        }
    }

    ~configuration_fixture()
    {
        is_done_ = true;
        if (observer_.joinable())
        {
            observer_.join();
        }
    }

    void begin()
    {
        REQUIRE(start_all());
        for (int i = 1; i <= entry_count; ++i)
        {
            REQUIRE(wait_ready(entry_name(i)));
        }
        observer_ = std::thread([this] { observe(); });
    }

    client_result create(QString const& service,
                         QStringList const& options = {}) const
    {
        auto const record =
            QStringLiteral(
                R"({"name":"%1","class":"interactive","timeout_ms":5000,"max_body_bytes":65536})")
                .arg(service);
        return run_client(
            options + QStringList{QStringLiteral("create"),
                                  QStringLiteral("service"), service,
                                  QStringLiteral("--file"), QStringLiteral("-"),
                                  QStringLiteral("--output"),
                                  QStringLiteral("json")},
            record.toUtf8());
    }

    /** Creates a service, tells the observer, and returns whether it was
        accepted. */
    bool accept(QString const& service)
    {
        auto const result = create(service);
        if (result.exit_code != 0)
        {
            MESSAGE("create ended with " << result.exit_code << ": "
                                         << result.errors.toStdString());
            return false;
        }
        note(service);
        return true;
    }

    void note(QString const& service)
    {
        std::lock_guard const lock(mutex_);
        accepted_.push_back(service);
    }

    int lookup(QString const& entry, QString const& service) const
    {
        http_call call;
        call.address = address(entry, door::http);
        call.target = "/v1/lookup?service=" + service.toUtf8();
        call.timeout = milliseconds(1000);
        auto const answer = call_http(call);
        return answer.error == call_error::none ? answer.status : 0;
    }

    /** Returns how long it took until all entries named have a service. */
    std::optional<qint64> wait_in_force(QString const& service,
                                        std::vector<int> const& entries = {
                                            1, 2, 3}) const
    {
        QElapsedTimer timer;
        timer.start();
        for (auto const i : entries)
        {
            auto const left = in_force_bound - milliseconds(timer.elapsed());
            if (!wait_until([&]
                            { return lookup(entry_name(i), service) == 200; },
                            left))
            {
                return std::nullopt;
            }
        }
        return timer.elapsed();
    }

    /** Starts an entry again; what was accepted until now it must know once
        it is ready. */
    void restart_entry(int number)
    {
        process(entry_name(number)).kill_now();
        std::lock_guard const lock(mutex_);
        known_[number] = accepted_.size();
        REQUIRE(start(entry_name(number)));
    }

    QJsonObject control_status(int number) const
    {
        http_call call;
        call.address = address(control_name(number), door::http);
        call.target = "/healthz";
        call.timeout = milliseconds(300);
        return call_http(call).json();
    }

    /** Returns the number of the replica that leads in the highest term. */
    int leader()
    {
        int found = 0;
        wait_until(
            [&]
            {
                qint64 highest = 0;
                for (int i = 1; i <= controls_; ++i)
                {
                    auto const status = control_status(i);
                    auto const term =
                        status.value(QStringLiteral("term")).toInteger();
                    if (status.value(QStringLiteral("role")).toString() ==
                            QLatin1String("leader") &&
                        term > highest)
                    {
                        found = i;
                        highest = term;
                    }
                }
                return found > 0;
            });
        REQUIRE(found > 0);
        return found;
    }

    int other_than(int number) const { return number % controls_ + 1; }

    /** Returns what the observer found wrong, one line each. */
    std::string reverts()
    {
        std::lock_guard const lock(mutex_);
        return reverts_;
    }

private:
    void observe()
    {
        while (!is_done_)
        {
            for (int i = 1; i <= entry_count; ++i)
            {
                look_at(i);
            }
            std::this_thread::sleep_for(observer_pause);
        }
    }

    void look_at(int number)
    {
        QString newest;
        QString next;
        std::size_t known = 0;
        {
            std::lock_guard const lock(mutex_);
            known = known_[number];
            newest = known > 0 ? accepted_[known - 1] : QString();
            next = known < accepted_.size() ? accepted_[known] : QString();
        }
        bool const is_lost =
            !newest.isEmpty() && lookup(entry_name(number), newest) == 404;
        bool const is_news =
            !next.isEmpty() && lookup(entry_name(number), next) == 200;
        std::lock_guard const lock(mutex_);
        if (is_lost && known_[number] == known)
        {
            reverts_ += "entry-" + std::to_string(number) + " lost " +
                        newest.toStdString() + "\n";
        }
        if (is_news && known_[number] == known)
        {
            ++known_[number];
        }
    }

    int controls_;
    std::mutex mutex_;
    std::vector<QString> accepted_;
    std::map<int, std::size_t> known_;
    std::string reverts_;
    std::atomic<bool> is_done_{false};
    std::thread observer_;
};

/** Proxies on all links of one replica, and of one entry to all the others,
    that cut them for as long as wanted. */
class isolation
{
public:
    isolation(configuration_fixture& cluster, int replica, int controls,
              int entry)
    {
        for (int i = 1; i <= controls; ++i)
        {
            if (i != replica)
            {
                add(cluster, control_name(i), control_name(replica));
                add(cluster, control_name(replica), control_name(i));
                add(cluster, control_name(i), entry_name(entry));
            }
        }
    }

    /** Loses all bytes without closing, as a partition does. */
    void cut()
    {
        tcp_faults faults;
        faults.drop_to_target = true;
        faults.drop_to_client = true;
        set(faults);
    }

    void heal()
    {
        set({});
        for (auto const& proxy : proxies_)
        {
            proxy->reset_connections();
        }
    }

private:
    void add(configuration_fixture& cluster, QString const& target,
             QString const& viewer)
    {
        proxies_.push_back(std::make_unique<fault_proxy>(
            cluster.address(target, door::internal)));
        cluster.advertise(target, door::internal, proxies_.back()->address(),
                          viewer);
    }

    void set(tcp_faults const& faults)
    {
        for (auto const& proxy : proxies_)
        {
            proxy->set_faults(faults);
        }
    }

    std::vector<std::unique_ptr<fault_proxy>> proxies_;
};

/** Fails a replica around a change, in a way drawn by the seed. */
class failure
{
public:
    failure(configuration_fixture& cluster, std::mt19937& random)
        : cluster_(cluster)
        , kind_(int(random() % 4))
        , delay_(random() % 80)
    {
        auto const leader = cluster.leader();
        replica_ = kind_ % 2 == 0 ? leader : cluster.other_than(leader);
    }

    void strike()
    {
        std::this_thread::sleep_for(delay_);
        auto& process = cluster_.process(control_name(replica_));
        if (kind_ < 2)
        {
            process.kill_now();
        }
        else
        {
            process.freeze();
        }
    }

    void mend()
    {
        if (kind_ < 2)
        {
            REQUIRE(cluster_.start(control_name(replica_)));
        }
        else
        {
            cluster_.process(control_name(replica_)).thaw();
        }
    }

private:
    configuration_fixture& cluster_;
    int kind_;
    milliseconds delay_;
    int replica_ = 0;
};

void check_in_force_under_failures(int controls, unsigned seed, int rounds)
{
    CAPTURE(seed);
    std::mt19937 random(seed);
    configuration_fixture cluster(controls);
    cluster.begin();
    std::vector<qint64> times;
    for (int round = 0; round < rounds; ++round)
    {
        CAPTURE(round);
        failure struck(cluster, random);
        auto const service = QStringLiteral("service-%1").arg(round);
        bool is_accepted = false;
        std::thread change([&] { is_accepted = cluster.accept(service); });
        struck.strike();
        change.join();
        CHECK(is_accepted);
        auto const time = cluster.wait_in_force(service);
        CHECK(time);
        times.push_back(time.value_or(in_force_bound.count()));
        struck.mend();
        if (round % 3 == 2)
        {
            auto const entry = int(random() % entry_count) + 1;
            cluster.restart_entry(entry);
            CHECK(cluster.wait_ready(entry_name(entry)));
            CHECK(cluster.lookup(entry_name(entry), service) == 200);
        }
    }
    CHECK(cluster.reverts() == "");
    std::sort(times.begin(), times.end());
    MESSAGE(controls << " replicas, seed " << seed << ", " << rounds
                     << " changes: in force after p50 "
                     << times[times.size() / 2] << " ms, max " << times.back()
                     << " ms");
}

} // namespace

TEST_CASE("change, a replica killed or frozen around it: in force within 7 s")
{
    check_in_force_under_failures(3, seed_or(1), 8);
    check_in_force_under_failures(5, seed_or(2), 8);
}

TEST_CASE("leader isolated for long: accepts nothing, and no entry takes its "
          "news or starts with it")
{
    configuration_fixture cluster(3);
    // Before the start none leads yet; the first replica's links are cut
    // while it leads.
    isolation partition(cluster, 1, 3, 3);
    cluster.begin();
    for (int tries = 0; cluster.leader() != 1 && tries < 20; ++tries)
    {
        auto const leader = control_name(cluster.leader());
        cluster.process(leader).kill_now();
        REQUIRE(wait_until([&] { return cluster.leader() > 0; }));
        REQUIRE(cluster.start(leader));
        REQUIRE(cluster.wait_ready(leader));
    }
    REQUIRE(cluster.leader() == 1);
    REQUIRE(cluster.accept(QStringLiteral("before")));
    REQUIRE(cluster.wait_in_force(QStringLiteral("before")));

    partition.cut();
    QStringList const only_isolated{
        QStringLiteral("--control"),
        cluster.address(control_name(1), door::operators).text(),
        QStringLiteral("--timeout"), QStringLiteral("2")};
    auto const lost = cluster.create(
        QStringLiteral("lost"),
        only_isolated + QStringList{QStringLiteral("--expected-version"),
                                    QStringLiteral("0"),
                                    QStringLiteral("--change-id"),
                                    QStringLiteral("isolated-1")});
    CAPTURE(lost.errors.toStdString());
    CHECK((lost.exit_code == 5 || lost.exit_code == 6));
    for (int i = 0; i < 5; ++i)
    {
        auto const service = QStringLiteral("majority-%1").arg(i);
        REQUIRE(cluster.accept(service));
        CHECK(cluster.wait_in_force(service, {1, 2}));
    }
    auto const read = cluster.run_client(only_isolated +
                                         QStringList{QStringLiteral("status")});
    CHECK(read.exit_code == 5);
    CHECK(cluster.lookup(entry_name(3), QStringLiteral("before")) == 200);
    CHECK(cluster.lookup(entry_name(3), QStringLiteral("lost")) == 404);

    cluster.restart_entry(3);
    CHECK_FALSE(cluster.wait_ready(entry_name(3), milliseconds(3000)));
    partition.heal();
    REQUIRE(cluster.wait_ready(entry_name(3)));
    CHECK(cluster.lookup(entry_name(3), QStringLiteral("majority-4")) == 200);

    auto const again = cluster.create(
        QStringLiteral("lost"),
        {QStringLiteral("--expected-version"), QStringLiteral("0"),
         QStringLiteral("--change-id"), QStringLiteral("isolated-1")});
    CAPTURE(again.errors.toStdString());
    CHECK(again.exit_code == 0);
    CHECK(cluster.wait_in_force(QStringLiteral("lost")));
    CHECK(cluster.reverts() == "");
}

TEST_CASE("two operators, the same expected version: one is accepted, the "
          "other's conflict names it")
{
    constexpr int operators = 4;
    constexpr int rounds = 6;
    configuration_fixture cluster(3);
    cluster.begin();
    std::mt19937 random(3);
    for (int round = 0; round < rounds; ++round)
    {
        CAPTURE(round);
        auto const service = QStringLiteral("raced-%1").arg(round);
        std::vector<cluster_fixture::client_result> results(operators);
        std::vector<std::thread> threads;
        for (int i = 0; i < operators; ++i)
        {
            threads.emplace_back(
                [&, i]
                {
                    results[std::size_t(i)] = cluster.create(
                        service,
                        {QStringLiteral("--expected-version"),
                         QStringLiteral("0"), QStringLiteral("--change-id"),
                         QStringLiteral("race-%1-%2").arg(round).arg(i)});
                });
        }
        auto const leader = control_name(cluster.leader());
        if (round % 2 == 1)
        {
            std::this_thread::sleep_for(milliseconds(random() % 60));
            cluster.process(leader).kill_now();
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        QByteArray winner;
        for (int i = 0; i < operators; ++i)
        {
            if (results[std::size_t(i)].exit_code == 0)
            {
                CHECK(winner.isEmpty());
                winner =
                    QStringLiteral("race-%1-%2").arg(round).arg(i).toUtf8();
            }
        }
        CHECK_FALSE(winner.isEmpty());
        for (auto const& result : results)
        {
            CAPTURE(result.output.toStdString());
            CAPTURE(result.errors.toStdString());
            CHECK((result.exit_code == 0 || result.exit_code == 3));
            CHECK(result.output.contains(winner));
        }
        cluster.note(service);
        if (round % 2 == 1)
        {
            REQUIRE(cluster.start(leader));
        }
    }
    CHECK(cluster.reverts() == "");
}

TEST_CASE("change sent again after a lost answer: first result, also after "
          "hundreds of changes and a restart of all")
{
    constexpr int threads = 4;
    constexpr int changes_each = 75;
    configuration_fixture cluster(3);
    cluster.begin();
    fault_proxy operators(
        cluster.address(control_name(cluster.leader()), door::operators));
    tcp_faults lost;
    lost.drop_to_client = true;
    operators.set_faults(lost);
    QStringList const identified{
        QStringLiteral("--expected-version"), QStringLiteral("0"),
        QStringLiteral("--change-id"), QStringLiteral("lost-answer")};
    auto const unanswered = cluster.create(
        QStringLiteral("resent"),
        QStringList{QStringLiteral("--control"), operators.address().text(),
                    QStringLiteral("--timeout"), QStringLiteral("2")} +
            identified);
    CAPTURE(unanswered.errors.toStdString());
    CHECK(unanswered.exit_code == 6);
    REQUIRE(cluster.wait_in_force(QStringLiteral("resent")));
    auto const first = cluster.create(QStringLiteral("resent"), identified);
    CHECK(first.exit_code == 0);
    cluster.note(QStringLiteral("resent"));

    cluster.process(entry_name(1)).kill_now();
    QElapsedTimer timer;
    timer.start();
    std::atomic<int> refused{0};
    std::vector<std::thread> writers;
    for (int i = 0; i < threads; ++i)
    {
        writers.emplace_back(
            [&, i]
            {
                for (int n = 0; n < changes_each; ++n)
                {
                    bool const is_accepted = cluster.accept(
                        QStringLiteral("many-%1-%2").arg(i).arg(n));
                    refused += is_accepted ? 0 : 1;
                }
            });
    }
    for (auto& writer : writers)
    {
        writer.join();
    }
    CHECK(refused == 0);
    MESSAGE((threads * changes_each)
            << " changes in " << timer.elapsed() << " ms");
    cluster.restart_entry(1);
    CHECK(cluster.wait_ready(entry_name(1)));
    CHECK(cluster.lookup(entry_name(1), QStringLiteral("many-0-74")) == 200);
    CHECK(cluster.create(QStringLiteral("resent"), identified).output ==
          first.output);

    for (int i = 1; i <= 3; ++i)
    {
        cluster.process(control_name(i)).kill_now();
    }
    REQUIRE(cluster.start_all());
    auto const last = cluster.create(QStringLiteral("resent"), identified);
    CHECK(last.exit_code == 0);
    CHECK(last.output == first.output);
    auto const other = cluster.create(QStringLiteral("other"), identified);
    CHECK(other.exit_code == 4);
    CHECK(cluster.reverts() == "");
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
