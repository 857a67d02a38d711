#include "verbenacove/process/process_load_meter.hpp"

#include <sys/resource.h>

#include <utility>

namespace verbenacove
{

namespace
{

constexpr milliseconds tick_interval{100};
constexpr milliseconds report_interval{2000};

// Returns the processor time that this process has used.
milliseconds used_processor_time()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    auto const microseconds =
        std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
        std::chrono::microseconds(usage.ru_utime.tv_usec +
                                  usage.ru_stime.tv_usec);
    return std::chrono::duration_cast<milliseconds>(microseconds);
}

} // namespace

process_load_meter::process_load_meter(std::function<void(load const&)> report)
    : report_(std::move(report))
    , lag_(tick_interval)
{
}

void process_load_meter::start()
{
    last_report_ = clock_.now();
    last_processor_time_ = used_processor_time();
    tick_ = timers_.call_every(tick_interval, [this] { handle_tick(); });
}

void process_load_meter::handle_tick()
{
    auto const now = clock_.now();
    lag_.record_tick(now);
    auto const passed = elapsed(last_report_, now);
    if (passed < report_interval)
    {
        return;
    }
    last_report_ = now;
    auto const used = used_processor_time();
    auto const since_last = used - std::exchange(last_processor_time_, used);
    report_({passed, since_last, lag_.take_maximum()});
}

} // namespace verbenacove
