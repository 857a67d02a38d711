#include "verbenacove/process/discovery/heartbeat_receiver.hpp"
#include "verbenacove/process/discovery/membership_view.hpp"

#include <QCborArray>

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

constexpr milliseconds between_reads{500};
constexpr int upstream_count = 20;
constexpr qint64 restarted_view_id = 9;

socket_address address_of(QString const& text)
{
    return *parse_socket_address(text);
}

/** Three replicas, each with its own view; all delegate to each other. */
struct replicas_fixture
{
    struct replica
    {
        QString name;
        membership_view view;
        QHash<QString, sync_position> positions;
    };

    replicas_fixture()
    {
        qint64 view_id = 1;
        for (auto const* name : {"10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"})
        {
            replicas.push_back(std::make_unique<replica>(
                replica{QString::fromLatin1(name), make(view_id++), {}}));
        }
    }

    membership_view make(qint64 view_id)
    {
        return membership_view(view_id, failure_detector::self, clock,
                               {[](upstream_member const&) {},
                                [](entry_member const&) {},
                                [](replica_member const&) {
                                }});
    }

    membership_view& view(std::size_t index) { return replicas[index]->view; }

    // Starts a replica again: its view is new and empty.
    void restart(std::size_t index)
    {
        auto const name = replicas[index]->name;
        replicas[index] = std::make_unique<replica>(
            replica{name, make(restarted_view_id), {}});
    }

    void beat(std::size_t index, qint64 sequence, int number = 0,
              member_phase phase = member_phase::serving)
    {
        upstream_member record;
        record.id = QString::number(number);
        record.started = incarnation(1000);
        record.sequence = sequence;
        record.phase = phase;
        record.content.service = service_name(QStringLiteral("gradebook"));
        record.content.address =
            address_of(QStringLiteral("10.1.0.1:%1").arg(1000 + number));
        record.content.zone = zone_name(QStringLiteral("wcape-a"));
        record.content.slots = slot_count(4);
        record.last_heartbeat = clock.now();
        view(index).apply_heartbeat(std::move(record));
    }

    view_reader reader_with(QSet<QString> const& lost = {},
                            QSet<QString> const& newly_lost = {}) const
    {
        view_reader reader;
        reader.wants_heartbeats = true;
        reader.is_delegating = true;
        reader.lost = lost;
        reader.newly_lost = newly_lost;
        return reader;
    }

    // Returns the number of records of upstreams that were sent.
    qsizetype read(std::size_t to, std::size_t from, view_reader const& reader)
    {
        auto& position = replicas[to]->positions[replicas[from]->name];
        auto const delta = view(from).updates_since(position, reader);
        position = view(to).merge(delta, {replicas[from]->name, is_new_build});
        return delta.value(QLatin1String("upstreams")).toArray().size();
    }

    // Reads all from all, except between the two that are cut off.
    qsizetype read_all(view_reader const& reader)
    {
        qsizetype sent = 0;
        for (std::size_t to = 0; to < replicas.size(); ++to)
        {
            for (std::size_t from = 0; from < replicas.size(); ++from)
            {
                sent += to != from ? read(to, from, reader) : 0;
            }
        }
        return sent;
    }

    void pass_time(milliseconds span, std::size_t beating, qint64& sequence)
    {
        for (milliseconds passed{0}; passed < span; passed += between_reads)
        {
            clock.advance(between_reads);
            beat(beating, ++sequence);
            read_all(reader_with());
            for (auto& each : replicas)
            {
                each->view.expire();
            }
        }
    }

    upstream_member const& record(std::size_t index, int number = 0)
    {
        auto const* found =
            view(index).upstreams().find(QString::number(number));
        REQUIRE(found != nullptr);
        return *found;
    }

    manual_clock_source clock;
    std::vector<std::unique_ptr<replica>> replicas;
    bool is_new_build = true;
};

/** The first replica receives the departure of an upstream that has reported to
    the second one before, which stores it; the third one has not read the first
    one since. */
struct missed_departure_fixture : replicas_fixture
{
    missed_departure_fixture()
    {
        beat(1, 1);
        read_all(reader_with());
        read_all(reader_with());
    }

    void depart_at_first_replica()
    {
        view(0).mark_upstream_gone(upstream_id(QStringLiteral("0")));
        auto stored = record(0);
        stored.receiver = replicas[0]->name;
        view(1).apply_relayed(std::move(stored));
        read(2, 1, reader_with());
    }

    // Returns the number of records that the third replica gets of the second.
    qsizetype read_missed(view_reader const& reader)
    {
        auto& position = replicas[2]->positions[replicas[1]->name];
        auto delta = view(1).updates_since(position, reader);
        view(1).add_missed_departures(delta, position, reader);
        position = view(2).merge(delta, {replicas[1]->name, is_new_build});
        return delta.value(QLatin1String("upstreams")).toArray().size();
    }

