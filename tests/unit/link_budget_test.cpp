#include "verbenacove/request/link_budget.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

/** A link of 2 Mbit/s, 250,000 bytes a second. */
struct link_fixture
{
    link_budget::traffic const request{1500, 3000};

    // Returns the number of requests admitted in a second at this rate.
    int admitted_of(int requests_per_second)
    {
        int admitted = 0;
        for (int i = 0; i < requests_per_second; ++i)
        {
            clock.advance(std::chrono::microseconds(1000000) /
                          requests_per_second);
            admitted += link.admit(request) ? 1 : 0;
        }
        return admitted;
    }

    manual_clock_source clock;
    link_budget link{megabits_per_second(2.0), clock};
};

} // namespace

TEST_CASE_FIXTURE(link_fixture,
                  "link budget: requests that the link can carry: all admitted")
{
    CHECK(admitted_of(60) == 60);
    CHECK(admitted_of(60) == 60);
}

// Load pattern: callers of cut-off entries come to the few that are left, so
// that these get twice what their links carry.
TEST_CASE_FIXTURE(link_fixture,
                  "link budget: twice what the link can carry: the rest is "
                  "refused, and no queue is left")
{
    admitted_of(166);
    int const admitted = admitted_of(166);
    CHECK(admitted * request.sent <= 250000);
    CHECK(admitted * request.sent > 200000);
    CHECK(admitted_of(60) == 60);
}

TEST_CASE_FIXTURE(link_fixture,
                  "link budget: a refusal: tells when there is room again")
{
    while (link.admit(request))
    {
    }
    auto const wait = link.time_until_room();
    CHECK(wait > milliseconds(0));
    CHECK(wait < milliseconds(100));
    clock.advance(wait + milliseconds(2));
    CHECK(link.admit(request));
}

TEST_CASE_FIXTURE(link_fixture,
                  "link budget: a request larger than the burst: admitted when "
                  "nothing else is under way, and paid for")
{
    link_budget::traffic const large{0, 400000};
    CHECK(link.admit(large));
    CHECK_FALSE(link.admit(request));
    clock.advance(std::chrono::seconds(3));
    CHECK(link.admit(request));
}

TEST_CASE_FIXTURE(link_fixture,
                  "link budget: responses smaller than expected: the room is "
                  "given back")
{
    while (link.admit(request))
    {
    }
    link.add({0, -6000});
    CHECK(link.admit({0, 3000}));
}

// Load pattern: most of what comes is refused, and the refusals are sent by the
// same link. Counted as a debt, they let nothing be served.
TEST_CASE_FIXTURE(
    link_fixture,
    "link budget: refusals fill the link: some requests are still "
    "admitted")
{
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
    {
        clock.advance(milliseconds(10));
        admitted += link.admit(request) ? 1 : 0;
        link.add({0, 2000});
    }
    CHECK(admitted > 100);
}

TEST_CASE("link budget: rate not known: all admitted")
{
    manual_clock_source clock;
    link_budget link(std::nullopt, clock);
    for (int i = 0; i < 10000; ++i)
    {
        REQUIRE(link.admit({100000, 100000}));
    }
    CHECK(link.time_until_room() == milliseconds(0));
}
