#include "verbenacove/process/routing/reopened_zones.hpp"

namespace verbenacove
{

namespace
{

/** The time after which a reopened zone is no longer tracked. No upstream
    stays cold for longer. */
constexpr milliseconds maximum_cold_period{60000};

} // namespace

void reopened_zones::update(QSet<zone_name> const& evacuated,
                            monotonic_time now)
{
    for (auto const& zone : evacuated_ - evacuated)
    {
        reopened_at_[zone] = now;
    }
    reopened_at_.removeIf(
        [now](auto const& item)
        { return elapsed(item.value(), now) > maximum_cold_period; });
    evacuated_ = evacuated;
}

monotonic_time reopened_zones::cold_until(zone_name const& zone,
                                          milliseconds cold_start) const
{
    auto const found = reopened_at_.constFind(zone);
    return found == reopened_at_.cend() ? monotonic_time{}
                                        : *found + cold_start;
}

} // namespace verbenacove
