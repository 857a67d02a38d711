#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/platform_cluster.hpp"

#include <QCoreApplication>

#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int replica_count = 5;
/** Replicas that are left: too few for a leader. */
constexpr int left_replicas = 2;
/** Both upstreams together get a request in each such interval. */
constexpr milliseconds request_interval{16};
/** Time in which the entry has found that there is no leader, and upstreams
    that were cold get all requests again. */
constexpr milliseconds settling_time{4000};
constexpr milliseconds observation_time{1500};
constexpr milliseconds second{1000};
/** Requests in one second that a cold upstream may get: 1.5 times the warm-up
    rate of 5 per second, and 5 more. */
constexpr int cold_bound = 12;
/** Requests in one second that it got before; without them the bound would
    show nothing. */
constexpr int least_warm_requests = 20;

using time_point = std::chrono::steady_clock::time_point;

/** Two upstreams and an entry that sends to both, while no replica has a
    leader. */
class leaderless_fixture : public platform_cluster
{
public:
    leaderless_fixture()
        : platform_cluster(replica_count, 1)
    {
        put_until_accepted(3, "safe", "r0");
        beat();
        REQUIRE(serves(0));
        for (int number = left_replicas; number < replica_count; ++number)
        {
            replica_process(number).kill_now();
        }
        beats_ = std::jthread([this](std::stop_token const& stop)
                              { send_heartbeats(stop); });
        calls_ = std::jthread([this](std::stop_token const& stop)
                              { send_requests(stop); });
    }

    /** Lets the upstream say to a replica that it has become cold, and returns
        the most requests that it gets in one second from then on. */
    int most_when_cold(int replica)
    {
        std::this_thread::sleep_for(settling_time);
        auto const began = std::chrono::steady_clock::now();
        CHECK(most_in_a_second(began - second, began) >= least_warm_requests);
        turning_.cold_ms = 3000;
        REQUIRE(turning_.beat(control(replica)).is(200));
        auto const said = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(observation_time);
        auto const most = most_in_a_second(said, said + observation_time);
        turning_.cold_ms = 0;
        return most;
    }

private:
    int most_in_a_second(time_point from, time_point to) const
    {
        auto const arrivals = turning_.arrivals();
        int most = 0;
        for (auto const& first : arrivals)
        {
            auto const end = std::min(first + second, to);
            int const count = static_cast<int>(std::count_if(
                arrivals.begin(), arrivals.end(),
                [&](auto const& each) { return each >= first && each < end; }));
            most = first >= from ? std::max(most, count) : most;
        }
        return most;
    }

    void beat()
    {
        for (int number = 0; number < left_replicas; ++number)
        {
            steady_.beat(control(number));
            turning_.beat(control(number));
        }
    }

    void send_heartbeats(std::stop_token const& stop)
    {
        while (!stop.stop_requested())
        {
            beat();
            std::this_thread::sleep_for(second);
        }
    }

    void send_requests(std::stop_token const& stop)
    {
        auto next = std::chrono::steady_clock::now();
        for (int number = 0; !stop.stop_requested(); ++number)
        {
            auto const text = QByteArray::number(number);
            call(0, "steady-" + text, "GET", "/grades/7", text);
            next += request_interval;
            std::this_thread::sleep_until(next);
        }
    }

    platform_upstream steady_{QStringLiteral("i-1")};
    platform_upstream turning_{QStringLiteral("i-2")};
    std::jthread beats_;
    std::jthread calls_;
};

} // namespace

// An entry that found no replica with a leader read views every 2 s only, and
// sent an upstream that had become cold its full share until then.
TEST_CASE_FIXTURE(leaderless_fixture,
                  "cold upstream: no replica has a leader: gets no more than "
                  "its warm-up bears as soon as it says so")
{
    for (int round = 0; round < 4; ++round)
    {
        CAPTURE(round);
        CHECK(most_when_cold(round % left_replicas) <= cold_bound);
    }
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
