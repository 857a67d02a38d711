#include "verbenacove/teams/key_confirmer.hpp"
#include "verbenacove/teams/key_lease.hpp"

#include <doctest/doctest.h>

#include <limits>

using namespace verbenacove;

namespace
{

constexpr milliseconds revocation{5000};
/** The latest time at which a lease may still be valid, short of the revocation
    time by the margin for clock rates. */
constexpr milliseconds usable{4940};

/** Entry with the keys of revision 7, with the time handed in. */
struct lease_fixture
{
    lease_fixture() { lease.set_revision(7); }

    void confirm(qint64 revision, boot_time as_of)
    {
        lease.confirm({as_of, revision});
    }

    boot_time start{std::chrono::hours(1)};
    key_lease lease{revocation};
};

/** Reply to a poll that was sent at a time by the entry's clock and received
    at another one by the replica's. */
struct reply_fixture
{
    std::optional<key_confirmation> read(milliseconds confirmed_after)
    {
        QCborMap reply;
        add_to(reply, {received + confirmed_after, 7}, received);
        return parse_key_confirmation(reply, sent, now);
    }

    boot_time received{std::chrono::hours(900)};
    boot_time sent{std::chrono::hours(2)};
    boot_time now = sent + milliseconds(700);
};

/** Replica with teams whose leader is "a". */
struct confirmer_fixture
{
    std::optional<key_confirmer::question>
    ask(milliseconds after, QString const& leader = QStringLiteral("a"))
    {
        return confirmer.start_due(true, leader, start + after);
    }

    boot_time start{std::chrono::hours(1)};
    key_confirmer confirmer;
};

} // namespace

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: no confirmation yet: keys are not accepted")
{
    CHECK_FALSE(lease.is_valid(start));
    CHECK(lease.remaining(start) == milliseconds(0));
    CHECK_FALSE(lease.age(start));
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: confirmed: ends before the revocation time has "
                  "passed since the confirmed time")
{
    confirm(7, start);
    CHECK(lease.is_valid(start));
    CHECK(lease.is_valid(start + usable - milliseconds(1)));
    CHECK_FALSE(lease.is_valid(start + usable));
    CHECK(lease.remaining(start + milliseconds(940)) == milliseconds(4000));
    CHECK(lease.remaining(start + revocation) == milliseconds(0));
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: an older confirmation comes late: the lease is "
                  "not shortened")
{
    confirm(7, start + milliseconds(400));
    confirm(7, start);
    CHECK(lease.is_valid(start + usable + milliseconds(399)));
    CHECK_FALSE(lease.is_valid(start + usable + milliseconds(400)));
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: confirmation of later keys comes before them: "
                  "it does not extend the lease of the present ones")
{
    confirm(7, start);
    confirm(8, start + milliseconds(1000));
    CHECK_FALSE(lease.is_valid(start + usable));
    lease.set_revision(8);
    CHECK(lease.is_valid(start + usable));
    CHECK_FALSE(lease.is_valid(start + usable + milliseconds(1000)));
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: keys of a later revision than confirmed: the "
                  "lease goes on, they hold all that was confirmed")
{
    confirm(7, start);
    lease.set_revision(9);
    CHECK(lease.is_valid(start + usable - milliseconds(1)));
    CHECK_FALSE(lease.is_valid(start + usable));
}

TEST_CASE_FIXTURE(lease_fixture,
                  "key lease: keys of an earlier revision than confirmed: "
                  "not accepted")
{
    confirm(7, start);
    lease.set_revision(6);
    CHECK_FALSE(lease.is_valid(start));
}

TEST_CASE("key lease: revocation time shorter than the margin: never valid")
{
    key_lease lease{milliseconds(5)};
    boot_time const start{std::chrono::hours(1)};
    lease.set_revision(1);
    lease.confirm({start, 1});
    CHECK_FALSE(lease.is_valid(start));
}

TEST_CASE_FIXTURE(reply_fixture,
                  "key confirmation: confirmed before the poll came: holds as "
                  "of as long before the poll was sent")
{
    auto const read_back = read(milliseconds(-250));
    REQUIRE(read_back);
    CHECK(read_back->as_of == sent - milliseconds(250));
    CHECK(read_back->revision == 7);
}

TEST_CASE_FIXTURE(reply_fixture,
                  "key confirmation: confirmed while the poll was held: holds "
                  "as of as long after the poll was sent")
{
    CHECK(read(milliseconds(400))->as_of == sent + milliseconds(400));
}

TEST_CASE_FIXTURE(reply_fixture,
                  "key confirmation: the replica's clock runs fast: never of a "
                  "later time than the reply")
{
    CHECK(read(milliseconds(5000))->as_of == now);
}

