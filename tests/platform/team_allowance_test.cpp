#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/platform_cluster.hpp"

#include <QCoreApplication>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int replica_count = 3;
constexpr int entry_count = 2;
constexpr double rate = 10;
constexpr double burst = 10;
/** The rule: in any window of this length, all entries together run at most
    what the allowance permits, a tenth more, and 20 requests. */
constexpr milliseconds rule_window{5000};
constexpr double rule_factor = 1.1;
constexpr double rule_slack = 20;
constexpr milliseconds observed_time{9000};
/** Time in which the leader learns of a raised allowance, and the entries of
    that. */
constexpr milliseconds application_time{2500};

QByteArray with_allowance(int version, double rate_per_second)
{
    auto body = QJsonDocument::fromJson(
                    platform_cluster::configuration(version, "safe"))
                    .object();
    auto const team = [](char const* key, double limit)
    {
        return QJsonObject{
            {QStringLiteral("ApiKeys"), QJsonArray{QString::fromLatin1(key)}},
            {QStringLiteral("RatePerS"), limit},
            {QStringLiteral("Burst"), limit > 0 ? burst : 0}};
    };
    body[QStringLiteral("Tenants")] =
        QJsonObject{{QStringLiteral("wool"), team("k-wool", rate_per_second)},
                    {QStringLiteral("silk"), team("k-silk", 0)}};
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

/** Two entries, each with callers of a team with an allowance and of one
    without. */
class allowance_cluster : public platform_cluster
{
public:
    allowance_cluster()
        : platform_cluster(replica_count, entry_count)
    {
        send(with_allowance(3, rate), "r0");
        beats_ = std::jthread(
            [this](std::stop_token const& stop)
            {
                while (!stop.stop_requested())
                {
                    upstream.beat(control(0));
                    std::this_thread::sleep_for(milliseconds(300));
                }
            });
        for (int entry = 0; entry < entry_count; ++entry)
        {
            REQUIRE(wait_until([this, entry]
                               { return ask(entry, "k-silk").is(200); }));
        }
    }

    void send(QByteArray const& body, QByteArray const& base)
    {
        int next = 0;
        REQUIRE(wait_until(
            [&] {
                return order(next++ % replica_count, "PUT", body, base).is(200);
            }));
    }

    http_answer ask(int entry, QByteArray const& key)
    {
        auto const id = "r-" + QByteArray::number(++calls_);
        return call_entry(entry, id, "/grades/7",
                          {"Authorization: Bearer " + key});
    }

    /** Starts a caller that sends some 25 requests per second. */
    void start_caller(int entry)
    {
        callers_.emplace_back(
            [this, entry](std::stop_token const& stop)
            {
                while (!stop.stop_requested())
                {
                    count(ask(entry, "k-wool"));
                    std::this_thread::sleep_for(milliseconds(40));
                }
            });
    }

    void stop_callers() { callers_.clear(); }

    /** Returns the most requests that ran in any window. */
    int most_in_window() const
    {
        auto const arrivals = upstream.arrivals();
        int most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
        {
            auto const last =
                std::upper_bound(first, arrivals.end(), *first + rule_window);
            most = std::max(most, static_cast<int>(last - first));
        }
        return most;
    }

    platform_upstream upstream{QStringLiteral("i-1")};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::atomic<int> refused_without_delay{0};
    std::atomic<int> others{0};

private:
    void count(http_answer const& answer)
    {
        served += answer.is(200) ? 1 : 0;
        refused += answer.is(429) ? 1 : 0;
        others += answer.is(200) || answer.is(429) ? 0 : 1;
        bool const has_delay =
            answer.headers.value("retry-after").toDouble() > 0;
        refused_without_delay += answer.is(429) && !has_delay ? 1 : 0;
    }

    std::atomic<int> calls_{0};
    std::jthread beats_;
    std::vector<std::jthread> callers_;
};

} // namespace

TEST_CASE_FIXTURE(allowance_cluster,
                  "allowance: two entries get five times the rate, all "
                  "together stay within it until it is raised")
{
    for (int caller = 0; caller < 4; ++caller)
    {
        start_caller(caller % entry_count);
    }
    std::this_thread::sleep_for(observed_time);
    auto const seconds = std::chrono::duration<double>(rule_window).count();
    CHECK(most_in_window() <=
          (rate * seconds + burst) * rule_factor + rule_slack);
    CHECK(served >= rate * 9 * 0.7);
    CHECK(refused > 0);
    CHECK(refused_without_delay == 0);
    CHECK(others == 0);
    // Teams without an allowance are not concerned.
    for (int request = 0; request < 20; ++request)
    {
        CHECK(ask(request % entry_count, "k-silk").is(200));
    }

    send(with_allowance(4, 1000), "r3");
    std::this_thread::sleep_for(application_time);
    int const refused_before = refused;
    std::this_thread::sleep_for(milliseconds(2000));
    CHECK(refused == refused_before);
    stop_callers();
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
