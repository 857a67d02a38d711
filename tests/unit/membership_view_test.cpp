#include "verbenacove/process/discovery/membership_view.hpp"

#include <QCborArray>

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

upstream_member upstream(char const* id, qint64 started, qint64 sequence)
{
    upstream_member record;
    record.id = QString::fromLatin1(id);
    record.started = incarnation(started);
    record.sequence = sequence;
    record.phase = member_phase::serving;
    record.content = {service_name(QStringLiteral("gradebook")),
                      *parse_socket_address(QStringLiteral("10.0.0.1:80")),
                      zone_name(QStringLiteral("wcape-a")), slot_count(4),
                      monotonic_time{}};
    return record;
}

view_reader const changes{};
view_reader const heartbeats{.wants_heartbeats = true};

struct view_fixture
{
    membership_view make(qint64 view_id, failure_detector detector)
    {
        return membership_view(view_id, detector, clock,
                               {[](upstream_member const&) {},
                                [](entry_member const&) {},
                                [](replica_member const&) {
                                }});
    }

    update_result apply_heartbeat(upstream_member record)
    {
        record.last_heartbeat = clock.now();
        return membership.apply_heartbeat(std::move(record));
    }

    member_phase phase(char const* id)
    {
        return membership.upstreams().find(QString::fromLatin1(id))->phase;
    }

    manual_clock_source clock;
    membership_view membership = make(7, failure_detector::self);
};

} // namespace

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: upstreams that say they are cold: only one that "
                  "was warm since its start counts as cooled")
{
    std::vector<QString> cooled;
    membership_view view(
        8, failure_detector::self, clock,
        {[](upstream_member const&) {}, [](entry_member const&) {},
         [](replica_member const&) {}, [](rate_limit_record const&) {},
         [&](upstream_member const& record)
         {
             cooled.push_back(record.id);
         }});
    auto const say = [&](qint64 started, qint64 sequence, int cold_ms)
    {
        auto record = upstream("i-1", started, sequence);
        record.content.cold_until =
            upstream_content::warmup_end(clock.now(), milliseconds(cold_ms));
        record.last_heartbeat = clock.now();
        view.apply_relayed(record);
    };
    say(1, 1, 3000);
    say(1, 2, 0);
    CHECK(cooled.empty());
    say(1, 3, 3000);
    CHECK(cooled.size() == 1);
    say(1, 4, 2500);
    say(2, 1, 3000);
    CHECK(cooled.size() == 1);
    clock.advance(milliseconds(3500));
    say(2, 2, 3000);
    CHECK(cooled.size() == 2);
}

TEST_CASE_FIXTURE(
    view_fixture,
    "discovery: late heartbeat of an earlier incarnation: ignored")
{
    CHECK(apply_heartbeat(upstream("a", 1000, 49)) == update_result::changed);
    CHECK(apply_heartbeat(upstream("a", 2000, 1)) == update_result::changed);
    CHECK(apply_heartbeat(upstream("a", 1000, 50)) == update_result::ignored);
    CHECK(membership.upstreams().find(QStringLiteral("a"))->started ==
          incarnation(2000));
    CHECK_FALSE(membership.holds(upstream("a", 1000, 50)));
    CHECK(membership.holds(upstream("a", 2000, 1)));
}

