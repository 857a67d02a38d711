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

namespace
{

route_change change_to(int version, std::vector<team_record> const& teams)
{
    auto change = large_change();
    change.base = route_version(version - 1);
    change.version = route_version(version);
    change.signature = QByteArray::number(version);
    change.routes.resize(2);
    change.teams = teams;
    return change;
}

team_record wool()
{
    team_record team;
    team.name = team_name(QStringLiteral("wool"));
    team.key_digests = {key_digest("k-wool")};
    return team;
}

order_outcome apply(control_state& state, route_change const& change)
{
    auto const result = state.apply(
        control_state::route_command(change, state.used_form()), log_index(1));
    return parse_order_result(result).outcome;
}

void raise_form(control_state& state, control_state::form used)
{
    state.apply(control_state::form_command(used), log_index(1));
}

team_table_state table_of(control_state const& state)
{
    return team_table_of(*state.routes().current());
}

} // namespace

// Replicas of an earlier build would take what is left for a configuration
// that asks for no keys.
TEST_CASE("forms: a change that leaves no team, where there may be one: needs "
          "the form of tables until it is in use")
{
    auto const tables = control_state::form::team_tables;
    auto const needed =
        [](control_state const& state, route_change const& change)
    {
        return state.needed_form(
            control_state::route_command(change, state.used_form()));
    };
    auto empty = change_to(8, {});
    empty.has_team_table = true;
    auto removal = change_to(8, {});
    removal.is_whole = false;
    removal.removed_teams = {QStringLiteral("wool")};
    control_state state;
    raise_form(state, control_state::form::teams);
    CHECK(needed(state, change_to(1, {})) == control_state::form::first);
    CHECK(needed(state, empty) == tables);
    // Perhaps a team comes with the version that it builds on.
    CHECK(needed(state, change_to(8, {})) == tables);
    REQUIRE(apply(state, change_to(1, {})) == order_outcome::accepted);
    auto with_team = change_to(2, {wool()});
    with_team.version = route_version(7);
    REQUIRE(apply(state, with_team) == order_outcome::accepted);
    for (auto const& change : {empty, removal, change_to(8, {})})
    {
        CHECK(needed(state, change) == tables);
    }
    CHECK(needed(state, change_to(8, {wool()})) == control_state::form::teams);
    CHECK(needed(state, change_to(3, {})) == control_state::form::first);
    raise_form(state, tables);
    CHECK(needed(state, removal) == control_state::form::first);
    CHECK(needed(state, empty) == tables);
}

TEST_CASE("forms: an empty table of teams, and one that was removed: told "
          "apart after a snapshot")
{
    control_state state;
    raise_form(state, control_state::form::latest);
    REQUIRE(apply(state, change_to(1, {})) == order_outcome::accepted);
    CHECK(table_of(state) == team_table_state::never);
    REQUIRE(apply(state, change_to(2, {wool()})) == order_outcome::accepted);
    auto empty = change_to(3, {});
    empty.has_team_table = true;
    REQUIRE(apply(state, empty) == order_outcome::accepted);
    CHECK(table_of(state) == team_table_state::present);
    control_state restored;
    REQUIRE(restored.restore(state.snapshot()));
    CHECK(restored.snapshot() == state.snapshot());
    CHECK(table_of(restored) == team_table_state::present);
    CHECK(restored.routes().current()->teams.isEmpty());
    for (int const version : {4, 5})
    {
        REQUIRE(apply(restored, change_to(version, {})) ==
                order_outcome::accepted);
        CHECK(table_of(restored) == team_table_state::removed);
        REQUIRE(state.restore(restored.snapshot()));
        CHECK(table_of(state) == team_table_state::removed);
    }
    REQUIRE(apply(state, change_to(6, {wool()})) == order_outcome::accepted);
    CHECK(table_of(state) == team_table_state::present);
}

TEST_CASE("forms: the form of tables is raised: replicas that knew of an empty "
          "table and those that did not agree")
{
    control_state knowing;
    raise_form(knowing, control_state::form::teams);
    REQUIRE(apply(knowing, change_to(1, {wool()})) == order_outcome::accepted);
    // From a leader of an earlier build.
    REQUIRE(apply(knowing, change_to(2, {})) == order_outcome::accepted);
    CHECK(table_of(knowing) == team_table_state::removed);
    control_state unknowing;
    raise_form(unknowing, control_state::form::teams);
    REQUIRE(apply(unknowing, change_to(1, {})) == order_outcome::accepted);
    REQUIRE(apply(unknowing, change_to(2, {})) == order_outcome::accepted);
    for (auto* state : {&knowing, &unknowing})
    {
        raise_form(*state, control_state::form::team_tables);
        CHECK(table_of(*state) == team_table_state::never);
    }
}

// Such a reader knows teams, but neither an empty table nor a removed one.
TEST_CASE("forms: an empty table or a removed one, read by an earlier build: a "
          "team without keys, so that no key runs")
{
    for (auto const table :
         {team_table_state::present, team_table_state::removed})
    {
        route_configuration configuration;
        configuration.version = route_version(5);
        configuration.team_table = table;
        auto sent = to_cbor(configuration, route_detail::effective);
        auto const read = parse_route_configuration(sent);
        REQUIRE(read);
        CHECK(read->teams.isEmpty());
        CHECK(team_table_of(*read) == table);
        sent.remove(QLatin1String("team_table"));
        auto const earlier = parse_route_configuration(sent);
        REQUIRE(earlier);
        REQUIRE(earlier->teams.size() == 1);
        CHECK(earlier->teams.first().key_digests.empty());
    }
    CHECK_FALSE(to_cbor(route_configuration(), route_detail::with_source)
                    .contains(QLatin1String("team_table")));
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
