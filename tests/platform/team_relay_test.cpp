#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/traffic_entry.hpp"

#include <QCoreApplication>

#include <algorithm>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int upstream_count = 8;
constexpr milliseconds longest_detection{1000};

char const right_key[] = "Authorization: Bearer k-wool";
char const wrong_key[] = "Authorization: Bearer k-other";

/** Returns the values of a header, in any case, that an upstream got. */
std::vector<QByteArray> values_of(std::vector<http_header> const& headers,
                                  QByteArrayView name)
{
    std::vector<QByteArray> result;
    for (auto const& header : headers)
    {
        if (header.name.compare(name, Qt::CaseInsensitive) == 0)
        {
            result.push_back(header.value);
        }
    }
    return result;
}

std::vector<region_name> regions(std::vector<char const*> const& names)
{
    std::vector<region_name> result;
    for (auto const* name : names)
    {
        result.emplace_back(QString::fromLatin1(name));
    }
    return result;
}

std::shared_ptr<route_configuration>
team_configuration(qint64 version, QByteArray const& key = "k-wool")
{
    auto result = traffic_entry::configuration(version);
    team_record team;
    team.name = team_name(QStringLiteral("wool"));
    team.key_digests = {key_digest(key)};
    result->teams[team.name.value()] = team;
    return result;
}

/** An entry that serves the routes of a configuration with a team. */
struct team_fixture
{
    team_fixture() { use(team_configuration(3)); }

    void use(route_configuration_ptr const& routes)
    {
        entry.use(routes, {upstream.address()}, {});
    }

    platform_upstream upstream{QStringLiteral("i-1")};
    traffic_entry entry{"entry"};
};

/** An entry that reaches no upstream, and one that reaches one; both have a
    configuration with a team. */
struct team_relay_fixture
{
    team_relay_fixture()
    {
        set(team_configuration(3), team_configuration(3));
        auto const deadline =
            std::chrono::steady_clock::now() + longest_detection;
        while (!cut_off.is_cut_off() &&
               std::chrono::steady_clock::now() < deadline)
        {
            cut_off.call("before-" + QByteArray::number(++calls), "GET",
                         {right_key});
        }
        REQUIRE(cut_off.is_cut_off());
    }

    void set(route_configuration_ptr const& first,
             route_configuration_ptr const& second)
    {
        std::vector<socket_address> const closed(upstream_count,
                                                 local(free_port()));
        cut_off.use(first, closed, {connected.view()});
        connected.use(second, {upstream.address()}, {});
    }

    platform_upstream upstream{QStringLiteral("i-1")};
    traffic_entry connected{"connected"};
    traffic_entry cut_off{"cut-off"};
    int calls = 0;
};

} // namespace

TEST_CASE_FIXTURE(team_fixture,
                  "teams: a known key: the upstream gets the team's name, and "
                  "neither the key nor what the caller sent as a name")
{
    auto const answer =
        entry.call("r-1", "GET",
                   {right_key, "verbenacove-tenant: forged",
                    "Verbenacove-Tenant: forged", "VERBENACOVE-TENANT: "});
    CHECK(answer.is(200));
    auto const headers = upstream.headers_of("r-1");
    CHECK(values_of(headers, "Verbenacove-Tenant") ==
          std::vector<QByteArray>{"wool"});
    CHECK(values_of(headers, "Authorization").empty());
}

// `Connection` names headers that a proxy leaves out.
TEST_CASE_FIXTURE(team_fixture,
                  "teams: a Connection header names those that the entry sets: "
                  "the upstream gets them all the same")
{
    auto const answer = entry.call(
        "r-1", "GET",
        {right_key, "Connection: verbenacove-tenant, "
                    "Verbenacove-Target-Instance, Verbenacove-Deadline-Ms"});
    CHECK(answer.is(200));
    auto const headers = upstream.headers_of("r-1");
    CHECK(values_of(headers, "Verbenacove-Tenant") ==
          std::vector<QByteArray>{"wool"});
    CHECK(values_of(headers, "Verbenacove-Target-Instance").size() == 1);
    CHECK(values_of(headers, "Verbenacove-Deadline-Ms").size() == 1);
}

TEST_CASE_FIXTURE(team_fixture,
                  "teams: missing, unknown, doubled and malformed keys: 401, "
                  "and nothing runs")
{
    QList<QList<QByteArray>> const cases{
        {},
        {wrong_key},
        {right_key, right_key},
        {right_key, wrong_key},
        {"Authorization: k-wool"},
        {"Authorization: Basic k-wool"},
        {"Authorization:"},
        {"Authorization: Bearer " + QByteArray(8000, 'k')},
        {"Verbenacove-Tenant: wool"}};
    for (auto const& headers : cases)
    {
        auto const answer = entry.call("r-1", "POST", headers);
        CHECK(answer.is(401));
        CHECK(answer.headers.value("run-verdict") == "not-run");
        CHECK(answer.headers.value("www-authenticate") == "Bearer");
        CHECK_FALSE(answer.body.contains("k-wool"));
        CHECK_FALSE(answer.body.contains("k-other"));
    }
    CHECK(upstream.all_runs() == 0);
}

