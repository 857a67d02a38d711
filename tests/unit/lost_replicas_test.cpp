#include "discovery_test_tools.hpp"
#include "verbenacove/connection/rpc_client.hpp"

#include <algorithm>
#include <array>

using namespace verbenacove;
using verbenacove::support::replica_stand_in;
using verbenacove::support::test_replica;
using verbenacove::support::wait_until;

namespace
{

constexpr int upstream_count = 50;
/** A replica names others to upstreams after 1.5 s without a leader. */
constexpr milliseconds leaderless_time{2000};

/** A replica that reads another one. */
struct lost_replica_fixture
{
    lost_replica_fixture()
    {
        other.entries = 1;
        other.is_settled = true;
        REQUIRE(wait_until(
            [this]
            {
                return replica.discovery()
                           .membership()
                           .upstreams()
                           .records()
                           .size() == upstream_count;
            }));
    }

    /** Reads the replica as one that has lost contact with the other one. */
    QCborMap read_without_contact()
    {
        rpc_client client(replica.address());
        std::optional<QCborMap> response;
        QCborArray const lost{other.address().text()};
        client.call({{QLatin1String("m"), QLatin1String("news")},
                     {QLatin1String("replica"), true},
                     {QLatin1String("delegates"), true},
                     {QLatin1String("lost"), lost},
                     {QLatin1String("newly_lost"), lost}},
                    milliseconds(2000),
                    [&](std::optional<QCborMap> const& reply)
                    { response = reply; });
        REQUIRE(wait_until([&] { return response.has_value(); }));
        return *response;
    }

    replica_stand_in other{upstream_count};
    test_replica replica{{other.address()}};
};

struct election_fixture
{
    static location place(char const* zone)
    {
        return {region_name(QStringLiteral("wcape")),
                zone_name(QString::fromLatin1(zone))};
    }

    // Returns the replicas that are named for the next heartbeats.
    QSet<QString> named_receivers()
    {
        QSet<QString> result;
        for (int number = 0; number < 20; ++number)
        {
            auto const receiver = replica.discovery().heartbeat_receiver(
                upstream_id(QString::number(number)),
                zone_name(QStringLiteral("near")));
            if (receiver)
            {
                result.insert(receiver->text());
            }
        }
        return result;
    }

    replica_stand_in first;
    replica_stand_in second;
    test_replica replica{{first.address(), second.address()}, place("near")};
};

struct start_fixture
{
    std::array<replica_stand_in, 5> others;
    test_replica replica{{others[0].address(), others[1].address(),
                          others[2].address(), others[3].address(),
                          others[4].address()}};
};

/** A replica that starts beside settled ones, of which those that are asked for
    all entries take longer to respond. */
struct partial_view_fixture
{
    partial_view_fixture()
    {
        for (auto& other : others)
        {
            other.entries = entries_each;
            other.is_settled = true;
            other.all_entries_delay = milliseconds(800);
        }
    }

    bool knows_entries()
    {
        return !replica.discovery().membership().entries().records().isEmpty();
    }

    static constexpr int entries_each = 4;
    std::array<replica_stand_in, 3> others;
    test_replica replica{
        {others[0].address(), others[1].address(), others[2].address()}};
};

} // namespace

TEST_CASE_FIXTURE(lost_replica_fixture,
                  "lost replica: it is out of contact with the reader alone: "
                  "its records are passed on")
{
    auto const response = read_without_contact();
    CHECK(cbor_array(response, "upstreams").size() == upstream_count);
    CHECK(cbor_array(response, "vouched").size() == 1);
}

// After the loss of a region each replica got the records of all lost replicas
// from each of the rest at once.
TEST_CASE_FIXTURE(lost_replica_fixture,
                  "lost replica: nobody has contact with it: its records are "
                  "not passed on")
{
    other.stop();
    REQUIRE(wait_until(
        [this] { return replica.discovery().lost_replica_count() == 1; }));
    auto const response = read_without_contact();
    CHECK(cbor_array(response, "upstreams").isEmpty());
    CHECK(cbor_array(response, "vouched").isEmpty());
}

