#include "support/cluster_fixture.hpp"
#include "support/fault_proxy.hpp"
#include "support/http_caller.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>
#include <vector>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int entry_count = 3;
constexpr int callers_of_entry = 16;
/** Of which each entry's floor is 1: 32 * 0.5 / 16 holders. */
constexpr int cap = 32;
/** Shorter than a grant holds: what starts with a grant can outlast it. */
constexpr milliseconds service_time{300};

QString numbered(char const* word, int number)
{
    return QString::fromLatin1(word) + QString::number(number);
}

/** Three regions with a control replica and an entry each, and upstreams in
    the first region only, with more slots than its limit. */
class limit_fixture : public cluster_fixture
{
public:
    limit_fixture()
        : cluster_fixture(QStringLiteral(VERBENACOVE_BINARIES))
    {
        QStringList const regions{QStringLiteral("wcape"),
                                  QStringLiteral("gauteng"),
                                  QStringLiteral("ecape")};
        for (int i = 1; i <= entry_count; ++i)
        {
            auto const& region = regions[i - 1];
            place const where{region, region + QStringLiteral("-a")};
            add_control(numbered("control-", i), where);
            add_entry(numbered("entry-", i), where);
        }
        place const limited{regions[0], regions[0] + QStringLiteral("-a")};
        for (int i = 1; i <= 2; ++i)
        {
            add_upstream(numbered("lookup-", i), QStringLiteral("lookup"),
                         limited,
                         {QStringLiteral("--slots"), QStringLiteral("40"),
                          QStringLiteral("--service-ms"),
                          QString::number(service_time.count())});
        }
    }

    ~limit_fixture() { stop_load(); }

    void start_cluster()
    {
        REQUIRE(start_all());
        for (int i = 1; i <= entry_count; ++i)
        {
            REQUIRE(wait_ready(numbered("entry-", i)));
        }
        create("limit", "wcape-slots",
               R"({"name":"wcape-slots","limit":"slots","region":"wcape",
                   "slots":32,"floor_share":0.5})");
        create("service", "lookup",
               R"({"name":"lookup","class":"interactive","timeout_ms":3000,
                   "max_body_bytes":65536})");
        for (int i = 1; i <= entry_count; ++i)
        {
            REQUIRE(wait_until([&] { return call(i).is(200); }));
        }
    }

    http_answer call(int entry) const
    {
        http_call call;
        call.address = address(numbered("entry-", entry), door::http);
        call.target = "/v1/call/lookup/x";
        call.timeout = milliseconds(4000);
        return call_http(call);
    }

    /** Lets callers of every entry send one request after another. */
    void start_load()
    {
        is_loaded_ = true;
        for (int i = 0; i < entry_count * callers_of_entry; ++i)
        {
            callers_.emplace_back([this, i] { load(1 + i % entry_count); });
        }
    }

    void stop_load()
    {
        is_loaded_ = false;
        for (auto& caller : callers_)
        {
            caller.join();
        }
        callers_.clear();
    }

    /** Returns the most requests that ran at the same time in the region, by
        the upstreams' run logs. */
    int most_running() const
    {
        std::multimap<qint64, int> changes;
        for (auto const& start : starts())
        {
            // Of two at the same moment, the end comes first.
            auto const length = std::chrono::nanoseconds(service_time).count();
            changes.emplace(start, 1);
            changes.emplace_hint(changes.lower_bound(start + length),
                                 start + length, -1);
        }
        int running = 0;
        int most = 0;
        for (auto const& [time, change] : changes)
        {
            running += change;
            most = std::max(most, running);
        }
        return most;
    }

    std::vector<qint64> starts() const
    {
        std::vector<qint64> result;
        for (int i = 1; i <= 2; ++i)
        {
            for (auto const& run : read_run_log(
                     path(numbered("lookup-", i), QStringLiteral("runs"))))
            {
                result.push_back(run.monotonic_ns);
            }
        }
        return result;
    }

    QString leader()
    {
        for (int i = 1; i <= entry_count; ++i)
        {
            http_call metrics;
            metrics.address = address(numbered("control-", i), door::http);
            metrics.target = "/metrics";
            metrics.timeout = milliseconds(500);
            if (call_http(metrics).body.contains(
                    "\nverbenacove_control_leader 1"))
            {
                return numbered("control-", i);
            }
        }
        return {};
    }

    static void pass(milliseconds time)
    {
        wait_until([] { return false; }, time);
    }

    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    /** Neither an answer nor an early refusal as not run. */
    std::atomic<int> others{0};
    std::atomic<qint64> slowest_refusal_ms{0};

