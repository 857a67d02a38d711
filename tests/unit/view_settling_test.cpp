#include "verbenacove/process/discovery/view_settling.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

struct settling_fixture
{
    void update_after(milliseconds time, std::size_t live_entries,
                      bool has_read_replicas = true)
    {
        clock.advance(time);
        settling.update(live_entries, has_read_replicas, clock.now());
    }

    manual_clock_source clock;
    view_settling settling;
};

constexpr milliseconds tick{100};

} // namespace

TEST_CASE_FIXTURE(settling_fixture,
                  "view settling: first entry reports: settled only after all "
                  "had time to report")
{
    update_after(tick, 0);
    CHECK_FALSE(settling.is_settled());
    update_after(milliseconds(10000), 1);
    CHECK_FALSE(settling.is_settled());
    update_after(view_settling::settling_time - milliseconds(1), 40);
    CHECK_FALSE(settling.is_settled());
    update_after(milliseconds(1), 69);
    CHECK(settling.is_settled());
}

TEST_CASE_FIXTURE(settling_fixture,
                  "view settling: all entries fall silent: the view settles "
                  "anew")
{
    update_after(tick, 5);
    update_after(view_settling::settling_time, 5);
    REQUIRE(settling.is_settled());
    update_after(tick, 1);
    CHECK(settling.is_settled());
    update_after(tick, 0);
    CHECK_FALSE(settling.is_settled());
    update_after(tick, 1);
    CHECK_FALSE(settling.is_settled());
    update_after(view_settling::settling_time, 5);
    CHECK(settling.is_settled());
}

TEST_CASE_FIXTURE(settling_fixture,
                  "view settling: a settled replica's view is merged: settled "
                  "at once")
{
    update_after(tick, 1);
    settling.merge_settled_view(69);
    CHECK(settling.is_settled());
}

TEST_CASE_FIXTURE(settling_fixture,
                  "view settling: a settled view without entries is merged: "
                  "not settled")
{
    settling.merge_settled_view(0);
    CHECK_FALSE(settling.is_settled());
}

TEST_CASE_FIXTURE(settling_fixture,
                  "view settling: a replica has not told of its entries yet: "
                  "not settled until it has")
{
    update_after(tick, 5, false);
    update_after(view_settling::settling_time, 5, false);
    CHECK_FALSE(settling.is_settled());
    update_after(tick, 9);
    CHECK(settling.is_settled());
    update_after(tick, 9, false);
    CHECK(settling.is_settled());
}

TEST_CASE_FIXTURE(settling_fixture,
                  "view settling: the process did not run for a while: the "
                  "view settles anew")
{
    update_after(tick, 5);
    update_after(view_settling::settling_time, 5);
    REQUIRE(settling.is_settled());
    settling.restart();
    update_after(tick, 5);
    CHECK_FALSE(settling.is_settled());
    update_after(view_settling::settling_time, 5);
    CHECK(settling.is_settled());
}
