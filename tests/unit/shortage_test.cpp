#include "verbenacove/request/shortage.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

struct shortage_fixture
{
    /** Refuses a request every 100 ms for this long. */
    void refuse_for(milliseconds length)
    {
        for (milliseconds passed{0}; passed <= length;
             passed += milliseconds(100))
        {
            lack.note_refusal(clock.now());
            clock.advance(milliseconds(100));
        }
    }

    milliseconds delay(double lot) const
    {
        return lack.return_delay(milliseconds(0), lot, clock.now());
    }

    manual_clock_source clock;
    shortage lack;
};

} // namespace

TEST_CASE_FIXTURE(shortage_fixture,
                  "shortage: it has just begun: callers come back soon")
{
    lack.note_refusal(clock.now());
    CHECK(delay(0) == shortage::shortest_return);
    CHECK(lack.return_delay(milliseconds(400), 0, clock.now()) ==
          milliseconds(400));
}

TEST_CASE_FIXTURE(
    shortage_fixture,
    "shortage: it has lasted: callers come back later, up to a bound")
{
    refuse_for(milliseconds(800));
    CHECK(delay(0) >= milliseconds(800));
    refuse_for(milliseconds(5000));
    CHECK(delay(0) == shortage::longest_return);
    CHECK(lack.return_delay(milliseconds(60000), 1, clock.now()) ==
          2 * shortage::longest_return);
}

TEST_CASE_FIXTURE(shortage_fixture,
                  "shortage: over for a second: the next one begins anew")
{
    refuse_for(milliseconds(5000));
    clock.advance(milliseconds(1500));
    lack.note_refusal(clock.now());
    CHECK(delay(0) == shortage::shortest_return);
}

// Load pattern: all entries lose power and start together, and refuse all
// callers at the same moment.
TEST_CASE_FIXTURE(shortage_fixture,
                  "shortage: many refused together: they return evenly spread")
{
    constexpr int callers = 1000;
    constexpr milliseconds shortest{1200};
    int in_first_quarter = 0;
    for (int i = 0; i < callers; ++i)
    {
        auto const returns = spread_return(shortest, i / double(callers));
        CHECK(returns >= shortest);
        CHECK(returns <= 2 * shortest);
        in_first_quarter += returns < shortest + shortest / 4 ? 1 : 0;
    }
    CHECK(in_first_quarter == doctest::Approx(callers / 4.0).epsilon(0.02));
}