// After a step of its VM's clock all that the second start said, also that it
// was draining, was acknowledged and ignored.
TEST_CASE_FIXTURE(view_fixture,
                  "discovery: a restart by a clock that was set back: its "
                  "heartbeats and its departure count")
{
    apply_heartbeat(upstream("a", 2000, 50));
    clock.advance(milliseconds(1000));
    CHECK(apply_heartbeat(upstream("a", 1000, 1)) == update_result::changed);
    CHECK(membership.holds(upstream("a", 1000, 1)));
    auto draining = upstream("a", 1000, 2);
    draining.phase = member_phase::draining;
    CHECK(apply_heartbeat(draining) == update_result::changed);
    CHECK(membership.holds(draining));
    CHECK(phase("a") == member_phase::draining);
    // Late, of the start before.
    CHECK(apply_heartbeat(upstream("a", 2000, 51)) == update_result::ignored);
    CHECK(phase("a") == member_phase::draining);
    // By a clock that is right again.
    CHECK(apply_heartbeat(upstream("a", 9000, 1)) == update_result::changed);
    CHECK(phase("a") == member_phase::serving);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: a restart by a clock that was set back after a "
                  "departure: counts once it has shown that it is alive")
{
    apply_heartbeat(upstream("a", 2000, 50));
    membership.mark_upstream_gone(upstream_id(QStringLiteral("a")));
    clock.advance(milliseconds(2000));
    CHECK(apply_heartbeat(upstream("a", 1000, 1)) == update_result::ignored);
    CHECK_FALSE(membership.holds(upstream("a", 1000, 1)));
    clock.advance(milliseconds(1500));
    CHECK(apply_heartbeat(upstream("a", 1000, 2)) == update_result::changed);
    CHECK(membership.holds(upstream("a", 1000, 2)));
    CHECK(phase("a") == member_phase::serving);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: a start is taken for the later one by mistake: "
                  "the one that is alive comes back")
{
    apply_heartbeat(upstream("a", 2000, 1));
    // Never seen, and delayed by a partition.
    CHECK(apply_heartbeat(upstream("a", 1000, 7)) == update_result::changed);
    clock.advance(milliseconds(500));
    CHECK(apply_heartbeat(upstream("a", 2000, 2)) == update_result::ignored);
    clock.advance(milliseconds(1500));
    CHECK(apply_heartbeat(upstream("a", 2000, 3)) == update_result::changed);
    CHECK(membership.holds(upstream("a", 2000, 3)));
}

TEST_CASE_FIXTURE(
    view_fixture,
    "discovery: a restart by a clock that was set back, read from "
    "another replica: the later start, under what it says")
{
    apply_heartbeat(upstream("a", 2000, 50));
    auto reader = make(8, failure_detector::self);
    auto const position = reader.merge(membership.updates_since({}, changes));
    apply_heartbeat(upstream("a", 1000, 1));
    reader.merge(membership.updates_since(position, changes));
    CHECK(reader.holds(upstream("a", 1000, 1)));
    // The next heartbeat goes there.
    CHECK(reader.apply_heartbeat(upstream("a", 1000, 2)) !=
          update_result::ignored);
    CHECK(reader.holds(upstream("a", 1000, 2)));
    CHECK(reader.apply_heartbeat(upstream("a", 2000, 51)) ==
          update_result::ignored);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: an address reused by a start with a clock that "
                  "was set back: taken once the former is not heard any more")
{
    apply_heartbeat(upstream("a", 2000, 1));
    CHECK(apply_heartbeat(upstream("b", 1000, 1)) == update_result::ignored);
    clock.advance(milliseconds(500));
    apply_heartbeat(upstream("a", 2000, 2));
    clock.advance(milliseconds(1000));
    CHECK(apply_heartbeat(upstream("b", 1000, 2)) == update_result::ignored);
    CHECK_FALSE(membership.holds(upstream("b", 1000, 2)));
    clock.advance(milliseconds(1500));
    CHECK(apply_heartbeat(upstream("b", 1000, 3)) == update_result::changed);
    CHECK(phase("a") == member_phase::gone);
}

