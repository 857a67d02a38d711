#ifndef VERBENACOVE_PROCESS_DISCOVERY_VIEW_SETTLING_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_VIEW_SETTLING_HPP

#include "verbenacove/core/clock.hpp"

#include <optional>

namespace verbenacove
{

/** Decides whether a replica's view of the entries is complete enough to answer
    look-ups.

    After a restart, or when it was cut off from all entries, a replica hears of
    the entries one by one. A look-up answered from such a view would send all
    callers to the few entries that came first. The view settles once each
    serving entry has had time to report and each replica that can be read has
    told which entries report to it, or when all entries that a settled replica
    knows were merged.
*/
class view_settling
{
public:
    /** Time in which each serving entry reports, from the first report on.
        Covers an entry whose read of an unreachable replica has to time out
        before it reads another one. */
    static constexpr milliseconds settling_time{1500};

    /** Updates the state; must be called a few times per second.

        @param live_entries       number of entries that are serving and not
                                  silent
        @param has_read_replicas  whether each other replica has been read, or
                                  cannot be
    */
    void update(std::size_t live_entries, bool has_read_replicas,
                monotonic_time now)
    {
        if (live_entries == 0)
        {
            restart();
            return;
        }
        first_report_ = first_report_.value_or(now);
        is_settled_ =
            is_settled_ || (has_read_replicas &&
                            elapsed(*first_report_, now) >= settling_time);
    }

    /** Lets the view settle anew: no entry is known any more, or this process
        did not run for a while. */
    void restart()
    {
        first_report_.reset();
        is_settled_ = false;
    }

    /** Records that all entries of a replica whose view had settled were
        merged.

        @param live_entries  number of live entries in this view after that
    */
    void merge_settled_view(std::size_t live_entries)
    {
        is_settled_ = is_settled_ || live_entries > 0;
    }

    bool is_settled() const { return is_settled_; }

private:
    std::optional<monotonic_time> first_report_;
    bool is_settled_ = false;
};

} // namespace verbenacove

#endif
