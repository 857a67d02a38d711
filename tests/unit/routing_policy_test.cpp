#include "verbenacove/process/routing/reopened_zones.hpp"
#include "verbenacove/process/routing/split_chooser.hpp"
#include "verbenacove/request/overflow_share.hpp"
#include "verbenacove/request/region_shift_limit.hpp"

#include <doctest/doctest.h>

#include <cmath>

using namespace verbenacove;

TEST_CASE("region shift limit: share grows: growth per window is limited")
{
    manual_clock_source clock;
    region_shift_limit limit(0.15);
    int left_in_first_window = 0;
    for (int tick = 0; tick < 400; ++tick)
    {
        // No request leaves for two windows, then all that the limit permits.
        bool const leaves = tick >= 200 && limit.may_leave(clock.now());
        left_in_first_window += leaves && tick < 300 ? 1 : 0;
        limit.count(clock.now(), leaves);
        clock.advance(milliseconds(20));
    }
    CHECK(left_in_first_window > 0);
    CHECK(left_in_first_window <= 15);
}

TEST_CASE("region shift limit: share falls: some requests still leave")
{
    manual_clock_source clock;
    region_shift_limit limit(0.15);
    for (int tick = 0; tick < 200; ++tick)
    {
        limit.count(clock.now(), tick % 2 == 0);
        clock.advance(milliseconds(20));
    }
    int left = 0;
    for (int tick = 0; tick < 100; ++tick)
    {
        bool const leaves = limit.should_leave(clock.now());
        left += leaves ? 1 : 0;
        limit.count(clock.now(), leaves);
        clock.advance(milliseconds(20));
    }
    CHECK(left >= 35);
}

TEST_CASE("reopened zones: evacuation ends: upstreams count as cold")
{
    zone_name const zone(QStringLiteral("ecape-a"));
    manual_clock_source clock;
    reopened_zones zones;
    zones.update({zone}, clock.now());
    CHECK(zones.cold_until(zone, milliseconds(3000)) < clock.now());
    clock.advance(std::chrono::seconds(5));
    zones.update({}, clock.now());
    CHECK(zones.cold_until(zone, milliseconds(3000)) ==
          clock.now() + milliseconds(3000));
    clock.advance(std::chrono::seconds(4));
    CHECK(zones.cold_until(zone, milliseconds(3000)) < clock.now());
}

TEST_CASE("overflow share: demand above the region's slots: detected in the "
          "first window")
{
    manual_clock_source clock;
    overflow_share overflow(0.1);
    // 10 requests/s at each of 10 entries, 0.4 s each, need 40 slots.
    region_capacity const capacity{25, 10, 200, 30, 400};
    double share = 0;
    for (int tick = 0; tick < 10; ++tick)
    {
        overflow.count(clock.now());
        clock.advance(milliseconds(100));
        share = overflow.value(clock.now(), capacity);
    }
    CHECK(share > 0.4);
    CHECK(share < 0.6);
    CHECK(overflow.value(clock.now(), {100, 10, 300, 30, 400}) == 0);
}

TEST_CASE("overflow share: all regions are full: fewer requests leave")
{
    manual_clock_source clock;
    overflow_share overflow(0.1);
    double share = 1;
    for (int tick = 0; tick < 10; ++tick)
    {
        overflow.count(clock.now());
        clock.advance(milliseconds(100));
        share = overflow.value(clock.now(), {25, 10, 75, 30, 400});
    }
    // The region has capacity for half of its load (0.5), and so has the whole
    // system; the share kept is then the square root of 0.5.
    CHECK(share == doctest::Approx(1 - std::sqrt(0.5)).epsilon(0.02));
}

TEST_CASE("overflow share: region loses its slots: share changes slowly")
{
    manual_clock_source clock;
    overflow_share overflow(0.1);
    double share = 0;
    for (int tick = 0; tick < 40; ++tick)
    {
        overflow.count(clock.now());
        clock.advance(milliseconds(100));
        share = overflow.value(clock.now(), {100, 10, 300, 30, 400});
    }
    CHECK(share == 0);
    for (int tick = 0; tick < 20; ++tick)
    {
        overflow.count(clock.now());
        clock.advance(milliseconds(100));
        share = overflow.value(clock.now(), {0, 10, 300, 30, 400});
    }
    CHECK(share == doctest::Approx(0.1));
}

TEST_CASE("split chooser: weights 90 and 10: shares are exact over 50 requests")
{
    route_record route;
    route.name = QStringLiteral("r");
    route.split = {{service_name(QStringLiteral("a")), 90},
                   {service_name(QStringLiteral("b")), 10}};
    split_chooser chooser;
    int b = 0;
    for (int request = 0; request < 50; ++request)
    {
        b += chooser.choose(route).value() == QStringLiteral("b") ? 1 : 0;
    }
    CHECK(b == 5);
    route.split = {{service_name(QStringLiteral("a")), 1},
                   {service_name(QStringLiteral("b")), 0}};
    for (int request = 0; request < 20; ++request)
    {
        CHECK(chooser.choose(route).value() == QStringLiteral("a"));
    }
}
