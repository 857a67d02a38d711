#include "verbenacove/process/work_meter.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace
{

struct meter_fixture
{
    work_meter::amount take(work_kind kind)
    {
        return meter.take().at(static_cast<std::size_t>(kind));
    }

    nanoseconds used{0};
    work_meter meter{[this]
                     {
                         return used;
                     }};
};

} // namespace

TEST_CASE_FIXTURE(meter_fixture,
                  "work meter: work within other work: counts for its own kind "
                  "only")
{
    {
        work_meter::scope const outer(meter, work_kind::housekeeping);
        used += milliseconds(3);
        {
            work_meter::scope const inner(meter, work_kind::entry_responses);
            used += milliseconds(5);
        }
        used += milliseconds(4);
    }
    used += milliseconds(2);
    auto const amounts = meter.take();
    auto const of = [&amounts](work_kind kind)
    {
        return amounts.at(static_cast<std::size_t>(kind));
    };
    CHECK(of(work_kind::housekeeping).processor_time == milliseconds(7));
    CHECK(of(work_kind::housekeeping).count == 1);
    CHECK(of(work_kind::entry_responses).processor_time == milliseconds(5));
    CHECK(of(work_kind::entry_responses).count == 1);
    CHECK(of(work_kind::other).processor_time == milliseconds(2));
}

TEST_CASE_FIXTURE(meter_fixture,
                  "work meter: taken during work: each part is counted once")
{
    work_meter::scope const scope(meter, work_kind::consensus);
    used += milliseconds(3);
    CHECK(take(work_kind::consensus).processor_time == milliseconds(3));
    used += milliseconds(4);
    CHECK(take(work_kind::consensus).processor_time == milliseconds(4));
}

TEST_CASE("work meter: each kind of work: has a name")
{
    for (std::size_t kind = 0; kind < work_kind_count; ++kind)
    {
        CHECK(*work_kind_name(static_cast<work_kind>(kind)) != '\0');
    }
}
