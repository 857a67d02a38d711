#ifndef VERBENACOVE_CORE_BOOT_CLOCK_HPP
#define VERBENACOVE_CORE_BOOT_CLOCK_HPP

#include <chrono>

namespace verbenacove
{

/** The clock for rights that end by time. It never goes back, ignores changes
    of the time of day, and unlike that of monotonic_time it also counts the
    time for which the VM is suspended.

    Its readings are never sent to another process.
*/
class boot_clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;

    static constexpr bool is_steady = true;

    /** Returns the time now; decisions have it handed in. */
    static time_point now() noexcept;
};

/** A reading of the boot clock. */
using boot_time = boot_clock::time_point;

} // namespace verbenacove

#endif
