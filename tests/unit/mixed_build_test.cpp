#include "discovery_test_tools.hpp"

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

/** The only replica, with a configuration in force. */
struct mixed_fixture
{
    mixed_fixture()
    {
        REQUIRE(wait_until([&] { return replica.discovery().is_current(); }));
        REQUIRE(wait_until(
            [&]
            {
                return replica.server().state().used_form() ==
                       control_state::form::latest;
            }));
    }

    void put(qint64 version, bool has_teams)
    {
        route_change change;
        change.base = replica.server().state().routes().current()->version;
        change.version = route_version(version);
        change.is_whole = true;
        change.signature = QByteArray::number(version);
        if (has_teams)
        {
            team_record team;
            team.name = team_name(QStringLiteral("wool"));
            change.teams = {team};
        }
        replica.server().submit(
            control_state::route_command(change, control_state::form::latest),
            [](raft_node::proposal_end, QCborMap const&) {});
        REQUIRE(wait_until(
            [&]
            {
                return replica.server().state().routes().current()->version ==
                       route_version(version);
            }));
    }

    /** Reads the replica as an entry. */
    QCborMap read(bool reads_teams)
    {
        rpc_client client(replica.address());
        std::optional<QCborMap> response;
        QCborMap request{{QLatin1String("m"), QLatin1String("news")},
                         {QLatin1String("current"), true}};
        if (reads_teams)
        {
            request[QLatin1String("teams")] = true;
        }
        client.call(request, milliseconds(2000),
                    [&](std::optional<QCborMap> const& reply)
                    { response = reply; });
        REQUIRE(wait_until([&] { return response.has_value(); }));
        return *response;
    }

    static bool has_routes(QCborMap const& response)
    {
        return response.contains(QLatin1String("routes")) ||
               response.contains(QLatin1String("routes_revision"));
    }

    test_replica replica{{}};
};

} // namespace

TEST_CASE_FIXTURE(mixed_fixture,
                  "mixed builds: an entry that does not read teams: gets no "
                  "configuration that has some")
{
    put(3, false);
    for (bool const reads_teams : {true, false})
    {
        auto const response = read(reads_teams);
        CHECK(cbor_flag(response, "current"));
        CHECK(has_routes(response));
    }
    put(5, true);
    auto const later = read(true);
    CHECK(cbor_flag(later, "current"));
    auto const routes = parse_route_configuration(cbor_map(later, "routes"));
    REQUIRE(routes);
    CHECK(routes->teams.size() == 1);
    auto const earlier = read(false);
    CHECK(cbor_text(earlier, "status") == QLatin1String("ok"));
    CHECK_FALSE(cbor_flag(earlier, "current"));
    CHECK_FALSE(has_routes(earlier));
    // Keys were withdrawn, which it cannot know.
    put(7, false);
    CHECK_FALSE(has_routes(read(false)));
    CHECK(has_routes(read(true)));
}
