#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/platform_cluster.hpp"

#include <QCoreApplication>
#include <QDirIterator>

#include <algorithm>
#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int replica_count = 3;
/** Time after which entries in touch have read a configuration. */
constexpr milliseconds application_time{2500};

/** Returns a configuration with two teams; the key of one may be another one
    than `k-silk-1`. */
QByteArray with_teams(int version, QByteArray const& silk_key = "k-silk-1")
{
    QJsonObject body = QJsonDocument::fromJson(
                           platform_cluster::configuration(version, "safe"))
                           .object();
    auto routes = body[QStringLiteral("Routes")].toObject();
    auto open = routes[QStringLiteral("r-1")].toObject();
    open[QStringLiteral("PathPrefix")] = QStringLiteral("/open/");
    open[QStringLiteral("Public")] = true;
    routes[QStringLiteral("r-open")] = open;
    body[QStringLiteral("Routes")] = routes;
    auto const team = [](QByteArray const& key)
    {
        return QJsonObject{
            {QStringLiteral("ApiKeys"), QJsonArray{QString::fromLatin1(key)}}};
    };
    body[QStringLiteral("Tenants")] =
        QJsonObject{{QStringLiteral("wool"), team("k-wool-1")},
                    {QStringLiteral("silk"), team(silk_key)}};
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

/** A cluster with one upstream that a configuration with teams is sent to. */
class team_cluster : public platform_cluster
{
public:
    team_cluster()
        : platform_cluster(replica_count, 2)
    {
        send(with_teams(3), "r0");
        beats_ = std::jthread([this](std::stop_token const& stop)
                              { send_heartbeats(stop); });
        REQUIRE(wait_until(
            [&]
            {
                return call(0, "/grades/7", {key("k-wool-1")}).is(200) &&
                       call(1, "/grades/7", {key("k-wool-1")}).is(200);
            }));
    }

    /** Sends a change to one replica after the other until it is accepted. */
    void send(QByteArray const& body, QByteArray const& base,
              char const* method = "PUT")
    {
        int next = 0;
        REQUIRE(wait_until(
            [&] {
                return order(next++ % replica_count, method, body, base)
                    .is(200);
            }));
    }

    static QByteArray key(QByteArray const& value)
    {
        return "Authorization: Bearer " + value;
    }

    http_answer call(int entry, QByteArray const& target,
                     QList<QByteArray> const& headers)
    {
        last_request = "r-" + QByteArray::number(++calls_);
        return call_entry(entry, last_request, target, headers);
    }

    /** Returns the values under which the upstream got the last request's
        team. */
    std::vector<QByteArray> passed(QByteArrayView name) const
    {
        std::vector<QByteArray> result;
        for (auto const& header : upstream.headers_of(last_request))
        {
            if (header.name.compare(name, Qt::CaseInsensitive) == 0)
            {
                result.push_back(header.value);
            }
        }
        return result;
    }

    platform_upstream upstream{QStringLiteral("i-1")};
    QByteArray last_request;

private:
    void send_heartbeats(std::stop_token const& stop)
    {
        for (int round = 0; !stop.stop_requested(); ++round)
        {
            upstream.beat(control(round % replica_count));
            std::this_thread::sleep_for(milliseconds(300));
        }
    }

    int calls_ = 0;
    std::jthread beats_;
};

} // namespace

TEST_CASE_FIXTURE(team_cluster,
                  "teams: keys that are right, wrong, missing or not needed")
{
    for (int const entry : {0, 1})
    {
        CHECK(call(entry, "/grades/7",
                   {key("k-silk-1"), "verbenacove-tenant: wool",
                    "Verbenacove-Tenant: wool"})
                  .is(200));
        CHECK(passed("Verbenacove-Tenant") == std::vector<QByteArray>{"silk"});
        CHECK(passed("Authorization").empty());
        CHECK(call(entry, "/grades/7", {key("k-other")}).is(401));
        CHECK(call(entry, "/grades/7", {}).is(401));
        CHECK(call(entry, "/grades/7", {"Verbenacove-Tenant: wool"}).is(401));
        CHECK(call(entry, "/none/7", {}).is(404));
        CHECK(call(entry, "/open/7", {"Verbenacove-Tenant: wool"}).is(200));
        CHECK(passed("Verbenacove-Tenant").empty());
        CHECK(call(entry, "/open/7", {key("k-wool-1")}).is(200));
        CHECK(passed("Authorization").empty());
    }
}

