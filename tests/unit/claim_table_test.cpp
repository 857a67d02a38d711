#include "verbenacove/version/claim_table.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

using namespace verbenacove;

namespace
{

constexpr qint64 day_ms = 24LL * 60 * 60 * 1000;

claim_limits small_limits()
{
    claim_limits limits;
    limits.claims = 3;
    limits.fences = 2;
    limits.outcome_bytes = 16;
    limits.time_step_ms = 2 * day_ms;
    return limits;
}

claim_outcome ran_with(QByteArray const& body)
{
    return {run_verdict::ran, 200, {{"Type", "a"}}, body, true};
}

/** A table, with short ways to send it commands. */
struct claims_fixture
{
    claim_table table{small_limits()};
    qint64 at = 1;

    static claim_key key(int number)
    {
        return {service_name(QStringLiteral("dispatch")),
                request_key(QString::number(number))};
    }

    static claim_holder holder(int entry, int nonce, int process = 1)
    {
        return {entry_id(QStringLiteral("e%1").arg(entry)),
                incarnation(process), attempt_nonce(nonce)};
    }

    // Every command goes through its CBOR form, as it does in the log.
    claim_answer send(claim_log_command const& command)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<claim_answer>
            {
                BOOST_LEAF_AUTO(parsed,
                                parse_claim_log_command(to_cbor(command)));
                auto answer = table.apply(parsed);
                BOOST_LEAF_AUTO(received, parse_claim_answer(to_cbor(answer)));
                CHECK(received == answer);
                return answer;
            },
            [](claim_format_error const& error)
            {
                FAIL(error.reason.toStdString());
                return claim_answer{};
            },
            [] { return claim_answer{}; });
    }

    claim_result claim(int number, claim_holder const& by,
                       QByteArray const& body = "a")
    {
        auto const print = fingerprint_of("POST", "/release", body);
        return send({log_time(at), claim_command{key(number), print, by}})
            .result;
    }

    claim_answer finish(int number, claim_holder const& by,
                        claim_outcome const& outcome)
    {
        return send({log_time(at), outcome_command{key(number), by, outcome}});
    }

    claim_result release(int number, claim_holder const& by)
    {
        return send({log_time(at), release_command{key(number), by}}).result;
    }

    void abandon(int entry, int process)
    {
        send({log_time(at),
              abandon_command{holder(entry, 0).entry, incarnation(process)}});
    }

    void hold_one_of_each()
    {
        claim(1, holder(1, 1));
        finish(1, holder(1, 1), ran_with("x"));
        claim(2, holder(1, 2));
        release(3, holder(1, 3));
        abandon(4, 1);
    }

    bool restore_keeps_all()
    {
        auto const bytes = table.snapshot();
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                BOOST_LEAF_AUTO(again,
                                claim_table::restore(bytes, table.limits()));
                bool const is_same =
                    again.snapshot() == bytes &&
                    again.claim_count() == table.claim_count() &&
                    again.stored_bytes() == table.stored_bytes();
                table = std::move(again);
                return is_same;
            },
            [] { return false; });
    }
};

} // namespace

TEST_CASE_FIXTURE(claims_fixture, "claim: a second holder: held, never granted")
{
    CHECK(claim(1, holder(1, 1)) == claim_result::granted);
    CHECK(claim(1, holder(1, 1)) == claim_result::granted);
    CHECK(claim(1, holder(2, 1)) == claim_result::held);
    CHECK(claim(1, holder(1, 2)) == claim_result::held);
    CHECK(claim(1, holder(2, 2), "b") == claim_result::mismatch);
}

TEST_CASE_FIXTURE(claims_fixture, "outcome: sent twice: the first is kept")
{
    claim(1, holder(1, 1));
    CHECK(finish(1, holder(2, 1), ran_with("x")).result ==
          claim_result::not_holder);
    CHECK(finish(2, holder(1, 1), ran_with("x")).result ==
          claim_result::unknown);
    CHECK(finish(1, holder(1, 1), ran_with("x")).outcome == ran_with("x"));
    CHECK(finish(1, holder(1, 1), ran_with("y")).outcome == ran_with("x"));
    CHECK(table.find(key(1)).outcome == ran_with("x"));
    CHECK(claim(1, holder(2, 1)) == claim_result::finished);
    CHECK(release(1, holder(1, 1)) == claim_result::finished);
}

TEST_CASE_FIXTURE(claims_fixture,
                  "outcome: too large to store: verdict and status are kept")
{
    claim(1, holder(1, 1));
    auto const kept =
        finish(1, holder(1, 1), ran_with(QByteArray(17, 'x'))).outcome;
    CHECK(kept == claim_outcome{run_verdict::ran, 200, {}, {}, false});
    CHECK(table.stored_bytes() == 0);
}

TEST_CASE_FIXTURE(claims_fixture,
                  "release: by the holder: others are granted, it is fenced")
{
    claim(1, holder(1, 1));
    CHECK(release(1, holder(2, 1)) == claim_result::released);
    CHECK(claim(1, holder(2, 2)) == claim_result::held);
    CHECK(release(1, holder(1, 1)) == claim_result::released);
    CHECK(claim(1, holder(1, 1)) == claim_result::fenced);
    CHECK(claim(1, holder(2, 1)) == claim_result::fenced);
    CHECK(claim(1, holder(2, 3)) == claim_result::granted);
}

TEST_CASE_FIXTURE(claims_fixture,
                  "release: before its claim commits: the claim is refused")
{
    CHECK(release(1, holder(1, 1)) == claim_result::released);
    CHECK(claim(1, holder(1, 1)) == claim_result::fenced);
    CHECK(table.claim_count() == 0);
}

