#include "support/child_process.hpp"
#include "support/wait_until.hpp"
#include "verbenacove/connection/rpc_server.hpp"
#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/discovery/discovery_service.hpp"
#include "verbenacove/process/discovery/replica_link.hpp"

#include <doctest/doctest.h>

#include <QTemporaryDir>

using namespace verbenacove;
using verbenacove::support::ensure_application;
using verbenacove::support::free_port;
using verbenacove::support::wait_until;

namespace
{

constexpr int upstream_count = 200;
constexpr qsizetype maximum_brief_bytes = 256;
constexpr milliseconds search_time{1500};

socket_address local_address()
{
    return {QHostAddress(QHostAddress::LocalHost), free_port()};
}

/** A replica that knows many upstreams, in a group of three of which the other
    two never start. */
class leaderless_replica
{
public:
    leaderless_replica()
    {
        ensure_application();
        raft_members members;
        for (auto const& address : {address_, local_address(), local_address()})
        {
            members.push_back(
                {address.text(), replica_id(address.text()), address});
        }
        auto const folder = folder_.filePath(QStringLiteral("r"));
        REQUIRE(
            raft_storage::create(folder, replica_id(address_.text()), members));
        auto opened = raft_storage::open(folder);
        REQUIRE(opened);
        storage_ = std::move(*opened);
        control_settings settings;
        settings.name = address_.text();
        settings.listen = address_;
        server_ = std::make_unique<control_server>(settings, *storage_);
        discovery_ = std::make_unique<discovery_service>(
            discovery_settings{{address_, {}, {}}, {}, folder}, *server_);
        for (int number = 0; number < upstream_count; ++number)
        {
            add_upstream(number);
        }
        REQUIRE(server_->start());
        discovery_->start();
    }

    socket_address const& address() const { return address_; }

private:
    void add_upstream(int number)
    {
        upstream_member record;
        record.id = QStringLiteral("upstream-%1").arg(number);
        record.started = incarnation(1);
        record.sequence = 1;
        record.phase = member_phase::serving;
        record.content.address = {QHostAddress(QHostAddress::LocalHost),
                                  static_cast<quint16>(1000 + number)};
        record.last_heartbeat = steady_clock_source().now();
        discovery_->handle_heartbeat(record, [](bool) {});
    }

    QTemporaryDir folder_;
    socket_address address_ = local_address();
    std::unique_ptr<raft_storage> storage_;
    std::unique_ptr<control_server> server_;
    std::unique_ptr<discovery_service> discovery_;
};

/** Replicas without a leader that record which reads ask for their view. */
struct search_fixture
{
    search_fixture()
    {
        ensure_application();
        for (auto& address : addresses)
        {
            address = local_address();
            servers.push_back(std::make_unique<rpc_server>(
                [this](QCborMap const& request,
                       rpc_server::reply_function const& reply)
                { answer(request, reply); }));
            REQUIRE(servers.back()->listen(address));
        }
    }

    void answer(QCborMap const& request,
                rpc_server::reply_function const& reply)
    {
        ++reads;
        QCborMap response{{QLatin1String("status"), QLatin1String("ok")},
                          {QLatin1String("current"), false}};
        if (!cbor_flag(request, "brief"))
        {
            ++view_reads;
            response[QLatin1String("next")] = to_cbor(sync_position{1});
        }
        reply(response);
    }

    std::array<socket_address, 3> addresses;
    std::vector<std::unique_ptr<rpc_server>> servers;
    int reads = 0;
    int view_reads = 0;
};

} // namespace

TEST_CASE_FIXTURE(
    leaderless_replica,
    "leader search: replica without a leader: its response leaves "
    "out the view")
{
    rpc_client client(address());
    std::optional<QCborMap> response;
    client.call({{QLatin1String("m"), QLatin1String("news")},
                 {QLatin1String("brief"), true}},
                milliseconds(2000),
                [&](std::optional<QCborMap> const& reply)
                { response = reply; });
    REQUIRE(wait_until([&] { return response.has_value(); }));
    CHECK(cbor_text(*response, "status") == QLatin1String("ok"));
    CHECK_FALSE(cbor_flag(*response, "current"));
    CHECK(response->toCborValue().toCbor().size() < maximum_brief_bytes);
}

TEST_CASE_FIXTURE(search_fixture,
                  "leader search: no replica has a leader: one view is read "
                  "while all are asked")
{
    replica_link entry({entry_id(QStringLiteral("entry-1")),
                        {local_address(), {}, {}},
                        {addresses.begin(), addresses.end()}},
                       {[] {},
                        [](quarantine_update const&) {
                        }});
    entry.start();
    wait_until([] { return false; }, search_time);
    CHECK(reads >= static_cast<int>(addresses.size()));
    CHECK(view_reads == 1);
}
