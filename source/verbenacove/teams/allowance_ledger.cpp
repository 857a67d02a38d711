#include "verbenacove/teams/allowance_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

namespace
{

/** Time in which a new leader learns the demand from the entries' reports; the
    first ones also hold what was used while there was no leader. Meanwhile the
    entries admit what their own accounts hold. */
constexpr milliseconds settling_time{1000};
/** Time constants of the two estimates of demand, in seconds. The lower one
    counts: the slow one does not take a burst for lasting demand, and the fast
    one forgets it soon. */
constexpr double fast_seconds = 0.2;
constexpr double slow_seconds = 0.4;
/** Time for which a balance has to last, in seconds: longer than it takes
    until a restriction is in force at the entries. */
constexpr double horizon_seconds = 1;
/** Number of requests beyond the burst that a team may run, so that the chance
    variation of few requests is not refused. */
constexpr double tolerated_requests = 6;

/** Debt that a new leader assumes of a team whose demand exceeds its rate: the
    demand of so many seconds beyond the rate, but at most the rate of so many.
    What was admitted before is not known. */
constexpr double assumed_seconds = 0.5;
constexpr double most_assumed_seconds = 1.5;

double seconds(monotonic_time from, monotonic_time to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

void allowance_ledger::start_term(monotonic_time now)
{
    settled_at_ = now + settling_time;
    for (auto& each : accounts_)
    {
        each = account{each.allowance, 0, 0, 0, now, false};
    }
}

void allowance_ledger::set_teams(QMap<QString, team_record> const& teams,
                                 monotonic_time now)
{
    QMap<QString, account> accounts;
    for (auto const& team : teams)
    {
        if (team.allowance.rate.value() <= 0)
        {
            continue;
        }
        auto const known = accounts_.constFind(team.name.value());
        account next;
        next.updated = now;
        next.is_settled = true;
        if (known != accounts_.cend())
        {
            next = *known;
        }
        next.allowance = team.allowance;
        update(next, now);
        accounts.insert(team.name.value(), next);
    }
    accounts_ = std::move(accounts);
}

void allowance_ledger::record(allowance_use const& use, monotonic_time now)
{
    auto const found = accounts_.find(use.team.value());
    if (found == accounts_.end())
    {
        return;
    }
    update(*found, now);
    if (found->is_settled)
    {
        auto const capacity = found->allowance.burst + tolerated_requests;
        found->balance = std::min(
            capacity, found->balance - static_cast<double>(use.admitted));
    }
    auto const asked = std::max(qint64{0}, use.admitted) + use.refused;
    found->fast_demand += static_cast<double>(asked) / fast_seconds;
    found->slow_demand += static_cast<double>(asked) / slow_seconds;
}

allowance_answer allowance_ledger::answer(monotonic_time now)
{
    allowance_answer result;
    result.is_settled = now >= settled_at_;
    if (!result.is_settled)
    {
        return result;
    }
    for (auto item = accounts_.begin(); item != accounts_.end(); ++item)
    {
        auto& current = *item;
        update(current, now);
        auto const rate = current.allowance.rate.value();
        auto const available = rate * horizon_seconds + current.balance;
        auto const wanted = std::min(current.fast_demand, current.slow_demand) *
                            horizon_seconds;
        if (available >= wanted)
        {
            continue;
        }
        auto const debt = std::max(0.0, -current.balance) / rate;
        result.restrictions.push_back(
            {team_name(item.key()), std::clamp(available / wanted, 0.0, 1.0),
             milliseconds(static_cast<qint64>(debt * 1000))});
    }
    return result;
}

void allowance_ledger::update(account& known, monotonic_time now) const
{
    auto const passed = seconds(known.updated, now);
    auto const rate = known.allowance.rate.value();
    known.updated = std::max(known.updated, now);
    known.fast_demand *= std::exp(-passed / fast_seconds);
    known.slow_demand *= std::exp(-passed / slow_seconds);
    if (known.is_settled)
    {
        known.balance = std::min(known.allowance.burst + tolerated_requests,
                                 known.balance + rate * passed);
        return;
    }
    if (now >= settled_at_)
    {
        known.is_settled = true;
        auto const beyond =
            std::max(0.0, known.slow_demand - rate) * assumed_seconds;
        known.balance = -std::min(beyond, rate * most_assumed_seconds);
    }
}

} // namespace verbenacove
