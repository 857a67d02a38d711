#include "verbenacove/process/discovery/rate_limit_reporter.hpp"
#include "verbenacove/process/routing/entry_ranking.hpp"
#include "verbenacove/request/region_shift_limit.hpp"
#include "verbenacove/request/upstream_pool.hpp"

#include <doctest/doctest.h>

#include <memory>

using namespace verbenacove;

namespace
{

upstream_id const limited_upstream{QStringLiteral("i-1")};
constexpr milliseconds request_interval{10};

/** A pool with one upstream. */
struct limited_pool_fixture
{
    limited_pool_fixture() { set_limit(std::nullopt); }

    void set_limit(std::optional<rate_limit_share> limit)
    {
        pool_member member;
        member.id = limited_upstream;
        member.started = incarnation(1);
        member.slots = slot_count(100);
        member.rate_limit = limit;
        pool.update({member}, 1, 1);
    }

    std::optional<pool_choice> choose()
    {
        pool_query query;
        query.time_left = milliseconds(3000);
        return pool.choose(query, shortage);
    }

    /** Returns how many of the requests in this time were sent. */
    int sent_in(milliseconds time)
    {
        int sent = 0;
        for (milliseconds at{0}; at < time; at += request_interval)
        {
            if (auto const chosen = choose())
            {
                ++sent;
                pool.finish(*chosen, {}, upstream_outcome::success,
                            std::nullopt, 100);
            }
            clock.advance(request_interval);
        }
        return sent;
    }

    std::optional<rate_limit_report>
    observe(pool_choice const& sent, std::optional<requests_per_second> named)
    {
        response_metadata metadata;
        metadata.rate_limit = named;
        return pool.observe_rate_limit(sent.member, sent.started, metadata);
    }

    manual_clock_source clock;
    region_shift_limit shift{0.15};
    upstream_pool pool{{}, clock, shift, 1};
    pool_shortage shortage = pool_shortage::none_known;
};

/** The views of two entries and the replica that both read. */
struct reporting_fixture
{
    std::unique_ptr<membership_view> make(qint64 view_id,
                                          failure_detector detector)
    {
        return std::make_unique<membership_view>(
            view_id, detector, clock,
            membership_view::listener{[](upstream_member const&) {},
                                      [](entry_member const&) {},
                                      [](replica_member const&) {
                                      }});
    }

    /** Sends an entry's limits to the replica and reads the updates. */
    void exchange(rate_limit_reporter& reporter, membership_view& entry,
                  sync_position& position)
    {
        QCborMap request;
        reporter.add_to(request, position.view_id);
        rate_limit_reporter::apply(request, *replica, clock.now());
        position = entry.merge(replica->updates_since(position, {}));
        reporter.confirm();
    }

    void exchange_both()
    {
        exchange(reporter_a, *entry_a, position_a);
        exchange(reporter_b, *entry_b, position_b);
        exchange(reporter_a, *entry_a, position_a);
    }

    static std::optional<requests_per_second>
    rate_in(membership_view const& view)
    {
        auto const* known = view.rate_limits().find(limited_upstream.value());
        return known == nullptr ? std::nullopt : known->content.rate;
    }

    rate_limit_report report(std::optional<double> rate,
                             qint64 started = 1) const
    {
        return {limited_upstream, incarnation(started),
                rate ? std::optional(requests_per_second(*rate))
                     : std::nullopt};
    }

    manual_clock_source clock;
    std::unique_ptr<membership_view> replica = make(7, failure_detector::self);
    std::unique_ptr<membership_view> entry_a =
        make(0, failure_detector::source);
    std::unique_ptr<membership_view> entry_b =
        make(0, failure_detector::source);
    rate_limit_reporter reporter_a{entry_id(QStringLiteral("a")), *entry_a,
                                   clock};
    rate_limit_reporter reporter_b{entry_id(QStringLiteral("b")), *entry_b,
                                   clock};
    sync_position position_a;
    sync_position position_b;
};

/** Entries of two regions with two zones each. */
struct ranking_fixture
{
    ranking_fixture()
    {
        for (int i = 0; i < 12; ++i)
        {
            char const* const zones[] = {"wcape-a", "wcape-b", "ecape-a",
                                         "ecape-b"};
            auto const zone = QString::fromLatin1(zones[i % 4]);
            entry_member entry;
            entry.id = QString::number(i);
            entry.started = incarnation(1);
            entry.phase = member_phase::serving;
            entry.content = {{}, zone_name(zone), region_name(zone.left(5))};
            entries.merge(entry, update_origin::direct, {});
        }
    }

    /** Returns the entries that are among the first ones. */
    std::vector<int> first(std::size_t count, QString const& upstream) const
    {
        std::vector<int> result;
        for (int i = 0; i < 12; ++i)
        {
            entry_ranking const ranking(entry_id(QString::number(i)), entries);
            if (ranking.is_among_first(count, upstream_id(upstream), place))
            {
                result.push_back(i);
            }
        }
        return result;
    }

