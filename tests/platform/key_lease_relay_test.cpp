#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/traffic_entry.hpp"

#include <QCoreApplication>

#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int upstream_count = 8;
constexpr milliseconds longest_detection{1000};
constexpr milliseconds revocation{5000};
constexpr qint64 version = 3;

char const right_key[] = "Authorization: Bearer k-wool";
char const wrong_key[] = "Authorization: Bearer k-other";

/** Returns a configuration with a team, in which the route of `GET` requests
    may be public. */
route_configuration_ptr team_configuration(bool is_public = false)
{
    auto result = traffic_entry::configuration(version);
    team_record team;
    team.name = team_name(QStringLiteral("wool"));
    team.key_digests = {key_digest("k-wool")};
    result->teams[team.name.value()] = team;
    for (auto& route : result->routes)
    {
        route.is_public = is_public && route.is_idempotent;
    }
    return result;
}

bool is_unconfirmed(http_answer const& answer)
{
    return answer.is(503) && answer.headers.contains("retry-after") &&
           answer.body.contains("keys-unconfirmed");
}

/** An entry whose keys need confirmations. */
struct lease_fixture
{
    lease_fixture() { use(team_configuration()); }

    void use(route_configuration_ptr const& routes)
    {
        entry.use(routes, {upstream.address()}, {});
    }

    http_answer call(char const* key, QByteArray const& method = "GET")
    {
        last_request = "r-" + QByteArray::number(++calls);
        return entry.call(last_request, method, {key});
    }

    platform_upstream upstream{QStringLiteral("i-1")};
    traffic_entry entry{"entry", revocation};
    QByteArray last_request;
    int calls = 0;
};

/** An entry that reaches no upstream, and one that reaches one; both have keys
    that need confirmations. */
struct lease_relay_fixture
{
    lease_relay_fixture()
    {
        cut_off.confirm_keys(milliseconds(0), version);
        connected.confirm_keys(milliseconds(0), version);
        std::vector<socket_address> const closed(upstream_count,
                                                 local(free_port()));
        cut_off.use(team_configuration(), closed, {connected.view()});
        connected.use(team_configuration(), {upstream.address()}, {});
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

    platform_upstream upstream{QStringLiteral("i-1")};
    traffic_entry connected{"connected", revocation};
    traffic_entry cut_off{"cut-off", revocation};
    int calls = 0;
};

} // namespace

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: no confirmation: 503 with a time to come back, "
                  "for each key alike, and nothing runs")
{
    for (char const* key : {right_key, wrong_key, "X-None: 1"})
    {
        CHECK(is_unconfirmed(call(key)));
        CHECK(upstream.runs(last_request) == 0);
        CHECK(is_unconfirmed(call(key, "POST")));
        CHECK(upstream.runs(last_request) == 0);
    }
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: confirmed: keys decide; an old confirmation "
                  "does not count")
{
    entry.confirm_keys(revocation, version);
    CHECK(is_unconfirmed(call(right_key)));
    entry.confirm_keys(milliseconds(0), version);
    CHECK(call(right_key).is(200));
    CHECK(call(wrong_key).is(401));
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: confirmed for routes that the entry has not got "
                  "yet: refused until they come")
{
    entry.confirm_keys(milliseconds(0), version + 1);
    CHECK(is_unconfirmed(call(right_key)));
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: it ends between two requests: the second one is "
                  "refused")
{
    constexpr milliseconds left{500};
    entry.confirm_keys(revocation - left, version);
    CHECK(call(right_key).is(200));
    std::this_thread::sleep_for(left);
    CHECK(is_unconfirmed(call(right_key)));
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: public routes, and no teams: no lease is needed")
{
    use(team_configuration(true));
    CHECK(call(right_key).is(200));
    CHECK(is_unconfirmed(call(right_key, "POST")));
    use(traffic_entry::configuration(version));
    CHECK(call(right_key, "POST").is(200));
}

// The watch must go on: a key may have come with a table that is not here yet.
TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: an empty table, or a removed one: keys need a "
                  "lease, requests without a key only where there is a table")
{
    auto const without_teams = [](team_table_state table)
    {
        auto result = traffic_entry::configuration(version);
        result->team_table = table;
        return result;
    };
    use(without_teams(team_table_state::present));
    CHECK(is_unconfirmed(call(right_key)));
    CHECK(is_unconfirmed(call("X-None: 1")));
    use(without_teams(team_table_state::removed));
    CHECK(is_unconfirmed(call(right_key)));
    CHECK(call("X-None: 1").is(200));
    entry.confirm_keys(milliseconds(0), version);
    CHECK(call(right_key).is(401));
    CHECK(upstream.runs(last_request) == 0);
    use(without_teams(team_table_state::present));
    CHECK(call(right_key).is(401));
    CHECK(call("X-None: 1").is(401));
}

TEST_CASE("key lease: settings without a revocation time: keys need no "
          "confirmation")
{
    platform_upstream const upstream{QStringLiteral("i-1")};
    traffic_entry entry{"entry"};
    entry.use(team_configuration(), {upstream.address()}, {});
    CHECK(entry.call("r-1", "GET", {right_key}).is(200));
}

TEST_CASE_FIXTURE(lease_relay_fixture,
                  "key lease: relayed between entries with leases: it runs")
{
    CHECK(cut_off.call("r-1", "GET", {right_key}).is(200));
    CHECK(upstream.runs("r-1") == 1);
}

TEST_CASE_FIXTURE(lease_relay_fixture,
                  "key lease: the entry that it is relayed to has none: a true "
                  "refusal")
{
    traffic_entry unconfirmed{"unconfirmed", revocation};
    unconfirmed.use(team_configuration(), {upstream.address()}, {});
    std::vector<socket_address> const closed(upstream_count,
                                             local(free_port()));
    cut_off.use(team_configuration(), closed, {unconfirmed.view()});
    for (QByteArray const method : {"GET", "POST"})
    {
        auto const answer = cut_off.call("r-" + method, method, {right_key});
        CHECK(answer.is(503));
        CHECK(answer.headers.value("run-verdict") == "not-run");
        CHECK(upstream.runs("r-" + method) == 0);
    }
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
