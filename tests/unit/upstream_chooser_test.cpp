#include "verbenacove/request/upstream_chooser.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

using namespace verbenacove;

namespace
{

using choice = upstream_chooser::choice;

upstream_id id_of(int number)
{
    return upstream_id(QStringLiteral("u%1").arg(number));
}

using attempt_end = std::pair<attempt_outcome, milliseconds>;

attempt_end answer_after_20_ms(upstream_id const& /*id*/)
{
    return {attempt_outcome::answered, milliseconds(20)};
}

/** A chooser in region `r0`, zone `r0a`, with upstreams past their ramp time.
 */
struct chooser_fixture
{
    chooser_fixture()
    {
        settings.region = region_name(QStringLiteral("r0"));
        settings.zone = zone_name(QStringLiteral("r0a"));
        clock.advance(std::chrono::hours(1));
    }

    upstream_view view(int number, char const* region = "r0",
                       char const* zone = "r0a") const
    {
        upstream_view result;
        result.id = id_of(number);
        result.region = region_name(QString::fromLatin1(region));
        result.zone = zone_name(QString::fromLatin1(zone));
        result.slots = slot_count(4);
        result.state = upstream_state::serving;
        result.reported_at = clock.now();
        result.first_seen = clock.now() - std::chrono::minutes(10);
        return result;
    }

    void publish(std::vector<upstream_view> views)
    {
        if (!chooser)
        {
            chooser.emplace(settings, clock, 1);
        }
        for (auto& one : views)
        {
            one.reported_at = clock.now();
        }
        current_views = views;
        chooser->update(views);
    }

    /** Runs requests one after another and counts them per upstream. */
    template <class Run>
    std::map<upstream_id, int> run(int count, Run run_one)
    {
        std::map<upstream_id, int> counts;
        for (int i = 0; i < count; ++i)
        {
            publish(current_views);
            auto chosen = chooser->choose(request_class::interactive);
            REQUIRE(chosen);
            auto const id = chosen->upstream().id;
            ++counts[id];
            auto const outcome = run_one(id);
            clock.advance(outcome.second);
            chosen->finish(outcome.first, outcome.second);
        }
        return counts;
    }

    /** Checks that an upstream gets more than 20 of 250 requests that take
        20 ms each, 5 s in all. */
    void check_in_use(upstream_id const& id)
    {
        auto const counts = run(250, answer_after_20_ms);
        CHECK(counts.contains(id));
        CHECK(counts.at(id) > 20);
    }

    manual_clock_source clock;
    chooser_settings settings;
    std::optional<upstream_chooser> chooser;
    std::vector<upstream_view> current_views;
};

auto const allow_all = [](region_name const&)
{
    return true;
};

} // namespace

TEST_CASE_FIXTURE(chooser_fixture, "choice: no upstreams: nothing chosen")
{
    publish({});
    CHECK_FALSE(chooser->choose(request_class::interactive));
}

TEST_CASE_FIXTURE(
    chooser_fixture,
    "choice: draining, starting or report past the lease: not chosen")
{
    auto draining = view(1);
    draining.state = upstream_state::draining;
    auto starting = view(2);
    starting.state = upstream_state::starting;
    publish({draining, starting, view(3)});
    for (int i = 0; i < 20; ++i)
    {
        auto chosen = chooser->choose(request_class::batch);
        REQUIRE(chosen);
        CHECK(chosen->upstream().id == id_of(3));
    }
    clock.advance(milliseconds(3001));
    CHECK_FALSE(chooser->choose(request_class::interactive));
}

TEST_CASE_FIXTURE(chooser_fixture, "choice: excluded upstream: not chosen")
{
    publish({view(1), view(2)});
    for (int i = 0; i < 20; ++i)
    {
        auto chosen = chooser->choose(request_class::interactive, {id_of(1)});
        REQUIRE(chosen);
        CHECK(chosen->upstream().id == id_of(2));
    }
    CHECK_FALSE(
        chooser->choose(request_class::interactive, {id_of(1), id_of(2)}));
}

