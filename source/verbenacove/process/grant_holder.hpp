#ifndef VERBENACOVE_PROCESS_GRANT_HOLDER_HPP
#define VERBENACOVE_PROCESS_GRANT_HOLDER_HPP

#include "verbenacove/process/grant_message.hpp"

#include <QHash>

#include <deque>
#include <optional>

namespace verbenacove
{

/** Knows how much of each capped resource this process may use right now.

    Ask for a request about once a second for each resource, send it to the
    control leader, and hand its answer back. A grant is counted from the time
    its request was sent and ends early by a margin for clocks that run at
    different rates, so it is out of use here before the grantor can hand it
    out again. Without answers only the floor is left.

    Call `usable` at each use and keep no copy of it: a process that was
    stopped for a while must not go on with an old amount.

    @see grant_ledger
*/
class grant_holder
{
public:
    /** The share of a grant's duration by which it ends early, in parts of a
        thousand; enough while no clock is off by more than half of it. */
    static constexpr int drift_margin_permille = 10;

    /** The most resources known; requests for more are not made. */
    static constexpr qsizetype maximum_resources = 1024;

    /** The most requests of one resource that may still be answered. */
    static constexpr std::size_t maximum_unanswered = 32;

    /** Creates the holder of one process; the clock must outlive it. */
    grant_holder(entry_id holder, incarnation holder_incarnation,
                 clock_source const& clock);

    /** Returns what may be used now: the floor, and the grant while it holds.

        It is 0 for a resource that was never granted.
    */
    grant_amount usable(resource_name const& resource) const;

    /** Returns a request to send at once, or nothing at the most resources.

        @param in_use  what running work takes now
        @param demand  what could be used now, floor included
    */
    std::optional<grant_request> next_request(resource_name const& resource,
                                              grant_amount in_use,
                                              grant_amount demand);

    /** Takes the grantor's answer; returns false for one that is too late,
        overtaken by a newer one, or not for this process. */
    bool take(grant_answer const& answer);

private:
    struct sent_request
    {
        grant_sequence sequence;
        monotonic_time sent;
    };

    struct holding
    {
        std::deque<sent_request> unanswered;
        grant_sequence last_sent;
        grant_sequence adopted;
        grant_amount amount;
        grant_amount floor;
        monotonic_time end{};
    };

    grant_amount granted(holding const& held) const;

    entry_id holder_;
    incarnation incarnation_;
    clock_source const& clock_;
    QHash<resource_name, holding> holdings_;
};

} // namespace verbenacove

#endif
