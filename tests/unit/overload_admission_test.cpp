#include "verbenacove/request/overload_admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <vector>

using namespace verbenacove;

namespace
{

constexpr milliseconds step{5};
constexpr int slots = 60;
constexpr std::size_t longest_waiting = 180;
constexpr milliseconds objective{400};

/** What became of the requests of one group. */
struct tally
{
    int sent = 0;
    int in_time = 0;
    double share() const { return sent == 0 ? 1 : double(in_time) / sent; }
};

/** One service of 60 slots that runs requests in the order of arrival, and the
    requests of a few seconds. */
struct load_fixture
{
    struct request
    {
        std::size_t group = 0;
        monotonic_time arrival;
        monotonic_time started;
        milliseconds work{0};
    };

    /** Requests per second of a group. */
    struct group_load
    {
        int priority = 0;
        QString team;
        double per_second = 0;
    };

    using policy = std::function<bool(admission_subject const&)>;

    /** Returns what became of each group's requests. */
    std::vector<tally> play(std::vector<group_load> const& groups,
                            milliseconds length, policy const& admits)
    {
        std::vector<tally> result(groups.size());
        auto const end = clock.now() + length;
        while (clock.now() < end)
        {
            for (std::size_t i = 0; i < groups.size(); ++i)
            {
                arrive(groups[i], i, result[i], admits);
            }
            run(result);
            clock.advance(step);
        }
        return result;
    }

    void arrive(group_load const& load, std::size_t group, tally& counted,
                policy const& admits)
    {
        std::poisson_distribution<int> number(load.per_second *
                                              double(step.count()) / 1000);
        for (int left = number(random); left > 0; --left)
        {
            ++counted.sent;
            admission_subject const subject{load.priority, load.team, objective,
                                            uniform(random)};
            if (admits(subject) && waiting.size() < longest_waiting)
            {
                auto const work =
                    milliseconds(100 + int(200 * uniform(random)));
                waiting.push_back({group, clock.now(), {}, work});
            }
        }
    }

    void run(std::vector<tally>& result)
    {
        auto const now = clock.now();
        std::erase_if(running,
                      [&](request const& each)
                      {
                          bool const has_ended =
                              now >= each.started + each.work;
                          if (has_ended)
                          {
                              finish(each, result[each.group]);
                          }
                          return has_ended;
                      });
        while (running.size() < slots && !waiting.empty())
        {
            running.push_back(waiting.front());
            running.back().started = now;
            waiting.pop_front();
        }
    }

    void finish(request const& ended, tally& counted)
    {
        auto const took = elapsed(ended.arrival, clock.now());
        counted.in_time += took <= objective ? 1 : 0;
        admission.record_load({int(running.size()), int(waiting.size()), slots},
                              took, clock.now());
    }

    policy by_room()
    {
        return [this](admission_subject const& subject)
        {
            return admission.decide(subject, clock.now()).is_admitted;
        };
    }

    static bool first_come(admission_subject const&) { return true; }

    /** Requests per second that keep all slots busy. */
    static constexpr double capacity = slots / 0.2;

    std::mt19937 random{7};
    std::uniform_real_distribution<double> uniform{0, 1};
    manual_clock_source clock;
    overload_admission admission;
    std::deque<request> waiting;
    std::vector<request> running;
};

} // namespace

TEST_CASE_FIXTURE(load_fixture,
                  "overload admission: room for all: nothing is refused")
{
    auto const result = play({{0, {}, capacity * 0.4}, {2, {}, capacity * 0.4}},
                             milliseconds(6000), by_room());
    CHECK(admission.room() == 1);
    for (auto const& counted : admission.decisions())
    {
        CHECK(counted.refused == 0);
    }
    CHECK(result[0].share() > 0.95);
    CHECK(result[1].share() > 0.95);
}

TEST_CASE_FIXTURE(
    load_fixture,
    "overload admission: a burst: more in time than first come, urgent first")
{
    std::vector<group_load> const calm{{0, {}, capacity * 0.3},
                                       {2, {}, capacity * 0.3}};
    std::vector<group_load> const burst{{0, {}, capacity * 1.4},
                                        {2, {}, capacity * 1.4}};
    play(calm, milliseconds(2000), by_room());
    auto const ranked = play(burst, milliseconds(6000), by_room());
    load_fixture plain;
    plain.play(calm, milliseconds(2000), first_come);
    auto const unranked = plain.play(burst, milliseconds(6000), first_come);
    CHECK(ranked[0].in_time + ranked[1].in_time >
          2 * (unranked[0].in_time + unranked[1].in_time));
    CHECK(ranked[0].share() > ranked[1].share());
    // Not starved.
    CHECK(ranked[1].share() > 0.05);
}

TEST_CASE_FIXTURE(load_fixture,
                  "overload admission: a burst ends: room for all again")
{
    play({{0, {}, capacity * 2.8}}, milliseconds(6000), by_room());
    CHECK(admission.room() < 0.7);
    play({{0, {}, capacity * 0.5}}, milliseconds(3000), by_room());
    CHECK(admission.room() == 1);
    auto const after =
        play({{0, {}, capacity * 0.5}}, milliseconds(2000), by_room());
    CHECK(after[0].share() > 0.95);
}

TEST_CASE_FIXTURE(
    load_fixture,
    "overload admission: one team asks for most: the others are served")
{
    auto const small = QStringLiteral("small");
    auto const large = QStringLiteral("large");
    std::vector<group_load> const load{{0, small, capacity * 0.3},
                                       {0, large, capacity * 2.4}};
    play(load, milliseconds(3000), by_room());
    auto const result = play(load, milliseconds(5000), by_room());
    CHECK(result[0].share() > 0.7);
    CHECK(result[0].share() > 2 * result[1].share());
    CHECK(result[1].share() > 0.1);
}

TEST_CASE_FIXTURE(load_fixture,
                  "overload admission: a refusal: says when to come back")
{
    play({{0, {}, capacity * 2.8}}, milliseconds(4000), by_room());
    std::vector<milliseconds> delays;
    for (int i = 0; i < 200; ++i)
    {
        auto const decision =
            admission.decide({0, {}, objective, uniform(random)}, clock.now());
        if (!decision.is_admitted)
        {
            delays.push_back(decision.retry_after);
        }
    }
    REQUIRE(delays.size() > 20);
    auto const [least, most] =
        std::minmax_element(delays.begin(), delays.end());
    CHECK(*least >= milliseconds(150));
    CHECK(*most <= milliseconds(3000));
    CHECK(*most - *least >= milliseconds(50));
}

TEST_CASE_FIXTURE(load_fixture,
                  "overload admission: no reports of load: all is admitted")
{
    for (int i = 0; i < 5000; ++i)
    {
        clock.advance(milliseconds(1));
        CHECK(admission.decide({2, {}, objective, uniform(random)}, clock.now())
                  .is_admitted);
    }
}

TEST_CASE_FIXTURE(load_fixture,
                  "overload admission: many teams: told apart up to the bound")
{
    for (int i = 0; i < 2000; ++i)
    {
        admission.decide({0, QString::number(i), objective, 0.5}, clock.now());
    }
    CHECK(admission.team_count() <= overload_admission::maximum_teams + 1);
}
