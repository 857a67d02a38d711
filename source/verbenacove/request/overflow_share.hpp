#ifndef VERBENACOVE_REQUEST_OVERFLOW_SHARE_HPP
#define VERBENACOVE_REQUEST_OVERFLOW_SHARE_HPP

#include "verbenacove/core/clock.hpp"

#include <deque>

namespace verbenacove
{

/** The capacity of a service's upstreams, in the local region and in all
    regions. */
struct region_capacity
{
    /** The slots of all usable upstreams in the local region. */
    int slots = 0;
    /** The number of entries that share these slots; each is assumed to get as
        many requests as this one. */
    int entries = 1;
    /** The slots and entries of all regions together. */
    int all_slots = 0;
    int all_entries = 1;
    /** The average time that a request occupies a slot, in milliseconds. */
    double mean_processing_ms = 0;
};

/** Estimates the share of a service's requests that exceeds the capacity of
    the local region, from the rate of this entry's own requests.

    When all regions are overloaded, the local region keeps more of its load,
    because exchanging requests among full regions helps none of them.

    The estimate uses the request rate, because queues show an overload only
    once it has happened, and each entry sees only part of them. After the first
    window the estimate changes slowly, so that the share of requests that leave
    the region does not jump. All calls must come from one thread.
*/
class overflow_share
{
public:
    /** The time over which the request rate is measured. */
    static constexpr milliseconds window{2000};

    /** @param maximum_change  the maximum change of the share within a window,
                               0 to 1 */
    explicit overflow_share(double maximum_change);

    /** Counts a request. */
    void count(monotonic_time now);

    /** Updates the estimate and returns the share, 0 to 1; 0 before the first
        request. */
    double value(monotonic_time now, region_capacity const& capacity);

private:
    double requests_per_ms(monotonic_time now);

    double maximum_change_;
    std::deque<monotonic_time> requests_;
    monotonic_time first_request_{};
    monotonic_time last_update_{};
    double share_ = 0;
    bool has_requests_ = false;
};

} // namespace verbenacove

#endif