    member_phase phase_at_reader() { return record(2).phase; }
};

} // namespace

// Each replica used to pass on what it had heard from the others, so that every
// change was sent once for each pair of replicas.
TEST_CASE_FIXTURE(
    replicas_fixture,
    "delegated membership: upstreams appear: each is sent to each "
    "replica once")
{
    for (int number = 0; number < upstream_count; ++number)
    {
        beat(static_cast<std::size_t>(number) % 3, 1, number);
    }
    qsizetype sent = read_all(reader_with());
    sent += read_all(reader_with());
    CHECK(sent == upstream_count * 2);
    for (std::size_t index = 0; index < 3; ++index)
    {
        CHECK(view(index).upstreams().records().size() == upstream_count);
    }
}

TEST_CASE_FIXTURE(
    replicas_fixture,
    "delegated membership: steady heartbeats: sent to nobody, and "
    "nobody takes the upstream for silent")
{
    qint64 sequence = 1;
    beat(0, sequence);
    read_all(reader_with());
    pass_time(milliseconds(20000), 0, sequence);
    CHECK(record(0).sequence == sequence);
    CHECK(record(1).sequence == 1);
    CHECK_FALSE(record(1).is_silent);
    auto const delta = view(0).updates_since(
        replicas[1]->positions[replicas[0]->name], reader_with());
    CHECK(delta.value(QLatin1String("upstream_beats")).isUndefined());
}

TEST_CASE_FIXTURE(
    replicas_fixture,
    "delegated membership: heartbeats end: silent everywhere once "
    "their receiver says so, and back with the next one")
{
    qint64 sequence = 1;
    beat(0, sequence);
    read_all(reader_with());
    pass_time(milliseconds(3000), 0, sequence);
    clock.advance(milliseconds(5600));
    view(0).expire();
    read_all(reader_with());
    CHECK(record(0).is_silent);
    CHECK(record(1).is_silent);
    beat(0, ++sequence);
    read_all(reader_with());
    CHECK_FALSE(record(1).is_silent);
}

TEST_CASE_FIXTURE(replicas_fixture,
                  "delegated membership: heartbeats go to another replica: it "
                  "decides from then on")
{
    qint64 sequence = 1;
    beat(0, sequence);
    read_all(reader_with());
    pass_time(milliseconds(3000), 1, sequence);
    CHECK(record(0).receiver == replicas[1]->name);
    CHECK(record(2).receiver == replicas[1]->name);
    pass_time(milliseconds(20000), 1, sequence);
    CHECK_FALSE(record(0).is_silent);
    CHECK_FALSE(record(2).is_silent);
}

TEST_CASE_FIXTURE(
    replicas_fixture,
    "delegated membership: the receiver is out of contact: silent "
    "after the time-out")
{
    beat(0, 1);
    read_all(reader_with());
    clock.advance(milliseconds(5600));
    view(1).expire();
    CHECK(record(1).is_silent);
}

TEST_CASE_FIXTURE(
    replicas_fixture,
    "delegated membership: the receiver restarts and does not know "
    "the upstream: silent after the time-out")
{
    beat(0, 1);
    read_all(reader_with());
    restart(0);
    for (int i = 0; i < 12; ++i)
    {
        clock.advance(between_reads);
        read(1, 0, reader_with());
        view(1).expire();
    }
    CHECK(record(1).is_silent);
}

// A cut between two replicas must not hide what upstreams tell one of them.
TEST_CASE_FIXTURE(replicas_fixture,
                  "delegated membership: two replicas are cut off from each "
                  "other: the third passes on, and vouches")
{
    beat(0, 1);
    read_all(reader_with());
    // Told to the third before replica 1 knows that it has lost replica 0.
    beat(0, 1, 1);
    read(2, 0, reader_with());
    read(1, 2, reader_with());
    CHECK(view(1).upstreams().find(QStringLiteral("1")) == nullptr);
    QSet<QString> const lost{replicas[0]->name};
    read(1, 2, reader_with(lost, lost));
    CHECK(record(1, 1).receiver == replicas[0]->name);
    beat(0, 1, 2);
    for (int i = 0; i < 20; ++i)
    {
        clock.advance(between_reads);
        beat(0, 2 + i);
        read(2, 0, reader_with());
        read(1, 2, reader_with(lost));
        view(1).record_contact(replicas[0]->name, 1);
        view(1).expire();
    }
    CHECK(record(1, 2).receiver == replicas[0]->name);
    CHECK_FALSE(record(1).is_silent);
}

