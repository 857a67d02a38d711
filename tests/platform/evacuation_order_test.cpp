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
/** Time for which an operator waits before it goes to another replica. */
constexpr milliseconds operator_patience{300};
/** Time after which an order of a replica that runs again has reached the
    entries. */
constexpr milliseconds observation_time{1500};
/** Time within which an entry serves at least one request of a zone that was
    reopened, though its upstreams count as cold. */
constexpr milliseconds longest_pause{1000};

/** An operator that evacuates the zone of the only upstream, with one replica
    frozen. */
class evacuation_fixture : public platform_cluster
{
public:
    evacuation_fixture()
        : platform_cluster(replica_count, 1)
    {
        put_until_accepted(3, "safe", "r0");
        REQUIRE(wait_until([&] { return upstream_.beat(control(0)).is(200); }));
        REQUIRE(serves(0));
        beats_ = std::jthread([this](std::stop_token const& stop)
                              { send_heartbeats(stop); });
    }

    /** Sends an order to all replicas but one, until it is acknowledged. */
    void order_elsewhere(int except, char const* method)
    {
        int next = except;
        REQUIRE(wait_until(
            [&]
            {
                next = (next + 1) % replica_count;
                return next != except &&
                       order_evacuation(next, method, milliseconds(1000))
                           .is(200);
            }));
    }

    /** Returns whether the entry sends requests to the upstream. */
    bool is_served()
    {
        return call(0, "probe-" + QByteArray::number(++probes_)).is(200);
    }

    bool is_served_within(milliseconds time)
    {
        return wait_until([&] { return is_served(); }, time);
    }

    /** Waits until the entry has the evacuation. A single refusal does not show
        that: a zone that was reopened gets few requests. */
    bool becomes_evacuated()
    {
        return wait_until([&] { return !is_served_within(longest_pause); });
    }

    void freeze(int replica)
    {
        replica_process(replica).freeze();
        frozen_ = replica;
    }

    void thaw()
    {
        replica_process(frozen_).thaw();
        frozen_ = -1;
    }

private:
    void send_heartbeats(std::stop_token const& stop)
    {
        for (int round = 0; !stop.stop_requested(); ++round)
        {
            int const replica = round % replica_count;
            if (replica != frozen_)
            {
                upstream_.beat(control(replica));
            }
            std::this_thread::sleep_for(milliseconds(300));
        }
    }

    platform_upstream upstream_{QStringLiteral("i-1")};
    std::atomic<int> frozen_{-1};
    int probes_ = 0;
    std::jthread beats_;
};

} // namespace

// A replica that was frozen carried out the withdrawal of an evacuation that
// had been withdrawn and ordered again elsewhere in the meantime.
TEST_CASE_FIXTURE(evacuation_fixture,
                  "evacuation: a withdrawal is read seconds late by a replica "
                  "that was frozen: the evacuation ordered since stays")
{
    for (int replica = 0; replica < replica_count; ++replica)
    {
        CAPTURE(replica);
        order_elsewhere(replica, "POST");
        freeze(replica);
        CHECK(order_evacuation(replica, "DELETE", operator_patience).error ==
              call_error::timed_out);
        order_elsewhere(replica, "DELETE");
        order_elsewhere(replica, "POST");
        REQUIRE(becomes_evacuated());
        thaw();
        CHECK_FALSE(is_served_within(observation_time));
        order_elsewhere(replica, "DELETE");
        REQUIRE(is_served_within(milliseconds(5000)));
    }
}

// The opposite order: an evacuation that was withdrawn since.
TEST_CASE_FIXTURE(evacuation_fixture,
                  "evacuation: an order is read seconds late by a replica that "
                  "was frozen: the zone withdrawn since is served")
{
    for (int replica = 0; replica < replica_count; ++replica)
    {
        CAPTURE(replica);
        freeze(replica);
        CHECK(order_evacuation(replica, "POST", operator_patience).error ==
              call_error::timed_out);
        order_elsewhere(replica, "POST");
        order_elsewhere(replica, "DELETE");
        REQUIRE(is_served_within(milliseconds(5000)));
        thaw();
        std::this_thread::sleep_for(observation_time);
        CHECK(is_served());
    }
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
