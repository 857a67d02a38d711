#ifndef VERBENACOVE_TESTS_SOLE_REPLICA_FIXTURE_HPP
#define VERBENACOVE_TESTS_SOLE_REPLICA_FIXTURE_HPP

#include "support/child_process.hpp"
#include "support/wait_until.hpp"
#include "verbenacove/process/route_service.hpp"

#include <doctest/doctest.h>

#include <QTemporaryDir>

#include <memory>
#include <optional>
#include <vector>

namespace verbenacove::support
{

/** A replica that is the only one, and leads, with a service besides. */
template <class Service>
class sole_replica_fixture
{
public:
    sole_replica_fixture()
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
        service = std::make_unique<Service>(*server);
        REQUIRE(server->start());
        routes->start();
        service->start();
        REQUIRE(wait_until([&] { return server->node().is_current(); }));
    }

    /** Puts a whole configuration with these teams into force. */
    void put(qint64 version, std::vector<team_record> teams)
    {
        route_change change;
        change.base = route_version(version - 1);
        change.version = route_version(version);
        change.is_whole = true;
        change.signature = QByteArray::number(version);
        change.teams = std::move(teams);
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

    /** Sends a request as another process does, and returns the response. */
    std::optional<QCborMap> call(QCborMap request, milliseconds patience)
    {
        rpc_client client(address_);
        std::optional<std::optional<QCborMap>> response;
        client.call(std::move(request), patience,
                    [&](std::optional<QCborMap> const& reply)
                    { response = reply; });
        REQUIRE(wait_until([&] { return response.has_value(); }));
        return *response;
    }

    std::unique_ptr<control_server> server;
    std::unique_ptr<route_service> routes;
    std::unique_ptr<Service> service;

private:
    QTemporaryDir folder_;
    socket_address address_{QHostAddress(QHostAddress::LocalHost), free_port()};
    std::unique_ptr<raft_storage> storage_;
};

} // namespace verbenacove::support

#endif
