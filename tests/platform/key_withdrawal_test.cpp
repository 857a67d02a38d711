#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/platform_cluster.hpp"

#include <QCoreApplication>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;
using std::chrono::steady_clock;

namespace
{

constexpr int replica_count = 3;
/** Time after which a withdrawn key must not be accepted anywhere. */
constexpr milliseconds revocation{3000};
/** Part of it for which an entry without replicas must serve on. */
constexpr milliseconds owed_time{1800};
constexpr milliseconds call_interval{50};
/** Time for which a withdrawn key is tried after a restart; several times what
    it takes until entries serve. */
constexpr milliseconds trial_time{4000};

QByteArray with_team(int version, QByteArray const& key)
{
    auto body = QJsonDocument::fromJson(
                    platform_cluster::configuration(version, "safe"))
                    .object();
    auto routes = body[QStringLiteral("Routes")].toObject();
    auto open = routes[QStringLiteral("r-1")].toObject();
    open[QStringLiteral("PathPrefix")] = QStringLiteral("/open/");
    open[QStringLiteral("Public")] = true;
    routes[QStringLiteral("r-open")] = open;
    body[QStringLiteral("Routes")] = routes;
    body[QStringLiteral("Tenants")] =
        QJsonObject{{QStringLiteral("wool"),
                     QJsonObject{{QStringLiteral("ApiKeys"),
                                  QJsonArray{QString::fromLatin1(key)}}}}};
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

/** A request, and when it was sent. */
struct timed_answer
{
    steady_clock::time_point sent;
    http_answer answer;
};

/** Replicas and entries whose settings ask for withdrawal within a bound; the
    key is k-1. */
class withdrawal_cluster : public platform_cluster
{
public:
    withdrawal_cluster()
        : platform_cluster(replica_count, 2, QString(),
                           QStringLiteral("[teams]\nrevocation = %1ms\n")
                               .arg(revocation.count()))
    {
        if (qEnvironmentVariableIsSet("KEEP"))
        {
            keep_folder();
            qWarning("%s", qPrintable(folder()));
        }
        send(with_team(3, "k-1"), "r0");
        beats_ = std::jthread([this](std::stop_token const& stop)
                              { send_heartbeats(stop); });
        REQUIRE(wait_until(
            [this]
            { return call(0, "k-1").is(200) && call(1, "k-1").is(200); }));
    }

    /** Sends a change until it is accepted. */
    void send(QByteArray const& body, QByteArray const& base)
    {
        int next = 0;
        REQUIRE(wait_until(
            [&] {
                return order(next++ % replica_count, "PUT", body, base).is(200);
            }));
    }

    http_answer call(int entry, QByteArray const& key,
                     QByteArray const& target = "/grades/7")
    {
        return call_entry(entry, "r-" + QByteArray::number(++calls_), target,
                          {"Authorization: Bearer " + key});
    }

    /** Sends requests one after the other until a time is over. */
    std::vector<timed_answer> call_until(steady_clock::time_point end,
                                         int entry, QByteArray const& key)
    {
        std::vector<timed_answer> result;
        while (steady_clock::now() < end)
        {
            auto const sent = steady_clock::now();
            result.push_back({sent, call(entry, key)});
            std::this_thread::sleep_for(call_interval);
        }
        return result;
    }

    void kill_replicas()
    {
        for (int i = 0; i < replica_count; ++i)
        {
            replica_process(i).kill_now();
        }
    }

    void restart_replicas()
    {
        for (int i = 0; i < replica_count; ++i)
        {
            start_replica(i, false);
        }
    }

    platform_upstream upstream{QStringLiteral("i-1")};

private:
    void send_heartbeats(std::stop_token const& stop)
    {
        for (int round = 0; !stop.stop_requested(); ++round)
        {
            upstream.beat(control(round % replica_count));
            std::this_thread::sleep_for(milliseconds(300));
        }
    }

    std::atomic<int> calls_ = 0;
    std::jthread beats_;
};

int count(std::vector<timed_answer> const& answers, int status)
{
    return static_cast<int>(std::count_if(answers.begin(), answers.end(),
                                          [status](auto const& each)
                                          { return each.answer.is(status); }));
}

} // namespace

TEST_CASE_FIXTURE(withdrawal_cluster,
                  "key withdrawal: all replicas are killed: keys run for as "
                  "long as owed, and never beyond the bound")
{
    kill_replicas();
    auto const killed = steady_clock::now();
    auto const answers = call_until(killed + revocation * 2, 0, "k-1");
    CHECK(call(0, "k-1", "/open/7").is(200));
    CHECK(count(answers, 401) == 0);
    for (auto const& each : answers)
    {
        auto const after =
            std::chrono::duration_cast<milliseconds>(each.sent - killed);
        CAPTURE(after.count());
        if (after < owed_time)
        {
            CHECK(each.answer.is(200));
        }
        if (after >= revocation)
        {
            CHECK(each.answer.is(503));
            CHECK(each.answer.headers.contains("retry-after"));
        }
    }
    restart_replicas();
    CHECK(wait_until([this] { return call(0, "k-1").is(200); }));
}

TEST_CASE_FIXTURE(withdrawal_cluster,
                  "key withdrawal: the entry is frozen meanwhile: a request "
                  "that waits for it beyond the bound is not run")
{
    entry_process(0).freeze();
    send(with_team(4, "k-2"), "r3");
    auto const withdrawn = steady_clock::now();
    kill_replicas();
    std::this_thread::sleep_until(withdrawn + revocation + milliseconds(100));
    timed_answer waiting;
    std::thread caller([&] { waiting.answer = call(0, "k-1"); });
    std::this_thread::sleep_for(call_interval * 2);
    entry_process(0).thaw();
    caller.join();
    CHECK((waiting.answer.is(503) || waiting.answer.is(401)));
    auto const answers =
        call_until(steady_clock::now() + call_interval * 20, 0, "k-1");
    CHECK(count(answers, 200) == 0);
    restart_replicas();
    CHECK(wait_until([this] { return call(0, "k-2").is(200); }));
    CHECK(call(0, "k-1").is(401));
}

TEST_CASE_FIXTURE(withdrawal_cluster,
                  "key withdrawal: entries and replicas restart, one with an "
                  "empty disk: the key does not come back")
{
    send(with_team(4, "k-2"), "r3");
    auto const withdrawn = steady_clock::now();
    for (int entry : {0, 1})
    {
        entry_process(entry).kill_now();
    }
    kill_replicas();
    std::this_thread::sleep_until(withdrawn + revocation);
    start_replica(0, false);
    start_replica(1, false);
    wipe_replica(2);
    for (int entry : {0, 1})
    {
        start_entry(entry);
    }
    for (int entry : {0, 1})
    {
        auto const answers =
            call_until(steady_clock::now() + trial_time, entry, "k-1");
        CHECK(count(answers, 200) == 0);
        CHECK(wait_until([&] { return call(entry, "k-2").is(200); }));
        CHECK(call(entry, "k-1").is(401));
    }
}

TEST_CASE_FIXTURE(withdrawal_cluster,
                  "key withdrawal: the leader and another replica are killed, "
                  "the third answers: it confirms nothing")
{
    replica_process(0).kill_now();
    replica_process(1).kill_now();
    auto const killed = steady_clock::now();
    std::this_thread::sleep_until(killed + revocation);
    auto const answers = call_until(killed + revocation * 2, 0, "k-1");
    CHECK(count(answers, 503) == static_cast<int>(answers.size()));
    start_replica(0, false);
    CHECK(wait_until([this] { return call(0, "k-1").is(200); }));
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
