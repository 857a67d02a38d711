#ifndef VERBENACOVE_CORE_LOOP_LAG_HPP
#define VERBENACOVE_CORE_LOOP_LAG_HPP

#include "verbenacove/core/clock.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace verbenacove
{

/** Measures how late an event loop runs, from the ticks of a periodic timer.

    A lag far above the timer's accuracy means that the process gets too little
    processor time. Must be used from one thread only.
*/
class loop_lag
{
public:
    /** Creates a meter for a timer of this interval. */
    explicit loop_lag(milliseconds interval)
        : interval_(interval)
    {
    }

    /** Records a tick of the timer. */
    void record_tick(monotonic_time now)
    {
        if (last_tick_)
        {
            auto const lag = std::max(milliseconds(0),
                                      elapsed(*last_tick_, now) - interval_);
            maximum_ = std::max(maximum_, lag);
        }
        last_tick_ = now;
    }

    /** Returns the maximum lag since the previous call. */
    milliseconds take_maximum()
    {
        return std::exchange(maximum_, milliseconds(0));
    }

private:
    milliseconds interval_;
    std::optional<monotonic_time> last_tick_;
    milliseconds maximum_{0};
};

} // namespace verbenacove

#endif
