#include "support/cluster_fixture.hpp"
#include "support/http_caller.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>

#include <future>
#include <random>
#include <vector>

// What holds here: copies of a request that come one after another, each once
// the news of the one before have spread, take down two upstreams at most
// among all entries. Copies that are sent at the same moment to several
// entries can each take one down before any entry knows: an entry sends its
// own copies of a suspect one at a time, but nothing yet keeps two entries
// from trying one at once.

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int entry_count = 3;
constexpr int upstream_count = 6;
constexpr int innocents_of_entry = 4;
/** Between two resends; news of a crash spread in less. */
constexpr milliseconds pause_between_resends{500};
constexpr int resends = 10;
/** Retries are a tenth of the requests of the last ten seconds, and three:
    this many quick ones pay for those that the slow ones need. */
constexpr int paying_requests = 40;
QByteArray const deadly_body = "{\"lot\":7,\"note\":\"crash-me\"}";

unsigned seed()
{
    bool is_set = false;
    auto const given =
        qEnvironmentVariableIntValue("VERBENACOVE_SEED", &is_set);
    return is_set ? unsigned(given) : 1U;
}

QString numbered(char const* word, int number)
{
    return QString::fromLatin1(word) + QString::number(number);
}

/** Three regions, each with a control replica, an entry and two upstreams of
    one idempotent service. */
class crash_fixture : public cluster_fixture
{
public:
    crash_fixture()
        : cluster_fixture(QStringLiteral(VERBENACOVE_BINARIES))
    {
        QStringList const regions{QStringLiteral("wcape"),
                                  QStringLiteral("gauteng"),
                                  QStringLiteral("ecape")};
        for (int i = 1; i <= entry_count; ++i)
        {
            add_control(numbered("control-", i), where(regions, i));
            add_entry(numbered("entry-", i), where(regions, i));
        }
        for (int i = 1; i <= upstream_count; ++i)
        {
            add_upstream(numbered("gradebook-", i), QStringLiteral("gradebook"),
                         where(regions, i),
                         {QStringLiteral("--service-ms"), QStringLiteral("5")});
        }
        REQUIRE(start_all());
        for (int i = 1; i <= entry_count; ++i)
        {
            REQUIRE(wait_ready(numbered("entry-", i)));
        }
        create_service();
        // Every entry sends to its own region's upstreams first, so each
        // answers once all three entries know the service and their own.
        for (int i = 1; i <= entry_count; ++i)
        {
            REQUIRE(wait_until(
                [&] {
                    return call(i, "{}", {}, "warm").is(200) &&
                           knows_all_upstreams(i);
                }));
        }
    }

    http_answer call(int entry, QByteArray const& body,
                     QList<QByteArray> const& headers = {},
                     QByteArray const& path = "lots/7")
    {
        http_call call;
        call.address = address(numbered("entry-", entry), door::http);
        call.method = "POST";
        call.target = "/v1/call/gradebook/" + path;
        call.headers = headers;
        call.body = body;
        call.timeout = milliseconds(8000);
        return call_http(call);
    }

    int dead_upstreams()
    {
        int dead = 0;
        for (int i = 1; i <= upstream_count; ++i)
        {
            dead += process(numbered("gradebook-", i)).is_running() ? 0 : 1;
        }
        return dead;
    }

    /** Requests that are slow, one after another from each entry. */
    std::vector<std::future<http_answer>> start_innocents(int of_each_entry)
    {
        std::vector<std::future<http_answer>> started;
        for (int i = 0; i < of_each_entry * entry_count; ++i)
        {
            started.push_back(std::async(
                std::launch::async,
                [this, i]
                {
                    return call(1 + i % entry_count, "{\"innocent\":true}",
                                {"X-Stand-In: slow=400"},
                                "innocent/" + QByteArray::number(i));
                }));
        }
        return started;
    }

    /** Returns how many runs all upstreams' logs hold of a path. */
    int runs_of(QByteArray const& path) const
    {
        int runs = 0;
        for (int i = 1; i <= upstream_count; ++i)
        {
            for (auto const& run : read_run_log(i))
            {
                runs += run.path == path ? 1 : 0;
            }
        }
        return runs;
    }

    /** Waits until a number of upstreams is at work on innocent requests. */
    bool wait_innocent_runs(std::size_t runs)
    {
        return wait_until(
            [&]
            {
                std::size_t seen = 0;
                for (int i = 1; i <= upstream_count; ++i)
                {
                    for (auto const& run : read_run_log(i))
                    {
                        seen += run.path.startsWith("/innocent/") ? 1U : 0U;
                    }
                }
                return seen >= runs;
            });
    }

