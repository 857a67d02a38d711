#include "verbenacove/request/upstream_monitor.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

struct monitor_fixture
{
    void report(double work_factor)
    {
        monitor.record_load(clock.now(), {1, 0, 6, work_factor});
    }

    double work_factor() const { return monitor.work_factor(clock.now()); }

    manual_clock_source clock;
    upstream_monitor monitor;
};

} // namespace

TEST_CASE_FIXTURE(monitor_fixture,
                  "upstream monitor: nothing reported: work takes as usual")
{
    CHECK(work_factor() == doctest::Approx(1));
    monitor.record_load(clock.now(), {1, 0, 6});
    CHECK(work_factor() == doctest::Approx(1));
}

TEST_CASE_FIXTURE(
    monitor_fixture,
    "upstream monitor: slow work reported: counts now, fades within a second")
{
    report(2.5);
    CHECK(work_factor() == doctest::Approx(2.5));
    clock.advance(milliseconds(250));
    CHECK(work_factor() == doctest::Approx(1.75));
    clock.advance(milliseconds(750));
    CHECK(work_factor() < 1.1);
}

TEST_CASE_FIXTURE(monitor_fixture,
                  "upstream monitor: a newer report: replaces the older one")
{
    report(2.5);
    report(0.8);
    CHECK(work_factor() == doctest::Approx(0.8));
    monitor.record_load(clock.now(), {1, 0, 6});
    CHECK(work_factor() == doctest::Approx(1));
}

TEST_CASE_FIXTURE(monitor_fixture,
                  "upstream monitor: extreme work factors: bounded")
{
    report(1e6);
    CHECK(work_factor() <= 20);
    report(1e-6);
    CHECK(work_factor() >= 0.05);
}