TEST_CASE_FIXTURE(team_fixture,
                  "teams: a public route: runs without a key, and neither key "
                  "nor name is passed on")
{
    auto routes = team_configuration(4);
    routes->routes[QStringLiteral("1")].is_public = true;
    use(routes);
    CHECK(entry.call("r-1").is(200));
    CHECK(entry
              .call("r-2", "GET",
                    {right_key, wrong_key, "verbenacove-tenant: forged",
                     "Verbenacove-Tenant: wool"})
              .is(200));
    for (char const* const id : {"r-1", "r-2"})
    {
        auto const headers = upstream.headers_of(id);
        CHECK(values_of(headers, "Authorization").empty());
        CHECK(values_of(headers, "Verbenacove-Tenant").empty());
    }
    CHECK(entry.call("r-3", "POST").is(401));
}

TEST_CASE_FIXTURE(team_fixture,
                  "teams: a configuration without teams: all headers pass as "
                  "they came")
{
    use(traffic_entry::configuration(4));
    CHECK(entry
              .call("r-1", "GET",
                    {"Authorization: Basic a", "Verbenacove-Tenant: x"})
              .is(200));
    auto const headers = upstream.headers_of("r-1");
    CHECK(values_of(headers, "Authorization") ==
          std::vector<QByteArray>{"Basic a"});
    CHECK(values_of(headers, "Verbenacove-Tenant") ==
          std::vector<QByteArray>{"x"});
}

TEST_CASE_FIXTURE(team_fixture,
                  "teams: another key in the next configuration: the former "
                  "one gets 401 at once")
{
    CHECK(entry.call("r-1", "GET", {right_key}).is(200));
    use(team_configuration(4, "k-other"));
    CHECK(entry.call("r-2", "GET", {right_key}).is(401));
    CHECK(entry.call("r-3", "GET", {wrong_key}).is(200));
}

TEST_CASE_FIXTURE(team_fixture,
                  "teams: homes of the team: only upstreams there; none left "
                  "with the route's: a true refusal at once")
{
    auto const serves = [this](std::vector<char const*> const& team_homes,
                               std::vector<char const*> const& route_homes)
    {
        auto routes = team_configuration(4);
        routes->teams[QStringLiteral("wool")].homes = regions(team_homes);
        routes->routes[QStringLiteral("0")].homes = regions(route_homes);
        use(routes);
        auto const begin = std::chrono::steady_clock::now();
        auto const answer = entry.call("r-1", "POST", {right_key});
        CHECK((answer.is(200) || answer.is(503)));
        CHECK((answer.is(200) ||
               answer.headers.value("run-verdict") == "not-run"));
        CHECK(elapsed(begin, std::chrono::steady_clock::now()) <
              milliseconds(1000));
        return answer.is(200);
    };
    entry.set_upstream_region("casa");
    CHECK(serves({}, {}));
    CHECK(serves({"casa"}, {}));
    CHECK(serves({"casa", "porto"}, {"casa"}));
    CHECK_FALSE(serves({"porto"}, {}));
    CHECK_FALSE(serves({"casa"}, {"porto"}));
    CHECK_FALSE(serves({"porto", "casa"}, {"porto", "lisboa"}));
    CHECK(upstream.all_runs() == 3);
}

TEST_CASE_FIXTURE(team_relay_fixture,
                  "teams: a relayed request: the second entry checks the key, "
                  "and the upstream gets the name alone")
{
    CHECK(cut_off.call("r-1", "POST", {right_key, "verbenacove-tenant: forged"})
              .is(200));
    CHECK(cut_off.is_cut_off());
    auto const headers = upstream.headers_of("r-1");
    CHECK(values_of(headers, "Verbenacove-Tenant") ==
          std::vector<QByteArray>{"wool"});
    CHECK(values_of(headers, "Authorization").empty());
    CHECK(cut_off.call("r-2", "POST", {wrong_key}).is(401));
    CHECK(upstream.runs("r-2") == 0);
}

// A 401 would be final, though the caller's key may be a new one.
TEST_CASE_FIXTURE(team_relay_fixture,
                  "teams: a relayed request whose key the second entry does "
                  "not know: 503, and nothing runs")
{
    set(team_configuration(3), team_configuration(5, "k-other"));
    REQUIRE(cut_off.is_cut_off());
    auto const answer = cut_off.call("r-1", "POST", {right_key});
    CHECK(answer.is(503));
    CHECK(answer.headers.value("run-verdict") == "not-run");
    CHECK(upstream.runs("r-1") == 0);
}

TEST_CASE_FIXTURE(team_relay_fixture,
                  "teams: a relayed request of a team with homes: not sent to "
                  "an entry elsewhere")
{
    auto routes = team_configuration(4);
    routes->teams[QStringLiteral("wool")].homes = regions({"casa"});
    set(routes, routes);
    REQUIRE(cut_off.is_cut_off());
    CHECK(cut_off.call("r-1", "POST", {right_key}).is(503));
    CHECK(upstream.runs("r-1") == 0);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
