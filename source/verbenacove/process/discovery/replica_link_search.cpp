// The search for a replica that responds and has contact with a leader.

#include "verbenacove/process/discovery/replica_link_detail.hpp"

#include <algorithm>

namespace verbenacove
{

using namespace replica_link_detail;

namespace
{

/** Pause of an entry that has asked all replicas and found none with a leader.
    Limits its request rate while there is none. */
constexpr milliseconds pause_between_rounds{300};
/** Number of replicas that are asked before a pause, and number of rounds over
    which the pauses grow: with many replicas and entries, the entries that find
    no leader would keep the replicas from electing one. */
constexpr std::size_t maximum_reads_per_round = 5;
constexpr std::size_t maximum_pause_factor = 4;
/** Minimum time for which an entry waits during a pause for changes of the view
    that it has. */
constexpr milliseconds minimum_follow_time{50};

} // namespace

void replica_link::continue_search()
{
    was_replica_current_ = false;
    ++failed_reads_;
    auto const round = std::min(selector_.candidate_count(membership_),
                                maximum_reads_per_round);
    auto const factor = static_cast<qint64>(
        std::min(failed_reads_ / round, maximum_pause_factor));
    auto const pause = pause_between_rounds * factor;
    // A lease may end soon: at the same rate, but spread evenly, the reads find
    // a new leader earlier.
    if (settings_.revocation && factor > 0)
    {
        next_read_ = clock_.now() + pause / static_cast<qint64>(round);
        if (failed_reads_ % round == 0)
        {
            follow_view();
        }
        return;
    }
    if (failed_reads_ % round == 0)
    {
        next_read_ = clock_.now() + pause;
        follow_view();
        return;
    }
    read();
}

void replica_link::follow_view()
{
    auto const time = elapsed(clock_.now(), next_read_) - tick_interval;
    if (!view_replica_ || time < minimum_follow_time)
    {
        return;
    }
    current_ = view_replica_;
    is_following_ = true;
    send_read(time);
}

void replica_link::leave_replica(socket_address const& failed,
                                 char const* reason)
{
    auto const now = clock_.now();
    selector_.record_failure(failed, now);
    auto const waited = elapsed(read_started_, now);
    auto const lag = lag_.take_maximum();
    link_log.note("replica.lost", {{"replica", failed.text()},
                                   {"reason", QLatin1String(reason)},
                                   {"waited_ms", qint64{waited.count()}},
                                   {"loop_lag_ms", qint64{lag.count()}}});
    current_.reset();
}

void replica_link::select_replica()
{
    auto const chosen = selector_.choose(membership_, clock_.now());
    if (!chosen || chosen == current_)
    {
        return;
    }
    current_ = chosen;
    link_log.note(
        "replica.chosen",
        {{"replica", current_->text()},
         {"distance", selector_.distance_of(*current_, membership_)}});
}

} // namespace verbenacove
