#include "support/child_process.hpp"
#include "support/wait_until.hpp"
#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/route_service.hpp"

#include <doctest/doctest.h>

#include <QTemporaryDir>

using namespace verbenacove;
using verbenacove::support::ensure_application;
using verbenacove::support::free_port;
using verbenacove::support::wait_until;

namespace
{

constexpr int route_count = 1400;
constexpr qsizetype maximum_read_reply_bytes = 256;

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

/** A replica that is the only one, and leads. */
class route_service_fixture
{
public:
    route_service_fixture()
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
        REQUIRE(server->start());
        routes->start();
        REQUIRE(wait_until([&] { return server->node().is_current(); }));
    }

    /** Sends a change and counts it once it is accepted. */
    void send(route_change const& change)
    {
        routes->change(change,
                       [this](std::optional<order_result> const& result)
                       {
                           bool const is_accepted =
                               result &&
                               result->outcome == order_outcome::accepted;
                           accepted += is_accepted ? 1 : 0;
                       });
    }

    /** Orders an evacuation, or its end, and waits for the result. */
    std::optional<order_result> order(bool is_evacuated, bool is_awaited)
    {
        std::optional<std::optional<order_result>> result;
        routes->evacuate(
            zone(), is_evacuated, [is_awaited] { return is_awaited; },
            [&](std::optional<order_result> const& end) { result = end; });
        REQUIRE(wait_until([&] { return result.has_value(); }));
        return *result;
    }

    /** Sends an order as another replica does.

        @param reads  the form that it reads; 0 if it does not say it
    */
    std::optional<QCborMap> order_from_replica(QCborMap const& command,
                                               int reads = 0)
    {
        rpc_client client(address());
        std::optional<std::optional<QCborMap>> response;
        QCborMap request{{QLatin1String("m"), QLatin1String("order")},
                         {QLatin1String("command"), command}};
        if (reads > 0)
        {
            request[QLatin1String("reads")] = reads;
        }
        client.call(request, milliseconds(2000),
                    [&](std::optional<QCborMap> const& reply)
                    { response = reply; });
        REQUIRE(wait_until([&] { return response.has_value(); }));
        return *response;
    }

    bool is_evacuated() const
    {
        return server->state().routes().evacuated().contains(zone());
    }

    bool has_counted_orders() const
    {
        return server->state().used_form() >=
               control_state::form::counted_orders;
    }

    bool has_latest_form() const
    {
        return server->state().used_form() == control_state::form::latest;
    }

    bool has_form(control_state::form wanted) const
    {
        return server->state().used_form() >= wanted;
    }

    static zone_name zone() { return zone_name(QStringLiteral("wcape-a")); }

    socket_address const& address() const { return address_; }

    std::unique_ptr<control_server> server;
    std::unique_ptr<route_service> routes;
    int accepted = 0;

private:
    QTemporaryDir folder_;
    socket_address address_{QHostAddress(QHostAddress::LocalHost), free_port()};
    std::unique_ptr<raft_storage> storage_;
};

} // namespace

TEST_CASE_FIXTURE(
    route_service_fixture,
    "route service: a change is sent again while it is undecided: "
    "one entry of the log, both accepted")
{
    // The form that a new leader raises is an entry of its own.
    REQUIRE(wait_until([&] { return has_latest_form(); }));
    auto const before = server->node().commit_index();
    send(large_change());
    send(large_change());
    REQUIRE(wait_until([&] { return accepted == 2; }));
    CHECK(server->node().commit_index().value() == before.value() + 1);
}

TEST_CASE_FIXTURE(route_service_fixture,
                  "route service: another replica reads a large configuration: "
                  "the leader replies with its revision")
{
    send(large_change());
    REQUIRE(wait_until([&] { return accepted == 1; }));
    rpc_client client(address());
    std::optional<QCborMap> response;
    client.call({{QLatin1String("m"), QLatin1String("routes")},
                 {QLatin1String("revision_only"), true}},
                milliseconds(2000),
                [&](std::optional<QCborMap> const& reply)
                { response = reply; });
    REQUIRE(wait_until([&] { return response.has_value(); }));
    CHECK(response->toCborValue().toCbor().size() < maximum_read_reply_bytes);
    std::optional<route_configuration> read;
    routes->read([&](std::optional<route_configuration> const& newest)
                 { read = newest; });
    REQUIRE(wait_until([&] { return read.has_value(); }));
    CHECK(read->routes.size() == route_count);
}

