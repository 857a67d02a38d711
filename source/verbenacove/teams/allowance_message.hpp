#ifndef VERBENACOVE_TEAMS_ALLOWANCE_MESSAGE_HPP
#define VERBENACOVE_TEAMS_ALLOWANCE_MESSAGE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QCborMap>

#include <optional>
#include <vector>

namespace verbenacove
{

/** What a team has used of its allowance since the last report. */
struct allowance_use
{
    team_name team;
    /** Number of requests that were admitted, less those that were admitted
        before and are known not to have run. */
    qint64 admitted = 0;
    /** Number of requests that were refused by the allowance. */
    qint64 refused = 0;
};

/** Restricts a team that asks for more than its allowance. */
struct allowance_restriction
{
    team_name team;
    /** Fraction of its requests that every entry admits, from 0 to 1. */
    double fraction = 1;
    /** Time until the requests that were run beyond the allowance are made
        up for. */
    milliseconds debt_time{0};
};

/** The response to a report of use. */
struct allowance_answer
{
    /** The teams that are restricted; all others are not. */
    std::vector<allowance_restriction> restrictions;
    /** Whether the leader knows the present demand; false for a new one. */
    bool is_settled = false;
};

/** Returns these as CBOR, and reads them back. What is unreadable in a list is
    left out. */
QCborMap to_cbor(std::vector<allowance_use> const& uses);
std::vector<allowance_use> parse_allowance_uses(QCborMap const& map);
QCborMap to_cbor(allowance_answer const& answer);
/** Returns nothing for a response that is no answer, such as that of a replica
    of an earlier version. */
std::optional<allowance_answer> parse_allowance_answer(QCborMap const& map);

} // namespace verbenacove

#endif