// Each replica passed on each departure to each other one; while many upstreams
// left, that took most of the replicas' time.
TEST_CASE_FIXTURE(replicas_fixture,
                  "delegated membership: upstreams leave: each replica is told "
                  "once, by the one that received the departure")
{
    for (int number = 0; number < upstream_count; ++number)
    {
        beat(static_cast<std::size_t>(number) % 3, 1, number);
    }
    read_all(reader_with());
    read_all(reader_with());
    for (int number = 0; number < upstream_count; ++number)
    {
        beat(static_cast<std::size_t>(number + 1) % 3, 2, number,
             member_phase::draining);
    }
    CHECK(read_all(reader_with()) + read_all(reader_with()) ==
          upstream_count * 2);
    for (int number = 0; number < upstream_count; ++number)
    {
        view(static_cast<std::size_t>(number) % 3)
            .mark_upstream_gone(upstream_id(QString::number(number)));
    }
    CHECK(read_all(reader_with()) + read_all(reader_with()) ==
          upstream_count * 2);
    for (std::size_t index = 0; index < 3; ++index)
    {
        CHECK(record(index, 0).phase == member_phase::gone);
        CHECK(record(index, 1).phase == member_phase::gone);
    }
}

TEST_CASE_FIXTURE(
    missed_departure_fixture,
    "delegated membership: the receiver of a departure is gone right after it "
    "was stored: those that stored it tell the others")
{
    depart_at_first_replica();
    CHECK(phase_at_reader() == member_phase::serving);
    auto reader = reader_with();
    reader.unreachable = {replicas[0]->name};
    reader.newly_unreachable = reader.unreachable;
    CHECK(read_missed(reader) == 1);
    CHECK(phase_at_reader() == member_phase::gone);
    reader.newly_unreachable.clear();
    CHECK(read_missed(reader) == 0);
}

TEST_CASE_FIXTURE(
    missed_departure_fixture,
    "delegated membership: the receiver of a departure has restarted before "
    "it was read: those that stored it tell the others")
{
    depart_at_first_replica();
    view(1).record_contact(replicas[0]->name, restarted_view_id);
    read(2, 1, reader_with());
    CHECK(phase_at_reader() == member_phase::gone);
}

// Nobody would tell the others: the first replica is lost, and the second one
// has known of the departure before it was told itself.
TEST_CASE_FIXTURE(replicas_fixture,
                  "delegated membership: a departure gets no acknowledgement "
                  "and goes to another replica: that one tells the others")
{
    beat(0, 1);
    read_all(reader_with());
    read_all(reader_with());
    beat(0, 2, 0, member_phase::draining);
    auto stored = record(0);
    stored.receiver = replicas[0]->name;
    view(1).apply_relayed(std::move(stored));
    read(2, 1, reader_with());
    REQUIRE(record(2).phase == member_phase::serving);
    beat(1, 3, 0, member_phase::draining);
    read(2, 1, reader_with());
    CHECK(record(2).phase == member_phase::draining);
}

// The burst of records after a loss would grow with what the lost replica has
// received for minutes.
TEST_CASE_FIXTURE(missed_departure_fixture,
                  "delegated membership: a replica is lost long after "
                  "departures: they are not sent again")
{
    depart_at_first_replica();
    for (int i = 0; i < 30; ++i)
    {
        clock.advance(between_reads);
        view(1).expire();
    }
    auto reader = reader_with();
    reader.unreachable = {replicas[0]->name};
    reader.newly_unreachable = reader.unreachable;
    CHECK(read_missed(reader) == 0);
}

TEST_CASE_FIXTURE(
    replicas_fixture,
    "delegated membership: a departure: passed on by all, and kept "
    "for a replica that starts later")
{
    beat(0, 1);
    read_all(reader_with());
    beat(0, 2, 0, member_phase::draining);
    read_all(reader_with());
    view(0).mark_upstream_gone(upstream_id(QStringLiteral("0")));
    read_all(reader_with());
    restart(0);
    auto late = make(10);
    late.merge(view(1).updates_since({}, reader_with()),
               {replicas[1]->name, true});
    REQUIRE(late.upstreams().find(QStringLiteral("0")) != nullptr);
    CHECK(late.upstreams().find(QStringLiteral("0"))->phase ==
          member_phase::gone);
}

TEST_CASE_FIXTURE(
    replicas_fixture,
    "delegated membership: a record of an upstream that was heard "
    "of by delegation for long: kept when it leaves")
{
    qint64 sequence = 1;
    beat(0, sequence);
    read_all(reader_with());
    pass_time(std::chrono::minutes(4), 0, sequence);
    view(1).mark_upstream_gone(upstream_id(QStringLiteral("0")));
    view(1).expire();
    CHECK(record(1).phase == member_phase::gone);
}

