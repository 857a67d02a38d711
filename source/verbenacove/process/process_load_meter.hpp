#ifndef VERBENACOVE_PROCESS_PROCESS_LOAD_METER_HPP
#define VERBENACOVE_PROCESS_PROCESS_LOAD_METER_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/loop_lag.hpp"
#include "verbenacove/core/timer_service.hpp"

#include <functional>

namespace verbenacove
{

/** Measures at an interval how much processor time the process has used, and
    how late the event loop of the calling thread has run.

    @see replica_load_reporter
*/
class process_load_meter
{
public:
    /** What was measured since the previous report. */
    struct load
    {
        milliseconds interval{0};
        /** Processor time of all threads. */
        milliseconds processor_time{0};
        /** Maximum lag of the event loop. */
        milliseconds loop_lag{0};
    };

    /** @param report  called every two seconds, on the thread of `start` */
    explicit process_load_meter(std::function<void(load const&)> report);

    /** Starts to measure. */
    void start();

private:
    void handle_tick();

    std::function<void(load const&)> report_;
    steady_clock_source clock_;
    timer_service timers_;
    loop_lag lag_;
    monotonic_time last_report_{};
    milliseconds last_processor_time_{0};
    timer_service::subscription tick_;
};

} // namespace verbenacove

#endif
