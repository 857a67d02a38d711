#ifndef VERBENACOVE_TEAMS_ALLOWANCE_LEDGER_HPP
#define VERBENACOVE_TEAMS_ALLOWANCE_LEDGER_HPP

#include "verbenacove/teams/allowance_message.hpp"
#include "verbenacove/teams/team_record.hpp"

#include <QMap>

namespace verbenacove
{

/** Decides on the control leader which teams are restricted, from what all
    entries report.

    It keeps a token bucket for each team. Reports arrive after the requests
    were admitted, so a balance may be negative; the team is then refused until
    it is made up for. A team whose demand would use up its balance is
   restricted to a fraction of its demand, the same at all entries, so that
   uneven and moving traffic needs no shares.

    Nothing is lent and nothing is stored: a new leader starts with empty
    buckets.

    @see allowance_gate
*/
class allowance_ledger
{
public:
    /** Forgets all balances, and that of earlier leaders. */
    void start_term(monotonic_time now);

    /** Sets the allowances; those of teams without limit are left out. */
    void set_teams(QMap<QString, team_record> const& teams, monotonic_time now);

    /** Counts what was used; teams without allowance are ignored. */
    void record(allowance_use const& use, monotonic_time now);

    /** Returns the restrictions in force. */
    allowance_answer answer(monotonic_time now);

    /** Returns whether there are teams with allowances. */
    bool has_allowances() const { return !accounts_.isEmpty(); }

private:
    struct account
    {
        team_allowance allowance;
        /** Number of requests that may be run at once; negative when more
            were run than the allowance permits. */
        double balance = 0;
        /** Requests per second that callers have sent lately, averaged over a
            short and over a longer time. */
        double fast_demand = 0;
        double slow_demand = 0;
        monotonic_time updated{};
        /** Whether the balance counts; not while a new leader learns the
            demand. */
        bool is_settled = false;
    };

    void update(account& known, monotonic_time now) const;

    monotonic_time settled_at_{};
    QMap<QString, account> accounts_;
};

} // namespace verbenacove

#endif
