#include "platform_dialect.hpp"
#include "platform_documents.hpp"

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "verbenacove/version/route_store.hpp"

#include <doctest/doctest.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

using namespace verbenacove;
using namespace verbenacove::platform;

namespace
{

QByteArray const teams = R"({"wool":{"ApiKeys":["k-wool-1","k-wool-2"],
    "Priority":1,"RatePerS":12.5,"Burst":30,"HomeRegions":["casa"],
    "Later":{"x":1}},"silk":{"ApiKeys":["k-silk"]}})";

QByteArray whole_body(QByteArray const& tenants)
{
    return R"({"Version":"r7","Routes":{"r-1":{"Hostname":"h.example",
        "PathPrefix":"/","Kind":"safe","Service":"a"},"r-2":{
        "Hostname":"h.example","PathPrefix":"/open/","Kind":"safe",
        "Service":"a","Public":true}},"Services":{"a":{}},"Limits":{},
        "Tenants":)" +
           tenants + "}";
}

QByteArray items_body(int version, QByteArray const& upsert,
                      QByteArray const& remove = "{}")
{
    return R"({"Version":"r)" + QByteArray::number(version) + R"(","Upsert":)" +
           upsert + R"(,"Remove":)" + remove + "}";
}

/** Reads changes, and keeps what the last one was refused for. */
struct documents_fixture
{
    std::optional<route_change> read(QByteArray const& body, change_form form,
                                     QByteArray const& base)
    {
        error = {};
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<route_change>>
            {
                BOOST_LEAF_AUTO(change, read_change(body, base, form));
                return std::optional<route_change>(std::move(change));
            },
            [&](document_error const& found) -> std::optional<route_change>
            {
                error = found;
                return std::nullopt;
            },
            [] { return std::optional<route_change>(); });
    }

    std::optional<route_change> read_whole(QByteArray const& tenants)
    {
        return read(whole_body(tenants), change_form::whole, "r0");
    }

    order_result apply(QByteArray const& body, change_form form)
    {
        auto const change = read(
            body, form, QByteArray::number(store.current()->version.value()));
        REQUIRE(change);
        // As a replica reads it from the log.
        auto const stored = parse_route_change(to_cbor(*change));
        REQUIRE(stored);
        return store.apply(*stored);
    }

    document_error error;
    route_store store;
};

} // namespace

TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: a whole configuration: decoded and kept")
{
    auto const change = read_whole(teams);
    REQUIRE(change);
    REQUIRE(change->teams.size() == 2);
    auto const& silk = change->teams[0];
    CHECK(silk.name.value() == QStringLiteral("silk"));
    CHECK_FALSE(silk.priority);
    CHECK(silk.allowance.rate.value() == 0);
    CHECK(silk.homes.empty());
    auto const& wool = change->teams[1];
    CHECK(wool.key_digests == std::vector<QByteArray>{key_digest("k-wool-1"),
                                                      key_digest("k-wool-2")});
    CHECK(wool.priority == 1);
    CHECK(wool.allowance.rate.value() == 12.5);
    CHECK(wool.allowance.burst == 30);
    CHECK(wool.homes ==
          std::vector<region_name>{region_name(QStringLiteral("casa"))});
    CHECK_FALSE(change->routes[0].is_public);
    CHECK(change->routes[1].is_public);
    REQUIRE(apply(whole_body(teams), change_form::whole).outcome ==
            order_outcome::accepted);
    CHECK(QJsonDocument::fromJson(write_configuration(*store.current())) ==
          QJsonDocument::fromJson(whole_body(teams)));
}

TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: a snapshot and the form for entries: teams "
                  "are in both, keys only in the snapshot")
{
    REQUIRE(apply(whole_body(teams), change_form::whole).outcome ==
            order_outcome::accepted);
    route_store restored;
    REQUIRE(restored.restore(store.snapshot()));
    CHECK(write_configuration(*restored.current()) ==
          write_configuration(*store.current()));
    auto const sent = to_cbor(*store.current(), route_detail::effective);
    CHECK_FALSE(sent.toCborValue().toCbor().contains("k-wool"));
    auto const received = parse_route_configuration(sent);
    REQUIRE(received);
    CHECK(received->teams.size() == 2);
    CHECK(received->teams[QStringLiteral("wool")].key_digests.size() == 2);
    CHECK(received->routes[QStringLiteral("r-2")].is_public);
}

TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: a list of teams: as a table, and none twice")
{
    auto const list = read_whole(
        R"([{"Name":"wool","ApiKeys":["k1"]},{"Name":"silk","ApiKeys":[]}])");
    REQUIRE(list);
    CHECK(list->teams.size() == 2);
    CHECK_FALSE(read_whole(
        R"([{"Name":"wool","ApiKeys":["k1"]},{"Name":"wool","ApiKeys":[]}])"));
    CHECK(error.key == QStringLiteral("Tenants.wool"));
    CHECK_FALSE(read_whole(R"([{"ApiKeys":["k1"]}])"));
}

TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: teams that cannot be: the path is named, "
                  "and no key")
{
    struct wrong_value
    {
        QByteArray tenants;
        char const* key;
    };
    auto const of_wool = [](char const* item)
    {
        return QByteArray(R"({"wool":)") + item + "}";
    };
    std::vector<wrong_value> const values{
        {"7", "Tenants"},
        {"null", "Tenants"},
        {R"("text")", "Tenants"},
        {of_wool("7"), "Tenants"},
        {R"({"":{"ApiKeys":["secret"]}})", "Tenants"},
        {R"({"  ":{"ApiKeys":["secret"]}})", "Tenants"},
        {R"({"a\r\nX-Y: 1":{"ApiKeys":["secret"]}})", "Tenants"},
        {of_wool(R"({"ApiKeys":"secret"})"), "Tenants.wool.ApiKeys"},
        {of_wool(R"({"ApiKeys":["secret",7]})"), "Tenants.wool.ApiKeys"},
        {of_wool(R"({"ApiKeys":["secret",""]})"), "Tenants.wool.ApiKeys[1]"},
        {of_wool(R"({"ApiKeys":["the secret"]})"), "Tenants.wool.ApiKeys[0]"},
        {of_wool(R"({"ApiKeys":["secret\n"]})"), "Tenants.wool.ApiKeys[0]"},
        {of_wool(R"({"ApiKeys":["secret","k","secret"]})"),
         "Tenants.wool.ApiKeys[2]"},
        {R"({"silk":{"ApiKeys":["k","secret"]},"wool":{"ApiKeys":["secret"]}})",
         "Tenants.wool.ApiKeys[0]"},
        {of_wool(R"({"RatePerS":-1})"), "Tenants.wool.RatePerS"},
        {of_wool(R"({"RatePerS":1e300})"), "Tenants.wool.RatePerS"},
        {of_wool(R"({"RatePerS":"12"})"), "Tenants.wool.RatePerS"},
        {of_wool(R"({"RatePerS":null})"), "Tenants.wool.RatePerS"},
        {of_wool(R"({"Burst":-0.5})"), "Tenants.wool.Burst"},
        {of_wool(R"({"Burst":1e300})"), "Tenants.wool.Burst"},
        {of_wool(R"({"Burst":[3]})"), "Tenants.wool.Burst"},
        {of_wool(R"({"Priority":-1})"), "Tenants.wool.Priority"},
        {of_wool(R"({"Priority":1e12})"), "Tenants.wool.Priority"},
        {of_wool(R"({"Priority":"high"})"), "Tenants.wool.Priority"},
        {of_wool(R"({"HomeRegions":"casa"})"), "Tenants.wool.HomeRegions"},
        {of_wool(R"({"HomeRegions":[1]})"), "Tenants.wool.HomeRegions"}};
    for (auto const& value : values)
    {
        CAPTURE(value.tenants.toStdString());
        CHECK_FALSE(read_whole(value.tenants));
        CHECK(error.key == QLatin1String(value.key));
        CHECK_FALSE(error.key.contains(QStringLiteral("secret")));
        CHECK_FALSE(error.reason.contains(QStringLiteral("secret")));
    }
    CHECK_FALSE(
        read(whole_body("{}").replace("true", "1"), change_form::whole, "r0"));
    CHECK(error.key == QStringLiteral("r-2.Public"));
}

TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: a key that is too long to be sent: refused")
{
    auto const of_length = [](int length)
    {
        return R"({"wool":{"ApiKeys":[")" + QByteArray(length, 'k') + R"("]}})";
    };
    CHECK(read_whole(of_length(4096)));
    CHECK_FALSE(read_whole(of_length(4097)));
}

TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: named items: added, replaced and removed")
{
    auto const form = change_form::items;
    REQUIRE(apply(whole_body(teams), change_form::whole).outcome ==
            order_outcome::accepted);
    CHECK(apply(items_body(8, R"({"Tenants":[{"Name":"flax",)"
                              R"("ApiKeys":["k-flax"]}]})"),
                form)
              .outcome == order_outcome::accepted);
    CHECK(store.current()->teams.size() == 3);
    // The key goes from one team to another.
    CHECK(apply(items_body(9, R"({"Tenants":{"hemp":{"ApiKeys":["k-flax"]}}})",
                           R"({"Tenants":["flax","silk"]})"),
                form)
              .outcome == order_outcome::accepted);
    CHECK(store.current()->teams.keys() ==
          QStringList{QStringLiteral("hemp"), QStringLiteral("wool")});
    CHECK(apply(items_body(10, R"({"Tenants":{"wool":{"ApiKeys":[]}}})"), form)
              .outcome == order_outcome::accepted);
    CHECK(store.current()->teams[QStringLiteral("wool")].key_digests.empty());
    CHECK_FALSE(
        read(items_body(11, "{}", R"({"Tenants":"wool"})"), form, "r10"));
    CHECK(error.key == QStringLiteral("Remove.Tenants"));
    CHECK_FALSE(read(items_body(11, R"({"Tenants":{"wool":{"Burst":-1}}})"),
                     form, "r10"));
    CHECK(error.key == QStringLiteral("Upsert.Tenants.wool.Burst"));
}

TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: an item brings a key that another team "
                  "holds: invalid, and the old configuration stays")
{
    REQUIRE(apply(whole_body(teams), change_form::whole).outcome ==
            order_outcome::accepted);
    auto const result =
        apply(items_body(8, R"({"Tenants":{"flax":{"ApiKeys":["k-silk"]}}})"),
              change_form::items);
    CHECK(result.outcome == order_outcome::invalid);
    CHECK(result.reason.contains(QStringLiteral("team")));
    CHECK_FALSE(result.reason.contains(QStringLiteral("k-silk")));
    CHECK(store.current()->version == route_version(7));
    CHECK(store.current()->teams.size() == 2);
}

// An empty table counted as none, and opened all routes.
TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: an empty table: there is one, and it is "
                  "read back")
{
    for (QByteArray const empty : {"{}", "[]"})
    {
        store = route_store();
        REQUIRE(apply(whole_body(teams), change_form::whole).outcome ==
                order_outcome::accepted);
        auto const body =
            whole_body(empty).replace(R"("Version":"r7")", R"("Version":"r8")");
        REQUIRE(apply(body, change_form::whole).outcome ==
                order_outcome::accepted);
        CHECK(team_table_of(*store.current()) == team_table_state::present);
        CHECK(QJsonDocument::fromJson(write_configuration(*store.current()))
                  .object()[QStringLiteral("Tenants")] ==
              QJsonValue(QJsonObject()));
    }
}

TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: the last team is removed: the table stays; "
                  "a configuration without one removes it")
{
    auto const form = change_form::items;
    auto const table = [this]
    {
        return team_table_of(*store.current());
    };
    REQUIRE(apply(whole_body(teams), change_form::whole).outcome ==
            order_outcome::accepted);
    REQUIRE(apply(items_body(8, "{}", R"({"Tenants":["silk","wool"]})"), form)
                .outcome == order_outcome::accepted);
    CHECK(store.current()->teams.isEmpty());
    CHECK(table() == team_table_state::present);
    auto const without =
        whole_body("{}").replace(R"("Tenants":{})", R"("Later":1)");
    auto of_version = [&without](QByteArray const& version)
    {
        return QByteArray(without).replace("r7", version);
    };
    REQUIRE(apply(of_version("r9"), change_form::whole).outcome ==
            order_outcome::accepted);
    CHECK(table() == team_table_state::removed);
    CHECK_FALSE(write_configuration(*store.current()).contains("Tenants"));
    REQUIRE(apply(items_body(10, R"({"Tenants":{}})"), form).outcome ==
            order_outcome::accepted);
    CHECK(table() == team_table_state::removed);
    REQUIRE(apply(of_version("r11"), change_form::whole).outcome ==
            order_outcome::accepted);
    CHECK(table() == team_table_state::removed);
    REQUIRE(
        apply(items_body(12, R"({"Tenants":{"flax":{"ApiKeys":["k"]}}})"), form)
            .outcome == order_outcome::accepted);
    CHECK(table() == team_table_state::present);
}

TEST_CASE_FIXTURE(documents_fixture,
                  "team documents: no teams: the bytes are as before")
{
    auto const without =
        whole_body("{}").replace(R"("Tenants":{})", R"("Later":1)");
    auto const change = read(without, change_form::whole, "r0");
    REQUIRE(change);
    CHECK_FALSE(to_cbor(*change).contains(QLatin1String("teams")));
    auto const configuration = changed({}, *change);
    CHECK(team_table_of(configuration) == team_table_state::never);
    CHECK_FALSE(to_cbor(*change).contains(QLatin1String("team_table")));
    CHECK_FALSE(to_cbor(configuration, route_detail::effective)
                    .contains(QLatin1String("team_table")));
    CHECK_FALSE(to_cbor(configuration, route_detail::with_source)
                    .contains(QLatin1String("teams")));
    CHECK_FALSE(write_configuration(configuration).contains("Tenants"));
}

TEST_CASE("platform dialect: the team's name: replaces all that the caller "
          "sent, and the key goes")
{
    platform_dialect const dialect;
    std::vector<http_header> const sent{
        {"verbenacove-tenant", "forged"}, {"Authorization", "Bearer k"},
        {"VERBENACOVE-TENANT", "forged"}, {"X-Other", "1"},
        {"authorization", "Bearer k"},    {"Verbenacove-Tenant", ""}};
    auto headers = sent;
    dialect.set_team(headers, team_name(QStringLiteral("wool")));
    CHECK(headers.size() == 2);
    CHECK(find_http_header(headers, "X-Other") == "1");
    CHECK(find_http_header(headers, "Verbenacove-Tenant") == "wool");
    headers = sent;
    dialect.set_team(headers, team_name());
    CHECK(headers.size() == 1);
    CHECK(find_http_header(headers, "X-Other") == "1");
}
