#include "verbenacove/request/region_shift_limit.hpp"
#include "verbenacove/request/routed_pool.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <set>

using namespace verbenacove;

namespace
{

steering_settings at_zone(char const* region, char const* zone)
{
    steering_settings settings;
    settings.region = region_name(QString::fromLatin1(region));
    settings.zone = zone_name(QString::fromLatin1(zone));
    return settings;
}

struct pool_fixture
{
    pool_member member(char const* id, char const* region, char const* zone)
    {
        pool_member result;
        result.id = upstream_id(QString::fromLatin1(id));
        result.started = incarnation(1);
        result.region = region_name(QString::fromLatin1(region));
        result.zone = zone_name(QString::fromLatin1(zone));
        result.slots = slot_count(4);
        return result;
    }

    pool_query query(QByteArray const& key) const
    {
        pool_query result;
        result.affinity_key = key;
        result.objective = milliseconds(500);
        result.objective_left = milliseconds(500);
        result.time_left = milliseconds(3000);
        return result;
    }

    QString choose(pool_query const& requirements)
    {
        auto shortage = pool_shortage::none_known;
        auto const chosen = pool.choose(requirements, shortage);
        if (!chosen)
        {
            return QStringLiteral("none");
        }
        last = *chosen;
        return chosen->member.id.value();
    }

    void finish(upstream_outcome outcome, milliseconds took)
    {
        clock.advance(took);
        pool.finish(last, "key", outcome, std::nullopt, 1000);
    }

    /** Returns the upstreams that this pool and another entry's pool choose for
        an object. */
    std::pair<QString, QString> choose_at_both(upstream_pool& other, int key)
    {
        auto const requirements = query(QByteArray::number(key));
        auto const here = choose(requirements);
        finish(upstream_outcome::inconclusive, milliseconds(0));
        auto shortage = pool_shortage::none_known;
        auto const there = other.choose(requirements, shortage);
        REQUIRE(there);
        other.finish(*there, {}, upstream_outcome::inconclusive, std::nullopt,
                     0);
        return {here, there->member.id.value()};
    }

    /** Sends 60 requests without an object to the upstreams `a` and `b`, which
        respond after the given times. */
    void learn_durations(milliseconds of_a, milliseconds of_b)
    {
        pool.update(
            {member("a", "wcape", "wcape-a"), member("b", "wcape", "wcape-a")},
            1, 1);
        for (int request = 0; request < 60; ++request)
        {
            auto const chosen = choose(query({}));
            clock.advance(chosen == QStringLiteral("a") ? of_a : of_b);
            pool.finish(last, {}, upstream_outcome::success, std::nullopt,
                        1000);
        }
    }

    /** Returns for how many of 100 objects the pool chooses another upstream
        than a new pool without measurements. */
    int moved_objects()
    {
        upstream_pool fresh(at_zone("wcape", "wcape-a"), clock, shift, 5);
        fresh.update(pool.members(), 1, 1);
        int moved = 0;
        for (int key = 0; key < 100; ++key)
        {
            auto const [here, there] = choose_at_both(fresh, key);
            moved += here == there ? 0 : 1;
        }
        return moved;
    }

