#include "discovery_test_tools.hpp"
#include "verbenacove/process/discovery/replica_link.hpp"

#include <array>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int upstream_count = 200;
constexpr qsizetype maximum_brief_bytes = 256;
constexpr milliseconds search_time{1500};

/** A replica that knows many upstreams, in a group of three of which the other
    two never start. */
struct leaderless_replica
{
    leaderless_replica()
    {
        for (int number = 0; number < upstream_count; ++number)
        {
            replica.discovery().handle_heartbeat(make_upstream(number),
                                                 [](bool) {});
        }
    }

    socket_address const& address() const { return replica.address(); }

    test_replica replica{{local_address(), local_address()}};
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

// Entries that found no replica with a leader read no changes for up to 2 s.
TEST_CASE_FIXTURE(
    leaderless_replica,
    "leader search: replica without a leader whose view the reader has: its "
    "response has the changes since, and waits for them")
{
    rpc_client client(address());
    std::optional<QCborMap> response;
    auto const read = [&](QCborMap request)
    {
        request[QLatin1String("m")] = QLatin1String("news");
        response.reset();
        client.call(std::move(request), milliseconds(2000),
                    [&](std::optional<QCborMap> const& reply)
                    { response = reply; });
    };
    read({});
    REQUIRE(wait_until([&] { return response.has_value(); }));
    read({{QLatin1String("brief"), true},
          {QLatin1String("hold"), 1000},
          {QLatin1String("position"), cbor_map(*response, "next")}});
    CHECK_FALSE(
        wait_until([&] { return response.has_value(); }, milliseconds(300)));
    auto cold = make_upstream(7);
    cold.sequence = 2;
    cold.content.cold_until = steady_clock_source().now() + milliseconds(3000);
    replica.discovery().handle_heartbeat(cold, [](bool) {});
    REQUIRE(
        wait_until([&] { return response.has_value(); }, milliseconds(400)));
    auto const upstreams = cbor_array(*response, "upstreams");
    REQUIRE(upstreams.size() == 1);
    CHECK(cbor_number(upstreams.first().toMap(), "cold") > 2000);
    CHECK_FALSE(cbor_flag(*response, "current"));
    CHECK(response->toCborValue().toCbor().size() < 2 * maximum_brief_bytes);
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
