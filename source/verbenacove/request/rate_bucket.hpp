#ifndef VERBENACOVE_REQUEST_RATE_BUCKET_HPP
#define VERBENACOVE_REQUEST_RATE_BUCKET_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <algorithm>

namespace verbenacove
{

/** A token bucket that bounds the rate of requests to one upstream.

    It starts empty, so that entries that take over a rate from one another do
    not add a burst each.
*/
class rate_bucket
{
public:
    /** Sets the rate; the tokens at hand are kept. */
    void set_rate(requests_per_second rate, monotonic_time now)
    {
        refill(now);
        rate_ = rate;
    }

    /** Returns whether a request may be sent. */
    bool has_token(monotonic_time now) const { return tokens_at(now) >= 1; }

    /** Takes the token of a request that is sent. */
    void take(monotonic_time now)
    {
        refill(now);
        tokens_ = std::max(0.0, tokens_ - 1);
    }

private:
    /** Time whose tokens are kept while no request comes. */
    static constexpr double saved_seconds = 1;

    double tokens_at(monotonic_time now) const
    {
        auto const seconds =
            std::chrono::duration<double>(now - refilled_at_).count();
        auto const capacity = 1 + rate_.value() * saved_seconds;
        return std::min(capacity, tokens_ + rate_.value() * seconds);
    }

    void refill(monotonic_time now)
    {
        tokens_ = tokens_at(now);
        refilled_at_ = now;
    }

    requests_per_second rate_{0.0};
    double tokens_ = 0;
    monotonic_time refilled_at_{};
};

} // namespace verbenacove

#endif