TEST_CASE_FIXTURE(
    chooser_fixture,
    "choice: attempts in flight: requests go to the other upstream")
{
    publish({view(1), view(2)});
    auto first = chooser->choose(request_class::interactive);
    auto second = chooser->choose(request_class::interactive);
    REQUIRE((first && second));
    CHECK(first->upstream().id != second->upstream().id);
    auto const freed = first->upstream().id;
    first.reset();
    CHECK(chooser->choose(request_class::interactive)->upstream().id == freed);
    auto moved = std::move(*second);
    moved.finish(attempt_outcome::answered, milliseconds(5));
    moved.finish(attempt_outcome::failed, milliseconds(5));
}

TEST_CASE_FIXTURE(
    chooser_fixture,
    "choice: all upstreams at the in-flight limit: nothing chosen")
{
    publish({view(1)});
    std::vector<choice> held;
    while (auto chosen = chooser->choose(request_class::interactive))
    {
        held.push_back(std::move(*chosen));
        REQUIRE(held.size() < 1000);
    }
    CHECK(held.size() == 16 * 4);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "choice: upstream fails fast: at most 10 of 2000 requests")
{
    publish({view(1), view(2), view(3), view(4)});
    auto const counts =
        run(2000,
            [](upstream_id const& id)
            {
                return id == id_of(1) ? attempt_end(attempt_outcome::failed,
                                                    milliseconds(0))
                                      : attempt_end(attempt_outcome::answered,
                                                    milliseconds(20));
            });
    // Within 40 s: three failures until the ejection, then one probe after each
    // backoff of 1, 2, 4, 8 and 16 s.
    CHECK(counts.at(id_of(1)) <= 10);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "choice: upstream reports no load but is slow: avoided")
{
    auto misreporting = view(1);
    auto loaded = view(2);
    loaded.load = 0.7;
    auto other = view(3);
    other.load = 0.7;
    publish({misreporting, loaded, other});
    auto const counts =
        run(2000,
            [](upstream_id const& id)
            {
                return attempt_end(attempt_outcome::answered,
                                   milliseconds(id == id_of(1) ? 400 : 20));
            });
    CHECK(counts.at(id_of(1)) <= 20);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "ejection: all upstreams fail: half stay in use")
{
    publish({view(1), view(2), view(3), view(4)});
    auto const fail = [](upstream_id const&)
    {
        return attempt_end(attempt_outcome::failed, milliseconds(1));
    };
    run(50, fail);
    // All four failed; without the ejection limit nothing would be chosen.
    auto chosen = chooser->choose(request_class::non_idempotent);
    CHECK(chosen);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "probe: ejected upstream has recovered: back in use")
{
    publish({view(1), view(2)});
    bool is_broken = true;
    auto const serve = [&](upstream_id const& id)
    {
        return is_broken && id == id_of(1)
                   ? attempt_end(attempt_outcome::failed, milliseconds(1))
                   : attempt_end(attempt_outcome::answered, milliseconds(20));
    };
    run(500, serve);
    is_broken = false;
    clock.advance(std::chrono::seconds(40));
    auto const counts = run(1000, serve);
    CHECK(counts.at(id_of(1)) > 300);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "probe: retried request: never used as a probe")
{
    publish({view(1), view(2), view(3)});
    for (int i = 0; i < 3; ++i)
    {
        std::vector<upstream_id> const others{id_of(2), id_of(3)};
        chooser->choose(request_class::batch, others)
            ->finish(attempt_outcome::failed, milliseconds(1));
    }
    clock.advance(milliseconds(1001));
    publish(current_views);
    auto const again = chooser->choose(request_class::batch, {id_of(2)});
    CHECK(again->upstream().id == id_of(3));
    auto const probe = chooser->choose(request_class::batch);
    CHECK(probe->upstream().id == id_of(1));
    // One probe at a time.
    CHECK(chooser->choose(request_class::batch)->upstream().id != id_of(1));
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "probe: non-idempotent request: never used as a probe")
{
    publish({view(1), view(2), view(3)});
    run(200,
        [](upstream_id const& id)
        {
            return id == id_of(1)
                       ? attempt_end(attempt_outcome::failed, milliseconds(1))
                       : attempt_end(attempt_outcome::answered,
                                     milliseconds(20));
        });
    clock.advance(std::chrono::seconds(40));
    publish(current_views);
    for (int i = 0; i < 20; ++i)
    {
        auto chosen = chooser->choose(request_class::non_idempotent);
        REQUIRE(chosen);
        CHECK(chosen->upstream().id != id_of(1));
    }
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "slowness: one stalled response: in use again within 5 s")
{
    publish({view(1), view(2), view(3)});
    bool has_stalled = false;
    auto const serve = [&](upstream_id const& id)
    {
        bool const stalls = id == id_of(1) && !has_stalled;
        has_stalled = has_stalled || stalls;
        return attempt_end(attempt_outcome::answered,
                           milliseconds(stalls ? 2000 : 20));
    };
    run(250, serve);
    REQUIRE(has_stalled);
    check_in_use(id_of(1));
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "slowness: several responses stall at once: used within 5 s")
{
    publish({view(1), view(2), view(3)});
    std::vector<choice> running;
    for (int i = 0; i < 30; ++i)
    {
        running.push_back(*chooser->choose(request_class::interactive));
    }
    auto const stalled = std::partition(
        running.begin(), running.end(),
        [](choice const& each) { return each.upstream().id != id_of(1); });
    REQUIRE(running.end() - stalled > 5);
    clock.advance(milliseconds(20));
    std::for_each(running.begin(), stalled,
                  [](choice& each) {
                      each.finish(attempt_outcome::answered, milliseconds(20));
                  });
    clock.advance(milliseconds(1980));
    std::for_each(
        stalled, running.end(),
        [](choice& each)
        { each.finish(attempt_outcome::answered, milliseconds(2000)); });
    run(250, answer_after_20_ms);
    check_in_use(id_of(1));
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "slowness: upstream stays slow: probed less and less often")
{
    publish({view(1), view(2), view(3)});
    auto const counts =
        run(500,
            [](upstream_id const& id)
            {
                return attempt_end(attempt_outcome::answered,
                                   milliseconds(id == id_of(1) ? 400 : 20));
            });
    CHECK(counts.at(id_of(1)) >= 3);
    CHECK(counts.at(id_of(1)) <= 8);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "region: free slot in the local region: other regions unused")
{
    publish({view(1), view(2, "r1", "r1a")});
    for (int i = 0; i < 50; ++i)
    {
        auto chosen =
            chooser->choose(request_class::interactive, {}, allow_all);
        REQUIRE(chosen);
        CHECK_FALSE(chosen->is_in_other_region());
    }
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "region: no local upstream: another region if permitted")
{
    publish({view(1, "r1", "r1a"), view(2, "r2", "r2a")});
    CHECK_FALSE(chooser->choose(request_class::interactive));
    std::vector<region_name> requested;
    auto const refuse = [&](region_name const& region)
    {
        requested.push_back(region);
        return false;
    };
    CHECK_FALSE(chooser->choose(request_class::interactive, {}, refuse));
    CHECK(requested.size() == 2);
    auto chosen = chooser->choose(request_class::batch, {}, allow_all);
    REQUIRE(chosen);
    CHECK(chosen->is_in_other_region());
}

