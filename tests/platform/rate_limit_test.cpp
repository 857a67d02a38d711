#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/platform_cluster.hpp"

#include <QCoreApplication>

#include <algorithm>
#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

using steady_time = std::chrono::steady_clock::time_point;

constexpr int entry_count = 4;
constexpr double limit_per_second = 2;
/** Time from the first response with a limit until it is enforced. */
constexpr milliseconds enforcement_delay{4000};
/** The rule: requests in any window of this length are at most 1.5 times what
    the limit allows, and 5 more. */
constexpr milliseconds rule_window{4000};
constexpr double rule_factor = 1.5;
constexpr int rule_slack = 5;
constexpr milliseconds observed_time{7000};

int allowed_in_window()
{
    return static_cast<int>(rule_factor * limit_per_second *
                            static_cast<double>(rule_window.count()) / 1000) +
           rule_slack;
}

/** Returns the most arrivals in any window after a time. */
int most_in_window(std::vector<steady_time> const& arrivals, steady_time after)
{
    int most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
    {
        if (*first < after)
        {
            continue;
        }
        auto const last =
            std::upper_bound(first, arrivals.end(), *first + rule_window);
        most = std::max(most, static_cast<int>(last - first));
    }
    return most;
}

/** Four entries, each with a caller that sends some ten requests per second,
    and two upstreams. */
class rate_limit_fixture : public platform_cluster
{
public:
    rate_limit_fixture()
        : platform_cluster(3, entry_count)
    {
        heartbeats_ = std::jthread([this](std::stop_token const& stop)
                                   { send_heartbeats(stop); });
        put_until_accepted(3, "safe", "r0");
        for (int entry = 0; entry < entry_count; ++entry)
        {
            REQUIRE(serves(entry));
            callers_.emplace_back([this, entry](std::stop_token const& stop)
                                  { send_requests(entry, stop); });
        }
    }

    platform_upstream first{QStringLiteral("i-first")};
    platform_upstream second{QStringLiteral("i-second")};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};

private:
    void send_heartbeats(std::stop_token const& stop)
    {
        while (!stop.stop_requested())
        {
            first.beat(control(0));
            second.beat(control(1));
            std::this_thread::sleep_for(milliseconds(300));
        }
    }

    void send_requests(int entry, std::stop_token const& stop)
    {
        for (int i = 0; !stop.stop_requested(); ++i)
        {
            auto const id =
                QByteArray::number(entry) + '-' + QByteArray::number(i);
            auto const status = call(entry, id).status;
            served += status == 200 ? 1 : 0;
            refused += status == 503 ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(100));
        }
    }

    std::jthread heartbeats_;
    std::vector<std::jthread> callers_;
};

} // namespace

TEST_CASE_FIXTURE(rate_limit_fixture,
                  "rate limit: named in responses: all entries together keep "
                  "to it until it ends")
{
    first.rate_limit = limit_per_second;
    second.rate_limit = limit_per_second;
    std::this_thread::sleep_for(enforcement_delay);
    auto const enforced = std::chrono::steady_clock::now();
    int const served_before = served;
    std::this_thread::sleep_for(observed_time);
    CHECK(most_in_window(first.arrivals(), enforced) <= allowed_in_window());
    CHECK(most_in_window(second.arrivals(), enforced) <= allowed_in_window());
    // The two upstreams accept 28 requests in this time.
    CHECK(served - served_before >= 14);

    first.rate_limit = -1;
    second.rate_limit = -1;
    CHECK(wait_until(
        [&]
        {
            int const refused_before = refused;
            std::this_thread::sleep_for(milliseconds(1000));
            return refused == refused_before;
        }));
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
