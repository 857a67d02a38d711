#include "sole_replica_fixture.hpp"
#include "verbenacove/teams/allowance_service.hpp"

using namespace verbenacove;
using verbenacove::support::sole_replica_fixture;
using verbenacove::support::wait_until;

namespace
{

struct allowance_service_fixture : sole_replica_fixture<allowance_service>
{
    /** Puts a configuration into force whose team has this allowance; none if
        zero. */
    void put_allowance(qint64 version, double rate)
    {
        team_record team;
        team.name = team_name(QStringLiteral("wool"));
        team.allowance.rate = requests_per_second(rate);
        put(version, {team});
    }

    /** Reports far more requests than the allowance, as an entry does. */
    void report_excess()
    {
        auto request = to_cbor(std::vector<allowance_use>{
            {team_name(QStringLiteral("wool")), 1000, 0}});
        request[QLatin1String("m")] = QLatin1String("allowance");
        call(std::move(request), milliseconds(1000));
    }
};

} // namespace

// It stayed restricted in the metric and in no line for good.
TEST_CASE_FIXTURE(allowance_service_fixture,
                  "allowance service: the last allowance is taken away: its "
                  "team counts as free")
{
    put_allowance(1, 1);
    REQUIRE(wait_until(
        [&]
        {
            report_excess();
            return service->restricted_teams() == 1;
        }));
    put_allowance(2, 0);
    CHECK(wait_until([&] { return service->restricted_teams() == 0; },
                     milliseconds(10000)));
}
