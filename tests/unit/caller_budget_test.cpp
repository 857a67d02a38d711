#include "verbenacove/connection/caller_budget.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace verbenacove;

namespace
{

constexpr qint64 one_mebibyte = 1024 * 1024;
constexpr qint64 small_bytes = 10 * 1024;
constexpr qint64 large_bytes = one_mebibyte;

/** An endpoint with connections of one size each. */
class endpoint_fake : public caller_budget::endpoint
{
public:
    endpoint_fake(caller_budget& budget, qint64 bytes_each)
        : budget_(budget)
        , bytes_each_(bytes_each)
    {
        budget_.add(*this);
    }
    ~endpoint_fake() override { budget_.remove(*this); }
    endpoint_fake(endpoint_fake const&) = delete;
    endpoint_fake& operator=(endpoint_fake const&) = delete;

    void open(monotonic_time last_progress)
    {
        stalled.push_back(last_progress);
        budget_.charge(bytes_each_);
    }

    int open_connections() const override
    {
        return static_cast<int>(stalled.size()) + in_hand;
    }

    std::optional<monotonic_time> longest_stalled(bool) const override
    {
        return stalled.empty() ? std::nullopt
                               : std::optional(*std::min_element(
                                     stalled.begin(), stalled.end()));
    }

    void release_longest_stalled(bool) override
    {
        stalled.erase(std::min_element(stalled.begin(), stalled.end()));
        budget_.charge(-bytes_each_);
    }

    std::vector<monotonic_time> stalled;
    int in_hand = 0;

private:
    caller_budget& budget_;
    qint64 const bytes_each_;
};

struct budget_fixture
{
    static monotonic_time at(int ms)
    {
        return monotonic_time(milliseconds(ms));
    }

    int upstreams = 0;
    caller_budget budget{{8 * one_mebibyte, 8},
                         [this]
                         {
                             return upstreams;
                         }};
    endpoint_fake callers{budget, large_bytes};
    endpoint_fake metrics{budget, large_bytes};
    monotonic_time now = at(100000);
};

} // namespace

TEST_CASE_FIXTURE(budget_fixture,
                  "caller budget: memory is short: the connection without "
                  "progress for longest goes first, on any endpoint")
{
    for (int i = 0; i < 5; ++i)
    {
        callers.open(at(2000 + i));
    }
    metrics.open(at(1000));
    metrics.open(at(3000));
    REQUIRE(budget.make_room(large_bytes, now));
    callers.open(now);
    CHECK(budget.make_room(large_bytes, now));
    CHECK(metrics.stalled == std::vector{at(3000)});
    CHECK(callers.stalled.size() == 6);
    CHECK(budget.totals().released_for_memory == 1);
}

TEST_CASE_FIXTURE(budget_fixture,
                  "caller budget: all others have made progress lately: the "
                  "newcomer is refused")
{
    for (int i = 0; i < 8; ++i)
    {
        callers.open(now - milliseconds(100));
    }
    CHECK(!budget.make_room(large_bytes, now));
    CHECK(callers.stalled.size() == 8);
    CHECK(budget.totals().refused == 1);
}

TEST_CASE_FIXTURE(budget_fixture,
                  "caller budget: only the reserve is left: a connection that "
                  "holds little keeps it, a large one doesn't")
{
    for (int i = 0; i < 7; ++i)
    {
        callers.open(now);
    }
    budget.charge(small_bytes);
    CHECK(budget.make_room(small_bytes, now));
    CHECK(!budget.make_room(large_bytes, now));
}

TEST_CASE_FIXTURE(budget_fixture,
                  "caller budget: one request alone over the bound: it is "
                  "kept, and ordinary ones have the reserve beside it")
{
    budget.charge(20 * one_mebibyte);
    CHECK(budget.make_room(20 * one_mebibyte, now));
    budget.charge(small_bytes);
    CHECK(budget.make_room(small_bytes, now));
    budget.charge(large_bytes);
    CHECK(!budget.make_room(large_bytes, now));
    budget.charge(-20 * one_mebibyte);
    for (int i = 0; i < 8; ++i)
    {
        budget.charge(large_bytes);
    }
    CHECK(!budget.make_room(small_bytes, now));
}

TEST_CASE_FIXTURE(budget_fixture,
                  "caller budget: no connection is free: the one without "
                  "progress for longest is closed")
{
    callers.in_hand = 6;
    callers.open(now);
    metrics.open(now - milliseconds(1));
    CHECK(budget.make_connection_room(now));
    CHECK(metrics.stalled.empty());
    CHECK(budget.totals().released_for_connections == 1);
}

TEST_CASE_FIXTURE(budget_fixture,
                  "caller budget: all connections have requests in hand: "
                  "there is no room for a new one")
{
    callers.in_hand = 8;
    CHECK(!budget.make_connection_room(now));
}

TEST_CASE_FIXTURE(budget_fixture,
                  "caller budget: upstream connections take the rest of the "
                  "descriptors: requests have no room, and none goes ahead")
{
    callers.in_hand = 6;
    CHECK(budget.has_upstream_room(true));
    CHECK(!budget.is_scarce());
    upstreams = 2;
    CHECK(!budget.has_upstream_room(true));
    CHECK(budget.has_upstream_room(false));
    upstreams = 4;
    CHECK(!budget.has_upstream_room(false));
    CHECK(budget.is_scarce());
}

TEST_CASE("caller share: memory and descriptors of the users' VMs: a quarter "
          "and half")
{
    auto const smallest = caller_share_of(112 * one_mebibyte, 2870);
    CHECK(smallest.memory_bytes == 28 * one_mebibyte);
    CHECK(smallest.connections == 1435);
    // No more than what callers had before there were these settings.
    CHECK(caller_share_of(4096 * one_mebibyte, 0).memory_bytes ==
          64 * one_mebibyte);
    CHECK(caller_share_of(0, 0).memory_bytes == 64 * one_mebibyte);
}
