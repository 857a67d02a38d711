#include "verbenacove/request/admission.hpp"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace verbenacove;

namespace
{

constexpr auto interactive = request_class::interactive;
constexpr auto batch = request_class::batch;

/** A service with four slots, and the decisions on waiting requests. */
struct admission_fixture
{
    manual_clock_source clock;
    admission slots{clock};
    service_name service{QStringLiteral("gradebook")};
    std::vector<admission_decision> decisions;

    admission_fixture() { slots.set_slots(service, slot_count(4)); }

    admission::result enter(request_class kind, int milliseconds_left = 500)
    {
        return slots.enter(service, kind,
                           clock.now() + milliseconds(milliseconds_left),
                           [this](admission_decision decision)
                           { decisions.push_back(decision); });
    }

    std::vector<admission_ticket> fill(request_class kind, int count)
    {
        std::vector<admission_ticket> tickets;
        for (int i = 0; i < count; ++i)
        {
            auto const entered = enter(kind);
            CHECK(entered.decision == admission_decision::admitted);
            tickets.push_back(entered.ticket);
        }
        return tickets;
    }
};

} // namespace

TEST_CASE_FIXTURE(admission_fixture,
                  "admission: slot released: interactive admitted before batch")
{
    auto const running = fill(interactive, 4);
    CHECK(enter(batch).decision == admission_decision::waiting);
    CHECK(enter(interactive).decision == admission_decision::waiting);
    slots.leave(running[0]);
    CHECK(decisions.size() == 1);
    CHECK(slots.waiting_count(service, interactive) == 0);
    CHECK(slots.waiting_count(service, batch) == 1);
    CHECK(slots.running_count(service) == 4);
}

TEST_CASE_FIXTURE(
    admission_fixture,
    "admission: only batch running: slots reserved for interactive")
{
    fill(batch, 3);
    CHECK(enter(batch).decision == admission_decision::waiting);
    CHECK(enter(interactive).decision == admission_decision::admitted);
}

TEST_CASE_FIXTURE(
    admission_fixture,
    "admission: deadline passes while waiting: callback called once")
{
    fill(interactive, 4);
    CHECK(enter(batch, 300).decision == admission_decision::waiting);
    CHECK(slots.next_expiry() == clock.now() + milliseconds(300));
    clock.advance(milliseconds(299));
    slots.expire();
    CHECK(decisions.empty());
    clock.advance(milliseconds(1));
    slots.expire();
    slots.expire();
    CHECK(decisions == std::vector{admission_decision::deadline});
    CHECK_FALSE(slots.next_expiry());
}

TEST_CASE_FIXTURE(admission_fixture,
                  "admission: slot released after the deadline: not admitted")
{
    auto const running = fill(interactive, 4);
    enter(interactive, 10);
    clock.advance(milliseconds(10));
    slots.leave(running[0]);
    CHECK(decisions == std::vector{admission_decision::deadline});
    CHECK(enter(interactive, 0).decision == admission_decision::deadline);
    CHECK(slots.running_count(service) == 3);
}

TEST_CASE_FIXTURE(
    admission_fixture,
    "admission: no slot expected before the deadline: refused at once")
{
    for (int i = 0; i < 100; ++i)
    {
        auto const ticket = fill(interactive, 1)[0];
        clock.advance(milliseconds(400));
        slots.leave(ticket);
    }
    fill(interactive, 4);
    CHECK(enter(interactive, 50).decision == admission_decision::overloaded);
    CHECK(enter(interactive, 500).decision == admission_decision::waiting);
    CHECK(enter(batch, 50).decision == admission_decision::waiting);
}

TEST_CASE_FIXTURE(admission_fixture,
                  "admission: no slots: batch waits, interactive refused")
{
    slots.set_slots(service, slot_count(0));
    CHECK(enter(interactive).decision == admission_decision::overloaded);
    CHECK(enter(batch).decision == admission_decision::waiting);
    slots.set_slots(service, slot_count(1));
    CHECK(decisions == std::vector{admission_decision::admitted});
}

TEST_CASE_FIXTURE(admission_fixture,
                  "admission: queue full: next request refused")
{
    fill(interactive, 4);
    auto const queue_limit = default_class_policies()[2].maximum_waiting;
    for (std::size_t i = 0; i < queue_limit; ++i)
    {
        CHECK(enter(batch).decision == admission_decision::waiting);
    }
    CHECK(enter(batch).decision == admission_decision::overloaded);
    CHECK(slots.waiting_count(service, batch) == queue_limit);
}

TEST_CASE("time_left: before and after the deadline: at least 1 ms, or nothing")
{
    manual_clock_source clock;
    auto const now = clock.now();
    CHECK(time_left(now + std::chrono::microseconds(1), now) ==
          milliseconds(1));
    CHECK(time_left(now + milliseconds(30), now) == milliseconds(30));
    CHECK_FALSE(time_left(now, now));
}

// Requests enter, leave and disconnect at random while the number of slots
// changes. No request is admitted beyond the slots, and each waiting request is
// decided once, in time.
TEST_CASE(
    "admission: random load: slots respected, all waiting requests decided")
{
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        auto const below = [&](int bound)
        {
            return int(random() % unsigned(bound));
        };
        manual_clock_source clock;
        admission slots(clock);
        service_name const service(QStringLiteral("gradebook"));
        int limit = 4;
        slots.set_slots(service, slot_count(limit));
        std::map<int, admission_ticket> running;
        std::map<int, std::pair<admission_ticket, monotonic_time>> waiting;
        int faults = 0;
        for (int step = 0; step < 500; ++step)
        {
            clock.advance(milliseconds(below(10)));
            slots.expire();
            for (auto const& [number, wait] : waiting)
            {
                faults += clock.now() >= wait.second ? 1 : 0;
            }
            auto const deadline = clock.now() + milliseconds(below(200));
            auto const on_decision =
                [&, step, deadline](admission_decision decision)
            {
                auto const known = waiting.find(step);
                if (known == waiting.end())
                {
                    ++faults;
                    return;
                }
                if (decision == admission_decision::admitted)
                {
                    faults += clock.now() >= deadline ? 1 : 0;
                    faults += slots.running_count(service) > limit ? 1 : 0;
                    running[step] = known->second.first;
                }
                waiting.erase(known);
            };
            auto const entered = slots.enter(service, request_class(below(3)),
                                             deadline, on_decision);
            if (entered.decision == admission_decision::admitted)
            {
                running[step] = entered.ticket;
                faults += slots.running_count(service) > limit ? 1 : 0;
            }
            if (entered.decision == admission_decision::waiting)
            {
                waiting[step] = {entered.ticket, deadline};
            }
            if (below(3) == 0 && !running.empty())
            {
                auto const ticket = running.begin()->second;
                running.erase(running.begin());
                slots.leave(ticket);
            }
            if (below(20) == 0 && !waiting.empty())
            {
                auto const ticket = waiting.begin()->second.first;
                waiting.erase(waiting.begin());
                slots.leave(ticket);
            }
            if (below(50) == 0)
            {
                limit = below(6);
                slots.set_slots(service, slot_count(limit));
            }
            faults += slots.running_count(service) != int(running.size());
        }
        CHECK(faults == 0);
    }
}
