#include "verbenacove/teams/bearer_key.hpp"
#include "verbenacove/teams/key_table.hpp"

#include <doctest/doctest.h>

#include <QCborArray>

#include <string>

using namespace verbenacove;

namespace
{

using state = bearer_key::state;

team_record team_with(char const* name, std::vector<QByteArray> const& keys)
{
    team_record team;
    team.name = team_name(QString::fromLatin1(name));
    for (auto const& key : keys)
    {
        team.key_digests.push_back(key_digest(key));
    }
    return team;
}

QMap<QString, team_record> table_of(std::vector<team_record> const& teams)
{
    QMap<QString, team_record> result;
    for (auto const& team : teams)
    {
        result[team.name.value()] = team;
    }
    return result;
}

} // namespace

TEST_CASE("teams: Authorization headers: read, or refused")
{
    struct header_case
    {
        std::vector<http_header> headers;
        state found;
        QByteArray key;
    };
    QByteArray const longest(longest_key, 'k');
    std::vector<header_case> const cases{
        {{}, state::missing, {}},
        {{{"X-Authorization", "Bearer k1"}}, state::missing, {}},
        {{{"Authorization", "Bearer k1"}}, state::present, "k1"},
        {{{"authorization", "bearer k1"}}, state::present, "k1"},
        {{{"AUTHORIZATION", "BEARER k1"}}, state::present, "k1"},
        {{{"Authorization", "  Bearer   k1  "}}, state::present, "k1"},
        {{{"Authorization", "Bearer K1"}}, state::present, "K1"},
        {{{"Authorization", "Bearer a.b-c_d~e+f/g=="}},
         state::present,
         "a.b-c_d~e+f/g=="},
        {{{"Authorization", "Bearer " + longest}}, state::present, longest},
        {{{"Authorization", "Bearer " + longest + 'k'}}, state::unreadable, {}},
        {{{"Authorization", "Bearer " + QByteArray(1 << 20, 'k')}},
         state::unreadable,
         {}},
        {{{"Authorization", ""}}, state::unreadable, {}},
        {{{"Authorization", "Bearer"}}, state::unreadable, {}},
        {{{"Authorization", "Bearer "}}, state::unreadable, {}},
        {{{"Authorization", "Bearer\tk1"}}, state::unreadable, {}},
        {{{"Authorization", "Bearerk1"}}, state::unreadable, {}},
        {{{"Authorization", "k1"}}, state::unreadable, {}},
        {{{"Authorization", "Basic azE6"}}, state::unreadable, {}},
        {{{"Authorization", "Bearer k1 k2"}}, state::unreadable, {}},
        {{{"Authorization", "Bearer k1, Bearer k1"}}, state::unreadable, {}},
        {{{"Authorization", QByteArray("Bearer k\0001", 10)}},
         state::unreadable,
         {}},
        {{{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k1"}},
         state::unreadable,
         {}},
        {{{"Authorization", "Bearer k1"},
          {"X-Other", "1"},
          {"authorization", "Bearer k2"}},
         state::unreadable,
         {}}};
    for (auto const& each : cases)
    {
        CAPTURE(each.headers.size());
        CAPTURE(each.headers.empty()
                    ? std::string()
                    : each.headers[0].value.left(40).toStdString());
        auto const key = read_bearer_key(each.headers);
        CHECK(key.found == each.found);
        CHECK(key.value == each.key);
    }
}

TEST_CASE("teams: keys of two teams: each finds its holder, others none")
{
    key_table const keys(
        table_of({team_with("wool", {"k-wool-1", "k-wool-2"}),
                  team_with("silk", {"k-silk"}), team_with("none", {})}));
    CHECK(keys.has_teams());
    for (char const* const key : {"k-wool-1", "k-wool-2"})
    {
        REQUIRE(keys.find(key) != nullptr);
        CHECK(keys.find(key)->name.value() == QStringLiteral("wool"));
    }
    REQUIRE(keys.find("k-silk") != nullptr);
    CHECK(keys.find("k-silk")->name.value() == QStringLiteral("silk"));
    for (char const* const key : {"", "k-wool-3", "k-wool-", "K-SILK", "wool"})
    {
        CHECK(keys.find(key) == nullptr);
    }
    CHECK(keys.find(key_digest("k-silk")) == nullptr);
}

TEST_CASE("teams: a table of many keys, copied and moved: each key is found")
{
    constexpr int team_count = 500;
    std::vector<team_record> teams;
    for (int number = 0; number < team_count; ++number)
    {
        auto const text = QByteArray::number(number);
        teams.push_back(team_with(("t" + text).constData(),
                                  {"a-key-" + text, "b-key-" + text}));
    }
    auto records = table_of(teams);
    key_table built(records);
    records.clear();
    auto const copy = built;
    key_table const moved = std::move(built);
    for (int number = 0; number < team_count; ++number)
    {
        auto const text = QByteArray::number(number);
        for (auto const* table : {&copy, &moved})
        {
            for (char const* const prefix : {"a-key-", "b-key-"})
            {
                auto const* const team = table->find(prefix + text);
                REQUIRE(team != nullptr);
                CHECK(team->name.value() ==
                      QLatin1Char('t') + QString::fromLatin1(text));
            }
        }
    }
}

TEST_CASE("teams: no teams: no key has a holder")
{
    key_table const keys;
    CHECK_FALSE(keys.has_teams());
    CHECK(keys.find("k1") == nullptr);
}

TEST_CASE("teams: a team without a name or a key with two holders: invalid, "
          "and the reason holds no key")
{
    CHECK(invalid_teams_reason({}).isEmpty());
    CHECK(invalid_teams_reason(
              table_of({team_with("a", {"k1", "k2"}), team_with("b", {"k3"})}))
              .isEmpty());
    CHECK_FALSE(
        invalid_teams_reason(table_of({team_with("", {"k1"})})).isEmpty());
    CHECK_FALSE(invalid_teams_reason(table_of({team_with("a", {"k1", "k1"})}))
                    .isEmpty());
    auto const reason = invalid_teams_reason(table_of(
        {team_with("a", {"secret-1"}), team_with("b", {"k2", "secret-1"})}));
    CHECK(reason == QStringLiteral("key 1 of team b is also held by a"));
}

TEST_CASE("teams: a record as CBOR: read back, with the operator's text only "
          "for replicas")
{
    auto team = team_with("wool", {"k1", "k2"});
    team.priority = 0;
    team.allowance = {requests_per_second(2.5), 7};
    team.homes = {region_name(QStringLiteral("casa"))};
    team.source[QLatin1String("ApiKeys")] = QCborArray{QStringLiteral("k1")};
    for (bool const has_source : {true, false})
    {
        auto const map = to_cbor(team, has_source);
        auto const read = parse_team(map);
        CHECK(read.name == team.name);
        CHECK(read.key_digests == team.key_digests);
        CHECK(read.priority == team.priority);
        CHECK(read.allowance.rate == team.allowance.rate);
        CHECK(read.allowance.burst == team.allowance.burst);
        CHECK(read.homes == team.homes);
        CHECK(read.source.isEmpty() == !has_source);
    }
    CHECK_FALSE(to_cbor(team, false).toCborValue().toCbor().contains("k1"));
    CHECK_FALSE(parse_team(to_cbor(team_with("x", {}), false)).priority);
}
