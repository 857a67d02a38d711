#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/platform_cluster.hpp"

#include <QCoreApplication>

#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int replica_count = 3;
/** Time after which processes that run have contact again. */
constexpr milliseconds contact{4000};
constexpr milliseconds observation_time{1500};

/** Two upstreams, one of which leaves and serves on for a while. */
class departure_fixture : public platform_cluster
{
public:
    departure_fixture()
        : platform_cluster(replica_count, 1)
    {
        put_until_accepted(3, "safe", "r0");
        REQUIRE(wait_until([&] { return leaving_.beat(control(0)).is(200); }));
        REQUIRE(wait_until([&] { return staying_.beat(control(0)).is(200); }));
        REQUIRE(serves(0));
        beats_ = std::jthread(
            [this](std::stop_token const& stop)
            {
                for (int round = 0; !stop.stop_requested(); ++round)
                {
                    staying_.beat(control(round % replica_count));
                    std::this_thread::sleep_for(milliseconds(300));
                }
            });
    }

    /** Sends the departure without any heartbeat before it. */
    http_answer leave(int replica) { return depart(replica, leaving_.id()); }

    void restart_with_clock_ahead(milliseconds ahead)
    {
        leaving_.restart_with_clock_ahead(ahead);
        REQUIRE(wait_until([&] { return leaving_.beat(control(0)).is(200); }));
    }

    /** Announces an upstream whose clock is behind the replicas'. */
    bool start_behind()
    {
        behind_.restart_with_clock_ahead(milliseconds(-60000));
        return behind_.beat(control(1)).is(200);
    }

    void restart_behind()
    {
        behind_.restart_with_clock_ahead(milliseconds(-60000));
    }

    /** Returns whether the report that it is draining is acknowledged. */
    bool drain(int replica)
    {
        return leaving_.beat(control(replica), "draining").is(200);
    }

    bool heartbeat_behind() { return behind_.beat(control(1)).is(200); }

    QByteArray behind_id() const { return behind_.id(); }

    /** Sends requests for a while and returns how many it got. */
    int requests_of_behind()
    {
        int const before = behind_.all_runs();
        requests_after_departure();
        return behind_.all_runs() - before;
    }

    void send_late_heartbeat(int replica) { leaving_.beat(control(replica)); }

    void kill_all_replicas()
    {
        for (int replica = 0; replica < replica_count; ++replica)
        {
            replica_process(replica).kill_now();
        }
    }

    void start_all_replicas()
    {
        for (int replica = 0; replica < replica_count; ++replica)
        {
            start_replica(replica, false);
        }
    }

    /** Sends requests for a while and returns how many the upstream that has
        left got. */
    int requests_after_departure()
    {
        int const before = leaving_.all_runs();
        wait_until(
            [&]
            {
                // Objects are spread over the upstreams.
                auto const number = QByteArray::number(++requests_);
                call(0, "after-" + number, "GET", "/grades/" + number, number);
                return false;
            },
            observation_time);
        return leaving_.all_runs() - before;
    }

private:
    platform_upstream leaving_{QStringLiteral("i-leaving")};
    platform_upstream staying_{QStringLiteral("i-staying")};
    platform_upstream behind_{QStringLiteral("i-behind")};
    int requests_ = 0;
    std::jthread beats_;
};

} // namespace

// A departure was known in memory alone: entries that had not heard of it sent
// requests for ten more seconds.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure: all replicas are killed right after the "
                  "acknowledgement: entries hear of it from those that start")
{
    REQUIRE(requests_after_departure() > 0);
    entry_process(0).freeze();
    CHECK(leave(0).is(200));
    kill_all_replicas();
    entry_process(0).thaw();
    start_all_replicas();
    std::this_thread::sleep_for(contact);
    CHECK(requests_after_departure() == 0);
}

// After a restart nothing told a late heartbeat from one of an upstream that
// serves.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure: a heartbeat from before it arrives after all "
                  "processes have restarted: it is not in use again")
{
    REQUIRE(requests_after_departure() > 0);
    CHECK(leave(0).is(200));
    kill_all_replicas();
    entry_process(0).kill_now();
    start_all_replicas();
    start_entry(0);
    REQUIRE(serves(0));
    std::this_thread::sleep_for(contact);
    for (int replica = 0; replica < replica_count; ++replica)
    {
        send_late_heartbeat(replica);
    }
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(requests_after_departure() == 0);
}

// A departure was acknowledged and had no effect, as it seemed to be of an
// earlier start.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure: the clock of the upstream is ahead of the "
                  "replicas': it gets no more requests")
{
    restart_with_clock_ahead(milliseconds(60000));
    REQUIRE(wait_until([&] { return requests_after_departure() > 0; }));
    CHECK(leave(0).is(200));
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(requests_after_departure() == 0);
}

// The same moment, seen from the other side: no replica knows the upstream.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure: replicas have just started and know nothing of "
                  "the upstream: acknowledged, and entries hear of it")
{
    REQUIRE(requests_after_departure() > 0);
    kill_all_replicas();
    start_all_replicas();
    CHECK(wait_until([&] { return leave(1).is(200); }));
    std::this_thread::sleep_for(contact);
    CHECK(requests_after_departure() == 0);
}

// The replicas knew the departure of the earlier start only, and handed that
// on.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure: an upstream that came back under its id leaves "
                  "after all replicas have restarted: it gets no more requests")
{
    CHECK(leave(0).is(200));
    restart_with_clock_ahead(milliseconds(0));
    REQUIRE(wait_until([&] { return requests_after_departure() > 0; }));
    kill_all_replicas();
    start_all_replicas();
    CHECK(wait_until([&] { return leave(1).is(200); }));
    std::this_thread::sleep_for(contact);
    CHECK(requests_after_departure() == 0);
}

// Guards against a departure that names an earlier start than the upstream's,
// as the replica's clock is behind.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure: the upstream's clock is ahead and replicas have "
                  "just started: it gets no more requests")
{
    restart_with_clock_ahead(milliseconds(60000));
    REQUIRE(wait_until([&] { return requests_after_departure() > 0; }));
    kill_all_replicas();
    start_all_replicas();
    CHECK(wait_until([&] { return leave(1).is(200); }));
    std::this_thread::sleep_for(contact);
    CHECK(requests_after_departure() == 0);
}

// Guards against a departure that names a later start than the upstream's next
// one, as the replica's clock is ahead.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure: the upstream's clock is behind and replicas have "
                  "just started: its next start gets requests")
{
    REQUIRE(start_behind());
    REQUIRE(wait_until([&] { return requests_of_behind() > 0; }));
    kill_all_replicas();
    start_all_replicas();
    CHECK(wait_until([&] { return depart(1, behind_id()).is(200); }));
    std::this_thread::sleep_for(contact);
    CHECK(requests_of_behind() == 0);
    restart_behind();
    CHECK(wait_until([&]
                     { return heartbeat_behind() && requests_of_behind() > 0; },
                     milliseconds(20000)));
}

// What the second start said was acknowledged and dropped: its start was lower
// than that of the first.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure: an upstream starts again after its clock was set "
                  "back: once its draining is acknowledged, no more requests")
{
    restart_with_clock_ahead(milliseconds(2000));
    std::this_thread::sleep_for(milliseconds(1000));
    restart_with_clock_ahead(milliseconds(0));
    REQUIRE(requests_after_departure() > 0);
    REQUIRE(wait_until([&] { return drain(0); }));
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(requests_after_departure() == 0);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
