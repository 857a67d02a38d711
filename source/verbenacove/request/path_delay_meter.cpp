#include "verbenacove/request/path_delay_meter.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

/** Zones come from upstreams' heartbeats, so their number needs a bound. */
constexpr qsizetype maximum_zones = 256;

} // namespace

path_delay_meter::path_delay_meter(clock_source const& clock)
    : clock_(clock)
{
}

void path_delay_meter::record_connection(zone_name const& zone,
                                         milliseconds duration)
{
    auto const shortest = update_baseline(zone, duration);
    samples_.push_back({clock_.now(), duration - shortest});
    if (samples_.size() > sample_count)
    {
        samples_.pop_front();
    }
    maximum_ = std::max(maximum_, delay());
}

milliseconds path_delay_meter::update_baseline(zone_name const& zone,
                                               milliseconds duration)
{
    auto const now = clock_.now();
    auto found = baselines_.find(zone);
    if (found == baselines_.end())
    {
        if (baselines_.size() >= maximum_zones)
        {
            baselines_.clear();
        }
        found = baselines_.insert(zone, {duration, duration, now});
    }
    if (elapsed(found->since, now) > baseline_period)
    {
        found->previous = std::exchange(found->shortest, duration);
        found->since = now;
    }
    found->shortest = std::min(found->shortest, duration);
    return std::min(found->shortest, found->previous);
}

milliseconds path_delay_meter::delay() const
{
    bool const is_enough =
        samples_.size() == sample_count &&
        elapsed(samples_.front().at, clock_.now()) <= sample_retention;
    if (!is_enough)
    {
        return milliseconds(0);
    }
    return std::min_element(samples_.begin(), samples_.end(),
                            [](sample const& a, sample const& b)
                            { return a.excess < b.excess; })
        ->excess;
}

milliseconds path_delay_meter::time_to_connect(milliseconds usual) const
{
    return usual + std::min(delay(), maximum_allowance);
}

milliseconds path_delay_meter::take_maximum()
{
    return std::exchange(maximum_, milliseconds(0));
}

} // namespace verbenacove
