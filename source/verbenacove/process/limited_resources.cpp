#include "verbenacove/process/limited_resources.hpp"

#include <cmath>

namespace verbenacove
{

namespace
{

constexpr double kilobits_per_megabit = 1000;

void add_lowest(std::map<resource_name, grant_limit>& limits,
                resource_name const& name, qint64 cap, double floor_share)
{
    grant_limit limit;
    limit.cap = grant_amount(cap);
    limit.highest_cap = limit.cap;
    limit.floor_percent = static_cast<int>(std::lround(floor_share * 100));
    auto const [known, is_new] = limits.emplace(name, limit);
    if (!is_new && limit.cap < known->second.cap)
    {
        known->second = limit;
    }
}

} // namespace

resource_name link_resource(region_name const& from, region_name const& to)
{
    return resource_name(
        QStringLiteral("link:%1>%2").arg(from.value(), to.value()));
}

resource_name slots_resource(region_name const& region)
{
    return resource_name(QStringLiteral("slots:") + region.value());
}

std::map<resource_name, grant_limit>
limited_resources(config_view const& config)
{
    std::map<resource_name, grant_limit> limits;
    for (auto const& [name, record] : config.limits())
    {
        if (auto const* link = std::get_if<bandwidth_limit>(&record.limit))
        {
            auto const cap = link->cap.value() * kilobits_per_megabit;
            add_lowest(limits, link_resource(link->from, link->to),
                       std::llround(cap), record.floor_share);
        }
        else if (auto const* slots = std::get_if<slot_limit>(&record.limit))
        {
            add_lowest(limits, slots_resource(slots->region),
                       slots->cap.value(), record.floor_share);
        }
    }
    return limits;
}

} // namespace verbenacove
