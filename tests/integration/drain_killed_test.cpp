#define DOCTEST_CONFIG_IMPLEMENT
#include "drain_fixture.hpp"

#include <QCoreApplication>

using namespace verbenacove;
using namespace verbenacove::support;

TEST_CASE("drain: upstreams killed under load, no idempotent request is lost")
{
    drain_fixture cluster;
    steady_callers callers(cluster.entries(), callers_count, seed(), 0);
    drain_most(
        cluster,
        [&](int i) { cluster.process(numbered("gradebook", i)).kill_now(); },
        least_kill_gap);
    check_callers(callers);
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