    membership_table<entry_content> entries{{}};
    location place{region_name(QStringLiteral("wcape")),
                   zone_name(QStringLiteral("wcape-a"))};
};

} // namespace

TEST_CASE_FIXTURE(limited_pool_fixture,
                  "rate limit: an entry has a share: it sends no more than "
                  "that")
{
    set_limit(rate_limit_share{requests_per_second(6), requests_per_second(2)});
    int const sent = sent_in(milliseconds(10000));
    CHECK(sent >= 18);
    CHECK(sent <= 20);
    CHECK(shortage == pool_shortage::rate_limited);
}

TEST_CASE_FIXTURE(limited_pool_fixture,
                  "rate limit: an entry has no share: it sends nothing")
{
    set_limit(rate_limit_share{requests_per_second(1), requests_per_second(0)});
    CHECK(sent_in(milliseconds(5000)) == 0);
}

TEST_CASE_FIXTURE(limited_pool_fixture,
                  "rate limit: no request comes for long: few tokens are "
                  "saved")
{
    set_limit(rate_limit_share{requests_per_second(2), requests_per_second(2)});
    clock.advance(std::chrono::seconds(60));
    CHECK(sent_in(request_interval * 10) == 3);
}

TEST_CASE_FIXTURE(limited_pool_fixture,
                  "rate limit: response to an earlier request names none: the "
                  "limit holds")
{
    auto const early = choose();
    REQUIRE(early);
    CHECK(observe(*early, requests_per_second(2)));
    clock.advance(milliseconds(100));
    set_limit(rate_limit_share{requests_per_second(2), requests_per_second(2)});
    CHECK_FALSE(observe(*early, std::nullopt));
    clock.advance(milliseconds(1000));
    auto const late = choose();
    REQUIRE(late);
    CHECK_FALSE(observe(*late, requests_per_second(2)));
    auto const ended = observe(*late, std::nullopt);
    REQUIRE(ended);
    CHECK_FALSE(ended->rate);
}

TEST_CASE_FIXTURE(limited_pool_fixture,
                  "rate limit: unreadable: nothing is reported")
{
    auto const sent = choose();
    REQUIRE(sent);
    response_metadata metadata;
    metadata.is_rate_limit_unreadable = true;
    CHECK_FALSE(pool.observe_rate_limit(sent->member, sent->started, metadata));
}

TEST_CASE_FIXTURE(reporting_fixture,
                  "rate limit: one entry observes it: the other one learns of "
                  "it and of its end")
{
    CHECK(reporter_a.record(report(3)));
    CHECK_FALSE(reporter_a.record(report(3)));
    exchange_both();
    CHECK(rate_in(*entry_b) == requests_per_second(3));
    CHECK_FALSE(reporter_b.record(report(3)));
    CHECK(reporter_b.record(report(std::nullopt)));
    exchange_both();
    CHECK_FALSE(rate_in(*entry_a));
}

TEST_CASE_FIXTURE(reporting_fixture,
                  "rate limit: entries observe different ones at once: all "
                  "agree")
{
    reporter_a.record(report(3));
    reporter_b.record(report(4));
    exchange_both();
    exchange_both();
    CHECK(rate_in(*entry_a) == rate_in(*entry_b));
    CHECK(rate_in(*entry_a) == rate_in(*replica));
}

TEST_CASE_FIXTURE(reporting_fixture,
                  "rate limit: the replica restarts: it learns the limits "
                  "again")
{
    reporter_a.record(report(3));
    exchange_both();
    replica = make(8, failure_detector::self);
    exchange_both();
    exchange_both();
    CHECK(rate_in(*replica) == requests_per_second(3));
}

TEST_CASE_FIXTURE(reporting_fixture,
                  "rate limit: a new incarnation: it has no limit")
{
    reporter_a.record(report(3, 1));
    CHECK_FALSE(reporter_a.record(report(std::nullopt, 2)));
    CHECK(reporter_a.record(report(5, 2)));
    CHECK_FALSE(reporter_a.record(report(3, 1)));
    CHECK(rate_in(*entry_a) == requests_per_second(5));
}

TEST_CASE_FIXTURE(ranking_fixture,
                  "entry ranking: an upstream: exactly the given number of "
                  "entries, the nearest first")
{
    for (int upstream = 0; upstream < 20; ++upstream)
    {
        auto const id = QString::number(upstream);
        for (std::size_t count = 1; count <= 12; ++count)
        {
            CHECK(first(count, id).size() == count);
        }
        for (int const entry : first(3, id))
        {
            CHECK(entry % 4 == 0);
        }
        for (int const entry : first(6, id))
        {
            CHECK(entry % 4 <= 1);
        }
    }
}