private:
    void load(int entry)
    {
        while (is_loaded_)
        {
            auto const begun = std::chrono::steady_clock::now();
            auto const answer = call(entry);
            auto const took =
                elapsed(begun, std::chrono::steady_clock::now()).count();
            bool const is_refusal = answer.status == 503 &&
                                    answer.headers["run-verdict"] == "not-run";
            if (is_refusal)
            {
                slowest_refusal_ms = std::max<qint64>(slowest_refusal_ms, took);
                std::this_thread::sleep_for(milliseconds(20));
            }
            ++(answer.is(200) ? answered : is_refusal ? refused : others);
        }
    }

    void create(char const* kind, char const* name, QByteArray const& record)
    {
        auto const result =
            run_client({QStringLiteral("create"), QString::fromLatin1(kind),
                        QString::fromLatin1(name), QStringLiteral("--file"),
                        QStringLiteral("-")},
                       record);
        CAPTURE(result.errors.toStdString());
        REQUIRE(result.exit_code == 0);
    }

    std::atomic<bool> is_loaded_{false};
    std::vector<std::thread> callers_;
};

} // namespace

TEST_CASE("slots of a region under load, a leader's end, a frozen entry: "
          "never more than the cap run")
{
    limit_fixture cluster;
    cluster.start_cluster();
    cluster.start_load();
    // Grants grow by a fifth of the cap each second.
    CHECK(wait_until([&] { return cluster.most_running() > cap / 2; },
                     milliseconds(15000)));
    auto const leader = cluster.leader();
    REQUIRE(!leader.isEmpty());
    cluster.process(leader).kill_now();
    cluster.pass(milliseconds(7000));
    REQUIRE(cluster.start(leader));
    cluster.pass(milliseconds(2000));
    auto& frozen = cluster.process(QStringLiteral("entry-2"));
    frozen.freeze();
    cluster.pass(milliseconds(6500));
    frozen.thaw();
    cluster.pass(milliseconds(3000));
    cluster.stop_load();
    MESSAGE("most at once: " << cluster.most_running() << " of " << cap
                             << ", runs: " << cluster.starts().size()
                             << ", answered: " << cluster.answered.load()
                             << ", refused: " << cluster.refused.load()
                             << ", others: " << cluster.others.load()
                             << ", slowest refusal: "
                             << cluster.slowest_refusal_ms.load() << " ms");
    CHECK(cluster.most_running() <= cap);
    CHECK(cluster.refused > 0);
}

TEST_CASE("an entry cut off from control: its floor only, the cap holds")
{
    limit_fixture cluster;
    std::vector<std::unique_ptr<fault_proxy>> ways;
    for (int i = 1; i <= entry_count; ++i)
    {
        auto const control = numbered("control-", i);
        ways.push_back(std::make_unique<fault_proxy>(
            cluster.address(control, door::internal)));
        cluster.advertise(control, door::internal, ways.back()->address(),
                          QStringLiteral("entry-3"));
    }
    cluster.start_cluster();
    cluster.start_load();
    CHECK(wait_until([&] { return cluster.most_running() > cap / 2; },
                     milliseconds(15000)));
    tcp_faults lost;
    lost.drop_to_target = true;
    lost.drop_to_client = true;
    for (auto& way : ways)
    {
        way->set_faults(lost);
    }
    cluster.pass(milliseconds(9000));
    cluster.stop_load();
    // Alone, it may run one request at a time, since its grant has run out.
    auto const before = cluster.starts().size();
    auto const begun = std::chrono::steady_clock::now();
    auto const is_over = [&]
    {
        return elapsed(begun, std::chrono::steady_clock::now()) >=
               10 * service_time;
    };
    std::vector<std::thread> callers;
    for (int i = 0; i < callers_of_entry; ++i)
    {
        callers.emplace_back(
            [&]
            {
                while (!is_over())
                {
                    cluster.call(3);
                    std::this_thread::sleep_for(milliseconds(20));
                }
            });
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    auto const alone = cluster.starts().size() - before;
    MESSAGE("most at once: " << cluster.most_running() << " of " << cap
                             << ", runs of the entry alone in ten service "
                                "times: "
                             << alone);
    CHECK(cluster.most_running() <= cap);
    CHECK(alone >= 1);
    CHECK(alone <= 11);
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
