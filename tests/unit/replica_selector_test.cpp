#include "verbenacove/process/discovery/replica_selector.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace verbenacove;

namespace
{

struct selector_fixture
{
    socket_address address(int number) const
    {
        return *parse_socket_address(
            QStringLiteral("10.0.0.%1:7000").arg(number));
    }

    void add(int number, char const* region, char const* zone,
             qint64 sequence = 1)
    {
        replica_member record;
        record.id = address(number).text();
        record.started = incarnation(1);
        record.sequence = sequence;
        record.phase = member_phase::serving;
        record.content = {address(number), zone_name(QString::fromLatin1(zone)),
                          region_name(QString::fromLatin1(region))};
        record.last_heartbeat = clock.now();
        membership.apply_heartbeat(std::move(record));
    }

    /** Adds four replicas of the local region and four of another one. */
    void add_two_regions()
    {
        for (int number = 1; number <= 4; ++number)
        {
            add(number, "gauteng", number <= 2 ? "gauteng-a" : "gauteng-b");
            add(number + 4, "wcape", "wcape-a");
        }
    }

    manual_clock_source clock;
    membership_view membership{1,
                               failure_detector::self,
                               clock,
                               {[](upstream_member const&) {},
                                [](entry_member const&) {},
                                [](replica_member const&) {
                                }}};
    replica_selector selector{{region_name(QStringLiteral("gauteng")),
                               zone_name(QStringLiteral("gauteng-a"))},
                              1};
};

} // namespace

TEST_CASE_FIXTURE(selector_fixture,
                  "replica selection: all respond: one of the local zone")
{
    add_two_regions();
    auto const chosen = selector.choose(membership, clock.now());
    REQUIRE(chosen);
    CHECK(selector.distance_of(*chosen, membership) == 0);
    CHECK(!selector.has_nearer(*chosen, membership, clock.now()));
    CHECK(selector.has_nearer(address(5), membership, clock.now()));
}

TEST_CASE_FIXTURE(selector_fixture,
                  "replica selection: near ones fail slowly: distant ones "
                  "precede any retry")
{
    add_two_regions();
    std::set<QString> near;
    for (int attempt = 0; attempt < 4; ++attempt)
    {
        auto const chosen = selector.choose(membership, clock.now());
        REQUIRE(chosen);
        CHECK(near.insert(chosen->text()).second);
        clock.advance(milliseconds(750));
        selector.record_failure(*chosen, clock.now());
    }
    auto const far = selector.choose(membership, clock.now());
    REQUIRE(far);
    CHECK(selector.distance_of(*far, membership) == 2);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "replica selection: all fail: earliest failure retried first")
{
    add_two_regions();
    for (int number = 1; number <= 8; ++number)
    {
        selector.record_failure(address(number), clock.now());
        clock.advance(milliseconds(100));
    }
    CHECK(selector.choose(membership, clock.now()) == address(1));
    selector.record_failure(address(1), clock.now());
    CHECK(selector.choose(membership, clock.now()) == address(2));
}

TEST_CASE_FIXTURE(
    selector_fixture,
    "replica selection: near one failed: used again after a while")
{
    add(1, "gauteng", "gauteng-a");
    add(5, "wcape", "wcape-a");
    selector.record_failure(address(1), clock.now());
    CHECK(selector.choose(membership, clock.now()) == address(5));
    CHECK(!selector.has_nearer(address(5), membership, clock.now()));
    clock.advance(replica_selector::failure_retention + milliseconds(1));
    CHECK(selector.has_nearer(address(5), membership, clock.now()));
    CHECK(selector.choose(membership, clock.now()) == address(1));
}

TEST_CASE_FIXTURE(selector_fixture,
                  "replica selection: no replica known: none without a seed")
{
    CHECK(!selector.choose(membership, clock.now()));
    selector.set_seeds({address(9)});
    CHECK(selector.choose(membership, clock.now()) == address(9));
}

// Entries tried machines that had been replaced long ago, one after the other,
// while those that had just elected a leader waited for their turn.
TEST_CASE_FIXTURE(
    selector_fixture,
    "replica selection: no leader for a moment, and replicas that "
    "are gone: those that respond are read again first")
{
    for (int gone = 5; gone <= 8; ++gone)
    {
        add(gone, "gauteng", "gauteng-a");
    }
    clock.advance(std::chrono::seconds(4));
    membership.expire();
    for (int live = 1; live <= 4; ++live)
    {
        add(live, "wcape", "wcape-a");
    }
    constexpr milliseconds election{600};
    auto const begin = clock.now();
    while (elapsed(begin, clock.now()) < election)
    {
        auto const chosen = selector.choose(membership, clock.now());
        REQUIRE(chosen);
        CHECK(selector.distance_of(*chosen, membership) == 2);
        clock.advance(milliseconds(80));
        selector.record_failure(*chosen, clock.now());
    }
    CHECK(selector.distance_of(*selector.choose(membership, clock.now()),
                               membership) == 2);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "replica selection: those that respond have no leader for "
                  "long: silent ones are tried in turn")
{
    for (int silent = 5; silent <= 8; ++silent)
    {
        add(silent, "gauteng", "gauteng-a");
    }
    clock.advance(std::chrono::seconds(4));
    membership.expire();
    add(1, "wcape", "wcape-a");
    std::set<QString> tried;
    constexpr int rounds = 100;
    for (int round = 0; round < rounds; ++round)
    {
        auto const chosen = selector.choose(membership, clock.now());
        REQUIRE(chosen);
        tried.insert(chosen->text());
        clock.advance(milliseconds(80));
        selector.record_failure(*chosen, clock.now());
    }
    CHECK(tried.size() == 5);
}
