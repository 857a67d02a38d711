#include "verbenacove/process/work_meter.hpp"

#include <ctime>

#include <utility>

namespace verbenacove
{

namespace
{

std::chrono::nanoseconds thread_processor_time()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

work_meter::scope::scope(work_meter& meter, work_kind kind)
    : meter_(meter)
    , outer_(meter.current_)
{
    meter_.switch_to(kind);
    ++meter_.amounts_.at(static_cast<std::size_t>(kind)).count;
}

work_meter::scope::~scope()
{
    meter_.switch_to(outer_);
}

work_meter::work_meter()
    : work_meter(thread_processor_time)
{
}

work_meter::work_meter(processor_clock clock)
    : clock_(std::move(clock))
    , switched_(clock_())
{
}

work_meter::amounts work_meter::take()
{
    switch_to(current_);
    return std::exchange(amounts_, {});
}

void work_meter::switch_to(work_kind next)
{
    auto const now = clock_();
    amounts_.at(static_cast<std::size_t>(current_)).processor_time +=
        now - std::exchange(switched_, now);
    current_ = next;
}

char const* work_kind_name(work_kind kind)
{
    static constexpr std::array<char const*, work_kind_count> names{
        "other",
        "consensus",
        "replica_requests",
        "replica_responses",
        "entry_requests",
        "entry_responses",
        "departures",
        "control_calls",
        "lookups",
        "housekeeping"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace verbenacove
