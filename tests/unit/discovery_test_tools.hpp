#ifndef VERBENACOVE_TESTS_DISCOVERY_TEST_TOOLS_HPP
#define VERBENACOVE_TESTS_DISCOVERY_TEST_TOOLS_HPP

#include "support/child_process.hpp"
#include "support/wait_until.hpp"
#include "verbenacove/connection/rpc_server.hpp"
#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/discovery/discovery_service.hpp"

#include <doctest/doctest.h>

#include <QTemporaryDir>
#include <QTimer>

#include <memory>
#include <vector>

namespace verbenacove::support
{

inline socket_address local_address()
{
    return {QHostAddress(QHostAddress::LocalHost), free_port()};
}

/** Returns an upstream's record with its first heartbeat. */
inline upstream_member make_upstream(int number)
{
    upstream_member record;
    record.id = QStringLiteral("upstream-%1").arg(number);
    record.started = incarnation(1);
    record.sequence = 1;
    record.phase = member_phase::serving;
    record.content.address = {QHostAddress(QHostAddress::LocalHost),
                              static_cast<quint16>(1000 + number)};
    record.last_heartbeat = steady_clock_source().now();
    return record;
}

/** Returns an entry's record with its first heartbeat. */
inline entry_member make_entry(QString const& id)
{
    entry_member record;
    record.id = id;
    record.started = incarnation(1);
    record.sequence = 1;
    record.phase = member_phase::serving;
    record.content.address = {QHostAddress(QHostAddress::LocalHost), 1000};
    record.last_heartbeat = steady_clock_source().now();
    return record;
}

/** A real replica, in a group with others that need not exist. */
class test_replica
{
public:
    /** Starts it.

        @param others  the other voting replicas; also its seeds
    */
    explicit test_replica(std::vector<socket_address> const& others,
                          location place = {})
    {
        ensure_application();
        raft_members members;
        auto addresses = others;
        addresses.push_back(address_);
        for (auto const& address : addresses)
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
            discovery_settings{
                {address_, place.zone, place.region}, others, folder},
            *server_);
        REQUIRE(server_->start());
        discovery_->start();
    }

    socket_address const& address() const { return address_; }
    discovery_service& discovery() { return *discovery_; }
    control_server& server() { return *server_; }

private:
    QTemporaryDir folder_;
    socket_address address_ = local_address();
    std::unique_ptr<raft_storage> storage_;
    std::unique_ptr<control_server> server_;
    std::unique_ptr<discovery_service> discovery_;
};

/** Answers other replicas' reads as a replica would, and takes no part in the
    replicated log. */
class replica_stand_in
{
public:
    explicit replica_stand_in(int upstreams = 0)
        : upstreams_(upstreams)
    {
        ensure_application();
        server_ = std::make_unique<rpc_server>(
            [this](QCborMap const& request,
                   rpc_server::reply_function const& reply)
            { answer(request, reply); });
        REQUIRE(server_->listen(address_));
    }

    socket_address const& address() const { return address_; }

    /** Ends it, with its connections. */
    void stop() { server_.reset(); }

    /** Number of reads of the whole view. */
    int reads_of_whole_view = 0;
    /** Number of the next reads that get no response. */
    int ignored_reads = 0;
    /** Number of reads that asked for all entries. */
    int reads_of_all_entries = 0;
    /** Number of entries that report to it. */
    int entries = 0;
    /** Whether its view of the entries has settled. */
    bool is_settled = false;
    /** Delay of the response to a first read that asks for all entries. */
    milliseconds all_entries_delay{0};

private:
    static constexpr milliseconds hold{300};

    void answer(QCborMap const& request,
                rpc_server::reply_function const& reply)
    {
        if (cbor_text(request, "m") != QLatin1String("news"))
        {
            return;
        }
        bool const wants_all_entries = cbor_flag(request, "all_entries");
        reads_of_all_entries += wants_all_entries ? 1 : 0;
        auto const position =
            parse_sync_position(cbor_map(request, "position"));
        reads_of_whole_view += position.view_id == 0 ? 1 : 0;
        if (ignored_reads > 0)
        {
            --ignored_reads;
            return;
        }
        auto const now = steady_clock_source().now();
        replica_member self;
        self.id = address_.text();
        self.started = incarnation(1);
        self.sequence = ++sequence_;
        self.phase = member_phase::serving;
        self.content.address = address_;
        self.content.zone = zone_name(QStringLiteral("far"));
        self.last_heartbeat = now;
        QCborMap response{
            {QLatin1String("status"), QLatin1String("ok")},
            {QLatin1String("delegates"), true},
            {QLatin1String("settled"), is_settled},
            {QLatin1String("next"), to_cbor(sync_position{view_id})},
            {QLatin1String("replicas"), QCborArray{to_cbor(self, now)}}};
        if (sequence_ > 1)
        {
            QTimer::singleShot(
                std::min(hold, milliseconds(cbor_number(request, "hold"))),
                &context_, [reply, response] { reply(response); });
            return;
        }
        QCborArray records;
        for (int number = 0; number < upstreams_; ++number)
        {
            records.append(to_cbor(make_upstream(number), now));
        }
        response[QLatin1String("upstreams")] = records;
        QCborArray entry_records;
        for (int number = 0; number < entries; ++number)
        {
            auto const id =
                QStringLiteral("%1-entry-%2").arg(address_.text()).arg(number);
            entry_records.append(to_cbor(make_entry(id), now));
        }
        response[QLatin1String("entries")] = entry_records;
        QTimer::singleShot(wants_all_entries ? all_entries_delay
                                             : milliseconds(0),
                           &context_, [reply, response] { reply(response); });
    }

    static constexpr qint64 view_id = 77;

    socket_address address_ = local_address();
    int upstreams_;
    qint64 sequence_ = 0;
    QObject context_;
    std::unique_ptr<rpc_server> server_;
};

} // namespace verbenacove::support

#endif