// Another writer must not move an upstream by one heartbeat.
TEST_CASE_FIXTURE(
    view_fixture,
    "discovery: a start never seen before, by an earlier clock and "
    "with another service: does not take the id of one in use")
{
    apply_heartbeat(upstream("a", 2000, 1));
    auto other = upstream("a", 1000, 1);
    other.content.service = service_name(QStringLiteral("dispatch"));
    CHECK(apply_heartbeat(other) == update_result::ignored);
    clock.advance(milliseconds(1500));
    apply_heartbeat(upstream("a", 2000, 2));
    other.sequence = 2;
    CHECK(apply_heartbeat(other) == update_result::ignored);
    CHECK(membership.holds(upstream("a", 2000, 2)));
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: an entry restarts by a clock that was set back: "
                  "its heartbeats count")
{
    entry_member entry;
    entry.id = QStringLiteral("entry-1");
    entry.started = incarnation(2000);
    entry.sequence = 9;
    entry.phase = member_phase::serving;
    entry.last_heartbeat = clock.now();
    membership.apply_heartbeat(entry);
    entry.started = incarnation(1000);
    entry.sequence = 1;
    CHECK(membership.apply_heartbeat(entry) == update_result::changed);
    entry.sequence = 2;
    CHECK(membership.apply_heartbeat(entry) != update_result::ignored);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: restart with the same id: sequence restarts")
{
    apply_heartbeat(upstream("a", 1000, 50));
    membership.mark_upstream_gone(upstream_id(QStringLiteral("a")));
    CHECK(apply_heartbeat(upstream("a", 1000, 51)) == update_result::ignored);
    CHECK(apply_heartbeat(upstream("a", 2000, 1)) == update_result::changed);
    CHECK(phase("a") == member_phase::serving);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: draining upstream: never returns to serving")
{
    apply_heartbeat(upstream("a", 1000, 1));
    auto draining = upstream("a", 1000, 3);
    draining.phase = member_phase::draining;
    CHECK(apply_heartbeat(draining) == update_result::changed);
    apply_heartbeat(upstream("a", 1000, 2));
    apply_heartbeat(upstream("a", 1000, 4));
    CHECK(phase("a") == member_phase::draining);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: address reused by a later start: earlier ends")
{
    apply_heartbeat(upstream("a", 1000, 1));
    CHECK(apply_heartbeat(upstream("b", 2000, 1)) == update_result::changed);
    CHECK(phase("a") == member_phase::gone);
    // A heartbeat that was delayed by a partition.
    CHECK(apply_heartbeat(upstream("c", 500, 9)) == update_result::ignored);
    CHECK(phase("b") == member_phase::serving);
}

// Check-ins of another registrar took the upstreams at their addresses out for
// good.
TEST_CASE_FIXTURE(view_fixture,
                  "discovery: an unnamed service at an address in use: the "
                  "upstream there serves on")
{
    auto foreign = [](char const* id, qint64 started, qint64 sequence)
    {
        auto record = upstream(id, started, sequence);
        record.content.service = service_name(QStringLiteral("another-system"));
        return record;
    };
    membership.set_named_services({service_name(QStringLiteral("gradebook"))});
    apply_heartbeat(upstream("a", 1000, 1));
    apply_heartbeat(foreign("f", 2000, 1));
    CHECK(phase("a") == member_phase::serving);
    CHECK(apply_heartbeat(upstream("a", 1000, 2)) != update_result::ignored);

    SUBCASE("a named one with a later start still replaces it")
    {
        apply_heartbeat(upstream("b", 3000, 1));
        CHECK(phase("a") == member_phase::gone);
        CHECK(phase("b") == member_phase::serving);
    }
    SUBCASE("one that starts before the foreign check-in is taken")
    {
        apply_heartbeat(upstream("c", 1500, 1));
        CHECK(phase("c") == member_phase::serving);
    }
    SUBCASE("named later, it takes the address with its next heartbeat")
    {
        membership.set_named_services(
            {service_name(QStringLiteral("gradebook")),
             service_name(QStringLiteral("another-system"))});
        apply_heartbeat(foreign("f", 2000, 2));
        CHECK(phase("a") == member_phase::gone);
        CHECK(phase("f") == member_phase::serving);
    }
}

// Guards against check-ins of another registrar that end an upstream for good
// by its own id (review/8 with the ids of the upstreams).
TEST_CASE_FIXTURE(view_fixture,
                  "discovery: an unnamed service under an id in use: the "
                  "upstream of that id serves on")
{
    service_name const own(QStringLiteral("gradebook"));
    service_name const other(QStringLiteral("another-system"));
    auto foreign = [&](qint64 started, qint64 sequence)
    {
        auto record = upstream("a", started, sequence);
        record.content.service = other;
        return record;
    };
    auto const service = [&]
    {
        return membership.upstreams()
            .find(QStringLiteral("a"))
            ->content.service;
    };
    SUBCASE("later start")
    {
        membership.set_named_services({own});
        apply_heartbeat(upstream("a", 1000, 1));
        CHECK(membership.is_foreign(foreign(2000, 1)));
        CHECK(apply_heartbeat(foreign(2000, 1)) == update_result::ignored);
        CHECK(service() == own);
        CHECK(apply_heartbeat(upstream("a", 1000, 2)) ==
              update_result::refreshed);
        // Named later, its start is the later one.
        membership.set_named_services({own, other});
        CHECK(service() == other);
    }
    SUBCASE("same start, later sequence, and a phase of its own")
    {
        membership.set_named_services({own});
        apply_heartbeat(upstream("a", 1000, 1));
        auto leaving = foreign(1000, 99);
        leaving.phase = member_phase::draining;
        apply_heartbeat(leaving);
        CHECK(service() == own);
        CHECK(phase("a") == member_phase::serving);
        CHECK(apply_heartbeat(upstream("a", 1000, 2)) !=
              update_result::ignored);
    }
    SUBCASE("before the first configuration")
    {
        apply_heartbeat(upstream("a", 1000, 1));
        apply_heartbeat(foreign(2000, 1));
        CHECK(service() == other);
        membership.set_named_services({own});
        CHECK(service() == own);
        CHECK(apply_heartbeat(upstream("a", 1000, 2)) !=
              update_result::ignored);
        CHECK(phase("a") == member_phase::serving);
    }
    SUBCASE("before the first configuration, the upstream after it")
    {
        apply_heartbeat(foreign(2000, 1));
        apply_heartbeat(upstream("a", 1000, 1));
        membership.set_named_services({own});
        apply_heartbeat(upstream("a", 1000, 2));
        CHECK(service() == own);
    }
    SUBCASE("at a reader that has seen both before the first configuration")
    {
        auto reader = make(8, failure_detector::self);
        apply_heartbeat(upstream("a", 1000, 1));
        auto position = reader.merge(membership.updates_since({}, heartbeats));
        apply_heartbeat(foreign(2000, 1));
        position = reader.merge(membership.updates_since(position, heartbeats));
        reader.set_named_services({own});
        CHECK(reader.upstreams().find(QStringLiteral("a"))->content.service ==
              own);
    }
    SUBCASE("after the upstream has left: a late heartbeat revives nothing")
    {
        membership.set_named_services({own});
        apply_heartbeat(upstream("a", 1000, 1));
        membership.mark_upstream_gone(upstream_id(QStringLiteral("a")));
        apply_heartbeat(foreign(2000, 1));
        CHECK(apply_heartbeat(upstream("a", 1000, 2)) ==
              update_result::ignored);
        CHECK(phase("a") == member_phase::gone);
    }
    SUBCASE("at a reader that learns of the configuration later")
    {
        auto reader = make(8, failure_detector::self);
        apply_heartbeat(foreign(2000, 1));
        auto const position =
            reader.merge(membership.updates_since({}, heartbeats));
        membership.set_named_services({own});
        apply_heartbeat(upstream("a", 1000, 1));
        reader.merge(membership.updates_since(position, heartbeats));
        reader.set_named_services({own});
        CHECK(reader.upstreams().find(QStringLiteral("a"))->content.service ==
              own);
    }
}

// Guards against protecting an id so far that its own next start is not taken.
TEST_CASE_FIXTURE(view_fixture,
                  "discovery: a true restart under a named service: taken, and "
                  "a departure right after it ends it")
{
    service_name const own(QStringLiteral("gradebook"));
    service_name const other(QStringLiteral("ledger"));
    membership.set_named_services({own, other});
    auto next = upstream("a", 2000, 1);
    SUBCASE("the same service") {}
    SUBCASE("another service")
    {
        next.content.service = other;
    }
    apply_heartbeat(upstream("a", 1000, 50));
    CHECK_FALSE(membership.is_foreign(next));
    CHECK(apply_heartbeat(next) == update_result::changed);
    auto const& taken = *membership.upstreams().find(QStringLiteral("a"));
    CHECK(taken.started == incarnation(2000));
    CHECK(taken.content.service == next.content.service);
    CHECK(apply_heartbeat(upstream("a", 1000, 51)) == update_result::ignored);
    membership.mark_upstream_gone(upstream_id(QStringLiteral("a")));
    CHECK(phase("a") == member_phase::gone);
    ++next.sequence;
    CHECK(apply_heartbeat(next) == update_result::ignored);
    CHECK(phase("a") == member_phase::gone);
}

namespace
{

/** A view and the departure of upstream `a` at a replica that did not know its
    start. */
struct departure_fixture : view_fixture
{
    departure_fixture() { clock.advance(std::chrono::seconds(100)); }

    /** @param estimate  the replica's clock */
    upstream_member departure(qint64 estimate)
    {
        upstream_member record;
        record.id = QStringLiteral("a");
        record.started = incarnation(estimate);
        record.phase = member_phase::gone;
        record.last_heartbeat = clock.now();
        record.is_of_unknown_start = true;
        return record;
    }

    /** Applies a record as another replica sends it. */
    update_result relay(upstream_member const& record)
    {
        upstream_member received;
        REQUIRE(from_cbor(to_cbor(record, clock.now()), clock.now(), received));
        return membership.apply_relayed(received);
    }

    upstream_member heard_now(qint64 started, qint64 sequence)
    {
        auto record = upstream("a", started, sequence);
        record.last_heartbeat = clock.now();
        return record;
    }
};

} // namespace

// Guards against departures that are acknowledged and have no effect, or that
// end the next start, because clocks differ.
TEST_CASE_FIXTURE(departure_fixture,
                  "discovery: departure of an unknown start: ends the one that "
                  "ran, whatever the clocks")
{
    qint64 estimate = 0;
    SUBCASE("clock behind")
    {
        estimate = 500;
    }
    SUBCASE("clock ahead")
    {
        estimate = 5000;
    }
    apply_heartbeat(upstream("a", 1000, 1));
    clock.advance(std::chrono::seconds(5));
    CHECK(relay(departure(estimate)) == update_result::changed);
    CHECK(phase("a") == member_phase::gone);
    CHECK(apply_heartbeat(upstream("a", 1000, 2)) == update_result::ignored);
    clock.advance(std::chrono::seconds(4));
    CHECK(apply_heartbeat(upstream("a", 2000, 1)) == update_result::changed);
    CHECK(phase("a") == member_phase::serving);
}

TEST_CASE_FIXTURE(departure_fixture,
                  "discovery: departure of an unknown start arrives after the "
                  "next start: that one serves on")
{
    apply_heartbeat(upstream("a", 1000, 1));
    auto const late = departure(9000);
    clock.advance(std::chrono::seconds(4));
    apply_heartbeat(upstream("a", 2000, 1));
    CHECK(relay(late) == update_result::ignored);
    CHECK(phase("a") == member_phase::serving);
}

TEST_CASE_FIXTURE(
    departure_fixture,
    "discovery: departure of an unknown start, then a record from "
    "before it: tells the start, which stays gone")
{
    auto const before = heard_now(1000, 7);
    clock.advance(milliseconds(200));
    relay(departure(500));
    clock.advance(milliseconds(200));
    relay(before);
    CHECK(phase("a") == member_phase::gone);
    CHECK(membership.upstreams().find(QStringLiteral("a"))->started ==
          incarnation(1000));
    clock.advance(std::chrono::seconds(4));
    CHECK(relay(heard_now(1000, 8)) == update_result::ignored);
    CHECK(relay(heard_now(1001, 1)) == update_result::changed);
}

TEST_CASE_FIXTURE(departure_fixture,
                  "discovery: departure of an unknown start, delayed heartbeat "
                  "after it: ignored; heartbeats that go on: a new start")
{
    relay(departure(5000));
    clock.advance(std::chrono::seconds(1));
    CHECK(apply_heartbeat(upstream("a", 6000, 1)) == update_result::ignored);
    clock.advance(std::chrono::seconds(3));
    CHECK(apply_heartbeat(upstream("a", 4000, 2)) == update_result::ignored);
    clock.advance(std::chrono::seconds(7));
    CHECK(apply_heartbeat(upstream("a", 4000, 7)) == update_result::changed);
    CHECK(phase("a") == member_phase::serving);
}

TEST_CASE_FIXTURE(departure_fixture,
                  "discovery: departures of known and unknown start: of one "
                  "moment, the known one stays; later, the later one")
{
    apply_heartbeat(upstream("a", 1000, 1));
    membership.mark_upstream_gone(upstream_id(QStringLiteral("a")));
    clock.advance(std::chrono::seconds(1));
    CHECK(relay(departure(5000)) == update_result::ignored);
    clock.advance(std::chrono::seconds(10));
    CHECK(relay(departure(500)) == update_result::changed);
    clock.advance(std::chrono::seconds(1));
    // Of the start between, which had not been heard of here.
    CHECK(apply_heartbeat(upstream("a", 1500, 9)) == update_result::ignored);
    CHECK(phase("a") == member_phase::gone);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: an upstream moves: its former address is free")
{
    auto at_port = [](char const* id, qint64 started, qint64 sequence, int port)
    {
        auto record = upstream(id, started, sequence);
        record.content.address.port = static_cast<quint16>(port);
        return record;
    };
    apply_heartbeat(at_port("a", 2000, 1, 80));
    apply_heartbeat(at_port("a", 2000, 2, 81));
    CHECK(apply_heartbeat(at_port("b", 1000, 1, 80)) == update_result::changed);
    CHECK(phase("a") == member_phase::serving);
    CHECK(apply_heartbeat(at_port("c", 3000, 1, 81)) == update_result::changed);
    CHECK(phase("a") == member_phase::gone);
    CHECK(phase("b") == member_phase::serving);
}

// A replica whose view took longer per heartbeat the more upstreams there were
// had no time left for agreement at 1,350 upstreams.
TEST_CASE_FIXTURE(
    view_fixture,
    "discovery: ten times the upstreams: a heartbeat's cost grows "
    "far less than tenfold")
{
    auto const time_for = [this](int count)
    {
        auto view = make(1, failure_detector::self);
        for (int sequence = 1; sequence <= 2; ++sequence)
        {
            for (int i = 0; i < count; ++i)
            {
                auto record = upstream("a", 1000, sequence);
                record.id = QString::number(i);
                record.content.address.port = static_cast<quint16>(1000 + i);
                record.last_heartbeat = clock.now();
                view.apply_heartbeat(std::move(record));
            }
        }
        auto const started = std::chrono::steady_clock::now();
        for (int i = 0; i < 2000; ++i)
        {
            auto record = upstream("a", 1000, 3 + i);
            record.id = QString::number(i % count);
            record.content.address.port =
                static_cast<quint16>(1000 + i % count);
            record.last_heartbeat = clock.now();
            view.apply_heartbeat(std::move(record));
        }
        return std::chrono::steady_clock::now() - started;
    };
    auto const small = std::min({time_for(200), time_for(200), time_for(200)});
    auto const large =
        std::min({time_for(2000), time_for(2000), time_for(2000)});
    CHECK(large < small * 3);
}

// Each response to another replica visited all records, so that replicas of the
// large fleet were out of processor time while few upstreams changed.
TEST_CASE_FIXTURE(view_fixture,
                  "discovery: twenty times the upstreams: the cost of one "
                  "change's delta grows far less")
{
    view_reader reader;
    reader.wants_heartbeats = true;
    reader.is_delegating = true;
    auto const time_for = [this, &reader](int count)
    {
        auto view = make(1, failure_detector::self);
        auto const beat = [&](int number, qint64 sequence, member_phase phase)
        {
            auto record = upstream("a", 1000, sequence);
            record.id = QString::number(number);
            record.content.address.port = static_cast<quint16>(1000 + number);
            record.phase = phase;
            view.apply_heartbeat(std::move(record));
        };
        for (int number = 0; number < count; ++number)
        {
            beat(number, 1, member_phase::serving);
        }
        auto const position =
            parse_sync_position(view.updates_since({}, reader)
                                    .value(QLatin1String("next"))
                                    .toMap());
        beat(0, 2, member_phase::draining);
        auto const started = std::chrono::steady_clock::now();
        for (int i = 0; i < 200; ++i)
        {
            view.updates_since(position, reader);
        }
        return std::chrono::steady_clock::now() - started;
    };
    auto const small = std::min({time_for(100), time_for(100), time_for(100)});
    auto const large =
        std::min({time_for(2000), time_for(2000), time_for(2000)});
    CHECK(large < small * 4);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: heartbeats stop, then resume: silent, then not")
{
    apply_heartbeat(upstream("a", 1000, 1));
    clock.advance(std::chrono::seconds(6));
    membership.expire();
    CHECK(membership.upstreams().find(QStringLiteral("a"))->is_silent);
    CHECK(apply_heartbeat(upstream("a", 1000, 2)) == update_result::changed);
    CHECK_FALSE(membership.upstreams().find(QStringLiteral("a"))->is_silent);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: deltas read by another view: each change once")
{
    auto reader = make(8, failure_detector::self);
    apply_heartbeat(upstream("a", 1000, 1));
    auto position = reader.merge(membership.updates_since({}, heartbeats));
    CHECK(reader.upstreams().records().size() == 1);
    CHECK_FALSE(membership.has_updates_since(position, changes));
    apply_heartbeat(upstream("a", 1000, 2));
    CHECK_FALSE(membership.has_updates_since(position, changes));
    auto const delta = membership.updates_since(position, heartbeats);
    reader.merge(delta);
    CHECK(reader.upstreams().find(QStringLiteral("a"))->sequence == 2);
    CHECK(delta.value(QLatin1String("upstreams")).isUndefined());
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: other view lacks a record: becomes silent")
{
    auto entry = make(0, failure_detector::source);
    auto other = make(9, failure_detector::self);
    apply_heartbeat(upstream("a", 1000, 1));
    entry.merge(membership.updates_since({}, changes));
    auto elsewhere = upstream("b", 1000, 1);
    elsewhere.content.address.port = 81;
    elsewhere.last_heartbeat = clock.now();
    other.apply_heartbeat(elsewhere);
    entry.merge(other.updates_since({}, changes));
    entry.expire();
    CHECK_FALSE(entry.upstreams().find(QStringLiteral("a"))->is_silent);
    clock.advance(std::chrono::seconds(9));
    entry.expire();
    CHECK(entry.upstreams().find(QStringLiteral("a"))->is_silent);
    CHECK_FALSE(entry.upstreams().find(QStringLiteral("b"))->is_silent);
}

TEST_CASE_FIXTURE(
    view_fixture,
    "discovery: unchanged heartbeat of a warm upstream: no change")
{
    apply_heartbeat(upstream("a", 1000, 1));
    clock.advance(std::chrono::seconds(2));
    auto warm = upstream("a", 1000, 2);
    warm.content.cold_until =
        upstream_content::warmup_end(clock.now(), milliseconds(0));
    CHECK(apply_heartbeat(warm) == update_result::refreshed);
    auto cold = upstream("a", 1000, 3);
    cold.content.cold_until =
        upstream_content::warmup_end(clock.now(), milliseconds(3000));
    CHECK(apply_heartbeat(cold) == update_result::changed);
}

TEST_CASE_FIXTURE(view_fixture,
                  "discovery: malformed delta: nothing is applied")
{
    QCborArray records;
    records.append(QCborMap{{QLatin1String("id"), 7}});
    records.append(QCborMap{{QLatin1String("id"), QLatin1String("x")},
                            {QLatin1String("phase"), 99}});
    records.append(QLatin1String("text"));
    QCborMap const delta{{QLatin1String("upstreams"), records}};
    membership.merge(delta);
    CHECK(membership.upstreams().records().isEmpty());
}