    manual_clock_source clock;
    region_shift_limit shift{1};
    upstream_pool pool{at_zone("wcape", "wcape-a"), clock, shift, 1};
    pool_choice last;
};

} // namespace

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: same object at two entries: both choose the same upstream")
{
    std::vector<pool_member> const members{member("a", "wcape", "wcape-a"),
                                           member("b", "wcape", "wcape-a"),
                                           member("c", "wcape", "wcape-a")};
    upstream_pool other(at_zone("wcape", "wcape-a"), clock, shift, 99);
    pool.update(members, 1, 1);
    other.update(members, 1, 1);
    std::map<QString, int> shares;
    for (int key = 0; key < 60; ++key)
    {
        auto const [here, there] = choose_at_both(other, key);
        CHECK(there == here);
        ++shares[here];
    }
    CHECK(shares.size() == 3);
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: entries in two zones: most objects go to the same upstream")
{
    std::vector<pool_member> const members{
        member("a1", "wcape", "wcape-a"), member("a2", "wcape", "wcape-a"),
        member("b1", "wcape", "wcape-b"), member("b2", "wcape", "wcape-b")};
    upstream_pool other(at_zone("wcape", "wcape-b"), clock, shift, 99);
    pool.update(members, 2, 2);
    other.update(members, 2, 2);
    int matching = 0;
    for (int key = 0; key < 100; ++key)
    {
        auto const [here, there] = choose_at_both(other, key);
        matching += there == here ? 1 : 0;
    }
    CHECK(matching > 50);
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: one upstream slightly slower: no object moves")
{
    learn_durations(milliseconds(250), milliseconds(310));
    CHECK(moved_objects() == 0);
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: one upstream fails a few requests: objects move away")
{
    learn_durations(milliseconds(250), milliseconds(250));
    int failures = 0;
    while (failures < 2)
    {
        bool const is_b = choose(query({})) == QStringLiteral("b");
        failures += is_b ? 1 : 0;
        finish(is_b ? upstream_outcome::failure
                    : upstream_outcome::inconclusive,
               milliseconds(5));
    }
    CHECK(moved_objects() > 10);
}

TEST_CASE_FIXTURE(pool_fixture,
                  "upstream pool: one upstream much slower: objects move away")
{
    learn_durations(milliseconds(200), milliseconds(2000));
    CHECK(moved_objects() > 10);
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: free slots in the zone: requests stay in the zone")
{
    pool.update(
        {member("near", "wcape", "wcape-a"), member("far", "ecape", "ecape-a")},
        1, 1);
    for (int key = 0; key < 50; ++key)
    {
        CHECK(choose(query(QByteArray::number(key))) == QStringLiteral("near"));
        finish(upstream_outcome::success, milliseconds(100));
    }
}

TEST_CASE_FIXTURE(pool_fixture,
                  "upstream pool: zone is full: other regions are used too")
{
    pool.update(
        {member("near", "wcape", "wcape-a"), member("far", "ecape", "ecape-a")},
        1, 1);
    std::set<QString> used;
    for (int request = 0; request < 24; ++request)
    {
        used.insert(choose(query(QByteArray::number(request))));
    }
    CHECK(used ==
          std::set<QString>{QStringLiteral("far"), QStringLiteral("near")});
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: only other regions allowed: local zone is not used")
{
    pool.update(
        {member("near", "wcape", "wcape-a"), member("far", "ecape", "ecape-a")},
        1, 1);
    auto requirements = query("key");
    requirements.homes = {region_name(QStringLiteral("ecape"))};
    CHECK(choose(requirements) == QStringLiteral("far"));
    requirements.homes = {region_name(QStringLiteral("gauteng"))};
    CHECK(choose(requirements) == QStringLiteral("none"));
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: connection lost: upstream is ejected, then probed")
{
    pool.update({member("a", "wcape", "wcape-a")}, 1, 1);
    CHECK(choose(query("key")) == QStringLiteral("a"));
    finish(upstream_outcome::connection_lost, milliseconds(5));
    CHECK(choose(query("key")) == QStringLiteral("none"));
    CHECK(pool.start_due_probes().empty());
    clock.advance(std::chrono::seconds(2));
    CHECK(pool.start_due_probes().size() == 1);
    CHECK(pool.start_due_probes().empty());
    pool.handle_probe_result(upstream_id(QStringLiteral("a")), true);
    CHECK(choose(query("key")) == QStringLiteral("a"));
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: probe succeeded, no request since: no further probe")
{
    pool.update({member("a", "wcape", "wcape-a")}, 1, 1);
    choose(query("key"));
    finish(upstream_outcome::connection_lost, milliseconds(5));
    clock.advance(std::chrono::seconds(2));
    REQUIRE(pool.start_due_probes().size() == 1);
    pool.handle_probe_result(upstream_id(QStringLiteral("a")), true);
    clock.advance(std::chrono::seconds(5));
    CHECK(pool.start_due_probes().empty());
    choose(query("key"));
    finish(upstream_outcome::connection_lost, milliseconds(5));
    clock.advance(std::chrono::seconds(5));
    CHECK(pool.start_due_probes().size() == 1);
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: requests fail without a lost connection: no probe")
{
    pool.update({member("a", "wcape", "wcape-a")}, 1, 1);
    for (int i = 0; i < 6 && choose(query("key")) == QStringLiteral("a"); ++i)
    {
        finish(upstream_outcome::failure, milliseconds(5));
    }
    REQUIRE(choose(query("key")) == QStringLiteral("none"));
    for (int i = 0; i < 20; ++i)
    {
        clock.advance(milliseconds(500));
        CHECK(pool.start_due_probes().empty());
    }
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: new incarnation: earlier failures are not counted")
{
    auto upstream = member("a", "wcape", "wcape-a");
    pool.update({upstream}, 1, 1);
    choose(query("key"));
    finish(upstream_outcome::connection_lost, milliseconds(5));
    upstream.started = incarnation(2);
    pool.update({upstream}, 1, 1);
    CHECK(choose(query("key")) == QStringLiteral("a"));
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: new incarnation: earlier one is reported as ended")
{
    auto upstream = member("a", "wcape", "wcape-a");
    CHECK(pool.update({upstream}, 1, 1).empty());
    CHECK(pool.update({}, 1, 1).empty());
    upstream.started = incarnation(2);
    auto const ended = pool.update({upstream}, 1, 1);
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().id == upstream.id);
    CHECK(ended.front().started == incarnation(1));
    CHECK(pool.update({upstream}, 1, 1).empty());
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "upstream pool: probe reports a cold start: no requests until warm")
{
    auto const upstream = member("a", "wcape", "wcape-a");
    pool.update({upstream}, 1, 1);
    choose(query("key"));
    finish(upstream_outcome::connection_lost, milliseconds(5));
    clock.advance(std::chrono::seconds(2));
    REQUIRE(pool.start_due_probes().size() == 1);
    pool.handle_probe_result(upstream.id, true, milliseconds(1500));
    CHECK(choose(query("key")) == QStringLiteral("none"));
    pool.update({upstream}, 1, 1);
    CHECK(choose(query("key")) == QStringLiteral("none"));
    clock.advance(milliseconds(1501));
    CHECK(choose(query("key")) == QStringLiteral("a"));
}

TEST_CASE_FIXTURE(
    pool_fixture,
    "routed pool: number of entries grows: retries are divided among them")
{
    auto settings = at_zone("wcape", "wcape-a");
    settings.retry_slack = 100;
    routed_pool routed(service_name(QStringLiteral("gradebook")), settings,
                       clock, shift, 1);
    routed.update({}, 1, 1);
    CHECK(routed.retries.retries_left() == 60);
    routed.update({}, 1, 20);
    CHECK(routed.retries.retries_left() == 3);
}

TEST_CASE_FIXTURE(pool_fixture, "upstream pool: cold upstream: only an entry "
                                "with a cold rate sends, at that rate")
{
    auto upstream = member("a", "wcape", "wcape-a");
    upstream.cold_until = clock.now() + std::chrono::seconds(10);
    pool.update({upstream}, 1, 1);
    CHECK(choose(query("key")) == QStringLiteral("none"));
    upstream.cold_rate = 5;
    pool.update({upstream}, 1, 1);
    int sent = 0;
    for (int tick = 0; tick < 100; ++tick)
    {
        if (choose(query("key")) == QStringLiteral("a"))
        {
            ++sent;
            finish(upstream_outcome::success, milliseconds(0));
        }
        clock.advance(milliseconds(10));
    }
    CHECK(sent == 5);
}

TEST_CASE_FIXTURE(pool_fixture,
                  "upstream pool: a refusal asks for a pause: nothing is sent "
                  "until it ends, also no probe")
{
    pool.update({member("a", "wcape", "wcape-a")}, 1, 1);
    REQUIRE(choose(query("key")) == QStringLiteral("a"));
    finish(upstream_outcome::full, milliseconds(10));
    pool.pause(last.member, milliseconds(3000));
    pool.pause(last.member, milliseconds(1000));
    for (int tick = 0; tick < 29; ++tick)
    {
        clock.advance(milliseconds(100));
        CHECK(choose(query("key")) == QStringLiteral("none"));
        CHECK(pool.start_due_probes().empty());
    }
    clock.advance(milliseconds(100));
    CHECK(choose(query("key")) == QStringLiteral("a"));
}

TEST_CASE_FIXTURE(pool_fixture,
                  "upstream pool: a new incarnation after a pause: it gets "
                  "requests at once")
{
    auto upstream = member("a", "wcape", "wcape-a");
    pool.update({upstream}, 1, 1);
    REQUIRE(choose(query("key")) == QStringLiteral("a"));
    auto const former = last.member;
    pool.pause(former, milliseconds(3000));
    upstream.started = incarnation(2);
    pool.update({upstream}, 1, 1);
    CHECK(choose(query("key")) == QStringLiteral("a"));
    finish(upstream_outcome::success, milliseconds(10));
    pool.pause(former, milliseconds(3000));
    CHECK(choose(query("key")) == QStringLiteral("a"));
}

TEST_CASE_FIXTURE(pool_fixture,
                  "upstream pool: an upstream says that it leaves: nothing is "
                  "sent, also when it is listed again")
{
    auto upstream = member("a", "wcape", "wcape-a");
    pool.update({upstream}, 1, 1);
    REQUIRE(choose(query("key")) == QStringLiteral("a"));
    CHECK(pool.mark_leaving(last.member));
    CHECK_FALSE(pool.mark_leaving(last.member));
    finish(upstream_outcome::success, milliseconds(10));
    CHECK(choose(query("key")) == QStringLiteral("none"));
    pool.update({}, 1, 1);
    pool.update({upstream}, 1, 1);
    CHECK(choose(query("key")) == QStringLiteral("none"));
    upstream.started = incarnation(2);
    pool.update({upstream}, 1, 1);
    CHECK(choose(query("key")) == QStringLiteral("a"));
}

TEST_CASE_FIXTURE(pool_fixture,
                  "upstream pool: no response possible in time: none is chosen")
{
    pool.update({member("a", "wcape", "wcape-a")}, 1, 1);
    auto requirements = query("key");
    requirements.time_left = milliseconds(20);
    // A free slot is tried however little time is left; there are four.
    for (int request = 0; request < 4; ++request)
    {
        CHECK(choose(requirements) == QStringLiteral("a"));
    }
    auto shortage = pool_shortage::none_known;
    CHECK_FALSE(pool.choose(requirements, shortage));
    CHECK(shortage == pool_shortage::no_time);
}
