#include "support/cluster_fixture.hpp"
#include "support/http_caller.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QFile>
#include <QJsonDocument>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <sys/resource.h>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int replica_count = 3;
constexpr milliseconds load_pause{20};

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

/** Three control replicas, two entries and an upstream, and a load of changes
    and of claims that notes what it was told. */
class replica_fixture : public cluster_fixture
{
public:
    replica_fixture()
        : cluster_fixture(QStringLiteral(VERBENACOVE_BINARIES))
    {
        // A write beyond the limit then fails in place of ending the process.
        std::signal(SIGXFSZ, SIG_IGN);
        for (int i = 1; i <= replica_count; ++i)
        {
            add_control(control_name(i), {QStringLiteral("region-%1").arg(i),
                                          QStringLiteral("zone-%1").arg(i)});
            add_settings(control_name(i),
                         QStringLiteral("[replicas]\nsnapshot_after = 32 KiB"));
        }
        place const where{QStringLiteral("region-1"), QStringLiteral("zone-1")};
        add_entry(entry_name(1), where);
        add_entry(entry_name(2), where);
        add_upstream(QStringLiteral("dispatch-1"), QStringLiteral("dispatch"),
                     where);
        REQUIRE(start_all());
        REQUIRE(wait_ready(entry_name(1)));
        REQUIRE(wait_ready(entry_name(2)));
        REQUIRE(
            create(QStringLiteral("dispatch"), QStringLiteral("non-idempotent"))
                .exit_code == 0);
        REQUIRE(wait_until([&] { return release("first").is(200); }));
    }

    ~replica_fixture() { stop_load(); }

    client_result create(QString const& service, QString const& kind,
                         QStringList const& options = {}) const
    {
        auto const record =
            QStringLiteral(
                R"({"name":"%1","class":"%2","timeout_ms":5000,"max_body_bytes":65536})")
                .arg(service, kind);
        return run_client(options + QStringList{QStringLiteral("create"),
                                                QStringLiteral("service"),
                                                service,
                                                QStringLiteral("--file"),
                                                QStringLiteral("-")},
                          record.toUtf8());
    }

    http_answer release(QByteArray const& key, int entry = 1) const
    {
        http_call call;
        call.address = address(entry_name(entry), door::http);
        call.method = "POST";
        call.target = "/v1/call/dispatch/bales/" + key;
        call.headers = {"Idempotency-Key: " + key};
        call.body = key;
        call.timeout = milliseconds(15000);
        return call_http(call);
    }

    void start_load()
    {
        is_loaded_ = true;
        changing_ = std::thread([this] { change_on(); });
        claiming_ = std::thread([this] { claim_on(); });
    }

    void stop_load()
    {
        is_loaded_ = false;
        for (auto* const thread : {&changing_, &claiming_})
        {
            if (thread->joinable())
            {
                thread->join();
            }
        }
    }

    /** Checks that all that was accepted can be read, that each outcome is
        replayed by the other entry, and that nothing ran twice. */
    void check_nothing_lost()
    {
        for (auto const& service : accepted_)
        {
            CAPTURE(service.toStdString());
            auto const found = run_client(
                {QStringLiteral("read"), QStringLiteral("service"), service});
            CHECK(found.exit_code == 0);
        }
        for (auto const& item : ran_)
        {
            auto const& key = item.first;
            CAPTURE(key.toStdString());
            auto const again = release(key, 2);
            CHECK(again.is(200));
            CHECK(again.headers.value("run-replayed") == "true");
            CHECK(again.body == item.second);
        }
        std::map<QByteArray, int> runs;
        for (auto const& run : read_run_log(
                 path(QStringLiteral("dispatch-1"), QStringLiteral("runs"))))
        {
            ++runs[run.key];
        }
        for (auto const& item : runs)
        {
            CAPTURE(item.first.toStdString());
            CHECK(item.second == 1);
        }
        for (auto const& key : not_run_)
        {
            CAPTURE(key.toStdString());
            CHECK(runs.count(key) == 0);
        }
    }

    void report(char const* what)
    {
        MESSAGE(std::string(what)
                << ": " << accepted_.size() << " changes accepted, "
                << failed_changes_.load() << " not; " << ran_.size()
                << " claims answered, " << not_run_.size()
                << " refused as not run, " << unclear_.load() << " unclear");
    }

