#include "verbenacove/request/entry_lookup.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace verbenacove;

namespace
{

constexpr std::size_t maximum_count = 64;

struct entry_lookup_fixture
{
    void add(char const* zone, char const* region, int count)
    {
        for (int i = 0; i < count; ++i)
        {
            entry_view entry;
            entry.id = entry_id(QString::number(entries.size()));
            entry.zone = zone_name(QString::fromLatin1(zone));
            entry.region = region_name(QString::fromLatin1(region));
            entries.push_back(entry);
        }
    }

    /** Cuts off this many entries of a zone. */
    void cut_off(char const* zone, int count)
    {
        for (auto& entry : entries)
        {
            if (count > 0 && entry.zone.value() == QLatin1String(zone))
            {
                entry.reaches_upstreams = false;
                --count;
            }
        }
    }

    std::size_t found(char const* zone = "wcape-a") const
    {
        location const caller{region_name(QStringLiteral("wcape")),
                              zone_name(QString::fromLatin1(zone))};
        return nearest_entries(caller, entries, maximum_count).size();
    }

    /** Returns the regions of the entries for a caller in wcape-a whose
        requests may be served in some regions only. */
    std::set<QString> found_regions(char const* home) const
    {
        location const caller{region_name(QStringLiteral("wcape")),
                              zone_name(QStringLiteral("wcape-a"))};
        std::set<QString> result;
        for (auto const& entry :
             nearest_entries(caller, entries, maximum_count,
                             {region_name(QString::fromLatin1(home))}))
        {
            result.insert(entry.region.value());
        }
        return result;
    }

    std::vector<entry_view> entries;
};

} // namespace

TEST_CASE_FIXTURE(entry_lookup_fixture,
                  "entry look-up: all zones are whole: entries of the zone")
{
    add("wcape-a", "wcape", 2);
    add("wcape-b", "wcape", 2);
    add("ecape-a", "ecape", 2);
    CHECK(found() == 2);
}

TEST_CASE_FIXTURE(entry_lookup_fixture,
                  "entry look-up: one entry of a zone is left: callers are "
                  "spread over the region")
{
    add("wcape-a", "wcape", 1);
    add("wcape-b", "wcape", 11);
    add("ecape-a", "ecape", 12);
    CHECK(found() == 12);
    CHECK(found("wcape-b") == 11);
}

TEST_CASE_FIXTURE(entry_lookup_fixture,
                  "entry look-up: half of a zone's entries are left: entries "
                  "of the zone")
{
    add("wcape-a", "wcape", 1);
    add("wcape-b", "wcape", 2);
    add("ecape-a", "ecape", 2);
    CHECK(found() == 1);
}

TEST_CASE(
    "entry look-up: no entry in the zone: entries of the region are returned")
{
    entry_view near;
    near.id = entry_id(QStringLiteral("near"));
    near.zone = zone_name(QStringLiteral("wcape-b"));
    near.region = region_name(QStringLiteral("wcape"));
    entry_view far = near;
    far.id = entry_id(QStringLiteral("far"));
    far.region = region_name(QStringLiteral("ecape"));
    far.zone = zone_name(QStringLiteral("ecape-a"));
    location const caller{region_name(QStringLiteral("wcape")),
                          zone_name(QStringLiteral("wcape-a"))};
    auto const found = nearest_entries(caller, {far, near}, 64);
    REQUIRE(found.size() == 1);
    CHECK(found[0].id == near.id);
    CHECK(nearest_entries(caller, {far}, 64).size() == 1);
    CHECK(nearest_entries(caller, {}, 64).empty());
}

TEST_CASE_FIXTURE(entry_lookup_fixture,
                  "entry look-up: half of a zone's entries are cut off: the "
                  "other half")
{
    add("wcape-a", "wcape", 12);
    add("wcape-b", "wcape", 12);
    add("ecape-a", "ecape", 12);
    cut_off("wcape-a", 6);
    CHECK(found() == 6);
    CHECK(found("wcape-b") == 12);
}

TEST_CASE_FIXTURE(
    entry_lookup_fixture,
    "entry look-up: most of a zone's entries are cut off: callers "
    "are spread until enough entries carry them")
{
    add("wcape-a", "wcape", 12);
    add("wcape-b", "wcape", 12);
    add("ecape-a", "ecape", 24);
    cut_off("wcape-a", 9);
    CHECK(found() == 15);
    cut_off("wcape-a", 12);
    CHECK(found() == 12);
    cut_off("wcape-b", 4);
    CHECK(found() == 32);
    CHECK(found("wcape-b") == 8);
}

// Load pattern: most entries are cut off, unevenly. Callers of the zone of
// which most are left also got those of zones of which fewer were.
TEST_CASE_FIXTURE(entry_lookup_fixture,
                  "entry look-up: most entries of each scope are cut off: all "
                  "callers are spread over all that are left")
{
    add("wcape-a", "wcape", 9);
    add("wcape-b", "wcape", 9);
    add("ecape-a", "ecape", 9);
    cut_off("wcape-a", 5);
    cut_off("wcape-b", 7);
    cut_off("ecape-a", 6);
    CHECK(found() == 9);
    CHECK(found("wcape-b") == 9);
}

TEST_CASE_FIXTURE(
    entry_lookup_fixture,
    "entry look-up: all entries are cut off: they are returned all "
    "the same")
{
    add("wcape-a", "wcape", 3);
    cut_off("wcape-a", 3);
    CHECK(found() == 3);
}

// Callers were sent to regions that may not serve their requests.
TEST_CASE_FIXTURE(entry_lookup_fixture,
                  "entry look-up: the caller's region is cut off or gone: its "
                  "callers are sent to homes of their requests only")
{
    add("wcape-a", "wcape", 3);
    add("gauteng-a", "gauteng", 3);
    add("ecape-a", "ecape", 3);
    CHECK(found_regions("ecape") == std::set<QString>{QStringLiteral("wcape")});
    cut_off("wcape-a", 3);
    CHECK(found_regions("ecape") == std::set<QString>{QStringLiteral("ecape")});
    CHECK(found_regions("wcape") == std::set<QString>{QStringLiteral("wcape")});
    entries.erase(entries.begin(), entries.begin() + 3);
    CHECK(found_regions("ecape") == std::set<QString>{QStringLiteral("ecape")});
    CHECK(
        found_regions("wcape") ==
        std::set<QString>{QStringLiteral("ecape"), QStringLiteral("gauteng")});
}
