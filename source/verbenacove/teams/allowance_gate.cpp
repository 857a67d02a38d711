#include "verbenacove/teams/allowance_gate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenacove
{

namespace
{

/** Time without confirmation after which an entry's own account counts: a
    multiple of the usual time, within these limits. */
constexpr double unconfirmed_factor = 1.4;
constexpr milliseconds earliest_unconfirmed{550};
constexpr milliseconds latest_unconfirmed{900};
/** Weight of one confirmation in the usual time. */
constexpr double confirmation_weight = 0.1;
/** Time without confirmation after which only the floor is admitted. */
constexpr milliseconds cut_off_after{3000};
/** Interval of the reports of an entry that has nothing to tell. */
constexpr milliseconds idle_report_interval{1000};
/** Part of a team's rate that all entries that are cut off may use together. */
constexpr double floor_fraction = 0.1;
/** Time constant of the usual rate, in seconds: long, so that a team that turns
    hot does not raise it. An account that is younger learns faster. */
constexpr double usual_seconds = 15;
constexpr double shortest_usual_seconds = 3;
/** An entry's own account grows faster than its usual rate, as traffic moves
    between entries: by this factor for large teams, less for small ones, whose
    bound is soon reached by one request at each entry. */
constexpr double most_growth = 1.3;
/** Part of a team's rate that is spread evenly over the accounts of entries
    that had no requests of it. */
constexpr double even_fraction = 0.3;
/** Time for which an account saves what is not used, in seconds. */
constexpr double saved_seconds = 1;
/** What all accounts of a team save beside that, in seconds of its rate, as few
    requests come unevenly; less a part of a request for each account, so that
    the many accounts of a small team save nothing, and the most of one. */
constexpr double extra_seconds = 0.8;
constexpr double unsaved_extra = 0.2;
constexpr double most_extra = 1.5;
/** Time after which an account forgets what was admitted beyond it, in
    seconds: the window in which the allowance holds. */
constexpr double owed_seconds = 5;
/** Time constant with which it forgets that while the leader, which knows what
    all entries have admitted, confirms, in seconds. */
constexpr double forgiving_seconds = 3;
/** What an entry may admit ahead of the answer that accounts for it, in seconds
    at the rate of its own account and in requests. */
constexpr double ahead_seconds = 2.2;
constexpr double ahead_requests = 2;

/** Bounds of the retry delay of refused requests. */
constexpr milliseconds shortest_delay{200};
constexpr milliseconds longest_delay{5000};
/** Refused requests return spread over a time that is longer the smaller the
    fraction of them that is admitted. */
constexpr double spread_ms = 700;
constexpr double longest_spread_ms = 4000;

double seconds(monotonic_time from, monotonic_time to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double averaging_seconds(monotonic_time created, monotonic_time now)
{
    return std::clamp(seconds(created, now), shortest_usual_seconds,
                      usual_seconds);
}

std::optional<monotonic_time> earlier(std::optional<monotonic_time> a,
                                      std::optional<monotonic_time> b)
{
    if (!a || !b)
    {
        return a ? a : b;
    }
    return std::min(*a, *b);
}

} // namespace

allowance_gate::allowance_gate(quint64 seed)
    : random_(seed)
{
}

void allowance_gate::set_teams(QMap<QString, team_record> const& teams,
                               int live_entries, monotonic_time now)
{
    live_entries_ = std::max(1, live_entries);
    if (accounts_.isEmpty())
    {
        confirmed_until_ = now;
    }
    QHash<team_name, account> accounts;
    for (auto const& team : teams)
    {
        if (team.allowance.rate.value() <= 0)
        {
            continue;
        }
        auto const known = accounts_.constFind(team.name);
        account next;
        if (known != accounts_.cend())
        {
            next = *known;
        }
        else
        {
            next.credit = random_phase();
            next.balance = random_phase();
            next.created = now;
            next.updated = now;
        }
        next.allowance = team.allowance;
        accounts.insert(team.name, next);
    }
    accounts_ = std::move(accounts);
    restricted_ = static_cast<int>(
        std::count_if(accounts_.cbegin(), accounts_.cend(),
                      [](account const& each) { return each.fraction < 1; }));
}

std::optional<milliseconds> allowance_gate::admit(team_name const& team,
                                                  quint64 request_hash,
                                                  monotonic_time now)
{
    auto const found = accounts_.find(team);
    if (found == accounts_.end())
    {
        return std::nullopt;
    }
    auto const rule = current_mode(now);
    update(*found, rule, now);
    if (!unreported_since_)
    {
        unreported_since_ = now;
    }
    found->credit += found->fraction;
    bool const is_chosen = found->credit >= 1;
    found->credit -= is_chosen ? 1 : 0;
    if (!is_chosen || !has_own_room(*found, rule))
    {
        ++found->refused;
        return retry_delay(*found, rule, request_hash);
    }
    found->balance -= 1;
    found->usual += 1 / averaging_seconds(found->created, now);
    ++found->admitted;
    return std::nullopt;
}

void allowance_gate::refund(team_name const& team, monotonic_time now)
{
    auto const found = accounts_.find(team);
    if (found == accounts_.end())
    {
        return;
    }
    update(*found, current_mode(now), now);
    --found->admitted;
    found->balance += 1;
    if (!unreported_since_)
    {
        unreported_since_ = now;
    }
}

std::optional<allowance_report> allowance_gate::take_report(monotonic_time now)
{
    bool const is_due = unreported_since_ || reported_since_ ||
                        restricted_ > 0 || !is_settled_ ||
                        elapsed(report_taken_, now) >= idle_report_interval;
    if (accounts_.isEmpty() || !is_due)
    {
        return std::nullopt;
    }
    report_taken_ = now;
    number_ = allowance_report_number(number_.value() + 1);
    allowance_report report;
    report.number = number_;
    for (auto item = accounts_.begin(); item != accounts_.end(); ++item)
    {
        // What was given back may have been counted already.
        item->reported_admitted = std::max(qint64{0}, item->reported_admitted) +
                                  std::exchange(item->admitted, 0);
        item->reported_refused += std::exchange(item->refused, 0);
        if (item->reported_admitted != 0 || item->reported_refused != 0)
        {
            report.uses.push_back(
                {item.key(), item->reported_admitted, item->reported_refused});
        }
    }
    auto const since = std::exchange(unreported_since_, std::nullopt);
    reported_since_ = earlier(reported_since_, since.value_or(now));
    return report;
}

void allowance_gate::confirm(allowance_report_number number,
                             allowance_answer const& answer, monotonic_time now)
{
    if (number != number_)
    {
        return;
    }
    if (reported_since_)
    {
        auto const taken =
            std::min(elapsed(*reported_since_, now), cut_off_after);
        usual_confirmation_ms_ +=
            (static_cast<double>(taken.count()) - usual_confirmation_ms_) *
            confirmation_weight;
    }
    reported_since_.reset();
    confirmed_until_ = report_taken_;
    is_settled_ = answer.is_settled;
    for (auto& each : accounts_)
    {
        each.confirmed_admitted = each.reported_admitted;
        each.reported_admitted = 0;
        each.reported_refused = 0;
        each.fraction = 1;
        each.debt_time = milliseconds(0);
    }
    restricted_ = 0;
    for (auto const& restriction : answer.restrictions)
    {
        auto const found = accounts_.find(restriction.team);
        if (found != accounts_.end())
        {
            found->fraction = restriction.fraction;
            found->debt_time = restriction.debt_time;
            ++restricted_;
        }
    }
}

allowance_gate::mode allowance_gate::current_mode(monotonic_time now) const
{
    auto const oldest = earlier(unreported_since_, reported_since_);
    auto const waited = oldest ? elapsed(*oldest, now) : milliseconds(0);
    auto const age =
        std::max(waited, elapsed(confirmed_until_, now) - idle_report_interval);
    if (age >= cut_off_after)
    {
        return mode::cut_off;
    }
    auto const patience =
        std::clamp(milliseconds(static_cast<qint64>(usual_confirmation_ms_ *
                                                    unconfirmed_factor)),
                   earliest_unconfirmed, latest_unconfirmed);
    return age >= patience || !is_settled_ ? mode::unconfirmed
                                           : mode::confirmed;
}

double allowance_gate::random_phase()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

double allowance_gate::own_rate(account const& known) const
{
    auto const share = known.allowance.rate.value() / live_entries_;
    auto const growth = 1 + (most_growth - 1) * share / (1 + share);
    return std::max(known.usual * growth, share * even_fraction);
}

void allowance_gate::update(account& known, mode rule, monotonic_time now)
{
    auto const passed = seconds(known.updated, now);
    known.updated = std::max(known.updated, now);
    auto const rate = own_rate(known);
    known.usual *= std::exp(-passed / averaging_seconds(known.created, now));
    auto const floor =
        known.allowance.rate.value() * floor_fraction / live_entries_;
    auto const growth = rule == mode::cut_off ? floor : rate;
    auto const extra = std::clamp(known.allowance.rate.value() * extra_seconds /
                                          live_entries_ -
                                      unsaved_extra,
                                  0.0, most_extra);
    if (rule != known.used_mode)
    {
        // Each of many entries would otherwise admit a first request of a team
        // at the same time.
        auto const saved =
            rule == mode::unconfirmed ? rate * saved_seconds / 2 + extra : 0;
        if (rule != mode::confirmed)
        {
            known.balance = std::min(known.balance, saved + random_phase());
        }
        known.used_mode = rule;
    }
    if (rule == mode::confirmed && known.balance < 0)
    {
        known.balance *= std::exp(-passed / forgiving_seconds);
    }
    auto const capacity =
        rule == mode::cut_off ? 1 : std::max(1.0, rate * saved_seconds + extra);
    known.balance = std::clamp(known.balance + growth * passed,
                               -std::max(1.0, rate * owed_seconds), capacity);
}

bool allowance_gate::has_own_room(account const& known, mode rule) const
{
    if (rule != mode::confirmed)
    {
        return known.balance >= 1;
    }
    auto const share = known.allowance.rate.value() / live_entries_;
    auto const ahead =
        own_rate(known) * ahead_seconds + ahead_requests + std::min(share, 1.0);
    auto const recent =
        known.admitted + known.reported_admitted + known.confirmed_admitted;
    return static_cast<double>(recent + 1) <= ahead;
}

milliseconds allowance_gate::retry_delay(account const& known, mode rule,
                                         quint64 request_hash) const
{
    auto earliest = shortest_delay;
    if (rule == mode::confirmed)
    {
        earliest = std::max(earliest, known.debt_time);
    }
    else
    {
        auto const wait =
            std::max(0.0, 1 - known.balance) / std::max(own_rate(known), 0.01);
        earliest = std::max(earliest, milliseconds(static_cast<qint64>(
                                          std::min(wait, 10.0) * 1000)));
    }
    auto const spread =
        std::min(longest_spread_ms, spread_ms / std::max(known.fraction, 0.01));
    constexpr double hash_range = 65536;
    auto const position =
        static_cast<double>(request_hash % quint64{65536}) / hash_range;
    return std::min(longest_delay, earliest) +
           milliseconds(static_cast<qint64>(spread * position));
}

} // namespace verbenacove
