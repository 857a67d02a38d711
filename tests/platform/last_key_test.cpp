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
constexpr int entry_count = 2;
/** Time after which a withdrawn key must not be accepted anywhere. */
constexpr milliseconds revocation{3000};
/** Time after which entries in touch have read a configuration. */
constexpr milliseconds application_time{2500};
/** Requests by each key, and without one, at each entry. */
constexpr int rounds = 5;

char const one_team[] = R"({"wool":{"ApiKeys":["k-1"]}})";
char const team_without_keys[] = R"({"wool":{"ApiKeys":[]}})";
char const new_key[] = R"({"wool":{"ApiKeys":["k-2"]}})";

/** Returns a configuration with a public route besides.

    @param teams  its table of teams; null for none
*/
QByteArray whole(int version, char const* teams)
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
    if (teams != nullptr)
    {
        body[QStringLiteral("Tenants")] =
            QJsonDocument::fromJson(teams).object();
    }
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

QByteArray removal_of_last(int version)
{
    return R"({"Version":"r)" + QByteArray::number(version) +
           R"(","Upsert":{},"Remove":{"Tenants":["wool"]}})";
}

/** Replicas and entries whose settings ask for withdrawal within a bound. */
class last_key_cluster : public platform_cluster
{
public:
    last_key_cluster()
        : platform_cluster(replica_count, entry_count, QString(),
                           QStringLiteral("[teams]\nrevocation = %1ms\n")
                               .arg(revocation.count()))
    {
        beats_ = std::jthread([this](std::stop_token const& stop)
                              { send_heartbeats(stop); });
    }

    /** Puts a team with the key `k-1` into force. */
    void begin_with_team()
    {
        send("PUT", whole(3, one_team), "r0");
        REQUIRE(wait_until(
            [this]
            { return call(0, "k-1").is(200) && call(1, "k-1").is(200); }));
    }

    /** Sends a change until it is accepted. */
    void send(char const* method, QByteArray const& body,
              QByteArray const& base)
    {
        int next = 0;
        REQUIRE(wait_until(
            [&] {
                return order(next++ % replica_count, method, body, base)
                    .is(200);
            }));
    }

    /** @param key  empty for a request without one */
    http_answer call(int entry, QByteArray const& key,
                     QByteArray const& target = "/grades/7")
    {
        last_request_ = "r-" + QByteArray::number(++calls_);
        return call_entry(
            entry, last_request_, target,
            key.isEmpty() ? QList<QByteArray>{}
                          : QList<QByteArray>{"Authorization: Bearer " + key});
    }

    bool was_key_passed_on() const
    {
        auto const headers = upstream.headers_of(last_request_);
        return std::any_of(headers.begin(), headers.end(),
                           [](http_header const& each) {
                               return each.name.compare("Authorization",
                                                        Qt::CaseInsensitive) ==
                                      0;
                           });
    }

    /** Returns whether the last request was refused, and did not run: with 401,
        or with 503 where the keys are not confirmed. */
    bool is_refused(http_answer const& answer) const
    {
        bool const is_unconfirmed =
            answer.is(503) && answer.body.contains("keys-unconfirmed");
        return (answer.is(401) || is_unconfirmed) &&
               upstream.runs(last_request_) == 0;
    }

    /** Checks that no request runs by a key, and that the public route serves
        and passes no key on.

        @param runs_keyless  whether a request without a key runs
    */
    void check_no_key_runs(bool runs_keyless)
    {
        for (int round = 0; round < rounds; ++round)
        {
            for (int entry = 0; entry < entry_count; ++entry)
            {
                CAPTURE(entry);
                CHECK(wait_until([&] { return call(entry, "k-1").is(401); }));
                CHECK(is_refused(call(entry, "k-1")));
                CHECK(is_refused(call(entry, "k-unknown")));
                auto const keyless = call(entry, {});
                CHECK((runs_keyless ? keyless.is(200) : is_refused(keyless)));
                CHECK(call(entry, "k-1", "/open/7").is(200));
                CHECK_FALSE(was_key_passed_on());
            }
        }
    }

    void restart_all()
    {
        for (int i = 0; i < replica_count; ++i)
        {
            replica_process(i).kill_now();
        }
        for (int entry = 0; entry < entry_count; ++entry)
        {
            entry_process(entry).kill_now();
        }
        start_replica(0, false);
        start_replica(1, false);
        wipe_replica(2);
        for (int entry = 0; entry < entry_count; ++entry)
        {
            start_entry(entry);
            REQUIRE(
                wait_until([&] { return call(entry, {}, "/open/7").is(200); }));
        }
    }

