#include "verbenacove/core/packed_cbor.hpp"
#include "verbenacove/process/discovery/delta_cache.hpp"

#include <QCborArray>

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

struct cache_fixture
{
    void add(int number, qint64 sequence = 1)
    {
        upstream_member record;
        record.id = QString::number(number);
        record.started = incarnation(1000);
        record.sequence = sequence;
        record.phase = member_phase::serving;
        record.content.address = *parse_socket_address(
            QStringLiteral("10.0.0.1:%1").arg(1 + number));
        record.last_heartbeat = clock.now();
        view.apply_heartbeat(std::move(record));
    }

    delta_cache::cached_delta const& find(sync_position const& position)
    {
        return cache.find(view, position, clock);
    }

    static qsizetype upstreams_in(QCborMap const& delta)
    {
        return delta.value(QLatin1String("upstreams")).toArray().size();
    }

    manual_clock_source clock;
    membership_view view{7,
                         failure_detector::self,
                         clock,
                         {[](upstream_member const&) {},
                          [](entry_member const&) {},
                          [](replica_member const&) {
                          }}};
    delta_cache cache{{}, delta_cache::packing::large_deltas};
    delta_cache replica_cache{{.wants_heartbeats = true, .is_delegating = true},
                              delta_cache::packing::none};
};

/** A clock by which each reading takes a while, as on a busy machine. */
class slow_clock : public clock_source
{
public:
    monotonic_time now() const override
    {
        clock_.advance(per_reading);
        return clock_.now();
    }

    milliseconds per_reading{10};

private:
    mutable manual_clock_source clock_;
};

} // namespace

TEST_CASE_FIXTURE(cache_fixture,
                  "delta cache: a large delta: packed, with the same content")
{
    for (int number = 0; number < 100; ++number)
    {
        add(number);
    }
    auto const delta = find({});
    REQUIRE_FALSE(delta.packed.isEmpty());
    auto const unpacked = unpack_cbor(delta.packed);
    REQUIRE(unpacked);
    CHECK(*unpacked == delta.plain);
    CHECK(upstreams_in(*unpacked) == 100);
}

TEST_CASE_FIXTURE(cache_fixture, "delta cache: a small delta: not packed")
{
    add(1);
    CHECK(find({}).packed.isEmpty());
    CHECK(upstreams_in(find({}).plain) == 1);
}

// Entries that come from other replicas at once made each the whole view anew.
TEST_CASE_FIXTURE(cache_fixture,
                  "delta cache: readers of other views: one delta for all")
{
    add(1);
    sync_position position;
    for (qint64 view_id = 100; view_id < 200; ++view_id)
    {
        position.view_id = view_id;
        position.upstreams = view_id * 3;
        auto const* const first = &find({}).plain;
        CHECK(&find(position).plain == first);
    }
}

TEST_CASE_FIXTURE(cache_fixture,
                  "delta cache: the view has changed: the new state is given")
{
    add(1);
    auto const before = parse_sync_position(
        find({}).plain.value(QLatin1String("next")).toMap());
    add(2);
    CHECK(upstreams_in(find({}).plain) == 2);
    CHECK(upstreams_in(find(before).plain) == 1);
}

// After a loss of replicas each of their readers had a view made for it alone,
// as the view changed all the time: replicas were too late to elect a leader.
TEST_CASE_FIXTURE(cache_fixture,
                  "delta cache: many readers of other views while the view "
                  "changes: few views are made")
{
    slow_clock const busy;
    for (int number = 0; number < 100; ++number)
    {
        add(number);
        sync_position position;
        position.view_id = 100 + number;
        cache.find(view, position, busy);
    }
    CHECK(cache.take_made().whole_views <= 10);
}

TEST_CASE_FIXTURE(cache_fixture,
                  "delta cache: a whole view of a while ago: its reader gets "
                  "what has changed since")
{
    slow_clock const busy;
    add(1);
    cache.find(view, {}, busy);
    add(2);
    auto const whole = cache.find(view, {}, busy).plain;
    REQUIRE(upstreams_in(whole) == 1);
    auto const next =
        parse_sync_position(whole.value(QLatin1String("next")).toMap());
    CHECK(view.has_updates_since(next, {}));
    CHECK(upstreams_in(cache.find(view, next, busy).plain) == 1);
}

// Each of 18 replicas had the same delta made for it alone.
TEST_CASE_FIXTURE(cache_fixture,
                  "delta cache: replicas at the same position: one delta for "
                  "all, not packed")
{
    for (int number = 0; number < 100; ++number)
    {
        add(number);
    }
    auto const* const first = &replica_cache.find(view, {}, clock);
    CHECK(upstreams_in(first->plain) == 100);
    CHECK(first->packed.isEmpty());
    CHECK(&replica_cache.find(view, {}, clock) == first);
    CHECK(replica_cache.take_made().whole_views == 1);
}

TEST_CASE_FIXTURE(
    cache_fixture,
    "delta cache: a heartbeat without a change: replicas read on from "
    "after it")
{
    add(1);
    auto const position = view.position();
    add(2);
    replica_cache.find(view, position, clock);
    add(1, 2);
    auto const& delta = replica_cache.find(view, position, clock).plain;
    CHECK(delta.value(QLatin1String("next")) ==
          to_cbor(view.position()).toCborValue());
}
