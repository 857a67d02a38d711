#include "verbenacove/request/overflow_share.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

namespace
{

/** The target utilization of the slots; queues grow steeply above it. */
constexpr double planned_use = 0.8;
/** The minimum time over which a rate is measured. */
constexpr milliseconds shortest_time{300};
/** The maximum number of requests that are kept. It bounds the memory use; a
    higher rate is measured over a shorter time. */
constexpr std::size_t maximum_requests = 2048;

} // namespace

overflow_share::overflow_share(double largest_change)
    : largest_change_(largest_change)
{
}

void overflow_share::count(monotonic_time now)
{
    if (!has_requests_)
    {
        has_requests_ = true;
        first_ = now;
        moved_ = now;
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
    auto const oldest = requests_.size() == maximum_requests
                            ? elapsed(requests_.front(), now)
                            : std::min(window, elapsed(first_, now));
    return static_cast<double>(requests_.size()) /
           static_cast<double>(std::max(oldest, shortest_time).count());
}

double overflow_share::value(monotonic_time now,
                             region_capacity const& capacity)
{
    if (!has_requests_)
    {
        return 0;
    }
    double const of_entry = requests_per_ms(now) * capacity.mean_work_ms;
    double const demand = of_entry * capacity.entries;
    double const use_of_all = of_entry * capacity.all_entries /
                              std::max(1.0, capacity.all_slots * planned_use);
    double const room =
        capacity.slots * planned_use * std::sqrt(std::max(1.0, use_of_all));
    double const wanted = demand > room ? 1 - room / demand : 0;
    if (elapsed(first_, now) < window)
    {
        share_ = wanted;
    }
    else
    {
        auto const passed =
            std::chrono::duration<double, std::milli>(now - moved_).count();
        double const most =
            largest_change_ * passed / static_cast<double>(window.count());
        share_ += std::clamp(wanted - share_, -most, most);
    }
    moved_ = now;
    return share_;
}

} // namespace verbenacove
