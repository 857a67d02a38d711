#include "verbenacove/process/control_state.hpp"
#include "verbenacove/process/region_budget.hpp"

#include <QJsonDocument>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace verbenacove;

namespace
{

region_name const wcape(QStringLiteral("wcape"));
region_name const gauteng(QStringLiteral("gauteng"));
entry_id const entry_1(QStringLiteral("entry-1"));
milliseconds const step(10);
milliseconds const grant_interval(1000);
milliseconds const grant_duration(5000);

/** Limits, a state that has them, and the ledger that grants of them. */
class limits_fixture
{
public:
    limits_fixture() { ledger.start_term(clock.now() - 2 * grant_duration); }

    void put_limit(QString const& name, QByteArray const& json,
                   qint64 expected = 0)
    {
        config_change change;
        change.id = change_id(QStringLiteral("c%1").arg(index));
        change.author = QStringLiteral("amina");
        change.kind = record_kind::limit;
        change.name = name;
        change.expected = record_version(expected);
        change.record = QJsonDocument::fromJson(json).object();
        apply_change(change);
    }

    void remove_limit(QString const& name, qint64 expected)
    {
        config_change change;
        change.id = change_id(QStringLiteral("c%1").arg(index));
        change.author = QStringLiteral("amina");
        change.kind = record_kind::limit;
        change.name = name;
        change.expected = record_version(expected);
        change.action = change_action::remove;
        apply_change(change);
    }

    void note_entry(entry_id const& entry)
    {
        claim_log_command const begun{log_time(1),
                                      abandon_command{entry, incarnation(0)}};
        state.apply(control_state::claim_command(to_cbor(begun)),
                    log_index(++index));
        ledger.admit(entry);
    }

    config_view_ptr view() const
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<config_view_ptr>
            {
                return config_view::empty()->apply_delta(
                    state.config().delta_since(config_version(0)), log_term(1));
            },
            [] { return config_view::empty(); });
    }

    /** Lets a budget ask, and gives it the answers. */
    void grant(region_budget& budget)
    {
        for (auto const& request : budget.next_requests())
        {
            if (auto const answer = ledger.answer(request, clock.now()))
            {
                budget.take(*answer);
            }
        }
    }

    manual_clock_source clock;
    control_state state;
    grant_ledger ledger;
    qint64 index = 0;

private:
    void apply_change(config_change const& change)
    {
        auto const result = change_result_from_cbor(
            state.apply(control_state::change_command(change_to_cbor(change)),
                        log_index(++index)));
        REQUIRE(result.outcome == change_outcome::accepted);
        for (auto const& [name, limit] : state.limits())
        {
            REQUIRE(ledger.set_limit(name, limit));
        }
    }
};

/** The whole cap of a region's slots: 160, of which each entry has a floor
    of 5. */
QByteArray const slots_160 =
    R"({"name":"s","limit":"slots","region":"wcape","slots":160,
        "floor_share":0.5})";
constexpr qint64 floor_of_160 = 5;
/** 1 Mbit/s from Gauteng, of which each entry has a floor of 12 kbit/s. */
QByteArray const link_1_mbps =
    R"({"name":"l","limit":"bandwidth","from":"gauteng","to":"wcape",
        "mbit_per_s":1,"floor_share":0.2})";

/** A budget of an entry in a region, that has taken the limits. */
class budget_fixture : public limits_fixture
{
public:
    explicit budget_fixture(region_name const& region = wcape)
        : budget(entry_1, incarnation(1), region, clock)
    {
        note_entry(entry_1);
    }

    /** Asks for grants over some seconds, with ever more in flight. */
    void grow(int seconds)
    {
        for (int i = 0; i < seconds; ++i)
        {
            for (int tries = 0; tries < 200; ++tries)
            {
                start(wcape);
            }
            grant(budget);
            clock.advance(grant_interval);
        }
    }

    bool start(region_name const& region, qint64 bytes = 0)
    {
        if (!budget.permits(region))
        {
            return false;
        }
        budget.begin(region, bytes);
        ++running;
        return true;
    }

    qint64 usable(resource_name const& resource) const
    {
        return budget.usable(resource).value();
    }

    region_budget budget;
    int running = 0;
};

} // namespace