// Contact with the receiver kept the record of a departed upstream for good,
// and a full table takes no new upstreams.
TEST_CASE_FIXTURE(replicas_fixture,
                  "delegated membership: an upstream has left for longer than "
                  "its retention period: its record is removed")
{
    qint64 sequence = 1;
    beat(0, sequence);
    beat(0, sequence, 1);
    read_all(reader_with());
    view(1).mark_upstream_gone(upstream_id(QStringLiteral("1")));
    pass_time(std::chrono::minutes(4), 0, sequence);
    CHECK(view(1).upstreams().find(QStringLiteral("1")) == nullptr);
}

TEST_CASE_FIXTURE(
    replicas_fixture,
    "delegated membership: a reader of an earlier build: gets all "
    "changes and heartbeats")
{
    view_reader earlier;
    earlier.wants_heartbeats = true;
    is_new_build = false;
    beat(0, 1);
    read_all(reader_with());
    auto const whole = view(1).updates_since({}, earlier);
    auto const records = whole.value(QLatin1String("upstreams")).toArray();
    CHECK(records.size() == 1);
    CHECK(records.at(0).toMap().value(QLatin1String("receiver")).isUndefined());
    auto const position = parse_sync_position(view(0)
                                                  .updates_since({}, earlier)
                                                  .value(QLatin1String("next"))
                                                  .toMap());
    beat(0, 2);
    auto const delta = view(0).updates_since(position, earlier);
    CHECK(delta.value(QLatin1String("upstream_beats")).toArray().size() == 1);
}

namespace
{

struct receivers_fixture : replicas_fixture
{
    void add_replica(char const* address, char const* region, char const* zone)
    {
        replica_member record;
        record.id = QString::fromLatin1(address);
        record.started = incarnation(1);
        record.sequence = 1;
        record.phase = member_phase::serving;
        record.content = {address_of(record.id),
                          zone_name(QString::fromLatin1(zone)),
                          region_name(QString::fromLatin1(region))};
        record.last_heartbeat = clock.now();
        view(0).apply_heartbeat(std::move(record));
    }

    QString receiver(int number, char const* zone)
    {
        auto const chosen =
            choose_receiver(view(0), upstream_id(QString::number(number)),
                            zone_name(QString::fromLatin1(zone)));
        return chosen ? chosen->text() : QString();
    }
};

} // namespace

TEST_CASE_FIXTURE(receivers_fixture,
                  "heartbeat receiver: replicas in the zone: one of them, and "
                  "the upstreams are spread over them")
{
    add_replica("10.0.0.1:70", "wcape", "wcape-a");
    add_replica("10.0.0.2:70", "wcape", "wcape-a");
    add_replica("10.0.0.3:70", "ecape", "ecape-a");
    QHash<QString, int> counts;
    for (int number = 0; number < 200; ++number)
    {
        ++counts[receiver(number, "wcape-a")];
    }
    CHECK(counts.value(QStringLiteral("10.0.0.3:70")) == 0);
    CHECK(counts.value(QStringLiteral("10.0.0.1:70")) > 60);
    CHECK(counts.value(QStringLiteral("10.0.0.2:70")) > 60);
}

TEST_CASE_FIXTURE(receivers_fixture,
                  "heartbeat receiver: none in the zone: one of the region")
{
    add_replica("10.0.0.1:70", "wcape", "wcape-a");
    add_replica("10.0.0.3:70", "ecape", "ecape-a");
    entry_member entry;
    entry.id = QStringLiteral("entry");
    entry.started = incarnation(1);
    entry.sequence = 1;
    entry.phase = member_phase::serving;
    entry.content.zone = zone_name(QStringLiteral("ecape-b"));
    entry.content.region = region_name(QStringLiteral("ecape"));
    view(0).apply_heartbeat(std::move(entry));
    CHECK(receiver(1, "ecape-b") == QStringLiteral("10.0.0.3:70"));
}

TEST_CASE_FIXTURE(
    receivers_fixture,
    "heartbeat receiver: this replica has lost the leader: another "
    "one, those that it does not hear first, in turn")
{
    add_replica("10.0.0.1:70", "wcape", "wcape-a");
    add_replica("10.0.0.2:70", "wcape", "wcape-a");
    add_replica("10.0.0.3:70", "ecape", "ecape-a");
    add_replica("10.0.0.4:70", "ecape", "ecape-a");
    clock.advance(milliseconds(3100));
    view(0).expire();
    auto const self = address_of(QStringLiteral("10.0.0.1:70"));
    QSet<QString> named;
    for (qint64 attempt = 0; attempt < 20; ++attempt)
    {
        auto const chosen = choose_remote_receiver(
            view(0), self, upstream_id(QStringLiteral("1")), attempt);
        REQUIRE(chosen);
        named.insert(chosen->text());
    }
    CHECK_FALSE(named.contains(self.text()));
    CHECK(named.size() == 3);
}
