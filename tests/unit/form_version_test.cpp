#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/packed_cbor.hpp"
#include "verbenacove/process/control_state.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

constexpr int route_count = 1400;

route_change large_change()
{
    route_change change;
    change.version = route_version(7);
    change.is_whole = true;
    change.signature = "signature";
    routed_service service;
    service.name = service_name(QStringLiteral("grades"));
    change.services.push_back(service);
    for (int number = 0; number < route_count; ++number)
    {
        route_record route;
        route.name = QStringLiteral("r-%1").arg(number);
        route.host = QStringLiteral("g.example");
        route.path_prefix = QStringLiteral("/lots/%1/").arg(number);
        route.split = {{service.name, 1}};
        change.routes.push_back(route);
    }
    return change;
}

bool is_packed(QCborMap const& command)
{
    return command.contains(QLatin1String("packed_route"));
}

} // namespace

// Replicas of an earlier build skipped packed changes, so that their routes
// differed from the others' from then on.
TEST_CASE("forms: a large change before all replicas read packed ones: plain")
{
    control_state state;
    auto const command =
        control_state::route_command(large_change(), state.used_form());
    CHECK_FALSE(is_packed(command));
    CHECK(parse_order_result(state.apply(command, log_index(1))).outcome ==
          order_outcome::accepted);
}

TEST_CASE("forms: the form is raised: large changes are packed, also after a "
          "snapshot")
{
    control_state state;
    state.apply(control_state::form_command(control_state::form::packed_routes),
                log_index(1));
    control_state restored;
    REQUIRE(restored.restore(state.snapshot()));
    auto const command =
        control_state::route_command(large_change(), restored.used_form());
    CHECK(is_packed(command));
    CHECK(parse_order_result(restored.apply(command, log_index(2))).outcome ==
          order_outcome::accepted);
}

TEST_CASE("forms: a packed change from a replica of an earlier build: proposed "
          "in the form in use")
{
    auto const packed = control_state::route_command(
        large_change(), control_state::form::latest);
    auto const plain =
        control_state::in_form(packed, control_state::form::first);
    CHECK_FALSE(is_packed(plain));
    CHECK(plain == control_state::route_command(large_change(),
                                                control_state::form::first));
    CHECK(
        is_packed(control_state::in_form(packed, control_state::form::latest)));
}

TEST_CASE("forms: a replica of an earlier build takes part: evacuation orders "
          "do not name the count of orders")
{
    zone_name const zone(QStringLiteral("wcape-a"));
    auto const counted =
        control_state::evacuation_command(zone, true, order_count(4));
    auto const plain =
        control_state::in_form(counted, control_state::form::packed_routes);
    CHECK_FALSE(control_state::is_uncounted_order(counted));
    CHECK(control_state::is_uncounted_order(plain));
    CHECK(control_state::in_form(counted, control_state::form::latest) ==
          counted);
}

TEST_CASE("forms: the form is raised: replicas that have counted orders and "
          "those that have not agree")
{
    zone_name const zone(QStringLiteral("wcape-a"));
    control_state counting;
    counting.apply(control_state::evacuation_command(zone, true, std::nullopt),
                   log_index(1));
    auto earlier = *parse_cbor_map(counting.snapshot());
    auto routes = cbor_map(earlier, "routes");
    routes.remove(QLatin1String("evacuation_orders"));
    earlier[QLatin1String("routes")] = routes;
    control_state restored;
    REQUIRE(restored.restore(earlier.toCborValue().toCbor()));
    auto const raise_form =
        control_state::form_command(control_state::form::counted_orders);
    counting.apply(raise_form, log_index(2));
    restored.apply(raise_form, log_index(2));
    CHECK(counting.snapshot() == restored.snapshot());
    CHECK(restored.routes().evacuated().contains(zone));
}

TEST_CASE("forms: a change with teams or public routes, packed or not: needs "
          "the form of teams; others need none")
{
    auto const lowest = [](route_change const& change)
    {
        auto const plain = control_state::lowest_form(
            control_state::route_command(change, control_state::form::first));
        CHECK(plain == control_state::lowest_form(control_state::route_command(
                           change, control_state::form::latest)));
        return plain;
    };
    auto const form_of_teams = control_state::form::teams;
    auto change = large_change();
    CHECK(is_packed(
        control_state::route_command(change, control_state::form::latest)));
    CHECK(lowest(change) == control_state::form::first);
    change.routes.back().is_public = true;
    CHECK(lowest(change) == form_of_teams);
    change.routes.back().is_public = false;
    team_record team;
    team.name = team_name(QStringLiteral("wool"));
    change.teams = {team};
    CHECK(lowest(change) == form_of_teams);
    change.routes.clear();
    CHECK(lowest(change) == form_of_teams);
    change.teams.clear();
    change.removed_teams = {QStringLiteral("wool")};
    CHECK(lowest(change) == control_state::form::first);
    CHECK(control_state::lowest_form(control_state::form_command(
              form_of_teams)) == control_state::form::first);
}

TEST_CASE("forms: teams in force: all there after a snapshot")
{
    control_state state;
    state.apply(control_state::form_command(control_state::form::teams),
                log_index(1));
    auto change = large_change();
    for (int number = 0; number < 100; ++number)
    {
        team_record team;
        team.name = team_name(QStringLiteral("t-%1").arg(number));
        team.key_digests = {key_digest("a" + QByteArray::number(number)),
                            key_digest("b" + QByteArray::number(number))};
        change.teams.push_back(team);
    }
    auto const command =
        control_state::route_command(change, state.used_form());
    CHECK(is_packed(command));
    REQUIRE(parse_order_result(state.apply(command, log_index(2))).outcome ==
            order_outcome::accepted);
    control_state restored;
    REQUIRE(restored.restore(state.snapshot()));
    CHECK(restored.snapshot() == state.snapshot());
    CHECK(restored.routes().current()->teams.size() == 100);
}

// Entries get the whole configuration at each change, over narrow links.
TEST_CASE("forms: 100 teams with two keys each beside 1,400 routes: an entry "
          "gets at most 16 KB more")
{
    auto const packed_size = [](int teams)
    {
        auto change = large_change();
        for (int number = 0; number < teams; ++number)
        {
            team_record team;
            team.name = team_name(QStringLiteral("team-%1").arg(number));
            team.key_digests = {key_digest("a" + QByteArray::number(number)),
                                key_digest("b" + QByteArray::number(number))};
            team.allowance = {requests_per_second(number + 0.5), 20};
            change.teams.push_back(team);
        }
        return pack_cbor(to_cbor(changed({}, change), route_detail::effective))
            .size();
    };
    auto const without = packed_size(0);
    auto const with = packed_size(100);
    MESSAGE("packed: ", without, " bytes without teams, ", with, " with");
    CHECK(with - without < 16 * 1024);
}

TEST_CASE("forms: a command or a state of a later build: cannot be read")
{
    control_state state;
    CHECK_FALSE(state.can_apply({{QLatin1String("later"), 1}}));
    CHECK_FALSE(state.can_apply({{QLatin1String("form"), 1000}}));
    CHECK(state.can_apply(
        control_state::form_command(control_state::form::latest)));
    auto later = *parse_cbor_map(state.snapshot());
    later[QLatin1String("form")] = 1000;
    CHECK_FALSE(state.restore(later.toCborValue().toCbor()));
    later.remove(QLatin1String("form"));
    CHECK(state.restore(later.toCborValue().toCbor()));
    CHECK(state.used_form() == control_state::form::first);
}