    std::size_t accepted() const { return accepted_count_; }
    int failed_changes() const { return failed_changes_; }
    int failed_claims() const { return int(not_run_.size()) + unclear_; }

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
        REQUIRE(wait_until(
            [&]
            {
                qint64 highest = 0;
                for (int i = 1; i <= replica_count; ++i)
                {
                    auto const status = control_status(i);
                    auto const term =
                        status.value(QStringLiteral("term")).toInteger();
                    bool const leads =
                        status.value(QStringLiteral("role")).toString() ==
                        QLatin1String("leader");
                    if (leads && term > highest)
                    {
                        found = i;
                        highest = term;
                    }
                }
                return found > 0;
            }));
        return found;
    }

    /** Lets all writes of a replica fail, or none. */
    void set_disk_full(int number, bool is_full)
    {
        rlimit limit{};
        auto const pid = process(control_name(number)).pid();
        REQUIRE(prlimit(pid, RLIMIT_FSIZE, nullptr, &limit) == 0);
        limit.rlim_cur = is_full ? 0 : limit.rlim_max;
        REQUIRE(prlimit(pid, RLIMIT_FSIZE, &limit, nullptr) == 0);
    }

    /** Leaves at the log's end the first bytes of a record, as a write that
        a crash cut off does. */
    void tear_log(int number, std::mt19937& random)
    {
        QFile log(path(control_name(number), QStringLiteral("data")) +
                  QStringLiteral("/log"));
        REQUIRE(log.open(QIODevice::ReadWrite));
        auto const bytes = log.readAll();
        // The header of a record longer than what follows.
        QByteArray torn("\xff\x0f\x00\x00", 4);
        torn += bytes.left(qsizetype(random() % 1000));
        REQUIRE(log.seek(bytes.size()));
        log.write(torn.left(qsizetype(random() % torn.size()) + 1));
    }

private:
    void change_on()
    {
        for (int n = 0; is_loaded_; ++n)
        {
            auto const service = QStringLiteral("s-%1-%2").arg(++batch_).arg(n);
            if (create(service, QStringLiteral("batch")).exit_code == 0)
            {
                accepted_.push_back(service);
                ++accepted_count_;
            }
            else
            {
                ++failed_changes_;
            }
            std::this_thread::sleep_for(load_pause);
        }
    }

    void claim_on()
    {
        for (int n = 0; is_loaded_; ++n)
        {
            auto const key = "bale-" + QByteArray::number(++batch_) + '-' +
                             QByteArray::number(n);
            auto const answer = release(key);
            auto const verdict = answer.headers.value("run-verdict");
            if (answer.is(200))
            {
                ran_[key] = answer.body;
            }
            else if (verdict == "not-run")
            {
                not_run_.push_back(key);
            }
            else
            {
                ++unclear_;
            }
            std::this_thread::sleep_for(load_pause);
        }
    }

    std::atomic<bool> is_loaded_{false};
    std::atomic<int> batch_{0};
    std::thread changing_;
    std::thread claiming_;
    std::vector<QString> accepted_;
    std::atomic<std::size_t> accepted_count_{0};
    std::atomic<int> failed_changes_{0};
    std::map<QByteArray, QByteArray> ran_;
    std::vector<QByteArray> not_run_;
    std::atomic<int> unclear_{0};
};

} // namespace

TEST_CASE("replicas killed with a torn last write: nothing accepted is lost")
{
    auto const seed = seed_or(11);
    CAPTURE(seed);
    std::mt19937 random(seed);
    replica_fixture cluster;
    cluster.start_load();
    for (int round = 0; round < 8; ++round)
    {
        CAPTURE(round);
        auto const number = int(random() % replica_count) + 1;
        std::this_thread::sleep_for(milliseconds(random() % 700));
        cluster.process(control_name(number)).kill_now();
        cluster.tear_log(number, random);
        std::this_thread::sleep_for(milliseconds(random() % 300));
        REQUIRE(cluster.start(control_name(number)));
        CHECK(cluster.wait_ready(control_name(number)));
        CHECK(cluster.process(control_name(number))
                  .log_tail()
                  .contains(QStringLiteral("Cut a torn record")));
    }
    cluster.stop_load();
    cluster.report("killed and torn");
    CAPTURE(cluster.log_tails().toStdString());
    cluster.check_nothing_lost();
}

