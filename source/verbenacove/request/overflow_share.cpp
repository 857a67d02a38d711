#include "verbenacove/request/overflow_share.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

namespace
{

/** The target utilization of the slots; queues grow steeply above it. */
constexpr double target_utilization = 0.8;
/** The minimum time over which a rate is measured. */
constexpr milliseconds minimum_rate_time{300};
/** The maximum number of requests that are kept. It bounds the memory use; a
    higher rate is measured over a shorter time. */
constexpr std::size_t maximum_requests = 2048;

} // namespace

overflow_share::overflow_share(double maximum_change)
    : maximum_change_(maximum_change)
{
}

void overflow_share::count(monotonic_time now)
{
    if (!has_requests_)
    {
        has_requests_ = true;
        first_request_ = now;
        last_update_ = now;
    }
    requests_.push_back(now);
    if (requests_.size() > maximum_requests)
    {
        requests_.pop_front();
    }
}

double overflow_share::requests_per_ms(monotonic_time now)
{
    while (!requests_.empty() && elapsed(requests_.front(), now) > window)
    {
        requests_.pop_front();
    }
    if (requests_.empty())
    {
        return 0;
    }
    auto const measured_time =
        requests_.size() == maximum_requests
            ? elapsed(requests_.front(), now)
            : std::min(window, elapsed(first_request_, now));
    return static_cast<double>(requests_.size()) /
           static_cast<double>(
               std::max(measured_time, minimum_rate_time).count());
}

double overflow_share::value(monotonic_time now,
                             region_capacity const& capacity)
{
    if (!has_requests_)
    {
        return 0;
    }
    double const entry_demand =
        requests_per_ms(now) * capacity.mean_processing_ms;
    double const demand = entry_demand * capacity.entries;
    double const total_utilization =
        entry_demand * capacity.all_entries /
        std::max(1.0, capacity.all_slots * target_utilization);
    double const usable_slots = capacity.slots * target_utilization *
                                std::sqrt(std::max(1.0, total_utilization));
    double const target = demand > usable_slots ? 1 - usable_slots / demand : 0;
    if (elapsed(first_request_, now) < window)
    {
        share_ = target;
    }
    else
    {
        auto const passed =
            std::chrono::duration<double, std::milli>(now - last_update_)
                .count();
        double const maximum_step =
            maximum_change_ * passed / static_cast<double>(window.count());
        share_ += std::clamp(target - share_, -maximum_step, maximum_step);
    }
    last_update_ = now;
    return share_;
}

} // namespace verbenacove