    /** Sends quick requests to every entry. */
    void pay_for_retries()
    {
        for (int i = 0; i < paying_requests * entry_count; ++i)
        {
            CHECK(call(1 + i % entry_count, "{}", {}, "quick").is(200));
        }
    }

private:
    static place where(QStringList const& regions, int number)
    {
        auto const& region = regions[(number - 1) % regions.size()];
        return {region, region + QStringLiteral("-a")};
    }

    std::vector<logged_run> read_run_log(int upstream) const
    {
        return support::read_run_log(
            path(numbered("gradebook-", upstream), QStringLiteral("runs")));
    }

    void create_service()
    {
        auto const result = run_client(
            {QStringLiteral("create"), QStringLiteral("service"),
             QStringLiteral("gradebook"), QStringLiteral("--file"),
             QStringLiteral("-")},
            R"({"name":"gradebook","class":"interactive","timeout_ms":4000,
                "max_body_bytes":65536})");
        CAPTURE(result.errors.toStdString());
        REQUIRE(result.exit_code == 0);
    }

    bool knows_all_upstreams(int entry)
    {
        http_call call;
        call.address = address(numbered("entry-", entry), door::http);
        call.target = "/metrics";
        auto const text = call_http(call).body;
        return text.contains("verbenacove_entry_upstreams " +
                             QByteArray::number(upstream_count));
    }
};

} // namespace

TEST_CASE("deadly request: sent again and again, two upstreams die, then 429")
{
    crash_fixture cluster;
    std::mt19937 random(seed());
    CAPTURE(seed());
    bool is_quarantined = false;
    std::vector<std::string> answers;
    for (int i = 0; i < resends; ++i)
    {
        cluster.pay_for_retries();
        auto innocents = cluster.start_innocents(innocents_of_entry);
        REQUIRE(cluster.wait_innocent_runs(std::size_t(i + 1) * entry_count *
                                           innocents_of_entry));
        auto const answer =
            cluster.call(1 + int(random() % entry_count), deadly_body);
        answers.push_back(std::to_string(answer.status) + " " +
                          answer.body.toStdString());
        CAPTURE(answers.back());
        CHECK(answer.status != 200);
        CHECK(answer.headers["run-verdict"] == "may-have-run");
        // Once refused, by any entry, refused by all from then on.
        CHECK((answer.status == 429 || !is_quarantined));
        is_quarantined = answer.status == 429;
        for (auto& innocent : innocents)
        {
            auto const other = innocent.get();
            CAPTURE(other.status);
            CAPTURE(other.body.toStdString());
            CHECK(other.is(200));
        }
        CHECK(cluster.dead_upstreams() <= 2);
        wait_until([] { return false; }, pause_between_resends);
    }
    MESSAGE("dead upstreams: " << cluster.dead_upstreams()
                               << ", runs of the request: "
                               << cluster.runs_of("/lots/7"));
    CHECK(is_quarantined);
    CHECK(cluster.dead_upstreams() == 2);
    CHECK(cluster.runs_of("/lots/7") == 2);
    for (int i = 1; i <= entry_count; ++i)
    {
        auto const refused = cluster.call(i, deadly_body);
        CHECK(refused.status == 429);
        CHECK(refused.body.contains("quarantined"));
        // Another body to the same path is another request.
        CHECK(cluster.call(i, "{\"lot\":8}").is(200));
    }
}

TEST_CASE("upstreams killed by hand: what was in flight runs elsewhere")
{
    crash_fixture cluster;
    // Two rounds: the same requests lose an upstream each time.
    for (int round = 0; round < 2; ++round)
    {
        cluster.pay_for_retries();
        auto innocents = cluster.start_innocents(innocents_of_entry);
        REQUIRE(cluster.wait_innocent_runs(std::size_t(entry_count) *
                                           innocents_of_entry * (round + 1)));
        cluster.process(numbered("gradebook-", 1 + round)).kill_now();
        for (auto& innocent : innocents)
        {
            auto const answer = innocent.get();
            CAPTURE(answer.status);
            CAPTURE(answer.body.toStdString());
            CHECK(answer.is(200));
        }
        wait_until([] { return false; }, pause_between_resends);
    }
    CHECK(cluster.dead_upstreams() == 2);
    for (auto& innocent : cluster.start_innocents(innocents_of_entry))
    {
        CHECK(innocent.get().is(200));
    }
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
