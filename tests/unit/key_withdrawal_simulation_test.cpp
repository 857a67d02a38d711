#include "key_withdrawal_simulation.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;
using simulation = verbenacove::support::key_withdrawal_simulation;

namespace
{

constexpr int seeds = 60;
constexpr milliseconds troubled_time{60000};
constexpr milliseconds settling_time{4000};
/** The part of the revocation time for which an entry without a way to the
    replicas still owes answers. */
constexpr milliseconds owed_time{3000};

} // namespace

TEST_CASE("key withdrawal: frozen processes, cuts, late messages, restarts and "
          "new leaders: no key is accepted once the revocation time has passed")
{
    int accepting = 0;
    int checks = 0;
    qint64 withdrawn = 0;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        simulation run(static_cast<quint64>(seed));
        run.run(troubled_time, simulation::trouble::all);
        CHECK(run.violations() == 0);
        withdrawn += run.withdrawn();
        accepting += run.accepting();
        checks += run.checks();
    }
    // The bound is worth nothing if keys are refused all the time.
    CHECK(accepting * 2 > checks);
    CHECK(withdrawn > qint64{50} * seeds);
}

TEST_CASE("key withdrawal: confirmations that are dated by their arrival: the "
          "check finds it")
{
    int violations = 0;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        simulation run(static_cast<quint64>(seed),
                       simulation::dating::from_answer);
        run.run(troubled_time, simulation::trouble::all);
        violations += run.violations();
    }
    CHECK(violations > 0);
}

TEST_CASE("key withdrawal: calm, also after trouble: each entry could be cut "
          "off at any time and still serve as long as it must")
{
    for (int seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        simulation run(static_cast<quint64>(seed));
        run.run(troubled_time / 4, simulation::trouble::all);
        run.heal();
        run.run(settling_time, simulation::trouble::none);
        run.take_shortest();
        run.run(troubled_time / 4, simulation::trouble::none);
        CHECK(run.take_shortest() >= owed_time);
        CHECK(run.violations() == 0);
    }
}

TEST_CASE("key withdrawal: no leader for a while: entries with a sound path "
          "serve on")
{
    for (int seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        simulation run(static_cast<quint64>(seed));
        run.run(settling_time, simulation::trouble::none);
        run.take_shortest();
        run.stop_leader(milliseconds(3000));
        run.run(settling_time * 2, simulation::trouble::none);
        CHECK(run.take_shortest() > milliseconds(0));
    }
}
