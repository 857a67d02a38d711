#ifndef VERBENACOVE_CORE_CLOCK_HPP
#define VERBENACOVE_CORE_CLOCK_HPP

#include <chrono>

namespace verbenacove
{

/** A span of time, in milliseconds. */
using milliseconds = std::chrono::milliseconds;

/** A reading of the monotonic clock; never sent to another process. */
using monotonic_time = std::chrono::steady_clock::time_point;

/** Where a part reads the time from, so that a test can hand in its own.

    @see steady_clock_source
*/
class clock_source
{
public:
    virtual ~clock_source() = default;

    /** Returns the time now; it never goes back. */
    virtual monotonic_time now() const = 0;
};

/** The machine's monotonic clock, which goes on while a process is frozen. */
class steady_clock_source : public clock_source
{
public:
    monotonic_time now() const override
    {
        return std::chrono::steady_clock::now();
    }
};

/** A clock that stands still until it is moved; for tests and benchmarks. */
class manual_clock_source : public clock_source
{
public:
    monotonic_time now() const override { return now_; }

    /** Moves the clock forward by a span of time. */
    void advance(std::chrono::nanoseconds span)
    {
        now_ += std::chrono::duration_cast<monotonic_time::duration>(span);
    }

private:
    monotonic_time now_{std::chrono::hours(1)};
};

/** Returns the whole milliseconds from one reading to a later one. */
inline milliseconds elapsed(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace verbenacove

#endif