// During elections upstreams were sent from replica to replica, to those first
// that were gone.
TEST_CASE_FIXTURE(election_fixture,
                  "heartbeat receiver: no leader, but contact with a majority: "
                  "upstreams stay")
{
    wait_until([] { return false; }, leaderless_time);
    CHECK(named_receivers() == QSet<QString>{replica.address().text()});
}

TEST_CASE_FIXTURE(election_fixture,
                  "heartbeat receiver: no leader and no contact with a "
                  "majority: upstreams are sent to others")
{
    wait_until([] { return false; }, milliseconds(500));
    first.stop();
    second.stop();
    wait_until([] { return false; }, leaderless_time);
    auto const named = named_receivers();
    CHECK_FALSE(named.isEmpty());
    CHECK_FALSE(named.contains(replica.address().text()));
}

// A replica that started parsed the entries of a whole fleet once for each
// other replica.
TEST_CASE_FIXTURE(start_fixture,
                  "replica start: several others: two are asked for all "
                  "entries")
{
    wait_until([] { return false; }, milliseconds(500));
    int asked = 0;
    for (auto const& other : others)
    {
        asked += other.reads_of_all_entries > 0 ? 1 : 0;
    }
    CHECK(asked == 2);
}

// A replica that had just started sent the callers of all zones to the entries
// of the replica that responded first.
TEST_CASE_FIXTURE(partial_view_fixture,
                  "replica start: a settled replica has sent its own entries "
                  "only: the view does not count as settled")
{
    REQUIRE(wait_until([this] { return knows_entries(); }));
    CHECK_FALSE(replica.discovery().has_settled_view());
    CHECK(
        wait_until([this] { return replica.discovery().has_settled_view(); }));
    CHECK(replica.discovery().membership().entries().records().size() >=
          2 * entries_each);
}

// Late responses made each replica read the whole view of each other one, which
// made the next responses late.
TEST_CASE_FIXTURE(lost_replica_fixture,
                  "replica read: a response does not come in time: the next "
                  "read goes on from the same position")
{
    REQUIRE(other.reads_of_whole_view == 1);
    other.ignored_reads = 1;
    REQUIRE(wait_until(
        [this] { return replica.discovery().lost_replica_count() == 1; }));
    REQUIRE(wait_until(
        [this] { return replica.discovery().lost_replica_count() == 0; }));
    CHECK(other.reads_of_whole_view == 1);
}

TEST_CASE_FIXTURE(lost_replica_fixture,
                  "replica read: no response for so long that its entries "
                  "count as silent: the whole view is read again")
{
    other.ignored_reads = 3;
    REQUIRE(wait_until(
        [this] { return replica.discovery().lost_replica_count() == 1; }));
    REQUIRE(wait_until(
        [this] { return replica.discovery().lost_replica_count() == 0; }));
    CHECK(wait_until([this] { return other.reads_of_whole_view > 1; }));
}

// A replica that was late itself took all entries of all other replicas for
// silent, and sent callers to the few that it still heard.
TEST_CASE_FIXTURE(lost_replica_fixture,
                  "replica isolation: all others are lost at once: their "
                  "entries do not count as silent for a while")
{
    auto const silent_entries = [this]
    {
        auto const& entries =
            replica.discovery().membership().entries().records();
        return std::count_if(entries.begin(), entries.end(),
                             [](entry_member const& entry)
                             { return entry.is_silent; });
    };
    REQUIRE(replica.discovery().membership().entries().records().size() == 1);
    other.stop();
    wait_until([] { return false; }, milliseconds(4500));
    CHECK(silent_entries() == 0);
    CHECK(wait_until([&] { return silent_entries() == 1; }));
}