TEST_CASE_FIXTURE(reply_fixture,
                  "key confirmation: part of a millisecond: rounded to the "
                  "earlier one")
{
    QCborMap reply;
    add_to(reply, {received - std::chrono::microseconds(1), 7}, received);
    CHECK(parse_key_confirmation(reply, sent, now)->as_of ==
          sent - milliseconds(1));
}

TEST_CASE_FIXTURE(reply_fixture,
                  "key confirmation: missing or unreadable parts: none")
{
    auto const parse = [this](QCborMap const& reply)
    {
        return parse_key_confirmation(reply, sent, now);
    };
    QLatin1String const offset("confirmed_ms");
    QLatin1String const revision("confirmed_revision");
    CHECK_FALSE(parse({}));
    CHECK_FALSE(parse({{offset, 5}}));
    CHECK_FALSE(parse({{revision, 5}}));
    CHECK_FALSE(parse({{offset, QLatin1String("5")}, {revision, 5}}));
    CHECK_FALSE(
        parse({{offset, std::numeric_limits<qint64>::min()}, {revision, 5}}));
    CHECK(parse({{offset, std::numeric_limits<qint64>::max()}, {revision, 5}})
              ->as_of == now);
}

TEST_CASE_FIXTURE(reply_fixture,
                  "key confirmation: the request names an old one or none: a "
                  "much later one is sent at once")
{
    auto const is_wanted =
        [this](std::optional<milliseconds> age, milliseconds known_age)
    {
        QCborMap request;
        add_age_to(request,
                   age ? std::optional(key_confirmation{sent - *age, 7})
                       : std::nullopt,
                   sent);
        return is_wanted_at_once(request, {received - known_age, 7}, received);
    };
    CHECK(is_wanted(std::nullopt, milliseconds(9000)));
    CHECK(is_wanted(milliseconds(1500), milliseconds(1000)));
    CHECK_FALSE(is_wanted(milliseconds(1500), milliseconds(1001)));
    CHECK_FALSE(is_wanted(milliseconds(1499), milliseconds(0)));
    CHECK_FALSE(is_wanted_at_once({}, {received, 7}, received));
}

TEST_CASE_FIXTURE(confirmer_fixture,
                  "key confirmer: no teams: nothing is asked, nothing known")
{
    CHECK_FALSE(confirmer.start_due(false, QStringLiteral("a"), start));
    auto const asked = ask(milliseconds(0));
    REQUIRE(asked);
    confirmer.finish(*asked, key_confirmation{asked->asked, 3});
    CHECK(confirmer.latest());
    CHECK_FALSE(confirmer.start_due(false, QStringLiteral("a"),
                                    start + milliseconds(1000)));
    CHECK_FALSE(confirmer.latest());
    confirmer.finish(*asked, key_confirmation{asked->asked, 3});
    CHECK_FALSE(confirmer.latest());
}

TEST_CASE_FIXTURE(confirmer_fixture,
                  "key confirmer: a question is under way: no other one until "
                  "it counts as lost")
{
    auto const first = ask(milliseconds(0));
    REQUIRE(first);
    CHECK_FALSE(ask(key_confirmer::patience - milliseconds(1)));
    auto const second = ask(key_confirmer::patience);
    REQUIRE(second);
    // The first one's answer leaves the second question under way.
    confirmer.finish(*first, key_confirmation{first->asked, 3});
    CHECK(confirmer.latest()->as_of == start);
    CHECK_FALSE(ask(key_confirmer::patience + key_confirmer::interval));
}

TEST_CASE_FIXTURE(confirmer_fixture,
                  "key confirmer: answered: the next question after the "
                  "interval")
{
    auto const first = ask(milliseconds(0));
    confirmer.finish(*first, std::nullopt);
    CHECK_FALSE(confirmer.latest());
    CHECK_FALSE(ask(key_confirmer::interval - milliseconds(1)));
    CHECK(ask(key_confirmer::interval));
}

TEST_CASE_FIXTURE(confirmer_fixture,
                  "key confirmer: another leader: asked at once; without one "
                  "nobody is asked")
{
    REQUIRE(ask(milliseconds(0)));
    CHECK_FALSE(ask(milliseconds(100), QString()));
    CHECK(ask(milliseconds(200), QStringLiteral("b")));
    CHECK_FALSE(ask(milliseconds(300), QStringLiteral("b")));
}

TEST_CASE_FIXTURE(confirmer_fixture,
                  "key confirmer: answers in another order: the latest one "
                  "stays")
{
    auto const first = ask(milliseconds(0));
    auto const second = ask(key_confirmer::patience);
    confirmer.finish(*second, key_confirmation{second->asked, 4});
    confirmer.finish(*first, key_confirmation{first->asked, 3});
    CHECK(*confirmer.latest() == key_confirmation{second->asked, 4});
}
