#include "verbenacove/request/link_budget.hpp"
#include "verbenacove/request/overload_admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

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

// Guards against requests that reach upstreams long after their callers have
// left (GONE), as they have waited for the link.
TEST_CASE_FIXTURE(
    link_fixture,
    "link budget: twice what the link can carry, a third more for "
    "what is not counted: the queue stays short, most of the link "
    "is used")
{
    constexpr double bytes_per_second = 250000;
    constexpr double uncounted = 1.0 / 3;
    constexpr milliseconds step{5};
    double queue = 0;
    double longest = 0;
    int admitted = 0;
    constexpr int steps = 2000;
    for (int i = 0; i < steps; ++i)
    {
        clock.advance(step);
        auto const drained =
            bytes_per_second * std::chrono::duration<double>(step).count();
        queue = std::max(0.0, queue - drained);
        if (link.admit(request))
        {
            ++admitted;
            queue += static_cast<double>(request.sent) * (1 + uncounted);
        }
        auto const delay = queue / bytes_per_second;
        longest = std::max(longest, delay);
        link.observe_delay(milliseconds(static_cast<qint64>(delay * 1000)));
    }
    // What a caller that leaves may still cost an upstream.
    constexpr double longest_allowed = 0.5;
    CHECK(longest < longest_allowed);
    auto const seconds = std::chrono::duration<double>(step * steps).count();
    CHECK(admitted * static_cast<double>(request.sent) >
          0.6 * bytes_per_second * seconds);
}

TEST_CASE_FIXTURE(link_fixture,
                  "link budget: delays that are not the link's: a share is "
                  "still admitted, and all once they are over")
{
    admitted_of(60);
    link.observe_delay(milliseconds(2000));
    int const admitted = admitted_of(60);
    CHECK(admitted >= 15);
    CHECK(admitted < 60);
    clock.advance(milliseconds(1000));
    admitted_of(60);
    CHECK(admitted_of(60) == 60);
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

// Load pattern: a burst of requests of all priorities that is more than the
// link carries.
TEST_CASE_FIXTURE(link_fixture,
                  "link budget: a burst of all priorities: the more urgent are "
                  "admitted more often, and each of them sometimes")
{
    constexpr int priorities = 3;
    constexpr int lots = 10;
    std::array<int, priorities> admitted{};
    for (int i = 0; i < 600; ++i)
    {
        clock.advance(milliseconds(8));
        auto const priority = i % priorities;
        auto const lot = (i / priorities) % lots / double(lots);
        admitted.at(static_cast<std::size_t>(priority)) +=
            link.admit(request, share_kept_for_urgent(priority, lot)) ? 1 : 0;
    }
    CHECK(admitted[0] > 180);
    CHECK(admitted[0] > admitted[1]);
    CHECK(admitted[1] > admitted[2]);
    CHECK(admitted[2] > 20);
}

TEST_CASE_FIXTURE(link_fixture,
                  "link budget: room for all priorities: all admitted")
{
    for (int i = 0; i < 300; ++i)
    {
        clock.advance(milliseconds(20));
        CHECK(link.admit(request, share_kept_for_urgent(i % 4, 0.99)));
    }
}