TEST_CASE_FIXTURE(route_service_fixture,
                  "route service: the caller of an order has left: not carried "
                  "out")
{
    CHECK(order(true, true));
    CHECK_FALSE(order(false, false));
    CHECK(is_evacuated());
    CHECK(order(false, true));
    CHECK_FALSE(is_evacuated());
}

// A cut between two replicas held up a withdrawal, which then ended the
// evacuation that had been acknowledged since.
TEST_CASE_FIXTURE(
    route_service_fixture,
    "route service: an order of another replica arrives after its "
    "opposite: not carried out")
{
    REQUIRE(wait_until([&] { return has_counted_orders(); }));
    CHECK(order(true, true));
    auto const late = control_state::evacuation_command(
        zone(), false, server->state().routes().evacuation_orders());
    CHECK(order(false, true));
    CHECK(order(true, true));
    auto const reply = order_from_replica(late);
    REQUIRE(reply);
    CHECK(parse_order_result(cbor_map(*reply, "result")).outcome ==
          order_outcome::conflict);
    CHECK(is_evacuated());
}

TEST_CASE_FIXTURE(route_service_fixture,
                  "route service: an order that does not name the count of "
                  "orders arrives after the form was raised: not carried out")
{
    REQUIRE(wait_until([&] { return has_counted_orders(); }));
    CHECK(order(true, true));
    auto const reply = order_from_replica(
        control_state::evacuation_command(zone(), false, std::nullopt));
    REQUIRE(reply);
    CHECK(parse_order_result(cbor_map(*reply, "result")).outcome ==
          order_outcome::conflict);
    CHECK(is_evacuated());
}

TEST_CASE_FIXTURE(route_service_fixture,
                  "route service: a change with teams comes before its form is "
                  "in use: it is raised, and the change accepted")
{
    CHECK_FALSE(has_form(control_state::form::teams));
    auto change = large_change();
    team_record team;
    team.name = team_name(QStringLiteral("wool"));
    change.teams = {team};
    send(change);
    // Sooner than the form is raised by itself.
    CHECK(wait_until([&] { return accepted == 1; }, milliseconds(900)));
    CHECK(has_form(control_state::form::teams));
    CHECK(server->state().routes().current()->teams.size() == 1);
}

// Earlier builds would take it for none.
TEST_CASE_FIXTURE(route_service_fixture,
                  "route service: an empty table of teams comes before its "
                  "form is in use: it is raised, and the table is there")
{
    CHECK_FALSE(has_form(control_state::form::team_tables));
    auto change = large_change();
    change.has_team_table = true;
    send(change);
    CHECK(wait_until([&] { return accepted == 1; }, milliseconds(900)));
    CHECK(has_form(control_state::form::team_tables));
    auto const& current = *server->state().routes().current();
    CHECK(team_table_of(current) == team_table_state::present);
    CHECK(current.teams.isEmpty());
}

// It would have left out teams that an operator sent it.
TEST_CASE_FIXTURE(route_service_fixture,
                  "route service: a change from a replica of an earlier build "
                  "once the form of teams is in use: not proposed")
{
    REQUIRE(wait_until([&] { return has_latest_form(); }));
    auto const command = control_state::route_command(
        large_change(), server->state().used_form());
    for (int const reads : {0, 3, 4})
    {
        auto const reply = order_from_replica(command, reads);
        REQUIRE(reply);
        CHECK(cbor_text(*reply, "status") != QLatin1String("ok"));
    }
    CHECK(server->state().routes().current()->version == route_version(0));
    auto const reply = order_from_replica(
        command, static_cast<int>(control_state::form::team_tables));
    REQUIRE(reply);
    CHECK(cbor_text(*reply, "status") == QLatin1String("ok"));
    CHECK(server->state().routes().current()->version == route_version(7));
}
