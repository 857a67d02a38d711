#include "sole_replica_fixture.hpp"
#include "verbenacove/teams/key_confirmation_service.hpp"

using namespace verbenacove;
using verbenacove::support::sole_replica_fixture;
using verbenacove::support::wait_until;

namespace
{

struct confirmation_fixture : sole_replica_fixture<key_confirmation_service>
{
    static team_record team_with_key()
    {
        team_record team;
        team.name = team_name(QStringLiteral("wool"));
        team.key_digests = {key_digest("k-wool")};
        return team;
    }

    /** Asks as another replica does. */
    std::optional<key_confirmation> ask(boot_time sent)
    {
        auto const response =
            call({{QLatin1String("m"), QLatin1String("confirmation")},
                  {QLatin1String("confirmed_age"), 0}},
                 key_confirmer::patience);
        REQUIRE(response);
        return parse_key_confirmation(*response, sent, boot_clock::now());
    }
};

} // namespace

TEST_CASE_FIXTURE(confirmation_fixture,
                  "key confirmation service: no teams: nothing is confirmed")
{
    put(1, {});
    wait_until([] { return false; }, key_confirmer::interval * 2);
    CHECK_FALSE(service->latest());
    CHECK_FALSE(ask(boot_clock::now()));
}

TEST_CASE_FIXTURE(confirmation_fixture,
                  "key confirmation service: teams: the leader confirms its "
                  "routes again and again")
{
    auto const before = boot_clock::now();
    put(1, {team_with_key()});
    REQUIRE(wait_until([&] { return service->latest().has_value(); }));
    auto const first = *service->latest();
    CHECK(first.as_of > before);
    CHECK(first.revision == server->state().routes().revision());
    CHECK(wait_until(
        [&] {
            return service->latest()->as_of >=
                   first.as_of + key_confirmer::interval;
        }));
}

TEST_CASE_FIXTURE(confirmation_fixture,
                  "key confirmation service: another replica asks: it gets the "
                  "next confirmation")
{
    put(1, {team_with_key()});
    REQUIRE(wait_until([&] { return service->latest().has_value(); }));
    auto const sent = boot_clock::now();
    auto const answer = ask(sent);
    REQUIRE(answer);
    CHECK(answer->as_of > sent - milliseconds(1));
    CHECK(answer->as_of <= boot_clock::now());
    CHECK(answer->revision == server->state().routes().revision());
}

TEST_CASE_FIXTURE(confirmation_fixture,
                  "key confirmation service: no table of teams any more: the "
                  "routes without it are confirmed")
{
    put(1, {team_with_key()});
    REQUIRE(wait_until([&] { return service->latest().has_value(); }));
    put(2, {});
    auto const revision = server->state().routes().revision();
    REQUIRE(
        wait_until([&] { return service->latest()->revision == revision; }));
    auto const first = *service->latest();
    CHECK(wait_until(
        [&] {
            return service->latest()->as_of >=
                   first.as_of + key_confirmer::interval;
        }));
}
