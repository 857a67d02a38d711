#define DOCTEST_CONFIG_IMPLEMENT
#include "drain_fixture.hpp"

#include <QCoreApplication>

using namespace verbenacove;
using namespace verbenacove::support;

TEST_CASE("drain: announced under load, nothing starts 3 s later or fails")
{
    drain_fixture cluster;
    steady_callers callers(cluster.entries(), callers_count, seed(), 0);
    auto const from =
        drain_most(cluster, [&](int i) { cluster.announce_draining(i); });
    check_times("announced", times_of(cluster, from));
    check_callers(callers);
}

TEST_CASE("drain: by an operator under load, nothing starts 3 s later or fails")
{
    drain_fixture cluster;
    steady_callers callers(cluster.entries(), callers_count, seed(), 0);
    auto const from = drain_most(cluster,
                                 [&](int i)
                                 {
                                     cluster.operate(QStringLiteral("drain"),
                                                     QStringLiteral("upstream"),
                                                     numbered("gradebook", i));
                                 });
    check_times("operator", times_of(cluster, from));
    for (auto const& [upstream, time] : from)
    {
        cluster.operate(QStringLiteral("undrain"), QStringLiteral("upstream"),
                        numbered("gradebook", upstream));
    }
    for (int i = 1; i <= upstreams_count; ++i)
    {
        CHECK(cluster.wait_in_use(i));
    }

    auto const zone_from = now();
    cluster.operate(QStringLiteral("drain"), QStringLiteral("zone"),
                    QStringLiteral("zone-0"));
    auto const end = now() + watch_time;
    wait_until([&] { return now() >= end; }, watch_time * 2);
    std::map<int, monotonic_time> of_zone;
    for (int i = 2; i <= upstreams_count; i += 2)
    {
        of_zone[i] = zone_from;
    }
    check_times("zone", times_of(cluster, of_zone));
    check_callers(callers);
}

TEST_CASE(
    "drain: an upstream freezes under load, no idempotent request is lost")
{
    drain_fixture cluster;
    steady_callers callers(cluster.entries(), callers_count, seed(), 0);
    drain_most(
        cluster,
        [&](int i) { cluster.process(numbered("gradebook", i)).freeze(); }, {},
        1);
    check_callers(callers);
}

TEST_CASE("drain: announced to others than a cut off entry, it stops in 3 s")
{
    drain_fixture cluster(mesh::first_entry_cut);
    steady_callers callers({cluster.entries().front()}, callers_count, seed(),
                           0);
    auto const from =
        drain_most(cluster, [&](int i) { cluster.announce_draining(i); });
    check_times("cut off", times_of(cluster, from));
    CHECK(cluster.entries_named_by(1) == 1);
    CHECK(cluster.entries_named_by(2) == 2);
    check_callers(callers);
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
