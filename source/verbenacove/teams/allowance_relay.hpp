#ifndef VERBENACOVE_TEAMS_ALLOWANCE_RELAY_HPP
#define VERBENACOVE_TEAMS_ALLOWANCE_RELAY_HPP

#include "verbenacove/teams/allowance_message.hpp"

#include <QHash>

#include <functional>

namespace verbenacove
{

/** Sums the reports of the entries that read a replica, and answers them when
    the leader has answered the sum.

    One sum is on its way to the leader at a time. It keeps nothing of a sum
   that got no answer: the entries send their reports again.
*/
class allowance_relay
{
public:
    /** Gets the leader's answer, or nothing when there was none. */
    using callback =
        std::function<void(std::optional<allowance_answer> const&)>;

    /** Maximum number of reports that wait for an answer. */
    static constexpr std::size_t maximum_waiting = 1024;

    /** Adds an entry's report; calls back once. */
    void add(std::vector<allowance_use> const& uses, callback done);

    /** Returns whether reports wait to be sent, and none are on their way. */
    bool is_due() const { return !waiting_.empty() && sent_.empty(); }

    /** Returns the sum to send. */
    std::vector<allowance_use> take();

    /** Answers the reports in the sum that was sent. */
    void finish(std::optional<allowance_answer> const& answer);

private:
    QHash<team_name, allowance_use> sums_;
    std::vector<callback> waiting_;
    std::vector<callback> sent_;
};

} // namespace verbenacove

#endif
