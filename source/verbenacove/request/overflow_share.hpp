#ifndef VERBENACOVE_REQUEST_OVERFLOW_SHARE_HPP
#define VERBENACOVE_REQUEST_OVERFLOW_SHARE_HPP

#include "verbenacove/core/clock.hpp"

#include <deque>

namespace verbenacove
{

/** What a service's upstreams can carry, in the own region and in all. */
struct region_capacity
{
    /** The slots of all its usable upstreams. */
    int slots = 0;
    /** The entries that share them; each is taken to get as many requests as
        this one. */
    int entries = 1;
    /** The same of all regions together. */
    int all_slots = 0;
    int all_entries = 1;
    /** How long a request holds a slot, on the average. */
    double mean_work_ms = 0;
};

/** Estimates the share of a service's requests that the own region has no
    room for, from this entry's own requests.

    When there is no room anywhere, the own region keeps more of its load:
    exchanging requests among full regions helps none.

    Queues tell of an overload only when it is there, and each entry sees a
    part of them. The estimate moves slowly but for the first window, so that
    the share of requests that leave the region does not jump. All calls come
    from one thread.
*/
class overflow_share
{
public:
    /** The time over which the rate of requests is taken. */
    static constexpr milliseconds window{2000};

    /** @param largest_change  the most that the share may change within a
                               window, 0 to 1 */
    explicit overflow_share(double largest_change);

    /** Counts a request. */
    void count(monotonic_time now);

    /** Returns the share, 0 to 1. */
    double value(monotonic_time now, region_capacity const& capacity);

private:
    double requests_per_ms(monotonic_time now);

    double largest_change_;
    std::deque<monotonic_time> requests_;
    monotonic_time first_{};
    monotonic_time moved_{};
    double share_ = 0;
    bool has_requests_ = false;
};

} // namespace verbenacove

#endif