TEST_CASE("region budget: without a limit, nothing is refused")
{
    budget_fixture test;
    test.budget.update(*test.view());
    CHECK(test.start(wcape));
    CHECK(test.start(gauteng, 1'000'000));
    CHECK(test.budget.next_requests().empty());
}

TEST_CASE("region budget: before the first grant, a limit lets nothing start")
{
    budget_fixture test;
    test.put_limit(QStringLiteral("s"), slots_160);
    test.budget.update(*test.view());
    CHECK(!test.start(wcape));
}

TEST_CASE("region budget: when its grant runs out, it has the floor only")
{
    budget_fixture test;
    test.put_limit(QStringLiteral("s"), slots_160);
    test.budget.update(*test.view());
    test.grow(6);
    auto const name = slots_resource(wcape);
    REQUIRE(test.usable(name) > floor_of_160);
    REQUIRE(test.running > floor_of_160);
    test.clock.advance(grant_duration);
    CHECK(test.usable(name) == floor_of_160);
    // As after a freeze: what runs is more than what may run.
    CHECK(!test.start(wcape));
    while (test.running >= floor_of_160)
    {
        CHECK(!test.budget.permits(wcape));
        test.budget.end(wcape, 0);
        --test.running;
    }
    CHECK(test.start(wcape));
    CHECK(!test.start(wcape));
}

TEST_CASE("region budget: late in its grant of slots, only the floor starts")
{
    budget_fixture test;
    test.put_limit(QStringLiteral("s"), slots_160);
    test.budget.update(*test.view());
    test.grow(3);
    test.grant(test.budget);
    auto const name = slots_resource(wcape);
    test.clock.advance(region_budget::slot_start_time - step);
    CHECK(test.usable(name) > floor_of_160);
    test.clock.advance(step);
    CHECK(test.usable(name) == floor_of_160);
    CHECK(!test.start(wcape));
}

TEST_CASE("region budget: an answer that comes after a freeze is not used")
{
    budget_fixture test;
    test.put_limit(QStringLiteral("s"), slots_160);
    test.budget.update(*test.view());
    test.grow(3);
    auto const requests = test.budget.next_requests();
    REQUIRE(requests.size() == 1);
    auto const answer = test.ledger.answer(requests[0], test.clock.now());
    REQUIRE(answer);
    test.clock.advance(grant_duration);
    test.budget.take(*answer);
    CHECK(test.usable(slots_resource(wcape)) == floor_of_160);
}

TEST_CASE(
    "region budget: slots under random load, never more than usable start")
{
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        budget_fixture test;
        test.put_limit(QStringLiteral("s"), slots_160);
        test.budget.update(*test.view());
        bool has_control = true;
        int most = 0;
        for (int i = 0; i < 3000; ++i)
        {
            test.clock.advance(step);
            has_control = random() % 300 == 0 ? !has_control : has_control;
            if (has_control && i % 100 == 0)
            {
                test.grant(test.budget);
            }
            auto const usable = test.usable(slots_resource(wcape));
            bool const may_start = test.running < usable;
            CHECK(test.start(wcape) == may_start);
            most = std::max(most, test.running);
            if (test.running > 0 && random() % 3 == 0)
            {
                test.budget.end(wcape, 0);
                --test.running;
            }
        }
        CHECK(most <= 160);
        CHECK(most > floor_of_160);
    }
}

TEST_CASE("region budget: a limit set while requests run, they are counted")
{
    budget_fixture test;
    for (int i = 0; i < 10; ++i)
    {
        REQUIRE(test.start(wcape));
    }
    test.put_limit(QStringLiteral("s"), slots_160);
    test.budget.update(*test.view());
    test.grant(test.budget);
    auto const usable = test.usable(slots_resource(wcape));
    REQUIRE(usable >= floor_of_160);
    while (test.running > usable)
    {
        CHECK(!test.budget.permits(wcape));
        test.budget.end(wcape, 0);
        --test.running;
    }
    while (test.start(wcape))
    {
    }
    CHECK(test.running == usable);
}

TEST_CASE("region budget: a limit removed and set again, what runs is counted")
{
    budget_fixture test;
    test.put_limit(QStringLiteral("s"), slots_160);
    test.budget.update(*test.view());
    test.grow(3);
    auto const before = test.running;
    REQUIRE(before > floor_of_160);
    test.remove_limit(QStringLiteral("s"), 1);
    test.budget.update(*test.view());
    test.put_limit(QStringLiteral("s"), slots_160, 2);
    test.budget.update(*test.view());
    test.clock.advance(grant_duration);
    CHECK(!test.start(wcape));
}

