#ifndef VERBENACOVE_REQUEST_REGION_SHIFT_LIMIT_HPP
#define VERBENACOVE_REQUEST_REGION_SHIFT_LIMIT_HPP

#include "verbenacove/core/clock.hpp"

#include <deque>

namespace verbenacove
{

/** Limits how fast the share of requests that leave the local region changes,
    in both directions.

    Compares the current window with the one before it. All calls must come
    from one thread.
*/
class region_shift_limit
{
public:
    /** The length of each of the two windows that are compared. */
    static constexpr milliseconds window{2000};

    /** @param maximum_change  the maximum change of the share from one window
                               to the next, 0 to 1 */
    explicit region_shift_limit(double maximum_change);

    /** Returns whether one more request may leave the region now. */
    bool may_leave(monotonic_time now);

    /** Returns whether one more request should leave the region now although
        it has capacity, because the share would otherwise fall too fast. */
    bool should_leave(monotonic_time now);

    /** Counts a request that was sent, within the region or out of it. */
    void count(monotonic_time now, bool leaves_region);

private:
    /** The counts of the requests of a short interval. */
    struct slice
    {
        monotonic_time start;
        int sent = 0;
        int left_region = 0;
    };

    /** The sum of the counts of several slices. */
    struct share
    {
        int sent = 0;
        int left_region = 0;
        double value() const
        {
            return sent == 0 ? 0 : static_cast<double>(left_region) / sent;
        }
    };

    void remove_expired(monotonic_time now);
    share share_between(monotonic_time from, monotonic_time to) const;

    double maximum_change_;
    std::deque<slice> slices_;
};

} // namespace verbenacove

#endif
