#include "verbenacove/process/discovery/crash_exchange.hpp"
#include "verbenacove/request/quarantine_trials.hpp"

#include <QCborArray>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <array>
#include <map>
#include <random>

using namespace verbenacove;

namespace
{

request_fingerprint request(int number)
{
    return fingerprint_of("GET", QByteArray::number(number), "");
}

upstream_id upstream(int number)
{
    return upstream_id(QStringLiteral("u%1").arg(number));
}

constexpr auto unrestricted = send_permission::unrestricted;
constexpr auto alone = send_permission::alone;
constexpr auto undecided = send_permission::undecided;
constexpr auto refused = send_permission::refused;

/** Two entries that know of the same upstreams, and one clock. */
struct quarantine_fixture
{
    manual_clock_source clock;
    quarantine first{clock};
    quarantine second{clock};

    static attempt_number start(quarantine& entry, int asked, int at)
    {
        auto const started =
            entry.start(request(asked), upstream(at), incarnation(1));
        REQUIRE(started);
        return *started;
    }

    static void crash(quarantine& entry, int asked, int at)
    {
        entry.lost(start(entry, asked, at));
        entry.upstream_gone(upstream(at), incarnation(1));
    }

    // News goes through its CBOR form, as it does between processes.
    static bool tell(quarantine const& from, quarantine& to)
    {
        news_position since;
        return tell(from, to, since);
    }

