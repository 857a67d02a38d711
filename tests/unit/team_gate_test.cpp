#include "verbenacove/process/metrics.hpp"
#include "verbenacove/request/team_gate.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

std::vector<region_name> regions(std::vector<char const*> const& names)
{
    std::vector<region_name> result;
    for (auto const* name : names)
    {
        result.emplace_back(QString::fromLatin1(name));
    }
    return result;
}

/** Two teams, one of them with homes, and a route. */
struct gate_fixture
{
    gate_fixture()
    {
        add("wool", "k-wool", {});
        add("silk", "k-silk", {"casa", "porto"});
        route.priority = 3;
        gate.set_configuration(configuration);
    }

    void add(char const* name, QByteArray const& key,
             std::vector<char const*> const& homes)
    {
        team_record team;
        team.name = team_name(QString::fromLatin1(name));
        team.key_digests = {key_digest(key)};
        team.homes = regions(homes);
        configuration.teams[team.name.value()] = team;
    }

    team_gate::decision decide(std::vector<http_header> const& headers) const
    {
        http_request request;
        request.headers = headers;
        return gate.decide(request, route);
    }

    int status_of(std::vector<http_header> const& headers) const
    {
        auto const decision = decide(headers);
        return decision.refused ? decision.refused->status : 0;
    }

    route_configuration configuration;
    route_record route;
    team_gate gate;
};

http_header const wool{"Authorization", "Bearer k-wool"};
http_header const silk{"Authorization", "Bearer k-silk"};
http_header const other{"Authorization", "Bearer k-other"};

} // namespace

TEST_CASE_FIXTURE(gate_fixture,
                  "team gate: known, unknown and missing keys: the team or 401")
{
    auto const decision = decide({wool});
    CHECK_FALSE(decision.refused);
    REQUIRE(decision.team != nullptr);
    CHECK(decision.team->name.value() == QStringLiteral("wool"));
    CHECK(status_of({other}) == 401);
    CHECK(status_of({}) == 401);
    CHECK(status_of({wool, wool}) == 401);
    CHECK(status_of({{"Authorization", "Basic k-wool"}}) == 401);
}

TEST_CASE_FIXTURE(gate_fixture,
                  "team gate: a public route: runs with any key, for no team")
{
    route.is_public = true;
    for (auto const& headers : std::vector<std::vector<http_header>>{
             {}, {wool}, {other}, {other, other}})
    {
        auto const decision = decide(headers);
        CHECK_FALSE(decision.refused);
        CHECK(decision.team == nullptr);
    }
}

TEST_CASE_FIXTURE(gate_fixture,
                  "team gate: a configuration without teams: runs with any key")
{
    gate.set_configuration({});
    CHECK_FALSE(gate.uses_keys());
    CHECK(status_of({}) == 0);
    CHECK(status_of({other, other}) == 0);
}

// The last key's withdrawal opened all routes.
TEST_CASE_FIXTURE(gate_fixture,
                  "team gate: a table with nobody in it: each request needs a "
                  "key, and none is known")
{
    configuration.teams.clear();
    configuration.team_table = team_table_state::present;
    gate.set_configuration(configuration);
    CHECK(gate.uses_keys());
    for (auto const& headers : std::vector<std::vector<http_header>>{
             {}, {wool}, {other}, {wool, other}})
    {
        CHECK(status_of(headers) == 401);
    }
    route.is_public = true;
    CHECK(status_of({wool}) == 0);
}

TEST_CASE_FIXTURE(gate_fixture,
                  "team gate: the table was removed: no key is known, and "
                  "requests need none")
{
    configuration.teams.clear();
    configuration.team_table = team_table_state::removed;
    gate.set_configuration(configuration);
    CHECK(gate.uses_keys());
    CHECK(status_of({}) == 0);
    for (auto const& headers : std::vector<std::vector<http_header>>{
             {wool},
             {other},
             {wool, other},
             {{"authorization", "Basic k-wool"}}})
    {
        CHECK(status_of(headers) == 401);
    }
    route.is_public = true;
    CHECK(status_of({wool}) == 0);
}

TEST_CASE_FIXTURE(gate_fixture,
                  "team gate: a key is taken away: 401 from then on")
{
    CHECK(status_of({wool}) == 0);
    configuration.teams[QStringLiteral("wool")].key_digests = {
        key_digest("k-new")};
    gate.set_configuration(configuration);
    CHECK(status_of({wool}) == 401);
    CHECK(status_of({{"Authorization", "Bearer k-new"}}) == 0);
}

TEST_CASE_FIXTURE(gate_fixture, "team gate: homes of team and route: both bind")
{
    auto const& team = configuration.teams[QStringLiteral("silk")];
    CHECK(team_gate::route_for(team, route).homes ==
          regions({"casa", "porto"}));
    route.homes = regions({"lisboa", "porto"});
    CHECK(status_of({silk}) == 0);
    CHECK(team_gate::route_for(team, route).homes == regions({"porto"}));
    CHECK(
        team_gate::route_for(configuration.teams[QStringLiteral("wool")], route)
            .homes == route.homes);
    route.homes = regions({"lisboa"});
    CHECK(status_of({silk}) == 503);
    CHECK(status_of({wool}) == 0);
}

TEST_CASE_FIXTURE(gate_fixture,
                  "team gate: a team with a rank: it goes before the route's")
{
    auto& team = configuration.teams[QStringLiteral("wool")];
    CHECK(team_gate::route_for(team, route).priority == 3);
    team.priority = 0;
    CHECK(team_gate::route_for(team, route).priority == 0);
    team.priority = 9;
    CHECK(team_gate::route_for(team, route).priority == 9);
}

TEST_CASE("team gate: refusals: counted by reason, and not there without any")
{
    entry_metrics metrics;
    QByteArray const name = "verbenacove_entry_key_refusals_total";
    CHECK_FALSE(metrics.text().contains(name));
    metrics.count_key_refusal("no-key");
    metrics.count_key_refusal("unknown-key");
    metrics.count_key_refusal("unknown-key");
    CHECK(metrics.text().contains(name + "{reason=\"no-key\"} 1"));
    CHECK(metrics.text().contains(name + "{reason=\"unknown-key\"} 2"));
}
