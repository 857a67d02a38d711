#include "verbenacove/request/lookup_ranking.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <map>

using namespace verbenacove;

namespace
{

location location_of(char const* region, char const* zone)
{
    return {region_name(QString::fromLatin1(region)),
            zone_name(QString::fromLatin1(zone))};
}

/** Twelve entries, `e0` to `e11`: four in each region, two in each zone. */
struct ranking_fixture
{
    ranking_fixture()
    {
        for (int i = 0; i < 12; ++i)
        {
            entry_view one;
            one.id = id_of(i);
            one.region = region_name(QStringLiteral("r%1").arg(i / 4));
            one.zone = zone_name(QStringLiteral("z%1").arg(i / 2));
            one.headroom = 0.5;
            one.reported_at = clock.now();
            entries.push_back(one);
        }
    }

    static entry_id id_of(int number)
    {
        return entry_id(QStringLiteral("e%1").arg(number));
    }

    std::vector<entry_view> rank(location const& caller, int self = 0)
    {
        return ranking.rank(caller, entries.at(std::size_t(self)), entries);
    }

    bool contains(location const& caller, entry_id const& id, int self = 0)
    {
        auto const order = rank(caller, self);
        return std::any_of(order.begin(), order.end(),
                           [&](entry_view const& one) { return one.id == id; });
    }

    std::map<entry_id, int> count_first(int count, location const& caller)
    {
        std::map<entry_id, int> counts;
        for (int i = 0; i < count; ++i)
        {
            ++counts[rank(caller).front().id];
        }
        return counts;
    }

    manual_clock_source clock;
    lookup_ranking ranking{clock, 7};
    std::vector<entry_view> entries;
};

} // namespace

TEST_CASE_FIXTURE(
    ranking_fixture,
    "ranking: caller with a zone: its zone, then its region, then others")
{
    auto const order = rank(location_of("r1", "z2"));
    REQUIRE(order.size() == lookup_ranking::maximum_results);
    CHECK(order[0].zone == order[1].zone);
    CHECK(order[0].zone.value() == QStringLiteral("z2"));
    CHECK(order[2].zone.value() == QStringLiteral("z3"));
    CHECK(order[4].region.value() != QStringLiteral("r1"));
}

TEST_CASE_FIXTURE(ranking_fixture,
                  "ranking: stopping entry: not returned, not even by itself")
{
    entries[2].is_serving = false;
    for (int i = 0; i < 50; ++i)
    {
        CHECK_FALSE(contains(location_of("r0", "z1"), id_of(2)));
        CHECK_FALSE(contains(location_of("r0", "z1"), id_of(2), 2));
    }
}

TEST_CASE_FIXTURE(ranking_fixture,
                  "ranking: all other reports are stale: returns only itself")
{
    clock.advance(milliseconds(3001));
    auto const order = rank(location_of("r2", "z5"), 3);
    REQUIRE(order.size() == 1);
    CHECK(order.front().id == id_of(3));
}

TEST_CASE_FIXTURE(ranking_fixture,
                  "ranking: equal headroom: first places are spread evenly")
{
    auto const counts = count_first(1000, location_of("r0", "z0"));
    CHECK(counts.size() == 2);
    CHECK(counts.at(id_of(0)) > 400);
    CHECK(counts.at(id_of(1)) > 400);
    CHECK(count_first(2000, {}).size() == 12);
}

TEST_CASE_FIXTURE(ranking_fixture,
                  "ranking: more headroom: in first place more often")
{
    entries[0].headroom = 0.9;
    entries[1].headroom = 0.3;
    auto const counts = count_first(2000, location_of("r0", "z0"));
    CHECK(counts.at(id_of(0)) > 1400);
    CHECK(counts.at(id_of(1)) > 400);
}

TEST_CASE_FIXTURE(ranking_fixture,
                  "ranking: low or non-numeric headroom: comes last")
{
    entries[0].headroom = 0.05;
    entries[1].headroom = std::numeric_limits<double>::quiet_NaN();
    CHECK(rank(location_of("r0", "z0")).front().zone.value() ==
          QStringLiteral("z1"));
    for (std::size_t i = 2; i < entries.size(); ++i)
    {
        entries[i].is_serving = false;
    }
    CHECK(rank(location_of("r0", "z0")).size() == 2);
}