TEST_CASE_FIXTURE(claims_fixture,
                  "release: no room for its fence: the claim stays held")
{
    release(7, holder(3, 1));
    release(7, holder(3, 2));
    claim(1, holder(1, 1));
    CHECK(release(1, holder(1, 1)) == claim_result::full);
    CHECK(claim(1, holder(2, 1)) == claim_result::held);
}

TEST_CASE_FIXTURE(claims_fixture,
                  "abandon: open claims: may have run, never granted again")
{
    claim(1, holder(1, 1, 4));
    claim(2, holder(1, 2, 5));
    claim(3, holder(2, 1, 4));
    abandon(1, 4);
    CHECK(claim(1, holder(2, 2)) == claim_result::abandoned);
    CHECK(claim(2, holder(2, 3)) == claim_result::held);
    CHECK(claim(3, holder(2, 4)) == claim_result::held);
    CHECK(release(1, holder(1, 1, 4)) == claim_result::abandoned);
    CHECK(claim(9, holder(1, 9, 4)) == claim_result::fenced);
    CHECK(finish(1, holder(1, 1, 4), ran_with("x")).result ==
          claim_result::recorded);
    CHECK(claim(1, holder(2, 2)) == claim_result::finished);
    CHECK(table.open_count() == 2);
}

TEST_CASE_FIXTURE(
    claims_fixture,
    "retention: the table is full: new ones refused, old ones kept")
{
    for (int number = 1; number <= 3; ++number)
    {
        CHECK(claim(number, holder(1, number)) == claim_result::granted);
    }
    CHECK(claim(4, holder(1, 4)) == claim_result::full);
    CHECK(claim(1, holder(2, 1)) == claim_result::held);
}

TEST_CASE_FIXTURE(claims_fixture,
                  "retention: a day after the end: the key is new again")
{
    claim(1, holder(1, 1));
    at += 1000;
    finish(1, holder(1, 1), ran_with("x"));
    at += day_ms - 1;
    CHECK(claim(1, holder(2, 1)) == claim_result::finished);
    at -= 5000;
    CHECK(claim(1, holder(2, 1)) == claim_result::finished);
    CHECK(table.now() == log_time(at + 5000));
    at += 5001;
    CHECK(claim(1, holder(2, 1)) == claim_result::granted);
}

TEST_CASE("log time: a clock far ahead: moves by one step only")
{
    claim_table table;
    table.apply(
        {log_time(50 * day_ms),
         abandon_command{entry_id(QStringLiteral("e")), incarnation(1)}});
    CHECK(table.now() == log_time(60'000));
}

TEST_CASE_FIXTURE(claims_fixture, "snapshot: cut anywhere: an error, no crash")
{
    hold_one_of_each();
    auto const bytes = table.snapshot();
    for (qsizetype size = 0; size < bytes.size(); ++size)
    {
        bool const is_error = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                BOOST_LEAF_CHECK(claim_table::restore(bytes.left(size)));
                return false;
            },
            [](claim_format_error const&) { return true; },
            [] { return false; });
        CHECK(is_error);
    }
    CHECK(restore_keeps_all());
}

TEST_CASE_FIXTURE(claims_fixture, "snapshot: any byte changed: no crash")
{
    hold_one_of_each();
    auto const bytes = table.snapshot();
    int refused = 0;
    for (qsizetype at = 0; at < bytes.size(); ++at)
    {
        for (int change = 1; change < 256; ++change)
        {
            auto changed = bytes;
            changed[at] = char(changed.at(at) ^ change);
            boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void>
                {
                    BOOST_LEAF_AUTO(again, claim_table::restore(changed));
                    again.find(key(1));
                    again.snapshot();
                    return {};
                },
                [&] { ++refused; });
        }
    }
    CHECK(refused > 0);
}

TEST_CASE("command: a field missing or wrong: an error")
{
    claim_log_command const command{
        log_time(1),
        claim_command{claims_fixture::key(1), fingerprint_of("POST", "/", "a"),
                      claims_fixture::holder(1, 1)}};
    auto const whole = to_cbor(command);
    auto const is_refused = [](QCborMap const& map)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                BOOST_LEAF_CHECK(parse_claim_log_command(map));
                return false;
            },
            [] { return true; });
    };
    CHECK_FALSE(is_refused(whole));
    for (auto const& field : whole.keys())
    {
        auto without = whole;
        without.remove(field);
        CHECK(is_refused(without));
        auto wrong = whole;
        wrong[field] = QCborValue(-1);
        CHECK(is_refused(wrong));
    }
}

// Commands in any order, some of them twice, and restores in between: an
// attempt that was granted and not released is the only one for its key.
TEST_CASE("claims: random schedules: at most one unreleased grant for a key")
{
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        auto const below = [&](int bound)
        {
            return int(random() % unsigned(bound));
        };
        claims_fixture fixture;
        fixture.table = claim_table();
        std::map<int, std::set<int>> granted;
        std::set<int> released;
        for (int step = 0; step < 300; ++step)
        {
            fixture.at += below(10);
            int const number = below(3);
            int const nonce = number + 3 * below(12);
            auto const by = fixture.holder(nonce % 2, nonce, nonce / 10);
            switch (below(5))
            {
            case 0:
            case 1:
                if (fixture.claim(number, by) == claim_result::granted)
                {
                    CHECK(released.count(nonce) == 0);
                    granted[number].insert(nonce);
                }
                break;
            case 2:
                if (fixture.release(number, by) == claim_result::released)
                {
                    released.insert(nonce);
                    granted[number].erase(nonce);
                }
                break;
            case 3:
                fixture.finish(number, by, ran_with("x"));
                break;
            default:
                if (below(10) == 0)
                {
                    fixture.abandon(nonce % 2, below(4));
                }
                CHECK(fixture.restore_keeps_all());
            }
            CHECK(granted[number].size() <= 1);
        }
    }
}
