#ifndef VERBENACOVE_REQUEST_RETRY_BUDGET_HPP
#define VERBENACOVE_REQUEST_RETRY_BUDGET_HPP

#include "verbenacove/core/clock.hpp"

#include <QtGlobal>

#include <array>
#include <cstddef>

namespace verbenacove
{

/** The settings of a retry_budget. */
struct retry_budget_settings
{
    /** The retries allowed per request in the window, as a fraction. */
    double retry_share = 0.1;
    /** The minimum number of retries allowed in a window, even without
        requests. */
    int minimum_retries = 3;
    /** The length of the window in milliseconds; less than 10 ms counts as
        10 ms. */
    milliseconds window{10000};
};

/** Limits retries to a share of the requests in a sliding window, so that
    retries do not multiply the load on failing upstreams.

    The window moves in steps of a tenth of its length. Not thread-safe: use it
    on one thread.
*/
class retry_budget
{
public:
    /** Creates a budget; the clock must outlive it. */
    retry_budget(retry_budget_settings settings, clock_source const& clock);

    /** Sets the minimum number of retries allowed in a window. Retries that
        were already taken in the window count against it. */
    void set_minimum_retries(int retries)
    {
        settings_.minimum_retries = retries;
    }

    /** Counts a request. Not to be called for its retries. */
    void count_request();

    /** Takes one retry from the budget.

        @return false when the window has none left; the retry must then not
                be sent
    */
    bool take_retry();

    /** Returns the number of retries left in the window, rounded down. */
    int retries_left();

private:
    static constexpr std::size_t bucket_count = 10;

    struct bucket
    {
        qint64 requests = 0;
        qint64 retries = 0;
    };

    // Moves the window to the current time and returns the bucket of that time.
    bucket& current_bucket();

    retry_budget_settings settings_;
    clock_source const& clock_;
    std::array<bucket, bucket_count> buckets_;
    std::chrono::nanoseconds bucket_length_;
    qint64 current_index_ = 0;
};

} // namespace verbenacove

#endif