TEST_CASE_FIXTURE(
    chooser_fixture,
    "region: local slots far exceeded: interactive requests go to "
    "another region, batch requests do not")
{
    publish({view(1), view(2, "r1", "r1a")});
    std::vector<choice> held;
    held.reserve(16);
    for (int i = 0; i < 16; ++i)
    {
        held.push_back(*chooser->choose(request_class::interactive));
    }
    CHECK(chooser->choose(request_class::interactive, {}, allow_all)
              ->is_in_other_region());
    CHECK_FALSE(chooser->choose(request_class::batch, {}, allow_all)
                    ->is_in_other_region());
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "restart: new incarnation: failures are discarded")
{
    publish({view(1), view(2)});
    run(100,
        [](upstream_id const& id)
        {
            return id == id_of(1)
                       ? attempt_end(attempt_outcome::failed, milliseconds(1))
                       : attempt_end(attempt_outcome::answered,
                                     milliseconds(20));
        });
    auto restarted = view(1);
    restarted.incarnation = incarnation(2);
    publish({restarted, view(2)});
    auto const counts = run(
        100, [](upstream_id const&)
        { return attempt_end(attempt_outcome::answered, milliseconds(20)); });
    CHECK(counts.at(id_of(1)) > 10);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "ramp: new incarnation among old ones: gets a smaller share")
{
    auto new_upstream = view(1);
    new_upstream.first_seen = clock.now();
    publish({new_upstream, view(2)});
    std::vector<choice> held;
    held.reserve(8);
    std::map<upstream_id, int> counts;
    for (int i = 0; i < 8; ++i)
    {
        held.push_back(*chooser->choose(request_class::interactive));
        ++counts[held.back().upstream().id];
    }
    CHECK(counts[id_of(1)] >= 1);
    CHECK(counts[id_of(1)] <= 3);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "ramp: all local upstreams are new: all slots used first")
{
    auto new_upstream = view(1);
    new_upstream.first_seen = clock.now();
    publish({new_upstream, view(2, "r1", "r1a")});
    std::vector<choice> held;
    held.reserve(4);
    for (int i = 0; i < 4; ++i)
    {
        held.push_back(
            *chooser->choose(request_class::interactive, {}, allow_all));
        CHECK_FALSE(held.back().is_in_other_region());
    }
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "update: upstream missing for one update: results are kept")
{
    publish({view(1), view(2)});
    run(100,
        [](upstream_id const& id)
        {
            return id == id_of(1)
                       ? attempt_end(attempt_outcome::failed, milliseconds(1))
                       : attempt_end(attempt_outcome::answered,
                                     milliseconds(20));
        });
    auto const both = current_views;
    publish({view(2)});
    publish(both);
    CHECK(chooser->choose(request_class::non_idempotent)->upstream().id ==
          id_of(2));
}

