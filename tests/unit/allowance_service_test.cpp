#include "support/child_process.hpp"
#include "support/wait_until.hpp"
#include "verbenacove/process/route_service.hpp"
#include "verbenacove/teams/allowance_service.hpp"

#include <doctest/doctest.h>

#include <QTemporaryDir>

using namespace verbenacove;
using verbenacove::support::ensure_application;
using verbenacove::support::free_port;
using verbenacove::support::wait_until;

namespace
{

/** A replica that is the only one, and leads. */
class allowance_service_fixture
{
public:
    allowance_service_fixture()
    {
        ensure_application();
        replica_id const id(QStringLiteral("only"));
        auto const folder = folder_.filePath(QStringLiteral("r"));
        REQUIRE(raft_storage::create(folder, id,
                                     {{address_.text(), id, address_}}));
        auto opened = raft_storage::open(folder);
        REQUIRE(opened);
        storage_ = std::move(*opened);
        control_settings settings;
        settings.name = address_.text();
        settings.listen = address_;
        server = std::make_unique<control_server>(settings, *storage_);
        routes = std::make_unique<route_service>(*server, [] {});
        allowances = std::make_unique<allowance_service>(*server);
        REQUIRE(server->start());
        routes->start();
        allowances->start();
        REQUIRE(wait_until([&] { return server->node().is_current(); }));
    }

    /** Puts a configuration into force whose team has an allowance or not. */
    void put(qint64 version, double rate)
    {
        route_change change;
        change.base = route_version(version - 1);
        change.version = route_version(version);
        change.is_whole = true;
        change.signature = QByteArray::number(version);
        team_record team;
        team.name = team_name(QStringLiteral("wool"));
        team.allowance.rate = requests_per_second(rate);
        change.teams.push_back(team);
        REQUIRE(wait_until(
            [&]
            {
                std::optional<std::optional<order_result>> end;
                routes->change(change,
                               [&](std::optional<order_result> const& result)
                               { end = result; });
                wait_until([&] { return end.has_value(); });
                return end && *end &&
                       (*end)->outcome == order_outcome::accepted;
            }));
    }

    /** Reports far more requests than the allowance, as an entry does. */
    void report_excess()
    {
        rpc_client client(address_);
        bool has_answer = false;
        auto request = to_cbor(std::vector<allowance_use>{
            {team_name(QStringLiteral("wool")), 1000, 0}});
        request[QLatin1String("m")] = QLatin1String("allowance");
        client.call(request, milliseconds(1000),
                    [&](std::optional<QCborMap> const&) { has_answer = true; });
        REQUIRE(wait_until([&] { return has_answer; }));
    }

    std::unique_ptr<control_server> server;
    std::unique_ptr<route_service> routes;
    std::unique_ptr<allowance_service> allowances;

private:
    QTemporaryDir folder_;
    socket_address address_{QHostAddress(QHostAddress::LocalHost), free_port()};
    std::unique_ptr<raft_storage> storage_;
};

} // namespace

// It stayed restricted in the metric and in no line for good.
TEST_CASE_FIXTURE(allowance_service_fixture,
                  "allowance service: the last allowance is taken away: its "
                  "team counts as free")
{
    put(1, 1);
    REQUIRE(wait_until(
        [&]
        {
            report_excess();
            return allowances->restricted_teams() == 1;
        }));
    put(2, 0);
    CHECK(wait_until([&] { return allowances->restricted_teams() == 0; },
                     milliseconds(10000)));
}
