#include "verbenacove/request/retry_budget.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

/** A budget with the default settings: a tenth of the requests, at least 3
    retries, in 10 s. */
struct budget_fixture
{
    void count(int requests)
    {
        for (int i = 0; i < requests; ++i)
        {
            budget.count_request();
        }
    }

    int take_all_retries()
    {
        int taken = 0;
        while (budget.take_retry())
        {
            ++taken;
        }
        return taken;
    }

    manual_clock_source clock;
    retry_budget budget{{}, clock};
};

} // namespace

TEST_CASE_FIXTURE(budget_fixture,
                  "retry budget: no requests: only the minimum allowed")
{
    CHECK(take_all_retries() == 3);
    CHECK(budget.retries_left() == 0);
}

TEST_CASE_FIXTURE(budget_fixture,
                  "retry budget: many requests: a tenth of them allowed")
{
    count(1009);
    CHECK(take_all_retries() == 100);
}

TEST_CASE_FIXTURE(budget_fixture,
                  "retry budget: window passed: requests and retries expired")
{
    count(1000);
    CHECK(take_all_retries() == 100);
    clock.advance(std::chrono::seconds(9));
    CHECK(take_all_retries() == 0);
    clock.advance(std::chrono::seconds(1));
    CHECK(take_all_retries() == 3);
}

TEST_CASE_FIXTURE(budget_fixture,
                  "retry budget: process resumed after hours: empty window")
{
    count(1000);
    clock.advance(std::chrono::hours(5));
    CHECK(take_all_retries() == 3);
}

TEST_CASE_FIXTURE(budget_fixture,
                  "retry budget: steady load for a minute: at most a tenth")
{
    int retries = 0;
    for (int i = 0; i < 6000; ++i)
    {
        clock.advance(milliseconds(10));
        count(1);
        retries += budget.take_retry() ? 1 : 0;
    }
    CHECK(retries <= 600);
    CHECK(retries >= 500);
}

TEST_CASE_FIXTURE(budget_fixture,
                  "retry budget: minimum lowered: earlier retries counted")
{
    CHECK(budget.take_retry());
    CHECK(budget.take_retry());
    budget.set_minimum_retries(2);
    CHECK(take_all_retries() == 0);
    clock.advance(std::chrono::seconds(10));
    CHECK(take_all_retries() == 2);
}

TEST_CASE_FIXTURE(budget_fixture,
                  "retry budget: retries later than their requests: none left "
                  "when the requests expire")
{
    count(1000);
    clock.advance(std::chrono::seconds(4));
    CHECK(take_all_retries() == 100);
    clock.advance(std::chrono::seconds(6));
    count(20);
    CHECK(budget.retries_left() == 0);
    clock.advance(std::chrono::seconds(4));
    CHECK(budget.retries_left() == 3);
}