TEST_CASE("region budget: a link under load, its rate stays under its share")
{
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        budget_fixture test(gauteng);
        test.put_limit(QStringLiteral("l"), link_1_mbps);
        test.budget.update(*test.view());
        auto const name = link_resource(gauteng, wcape);
        constexpr qint64 most_bytes = 2000;
        double allowed_bits = 0;
        double sent_bits = 0;
        bool has_control = true;
        for (int i = 0; i < 3000; ++i)
        {
            has_control = random() % 300 == 0 ? !has_control : has_control;
            if (has_control && i % 100 == 0)
            {
                test.grant(test.budget);
            }
            // kbit/s are bits per millisecond.
            test.clock.advance(step);
            auto const rate = static_cast<double>(test.usable(name));
            allowed_bits += rate * static_cast<double>(step.count());
            auto const bytes = qint64(random() % most_bytes);
            if (test.start(wcape, bytes))
            {
                sent_bits += static_cast<double>(bytes) * 8;
                test.budget.end(wcape, 0);
            }
            // One request may run over; what was saved is of earlier steps.
            CHECK(sent_bits <= allowed_bits + double(most_bytes) * 8);
        }
        CHECK(sent_bits > 0);
    }
}

TEST_CASE("region budget: a large answer on a link, a pause as long as it took")
{
    budget_fixture test(wcape);
    test.put_limit(QStringLiteral("l"), link_1_mbps);
    test.budget.update(*test.view());
    auto const name = link_resource(gauteng, wcape);
    for (int i = 0; i < 8; ++i)
    {
        test.grant(test.budget);
        test.clock.advance(grant_interval);
    }
    test.grant(test.budget);
    auto const rate = test.usable(name);
    REQUIRE(rate > 0);
    REQUIRE(test.start(gauteng));
    // Two seconds' worth of the link's share.
    test.budget.end(gauteng, rate * 2000 / 8);
    test.clock.advance(milliseconds(1000));
    test.grant(test.budget);
    CHECK(!test.start(gauteng));
    CHECK(test.start(wcape));
}

TEST_CASE("control state: from a snapshot, holders and highest caps are kept")
{
    limits_fixture test;
    test.note_entry(entry_1);
    test.note_entry(entry_id(QStringLiteral("entry-2")));
    test.put_limit(QStringLiteral("s"), slots_160);
    test.put_limit(QStringLiteral("s"),
                   R"({"name":"s","limit":"slots","region":"wcape","slots":40,
                       "floor_share":0.5})",
                   1);
    test.put_limit(QStringLiteral("l"), link_1_mbps);
    test.remove_limit(QStringLiteral("l"), 1);
    control_state restored;
    REQUIRE(restored.restore(test.state.snapshot()));
    CHECK(restored.holders() == test.state.holders());
    CHECK(restored.snapshot() == test.state.snapshot());
    auto const& limit = restored.limits().at(slots_resource(wcape));
    CHECK(limit.cap == grant_amount(40));
    CHECK(limit.highest_cap == grant_amount(160));
    CHECK(limit.floor_percent == 50);
    CHECK(restored.limits().size() == 1);
    // A limit that is set again remembers what it was.
    test.state = std::move(restored);
    test.put_limit(QStringLiteral("l"),
                   R"({"name":"l","limit":"bandwidth","from":"gauteng",
                       "to":"wcape","mbit_per_s":0.5,"floor_share":0.2})",
                   2);
    auto const& link = test.state.limits().at(link_resource(gauteng, wcape));
    CHECK(link.cap == grant_amount(500));
    CHECK(link.highest_cap == grant_amount(1000));
}

TEST_CASE("control state: more entries than can hold floors, the first ones do")
{
    limits_fixture test;
    for (int i = 1; i <= int(control_state::maximum_holders) + 4; ++i)
    {
        test.note_entry(entry_id(QStringLiteral("e%1").arg(i)));
        test.note_entry(entry_id(QStringLiteral("e1")));
    }
    REQUIRE(test.state.holders().size() == control_state::maximum_holders);
    CHECK(test.state.holders().front() == entry_id(QStringLiteral("e1")));
    CHECK(test.state.holders().back() == entry_id(QStringLiteral("e16")));
}