    /** Returns the table of teams in the answer to a read. */
    QJsonValue read_teams()
    {
        http_answer answer;
        REQUIRE(wait_until(
            [&]
            {
                answer = get(control(0), "/api/config");
                return answer.is(200);
            }));
        return answer.json().value(QStringLiteral("Tenants"));
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
    QByteArray last_request_;
    std::jthread beats_;
};

} // namespace

// The table of teams that was left empty counted as none, so all routes were
// open to every key, and upstreams got the keys.
TEST_CASE_FIXTURE(last_key_cluster,
                  "last key: an empty table of teams: no key runs, also after "
                  "all restart; a new team's key does")
{
    begin_with_team();
    send("PUT", whole(5, "{}"), "r3");
    std::this_thread::sleep_for(revocation);
    check_no_key_runs(false);
    CHECK(read_teams() == QJsonValue(QJsonObject()));
    restart_all();
    check_no_key_runs(false);
    CHECK(read_teams() == QJsonValue(QJsonObject()));
    send("PUT", whole(7, new_key), "r5");
    CHECK(wait_until(
        [this] { return call(0, "k-2").is(200) && call(1, "k-2").is(200); }));
    CHECK(call(0, "k-1").is(401));
    CHECK(call(1, {}).is(401));
}

// The same by named items.
TEST_CASE_FIXTURE(last_key_cluster,
                  "last key: the last team is removed: no key runs, and "
                  "requests need one")
{
    begin_with_team();
    send("PATCH", removal_of_last(5), "r3");
    std::this_thread::sleep_for(revocation);
    check_no_key_runs(false);
    CHECK(read_teams() == QJsonValue(QJsonObject()));
    restart_all();
    check_no_key_runs(false);
}

// The table is not empty, and nobody in it holds a key.
TEST_CASE_FIXTURE(last_key_cluster,
                  "last key: the team stays with an empty list of keys: no key "
                  "runs, and requests need one")
{
    begin_with_team();
    send("PUT", whole(5, team_without_keys), "r3");
    std::this_thread::sleep_for(revocation);
    check_no_key_runs(false);
    CHECK(read_teams()[QStringLiteral("wool")][QStringLiteral("ApiKeys")] ==
          QJsonValue(QJsonArray()));
    restart_all();
    check_no_key_runs(false);
    send("PUT", whole(7, new_key), "r5");
    CHECK(wait_until(
        [this] { return call(0, "k-2").is(200) && call(1, "k-2").is(200); }));
    CHECK(call(0, "k-1").is(401));
}

// Keys are withdrawn for good, while the configuration asks for none.
TEST_CASE_FIXTURE(last_key_cluster,
                  "last key: a configuration without a table after one with "
                  "teams: no key runs, requests without one do")
{
    begin_with_team();
    send("PUT", whole(5, nullptr), "r3");
    std::this_thread::sleep_for(revocation);
    check_no_key_runs(true);
    CHECK(read_teams().isUndefined());
    restart_all();
    check_no_key_runs(true);
    // Neither a further change nor an empty list of items opens the routes.
    send("PATCH", R"({"Version":"r7","Upsert":{"Tenants":{}},"Remove":{}})",
         "r5");
    send("PUT", whole(9, nullptr), "r7");
    std::this_thread::sleep_for(application_time);
    check_no_key_runs(true);
    send("PUT", whole(11, new_key), "r9");
    CHECK(wait_until(
        [this] { return call(0, "k-2").is(200) && call(1, "k-2").is(200); }));
    CHECK(call(0, {}).is(401));
}

// An entry whose next table is empty must not stop to watch its lease.
TEST_CASE_FIXTURE(last_key_cluster,
                  "last key: withdrawn while an entry is frozen and the "
                  "replicas are lost: it runs nowhere beyond the bound")
{
    begin_with_team();
    entry_process(0).freeze();
    send("PUT", whole(5, "{}"), "r3");
    auto const withdrawn = steady_clock::now();
    for (int i = 0; i < replica_count; ++i)
    {
        replica_process(i).kill_now();
    }
    std::this_thread::sleep_until(withdrawn + revocation);
    entry_process(0).thaw();
    for (int round = 0; round < rounds * 4; ++round)
    {
        for (int entry = 0; entry < entry_count; ++entry)
        {
            auto const status = call(entry, "k-1").status;
            CAPTURE(entry);
            CHECK((status == 401 || status == 503));
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
}

TEST_CASE_FIXTURE(last_key_cluster,
                  "last key: there has never been a table of teams: requests "
                  "run with any key, which is passed on")
{
    send("PUT", whole(3, nullptr), "r0");
    REQUIRE(wait_until([this] { return call(0, {}).is(200); }));
    CHECK(call(0, "k-of-upstream").is(200));
    CHECK(was_key_passed_on());
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