TEST_CASE("a disk lost and replaced, then a second VM lost: nothing accepted "
          "is lost")
{
    for (bool const is_leader_lost : {false, true})
    {
        CAPTURE(is_leader_lost);
        replica_fixture cluster;
        cluster.start_load();
        REQUIRE(wait_until([&] { return cluster.accepted() >= 10; }));
        auto const leader = cluster.leader();
        auto const lost = is_leader_lost ? leader : leader % replica_count + 1;
        cluster.process(control_name(lost)).kill_now();
        cluster.lose_disk(control_name(lost));
        REQUIRE(cluster.start(control_name(lost)));
        // Ready means that it counts and is current, under constant load too.
        REQUIRE(cluster.wait_ready(control_name(lost), milliseconds(20000)));
        auto second = cluster.leader();
        second = second == lost ? second % replica_count + 1 : second;
        cluster.process(control_name(second)).kill_now();
        auto const before = cluster.accepted();
        CHECK(wait_until([&] { return cluster.accepted() >= before + 10; },
                         milliseconds(20000)));
        cluster.stop_load();
        cluster.report("disk lost, then a second VM");
        CAPTURE(cluster.log_tails().toStdString());
        cluster.check_nothing_lost();
    }
}

TEST_CASE("disk full: refused honestly, no crash, and all goes on with space")
{
    replica_fixture cluster;
    cluster.start_load();
    REQUIRE(wait_until([&] { return cluster.accepted() >= 5; }));
    // One replica: the others go on.
    auto const first = cluster.leader();
    cluster.set_disk_full(first, true);
    auto before = cluster.accepted();
    CHECK(wait_until([&] { return cluster.accepted() >= before + 5; },
                     milliseconds(20000)));
    CHECK(cluster.process(control_name(first)).is_running());
    // All of them: nothing is accepted, and it is said so.
    cluster.stop_load();
    for (int i = 1; i <= replica_count; ++i)
    {
        cluster.set_disk_full(i, true);
    }
    auto const refused =
        cluster.create(QStringLiteral("refused"), QStringLiteral("batch"),
                       {QStringLiteral("--timeout"), QStringLiteral("2")});
    CAPTURE(refused.errors.toStdString());
    CHECK((refused.exit_code == 5 || refused.exit_code == 6));
    auto const claim = cluster.release("refused");
    CAPTURE(claim.body.toStdString());
    CHECK(claim.status == 503);
    CHECK(claim.headers.value("run-verdict") == "not-run");
    for (int i = 1; i <= replica_count; ++i)
    {
        CHECK(cluster.process(control_name(i)).is_running());
        cluster.set_disk_full(i, false);
    }
    for (int i = 1; i <= replica_count; ++i)
    {
        CHECK(cluster.wait_ready(control_name(i)));
    }
    cluster.start_load();
    before = cluster.accepted();
    CHECK(wait_until([&] { return cluster.accepted() >= before + 5; }));
    cluster.stop_load();
    cluster.report("disk full");
    CAPTURE(cluster.log_tails().toStdString());
    cluster.check_nothing_lost();
}

TEST_CASE("leader stopped gracefully under load, each in turn: nothing fails")
{
    replica_fixture cluster;
    cluster.start_load();
    for (int round = 0; round < 4; ++round)
    {
        CAPTURE(round);
        std::this_thread::sleep_for(milliseconds(300));
        auto const leader = control_name(cluster.leader());
        CHECK(cluster.process(leader).stop_gracefully(milliseconds(10000)) ==
              0);
        REQUIRE(cluster.start(leader));
        CHECK(cluster.wait_ready(leader));
    }
    cluster.stop_load();
    cluster.report("leader stopped");
    CHECK(cluster.failed_changes() == 0);
    CHECK(cluster.failed_claims() == 0);
    CAPTURE(cluster.log_tails().toStdString());
    cluster.check_nothing_lost();
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
