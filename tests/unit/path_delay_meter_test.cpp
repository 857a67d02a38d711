#include "verbenacove/request/path_delay_meter.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

struct path_delay_fixture
{
    void connect(zone_name const& zone, milliseconds duration)
    {
        clock.advance(milliseconds(20));
        meter.record_connection(zone, duration);
    }

    // Opens one connection to each zone, with the same delay added.
    void connect_to_both(milliseconds delay)
    {
        connect(near, milliseconds(2) + delay);
        connect(far, milliseconds(70) + delay);
    }

    zone_name const near{QStringLiteral("wcape-a")};
    zone_name const far{QStringLiteral("ecape-a")};
    manual_clock_source clock;
    path_delay_meter meter{clock};
};

} // namespace

TEST_CASE_FIXTURE(path_delay_fixture,
                  "path delay: zones at different distances: no delay")
{
    for (int i = 0; i < 10; ++i)
    {
        connect_to_both(milliseconds(0));
    }
    CHECK(meter.delay() == milliseconds(0));
}

TEST_CASE_FIXTURE(path_delay_fixture,
                  "path delay: all connections late: the delay they share")
{
    connect_to_both(milliseconds(0));
    connect_to_both(milliseconds(150));
    connect_to_both(milliseconds(120));
    CHECK(meter.delay() == milliseconds(120));
    connect(near, milliseconds(2));
    CHECK(meter.delay() == milliseconds(0));
    CHECK(meter.take_maximum() == milliseconds(120));
    CHECK(meter.take_maximum() == milliseconds(0));
}

TEST_CASE_FIXTURE(path_delay_fixture, "path delay: one slow upstream: no delay")
{
    for (int i = 0; i < 10; ++i)
    {
        connect(near, milliseconds(300));
        connect(far, milliseconds(70));
        connect(near, milliseconds(2));
    }
    CHECK(meter.delay() == milliseconds(0));
}

TEST_CASE_FIXTURE(path_delay_fixture,
                  "path delay: no connection for a second: nothing is known")
{
    connect_to_both(milliseconds(0));
    connect_to_both(milliseconds(150));
    connect_to_both(milliseconds(150));
    CHECK(meter.delay() > milliseconds(0));
    clock.advance(path_delay_meter::sample_retention);
    CHECK(meter.delay() == milliseconds(0));
}

TEST_CASE_FIXTURE(path_delay_fixture,
                  "path delay: a route that became longer: no delay after "
                  "two periods")
{
    connect_to_both(milliseconds(0));
    for (int i = 0; i < 3; ++i)
    {
        clock.advance(path_delay_meter::baseline_period);
        connect_to_both(milliseconds(100));
        connect_to_both(milliseconds(100));
    }
    CHECK(meter.delay() == milliseconds(0));
}

TEST_CASE_FIXTURE(path_delay_fixture,
                  "path delay: all connections late: a further one may be as "
                  "late, up to a bound")
{
    milliseconds const usual(300);
    connect_to_both(milliseconds(0));
    connect_to_both(milliseconds(0));
    CHECK(meter.time_to_connect(usual) == usual);
    connect_to_both(milliseconds(250));
    connect_to_both(milliseconds(250));
    CHECK(meter.time_to_connect(usual) == usual + milliseconds(250));
    connect_to_both(milliseconds(5000));
    connect_to_both(milliseconds(5000));
    CHECK(meter.time_to_connect(usual) ==
          usual + path_delay_meter::maximum_allowance);
    connect(near, milliseconds(2));
    CHECK(meter.time_to_connect(usual) == usual);
}