TEST_CASE_FIXTURE(
    chooser_fixture,
    "update: more upstreams than the maximum: the rest is counted")
{
    std::vector<upstream_view> many;
    for (int i = 0; i < 300; ++i)
    {
        many.push_back(view(i));
    }
    publish(many);
    CHECK(chooser->update(many) == 300 - upstream_chooser::maximum_candidates);
    CHECK(chooser->choose(request_class::interactive));
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "update: load, slots or times out of range: still chosen")
{
    auto invalid = view(1);
    invalid.load = std::numeric_limits<double>::quiet_NaN();
    invalid.slots = slot_count(-3);
    invalid.first_seen = clock.now() + std::chrono::hours(1);
    publish({invalid});
    CHECK(chooser->choose(request_class::interactive));
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "choice: chooser was moved: still chooses and records")
{
    publish({view(1), view(2)});
    auto moved = std::make_unique<upstream_chooser>(std::move(*chooser));
    chooser.reset();
    auto chosen = moved->choose(request_class::interactive);
    REQUIRE(chosen);
    chosen->finish(attempt_outcome::failed, milliseconds(1));
    CHECK(moved->choose(request_class::interactive)->upstream().id !=
          chosen->upstream().id);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "ejection: no request can be a probe: used again after 32 s")
{
    publish({view(1), view(2)});
    for (int i = 0; i < 3; ++i)
    {
        chooser->choose(request_class::non_idempotent, {id_of(2)})
            ->finish(attempt_outcome::failed, milliseconds(1));
    }
    CHECK_FALSE(chooser->choose(request_class::non_idempotent, {id_of(2)}));
    clock.advance(std::chrono::seconds(32));
    publish(current_views);
    CHECK(chooser->choose(request_class::non_idempotent, {id_of(2)}));
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "choice: outlives its chooser: can still be finished")
{
    publish({view(1)});
    auto chosen = chooser->choose(request_class::interactive);
    chooser.reset();
    REQUIRE(chosen);
    chosen->finish(attempt_outcome::answered, milliseconds(3));
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "policies: two equal upstreams: each policy uses both")
{
    for (auto const policy :
         {chooser_policy::random, chooser_policy::round_robin,
          chooser_policy::least_reported_load, chooser_policy::least_in_flight})
    {
        settings.policy = policy;
        chooser.reset();
        publish({view(1), view(2)});
        auto const counts = run(
            200,
            [](upstream_id const&) {
                return attempt_end(attempt_outcome::answered, milliseconds(5));
            });
        CHECK(counts.size() == 2);
    }
}
