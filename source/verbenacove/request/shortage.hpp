#ifndef VERBENACOVE_REQUEST_SHORTAGE_HPP
#define VERBENACOVE_REQUEST_SHORTAGE_HPP

#include "verbenacove/core/clock.hpp"

#include <QtGlobal>

#include <algorithm>

namespace verbenacove
{

/** Returns when a refused caller should come back: between a time and twice
   that time, so that callers which were refused together return apart.

    @param lot  a number from 0 to 1 that is uniform over requests
*/
inline milliseconds spread_return(milliseconds shortest, double lot)
{
    return milliseconds(
        static_cast<qint64>(static_cast<double>(shortest.count()) * (1 + lot)));
}

/** Tells how long a resource has been short, to say when refused callers should
    come back.

    A shortage that has lasted for some time is expected to last as long again.
    Time is passed in; all calls must come from one thread.
*/
class shortage
{
public:
    /** The range of the expected end, before it is spread. */
    static constexpr milliseconds shortest_return{150};
    static constexpr milliseconds longest_return{1500};

    /** The time without refusals after which a shortage has ended. */
    static constexpr milliseconds gap{1000};

    /** Records that a request was refused. */
    void note_refusal(monotonic_time now)
    {
        if (elapsed(last_refusal_, now) > gap)
        {
            since_ = now;
        }
        last_refusal_ = now;
    }

    /** Returns when a request that has just been refused should come back.

        @param shortest  a lower limit, such as the time until there is room
        @param lot       a number from 0 to 1 that is uniform over requests
    */
    milliseconds return_delay(milliseconds shortest, double lot,
                              monotonic_time now) const
    {
        auto const least =
            std::clamp(shortest, shortest_return, longest_return);
        return spread_return(
            std::clamp(elapsed(since_, now), least, longest_return), lot);
    }

private:
    monotonic_time since_{};
    monotonic_time last_refusal_{};
};

} // namespace verbenacove

#endif
