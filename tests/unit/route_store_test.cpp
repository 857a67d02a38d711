#include "verbenacove/version/route_store.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace verbenacove;

namespace
{

routed_service service_named(char const* name)
{
    routed_service service;
    service.name = service_name(QString::fromLatin1(name));
    service.warmup_per_second = 5;
    return service;
}

route_record route_named(char const* name, char const* prefix)
{
    route_record route;
    route.name = QString::fromLatin1(name);
    route.host = QStringLiteral("grades.example");
    route.path_prefix = QString::fromLatin1(prefix);
    route.is_idempotent = true;
    route.split = {{service_name(QStringLiteral("gradebook")), 1}};
    route.source[QLatin1String("unknown")] = 7;
    return route;
}

route_change whole_change(qint64 base, qint64 version)
{
    route_change change;
    change.base = route_version(base);
    change.version = route_version(version);
    change.is_whole = true;
    change.routes = {route_named("grades", "/grades/")};
    change.services = {service_named("gradebook")};
    change.signature = "signature of " + QByteArray::number(version);
    return change;
}

struct store_fixture
{
    order_outcome apply(route_change const& change)
    {
        return store.apply(change).outcome;
    }

    route_store store;
};

} // namespace

TEST_CASE_FIXTURE(store_fixture,
                  "route store: a change on the current version: in force")
{
    CHECK(apply(whole_change(0, 3)) == order_outcome::accepted);
    CHECK(store.current()->version == route_version(3));
    CHECK(store.current()->routes.size() == 1);
}

TEST_CASE_FIXTURE(store_fixture,
                  "route store: two changes on one version: one is refused")
{
    apply(whole_change(0, 3));
    CHECK(apply(whole_change(3, 5)) == order_outcome::accepted);
    auto other = whole_change(3, 5);
    other.signature = "another operator's";
    CHECK(apply(other) == order_outcome::conflict);
    CHECK(store.current()->version == route_version(5));
}

TEST_CASE_FIXTURE(store_fixture,
                  "route store: a resend hundreds of changes later: accepted")
{
    apply(whole_change(0, 1));
    auto const first = whole_change(1, 2);
    apply(first);
    for (qint64 version = 3; version < 600; ++version)
    {
        REQUIRE(apply(whole_change(version - 1, version)) ==
                order_outcome::accepted);
    }
    CHECK(apply(first) == order_outcome::accepted);
    CHECK(store.current()->version == route_version(599));
}

TEST_CASE_FIXTURE(store_fixture,
                  "route store: a resend at a restored replica: accepted")
{
    auto const change = whole_change(0, 3);
    apply(change);
    apply(whole_change(3, 4));
    route_store restored;
    REQUIRE(restored.restore(store.snapshot()));
    CHECK(restored.apply(change).outcome == order_outcome::accepted);
    CHECK(restored.current()->version == route_version(4));
    CHECK(restored.revision() == store.revision());
}

TEST_CASE_FIXTURE(store_fixture,
                  "route store: changes that cannot be in force: refused")
{
    apply(whole_change(0, 3));
    auto unknown_service = whole_change(3, 4);
    unknown_service.services.clear();
    CHECK(apply(unknown_service) == order_outcome::invalid);
    auto no_weight = whole_change(3, 4);
    no_weight.routes[0].split[0].weight = 0;
    CHECK(apply(no_weight) == order_outcome::invalid);
    auto no_host = whole_change(3, 4);
    no_host.routes[0].host.clear();
    CHECK(apply(no_host) == order_outcome::invalid);
    auto late_objective = whole_change(3, 4);
    late_objective.routes[0].objective =
        late_objective.routes[0].timeout + milliseconds(60000);
    CHECK(apply(late_objective) == order_outcome::invalid);
    auto same_version = whole_change(3, 3);
    same_version.signature = "another change";
    CHECK(apply(same_version) == order_outcome::invalid);
    CHECK(store.current()->version == route_version(3));
}

TEST_CASE_FIXTURE(store_fixture,
                  "route store: named items change: the others stay")
{
    apply(whole_change(0, 3));
    route_change change;
    change.base = route_version(3);
    change.version = route_version(9);
    change.routes = {route_named("bales", "/bales/")};
    change.signature = "items";
    CHECK(apply(change) == order_outcome::accepted);
    CHECK(store.current()->routes.size() == 2);
    change.base = route_version(9);
    change.version = route_version(10);
    change.routes.clear();
    change.removed_routes = {QStringLiteral("grades")};
    change.signature = "removal";
    CHECK(apply(change) == order_outcome::accepted);
    CHECK(store.current()->routes.keys() ==
          QStringList{QStringLiteral("bales")});
}

TEST_CASE_FIXTURE(store_fixture,
                  "route store: an evacuated zone: kept by a snapshot")
{
    zone_name const zone(QStringLiteral("wcape-a"));
    store.evacuate(zone, true);
    auto const revision = store.revision();
    store.evacuate(zone, true);
    CHECK(store.revision() == revision);
    route_store restored;
    REQUIRE(restored.restore(store.snapshot()));
    CHECK(restored.evacuated().contains(zone));
    restored.evacuate(zone, false);
    CHECK(restored.evacuated().isEmpty());
}