    static bool tell(quarantine const& from, quarantine& to,
                     news_position& since)
    {
        auto const map = to_cbor(from.export_news(since));
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                BOOST_LEAF_AUTO(news, parse_quarantine_news(map));
                to.merge_news(news);
                since = news.next;
                return true;
            },
            [] { return false; });
    }
};

} // namespace

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: two crashes: refused, at other entries too")
{
    CHECK(first.permission(request(1)) == unrestricted);
    crash(first, 1, 1);
    CHECK(first.permission(request(1)) == alone);
    crash(first, 1, 2);
    CHECK(first.permission(request(1)) == refused);
    CHECK_FALSE(first.start(request(1), upstream(3), incarnation(1)));
    CHECK(tell(first, second));
    CHECK(tell(first, second));
    CHECK(second.permission(request(1)) == refused);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: crashes at two entries: refused at both")
{
    crash(first, 1, 1);
    crash(second, 1, 2);
    CHECK(tell(first, second));
    CHECK(tell(second, first));
    CHECK(first.permission(request(1)) == refused);
    CHECK(second.permission(request(1)) == refused);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: one crash seen by two entries: counts once")
{
    crash(first, 1, 1);
    crash(second, 1, 1);
    CHECK(tell(first, second));
    CHECK(second.permission(request(1)) == alone);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: innocents beside a crash: cleared by an answer")
{
    auto const crasher = start(first, 1, 1);
    auto const innocent = start(first, 2, 1);
    first.lost(crasher);
    first.lost(innocent);
    first.upstream_gone(upstream(1), incarnation(1));
    CHECK(first.permission(request(2)) == alone);
    first.answered(start(first, 2, 2));
    CHECK(first.permission(request(2)) == unrestricted);
    crash(first, 1, 2);
    CHECK(first.permission(request(1)) == refused);
    CHECK(tell(first, second));
    CHECK(second.permission(request(2)) == unrestricted);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: suspect in flight: nothing joins it")
{
    crash(first, 1, 1);
    auto const other = start(first, 2, 2);
    CHECK_FALSE(first.can_start(request(1), upstream(2)));
    auto const tried = start(first, 1, 3);
    CHECK_FALSE(first.can_start(request(2), upstream(3)));
    CHECK_FALSE(first.can_start(request(1), upstream(4)));
    first.ended(tried);
    first.ended(other);
    CHECK(first.can_start(request(2), upstream(3)));
    CHECK(first.permission(request(1)) == alone);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: connection lost, upstream lives: no crash")
{
    first.lost(start(first, 1, 1));
    CHECK(first.permission(request(1)) == alone);
    first.upstream_alive(upstream(1), incarnation(1));
    CHECK(first.permission(request(1)) == unrestricted);
    first.lost(start(first, 1, 1));
    first.lost(start(first, 1, 2));
    CHECK(first.permission(request(1)) == undecided);
    first.upstream_gone(upstream(1), incarnation(0));
    clock.advance(quarantine::confirmation);
    CHECK(first.permission(request(1)) == unrestricted);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: upstream gone before its loss is seen: a crash")
{
    auto const seen_late = start(first, 1, 1);
    first.upstream_gone(upstream(1), incarnation(1));
    first.lost(seen_late);
    clock.advance(quarantine::confirmation);
    CHECK(first.permission(request(1)) == alone);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: copies beside two crashes of another: innocent")
{
    auto const beside_first = start(first, 2, 1);
    auto const beside_second = start(second, 2, 2);
    crash(first, 1, 1);
    first.lost(beside_first);
    CHECK(tell(first, second));
    crash(first, 1, 2);
    second.upstream_gone(upstream(2), incarnation(1));
    second.lost(beside_second);
    CHECK(tell(first, second));
    CHECK(second.permission(request(1)) == refused);
    CHECK(second.permission(request(2)) == alone);
    second.answered(start(second, 2, 3));
    CHECK(second.permission(request(2)) == unrestricted);
}

TEST_CASE_FIXTURE(
    quarantine_fixture,
    "quarantine: first crash beside a trial: a suspect all the same")
{
    crash(first, 2, 1);
    auto const crasher = start(second, 1, 2);
    crash(first, 2, 2);
    second.upstream_gone(upstream(2), incarnation(1));
    second.lost(crasher);
    CHECK(tell(first, second));
    CHECK(second.permission(request(1)) == alone);
    crash(second, 1, 3);
    CHECK(second.permission(request(1)) == refused);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: news that was late, then in time: its true age")
{
    crash(first, 1, 1);
    auto const late = first.export_news(news_position());
    clock.advance(std::chrono::minutes(1));
    second.merge_news(late);
    CHECK(tell(first, second));
    clock.advance(quarantine::memory - std::chrono::minutes(1));
    CHECK(second.permission(request(1)) == unrestricted);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "quarantine: old crashes told round: forgotten everywhere")
{
    crash(first, 1, 1);
    crash(first, 1, 2);
    for (int second_passed = 0; second_passed < 11 * 60; ++second_passed)
    {
        clock.advance(milliseconds(1000));
        CHECK(tell(first, second));
        CHECK(tell(second, first));
    }
    CHECK(first.permission(request(1)) == unrestricted);
    CHECK(second.request_count() == 0);
}

TEST_CASE_FIXTURE(
    quarantine_fixture,
    "quarantine: more requests than it remembers: worst ones kept")
{
    crash(first, -1, 1);
    crash(first, -1, 2);
    quarantine_news news;
    for (int i = 0; i < quarantine::maximum_requests + 10; ++i)
    {
        news.records.push_back(
            {request(i), {{upstream(9), incarnation(1), milliseconds(0)}}});
    }
    first.merge_news(news);
    CHECK(first.request_count() == quarantine::maximum_requests);
    CHECK(first.permission(request(-1)) == refused);
    auto const part = first.export_news(news_position());
    CHECK(part.records.size() == quarantine::maximum_news);
    CHECK(first.export_news(part.next).next > part.next);
}

TEST_CASE("quarantine: news of the wrong form: an error")
{
    manual_clock_source clock;
    quarantine entry(clock);
    quarantine_fixture::crash(entry, 1, 1);
    auto const whole = to_cbor(entry.export_news(news_position()));
    auto const is_refused = [](QCborMap const& map)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                BOOST_LEAF_CHECK(parse_quarantine_news(map));
                return false;
            },
            [] { return true; });
    };
    CHECK_FALSE(is_refused(whole));
    for (auto const& field : whole.keys())
    {
        auto wrong = whole;
        wrong[field] = QCborValue(-1);
        CHECK(is_refused(wrong));
    }
    auto wrong = whole;
    wrong[QLatin1String("records")] = QCborArray{QCborValue(1)};
    CHECK(is_refused(wrong));
}

namespace
{

/** Three entries, the control leader's trials, and upstreams that crash when
    they run request 0. Each entry tells its news before it answers. */
class crash_simulation
{
public:
    static constexpr int upstreams = 12;
    static constexpr int requests = 7;

    explicit crash_simulation(unsigned seed)
        : random_(seed)
    {
        trials_.start_term(clock_.now());
        clock_.advance(quarantine_trials::duration);
    }

    void step()
    {
        clock_.advance(milliseconds(below(100)));
        start(below(3), below(requests), below(upstreams));
        finish(below(upstreams));
    }

    int crashes() const { return crashes_; }

    int refused_innocents() const
    {
        int count = 0;
        for (int asked = 1; asked < requests; ++asked)
        {
            count += entries_[0].permission(request(asked)) == refused ? 1 : 0;
        }
        return count;
    }

private:
    struct running
    {
        int entry = 0;
        attempt_number number;
        std::optional<trial_request> trial;
    };

    int below(int bound) { return int(random_() % unsigned(bound)); }

    void start(int entry, int asked, int at)
    {
        auto& chosen = entries_.at(std::size_t(entry));
        auto const process = incarnation(incarnations_.at(std::size_t(at)));
        if (!chosen.can_start(request(asked), upstream(at)))
        {
            return;
        }
        std::optional<trial_request> trial;
        if (chosen.permission(request(asked)) == alone)
        {
            attempt_ = attempt_number(attempt_.value() + 1);
            trial = {request(asked), upstream(at),
                     process,        entry_id(QString::number(entry)),
                     incarnation(1), attempt_};
            if (trials_.decide(*trial, clock_.now()) !=
                trial_decision::permitted)
            {
                return;
            }
        }
        auto const number = chosen.start(request(asked), upstream(at), process);
        in_flight_[at].push_back({entry, *number, trial});
        if (asked == 0)
        {
            crash(at);
        }
    }

    void crash(int at)
    {
        ++crashes_;
        auto& process = incarnations_.at(std::size_t(at));
        for (auto& entry : entries_)
        {
            entry.upstream_gone(upstream(at), incarnation(process));
        }
        ++process;
        for (auto const& lost : in_flight_[at])
        {
            entries_.at(std::size_t(lost.entry)).lost(lost.number);
        }
        share(at);
    }

    void finish(int at)
    {
        for (auto const& done : in_flight_[at])
        {
            entries_.at(std::size_t(done.entry)).answered(done.number);
        }
        share(at);
    }

    void share(int at)
    {
        for (std::size_t from = 0; from < entries_.size(); ++from)
        {
            auto& known = known_news_.at(from);
            quarantine_fixture::tell(entries_.at(from), leader_, known.back());
            for (std::size_t to = 0; to < entries_.size(); ++to)
            {
                quarantine_fixture::tell(entries_.at(from), entries_.at(to),
                                         known.at(to));
            }
        }
        for (auto const& done : in_flight_[at])
        {
            if (done.trial)
            {
                trials_.end(*done.trial);
            }
        }
        in_flight_[at].clear();
    }

    std::mt19937 random_;
    manual_clock_source clock_;
    quarantine leader_{clock_};
    quarantine_trials trials_{leader_};
    std::array<quarantine, 3> entries_{quarantine(clock_), quarantine(clock_),
                                       quarantine(clock_)};
    // For each entry, what the others and at last the leader know of it.
    std::array<std::array<news_position, 4>, 3> known_news_;
    std::array<int, upstreams> incarnations_{};
    std::map<int, std::vector<running>> in_flight_;
    attempt_number attempt_;
    int crashes_ = 0;
};

} // namespace

TEST_CASE("quarantine: one crasher, any entry, random loads: two crashes")
{
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        CAPTURE(seed);
        crash_simulation simulation(seed);
        for (int step = 0; step < 300; ++step)
        {
            simulation.step();
        }
        CHECK(simulation.crashes() == 2);
        CHECK(simulation.refused_innocents() == 0);
    }
}

namespace
{

/** The control leader's trials, past the wait after the election. */
struct trials_fixture
{
    manual_clock_source clock;
    quarantine known{clock};
    quarantine_trials trials{known};

    trials_fixture()
    {
        trials.start_term(clock.now());
        clock.advance(quarantine_trials::duration);
    }

    trial_decision decide(int asked, int at, int entry, int attempt)
    {
        return trials.decide(wish(asked, at, entry, attempt), clock.now());
    }

    static trial_request wish(int asked, int at, int entry, int attempt)
    {
        return {request(asked), upstream(at),
                incarnation(1), entry_id(QString::number(entry)),
                incarnation(1), attempt_number(attempt)};
    }
};

} // namespace

TEST_CASE_FIXTURE(trials_fixture, "trials: one running: others are busy")
{
    CHECK(decide(1, 1, 1, 1) == trial_decision::permitted);
    CHECK(decide(1, 1, 1, 1) == trial_decision::permitted);
    CHECK(decide(1, 2, 2, 1) == trial_decision::busy);
    CHECK(decide(2, 1, 2, 1) == trial_decision::busy);
    CHECK(decide(2, 2, 2, 1) == trial_decision::permitted);
    trials.end(wish(1, 1, 1, 1));
    CHECK(decide(1, 1, 1, 1) == trial_decision::busy);
    CHECK(decide(1, 1, 3, 1) == trial_decision::permitted);
}

TEST_CASE_FIXTURE(trials_fixture, "trials: never ended: count as crashes")
{
    CHECK(decide(1, 1, 1, 1) == trial_decision::permitted);
    clock.advance(quarantine_trials::duration);
    CHECK(decide(1, 2, 2, 1) == trial_decision::permitted);
    clock.advance(quarantine_trials::duration);
    CHECK(decide(1, 3, 3, 1) == trial_decision::refused);
}

TEST_CASE_FIXTURE(trials_fixture, "trials: a new leader: busy at first")
{
    trials.start_term(clock.now());
    clock.advance(quarantine_trials::duration - milliseconds(1));
    CHECK(decide(1, 1, 1, 1) == trial_decision::busy);
    clock.advance(milliseconds(1));
    CHECK(decide(1, 1, 1, 1) == trial_decision::permitted);
}

TEST_CASE_FIXTURE(
    quarantine_fixture,
    "tracked attempts: two upstreams gone: refused, beside others")
{
    // A suspect that is not held back, and others on the same upstreams.
    for (int at = 1; at <= 2; ++at)
    {
        auto const suspect =
            first.track(request(1), upstream(at), incarnation(1));
        auto const other =
            first.track(request(10 + at), upstream(at), incarnation(1));
        REQUIRE((suspect && other));
        first.lost(*suspect);
        first.lost(*other);
        CHECK(first.permission(request(1)) != refused);
        first.upstream_gone(upstream(at), incarnation(1));
    }
    CHECK(first.permission(request(1)) == refused);
    CHECK(first.permission(request(11)) != refused);
    CHECK(first.permission(request(12)) != refused);
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "news: what they told of is forgotten: none are left")
{
    crash(first, 1, 1);
    CHECK(first.has_news(news_position(0)));
    clock.advance(quarantine::memory + std::chrono::seconds(1));
    first.upstream_gone(upstream(2), incarnation(1));
    auto const news = first.export_news(news_position(0));
    CHECK(news.records.empty());
    CHECK_FALSE(first.has_news(news.next));
}

TEST_CASE_FIXTURE(quarantine_fixture,
                  "crash exchange: the source starts anew: read from the start")
{
    crash(first, 1, 1);
    crash(first, 1, 2);
    crash_position position;
    auto const ask = [&](qint64 stream)
    {
        QCborMap question;
        position.add_to(question);
        QCborMap answer;
        add_crashes(answer, first, crash_position::in(question));
        auto const news = crashes_in(answer);
        position.apply_response(stream, news);
        return news.has_value();
    };
    CHECK(ask(1));
    CHECK(ask(1));
    CHECK_FALSE(ask(1));
    CHECK_FALSE(ask(2));
    CHECK(ask(2));
    CHECK_FALSE(ask(2));
}

TEST_CASE("crash exchange: news that cannot be read: left out")
{
    QCborMap const answer{{QLatin1String("crashes"), QLatin1String("?")}};
    CHECK_FALSE(crashes_in(answer));
}
