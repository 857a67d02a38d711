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
    /** The retries allowed for each request of the window. */
    double retry_share = 0.1;
    /** The retries allowed in any window, however few requests there are. */
    int retry_floor = 3;
    /** The length of the window, at least 10 ms. */
    milliseconds window{10000};
};

/** Keeps retries within a share of the requests of a sliding window, so that
    they cannot multiply the load on upstreams that fail.

    The window moves on in tenths. All calls come from one thread.
*/
class retry_budget
{
public:
    /** Creates a budget; the clock must outlive it. */
    retry_budget(retry_budget_settings settings, clock_source const& clock);

    /** Changes the retries allowed in any window; what was taken counts. */
    void set_floor(int retries) { settings_.retry_floor = retries; }

    /** Counts a request; not called for its retries. */
    void count_request();

    /** Takes one retry from the budget.

        @return false when the window has none left; the retry must not be
                made then
    */
    bool take_retry();

    /** Returns the whole retries left in the window now. */
    int retries_left();

private:
    static constexpr std::size_t bucket_count = 10;

    struct bucket
    {
        qint64 requests = 0;
        qint64 retries = 0;
    };

    bucket& current();

    retry_budget_settings settings_;
    clock_source const& clock_;
    std::array<bucket, bucket_count> buckets_;
    std::chrono::nanoseconds bucket_length_;
    qint64 latest_ = 0;
};

} // namespace verbenacove

#endif