// An order that a cut had held up for seconds ended an evacuation that had been
// acknowledged since.
TEST_CASE_FIXTURE(store_fixture,
                  "route store: an order arrives after its opposite: a "
                  "conflict, also after a snapshot")
{
    zone_name const zone(QStringLiteral("wcape-a"));
    store.evacuate(zone, true);
    auto const seen = store.evacuation_orders();
    store.evacuate(zone, false, seen);
    store.evacuate(zone, true, store.evacuation_orders());
    CHECK(store.evacuate(zone, false, seen).outcome == order_outcome::conflict);
    CHECK(store.evacuated().contains(zone));
    route_store restored;
    REQUIRE(restored.restore(store.snapshot()));
    CHECK(restored.evacuate(zone, false, seen).outcome ==
          order_outcome::conflict);
    CHECK(
        restored.evacuate(zone, false, restored.evacuation_orders()).outcome ==
        order_outcome::accepted);
}

TEST_CASE_FIXTURE(store_fixture,
                  "route store: an order arrives again, or after one for "
                  "another zone: accepted")
{
    zone_name const zone(QStringLiteral("wcape-a"));
    auto const seen = store.evacuation_orders();
    store.evacuate(zone_name(QStringLiteral("ecape-a")), true, seen);
    CHECK(store.evacuate(zone, true, seen).outcome == order_outcome::accepted);
    CHECK(store.evacuate(zone, true, seen).outcome == order_outcome::accepted);
}

TEST_CASE_FIXTURE(store_fixture,
                  "route store: a withdrawal that changes nothing is "
                  "acknowledged: an earlier evacuation order is a conflict")
{
    zone_name const zone(QStringLiteral("wcape-a"));
    auto const seen = store.evacuation_orders();
    CHECK(store.evacuate(zone, false, seen).outcome == order_outcome::accepted);
    CHECK(store.evacuate(zone, true, seen).outcome == order_outcome::conflict);
}

TEST_CASE_FIXTURE(store_fixture,
                  "route store: orders for more zones than are remembered: an "
                  "early order is still a conflict")
{
    zone_name const zone(QStringLiteral("wcape-a"));
    auto const seen = store.evacuation_orders();
    store.evacuate(zone, false, seen);
    for (int number = 0; number < route_store::maximum_ordered_zones; ++number)
    {
        store.evacuate(zone_name(QStringLiteral("z-%1").arg(number)), false);
    }
    CHECK(store.evacuate(zone, true, seen).outcome == order_outcome::conflict);
}

TEST_CASE("route configuration: CBOR and back: source only when asked for")
{
    auto const change = whole_change(0, 3);
    auto const parsed = parse_route_change(to_cbor(change));
    REQUIRE(parsed);
    CHECK(parsed->signature == change.signature);
    CHECK(parsed->routes[0].source == change.routes[0].source);
    auto const configuration = changed({}, change);
    auto const effective = parse_route_configuration(
        to_cbor(configuration, route_detail::effective));
    REQUIRE(effective);
    CHECK(effective->routes[QStringLiteral("grades")].source.isEmpty());
    CHECK(effective->routes[QStringLiteral("grades")].is_idempotent);
    CHECK_FALSE(parse_route_configuration({}));
}

TEST_CASE("route look-up: several prefixes match: the longest wins")
{
    route_configuration configuration;
    for (auto const* prefix : {"/", "/grades/", "/grades/old/"})
    {
        configuration.routes[QString::fromLatin1(prefix)] =
            route_named(prefix, prefix);
    }
    auto const found = [&](char const* host, char const* path)
    {
        auto const* route = find_route(configuration, host, path);
        return route == nullptr ? QStringLiteral("none") : route->name;
    };
    CHECK(found("grades.example", "/grades/7") == QStringLiteral("/grades/"));
    CHECK(found("GRADES.example:80", "/grades/old/7") ==
          QStringLiteral("/grades/old/"));
    CHECK(found("grades.example", "/gradesold") == QStringLiteral("/"));
    CHECK(found("other.example", "/grades/7") == QStringLiteral("none"));
}

TEST_CASE("common homes: routes of a host with and without homes: the regions "
          "that may serve all of them")
{
    auto const homes_of =
        [](std::vector<std::vector<char const*>> const& all_homes)
    {
        route_configuration routes;
        for (auto const& homes : all_homes)
        {
            auto route = route_named("r", "/r/");
            route.name = QString::number(routes.routes.size());
            for (auto const* home : homes)
            {
                route.homes.emplace_back(QString::fromLatin1(home));
            }
            routes.routes[route.name] = route;
        }
        auto elsewhere = route_named("elsewhere", "/r/");
        elsewhere.host = QStringLiteral("lots.example");
        elsewhere.homes = {region_name(QStringLiteral("gauteng"))};
        routes.routes[elsewhere.name] = elsewhere;
        std::set<QString> result;
        for (auto const& home : common_homes(routes, "Grades.example:80"))
        {
            result.insert(home.value());
        }
        return result;
    };
    std::set<QString> const wcape{QStringLiteral("wcape")};
    std::set<QString> const both{QStringLiteral("ecape"),
                                 QStringLiteral("wcape")};
    CHECK(homes_of({{}, {}}).empty());
    CHECK(homes_of({{}, {"wcape"}}) == wcape);
    CHECK(homes_of({{"wcape", "ecape"}, {"wcape"}}) == wcape);
    CHECK(homes_of({{"wcape"}, {"ecape"}}) == both);
}
