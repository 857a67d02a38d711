#ifndef VERBENACOVE_TEAMS_ALLOWANCE_GATE_HPP
#define VERBENACOVE_TEAMS_ALLOWANCE_GATE_HPP

#include "verbenacove/teams/allowance_message.hpp"
#include "verbenacove/teams/team_record.hpp"

#include <QHash>
#include <QMap>

#include <optional>
#include <random>
#include <vector>

namespace verbenacove
{

/** Numbers the reports of one entry process, from 1. */
using allowance_report_number =
    strong_type<struct allowance_report_number_tag, quint64>;

/** What an entry tells about the use of allowances. */
struct allowance_report
{
    allowance_report_number number;
    /** May be empty: the report then only asks for an answer. */
    std::vector<allowance_use> uses;
};

/** Decides at an entry which requests of teams are admitted.

    While the leader confirms reports, an entry admits the fraction of each
    team's requests that the leader names, all of them without a restriction.
    What it may admit ahead of the answer that accounts for it is bounded by its
    usual rate.

    It also keeps an account of its own for each team, which grows at this
    entry's usual rate. Without confirmation, and while a new leader learns the
    demand, only what that account holds is admitted as well; after a longer
    time only a small part of the rate, so that all entries that are cut off
    stay within a tenth of it together.

    @see allowance_ledger
*/
class allowance_gate
{
public:
    /** Which rule bounds the requests that are admitted. */
    enum class mode
    {
        /** The leader has confirmed the use but for the latest. */
        confirmed,
        /** The leader has not confirmed the use for a while. */
        unconfirmed,
        /** The leader has not confirmed the use for a long time. */
        cut_off
    };

    /** @param seed  spreads the phases of entries, so that they do not admit
                     requests in step */
    explicit allowance_gate(quint64 seed);

    /** Sets the allowances of a configuration; those of teams without limit
        are left out.

        @param live_entries  number of entries that serve, at least 1
    */
    void set_teams(QMap<QString, team_record> const& teams, int live_entries,
                   monotonic_time now);

    /** Decides on a request; counts it.

        @param request_hash  spreads the retries of refused requests
        @return  the retry delay of a request that is refused; nothing for one
                 that is admitted
    */
    std::optional<milliseconds> admit(team_name const& team,
                                      quint64 request_hash, monotonic_time now);

    /** Gives the token of an admitted request back that was not run. */
    void refund(team_name const& team, monotonic_time now);

    /** Returns the next report; nothing when there is nothing to tell and to
        ask. One that was not confirmed is included in the next. */
    std::optional<allowance_report> take_report(monotonic_time now);

    /** Applies the answer to a report; ignored unless it is the latest. */
    void confirm(allowance_report_number number, allowance_answer const& answer,
                 monotonic_time now);

    /** Returns the rule in force. */
    mode current_mode(monotonic_time now) const;

    /** Returns the number of teams that are restricted by the leader. */
    int restricted_teams() const { return restricted_; }

    /** Returns whether any team has an allowance. */
    bool has_allowances() const { return !accounts_.isEmpty(); }

private:
    struct account
    {
        team_allowance allowance;
        double fraction = 1;
        milliseconds debt_time{0};
        /** Sum of the fractions of requests; one is admitted at 1. */
        double credit = 0;
        /** Requests per second that this entry admits usually. */
        double usual = 0;
        /** What may be admitted without confirmation; negative after more
            than the usual rate was admitted. */
        double balance = 0;
        monotonic_time created{};
        monotonic_time updated{};
        /** Rule under which the balance was used last. */
        mode used_mode = mode::confirmed;
        /** Admitted less refunds, and refused, since the latest report. */
        qint64 admitted = 0;
        qint64 refused = 0;
        /** The same in reports that are not confirmed. */
        qint64 reported_admitted = 0;
        qint64 reported_refused = 0;
        /** Admitted in the latest report that was confirmed: the answer to it
            may not include what other entries admitted at that time. */
        qint64 confirmed_admitted = 0;
    };

    double random_phase();
    /** Returns the rate of an entry's own account. */
    double own_rate(account const& known) const;
    void update(account& known, mode rule, monotonic_time now);
    bool has_own_room(account const& known, mode rule) const;
    milliseconds retry_delay(account const& known, mode rule,
                             quint64 request_hash) const;

    std::mt19937_64 random_;
    int live_entries_ = 1;
    QHash<team_name, account> accounts_;
    int restricted_ = 0;
    bool is_settled_ = true;
    allowance_report_number number_;
    /** Time of the latest report, and that of the latest one that was
        confirmed. */
    monotonic_time report_taken_{};
    monotonic_time confirmed_until_{};
    /** Usual time from the first request in a report to the confirmation. */
    double usual_confirmation_ms_ = 0;
    /** Time of the first request since the latest report; absent if there is
        none. */
    std::optional<monotonic_time> unreported_since_;
    /** The same of the reports that are not confirmed. */
    std::optional<monotonic_time> reported_since_;
};

} // namespace verbenacove

#endif