TEST_CASE_FIXTURE(team_cluster,
                  "teams: a key is taken away: 401 at each entry once the "
                  "configuration is in force, and the others run on")
{
    send(R"({"Version":"r5","Upsert":{"Tenants":{"silk":{)"
         R"("ApiKeys":["k-silk-2"]}}}})",
         "r3", "PATCH");
    auto const begin = std::chrono::steady_clock::now();
    for (int const entry : {0, 1})
    {
        CHECK(wait_until(
            [&] { return call(entry, "/grades/7", {key("k-silk-2")}).is(200); },
            application_time));
        CHECK(call(entry, "/grades/7", {key("k-silk-1")}).is(401));
        CHECK(call(entry, "/grades/7", {key("k-wool-1")}).is(200));
    }
    CHECK(elapsed(begin, std::chrono::steady_clock::now()) < application_time);
    // An entry that starts anew knows the new keys alone.
    entry_process(0).kill_now();
    start_entry(0);
    CHECK(wait_until(
        [&] { return call(0, "/grades/7", {key("k-silk-2")}).is(200); }));
    CHECK(call(0, "/grades/7", {key("k-silk-1")}).is(401));
}

TEST_CASE_FIXTURE(team_cluster,
                  "teams: a change with a key that has a holder: refused, and "
                  "the old configuration stays; no key is in a log")
{
    CHECK(order(0, "PATCH",
                R"({"Version":"r5","Upsert":{"Tenants":{"flax":{)"
                R"("ApiKeys":["k-wool-1"]}}}})",
                "r3")
              .is(400));
    CHECK(order(1, "PUT", with_teams(5, "k-wool-1"), "r3").is(400));
    CHECK(order(2, "PUT", with_teams(5, "k wool"), "r3").is(400));
    CHECK(call(0, "/grades/7", {key("k-wool-1")}).is(200));
    CHECK(call(0, "/grades/7", {key("k-unknown")}).is(401));
    auto const kept = get(control(1), "/api/config").json();
    CHECK(kept[QStringLiteral("Version")].toString() == QStringLiteral("r3"));
    CHECK(kept == QJsonDocument::fromJson(with_teams(3)).object());
    QDirIterator logs(folder(), {QStringLiteral("*.log")}, QDir::Files);
    int read = 0;
    while (logs.hasNext())
    {
        QFile log(logs.next());
        REQUIRE(log.open(QIODevice::ReadOnly));
        auto const text = log.readAll();
        CHECK_FALSE(text.isEmpty());
        for (char const* const part : {"k-wool", "k-silk", "k-unknown"})
        {
            CHECK_FALSE(text.contains(part));
        }
        ++read;
    }
    CHECK(read == replica_count + 2);
}

TEST_CASE_FIXTURE(team_cluster,
                  "teams: all replicas are killed and start again: the teams "
                  "are as before")
{
    for (int number = 0; number < replica_count; ++number)
    {
        replica_process(number).kill_now();
    }
    for (int number = 0; number < replica_count; ++number)
    {
        start_replica(number, false);
    }
    entry_process(0).kill_now();
    start_entry(0);
    CHECK(wait_until(
        [&] { return call(0, "/grades/7", {key("k-silk-1")}).is(200); }));
    CHECK(call(0, "/grades/7", {key("k-other")}).is(401));
}

// A replica that does not answer must not keep the first configuration out.
TEST_CASE("teams: one replica never starts: the first configuration with teams "
          "is accepted")
{
    platform_cluster cluster(replica_count, 0);
    cluster.replica_process(2).kill_now();
    int next = 0;
    CHECK(wait_until(
        [&] {
            return cluster.order(next++ % 2, "PUT", with_teams(3), "r0")
                .is(200);
        },
        milliseconds(8000)));
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
