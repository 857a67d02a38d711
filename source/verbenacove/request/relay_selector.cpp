#include "verbenacove/request/relay_selector.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

template <class Items, class Item>
bool has_item(Items const& items, Item const& item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

relay_selector::relay_selector(clock_source const& clock, region_name region,
                               quint64 seed)
    : clock_(clock)
    , region_(std::move(region))
    , random_(seed)
{
}

bool relay_selector::is_allowed(entry_view const& entry,
                                std::vector<region_name> const& homes,
                                std::vector<entry_id> const& excluded) const
{
    bool const is_home = homes.empty() || entry.region == region_ ||
                         has_item(homes, entry.region);
    return is_home && !has_item(excluded, entry.id);
}

std::optional<entry_view>
relay_selector::choose(std::vector<region_name> const& homes,
                       std::vector<entry_id> const& excluded)
{
    auto const now = clock_.now();
    failures_.removeIf(
        [now](auto const& item)
        { return elapsed(item.value(), now) > failure_retention; });
    std::vector<entry_view> allowed;
    for (auto const& entry : entries_)
    {
        if (is_allowed(entry, homes, excluded))
        {
            allowed.push_back(entry);
        }
    }
    auto const first_failed =
        std::stable_partition(allowed.begin(), allowed.end(),
                              [this](entry_view const& entry)
                              { return !failures_.contains(entry.id); });
    auto const sound =
        static_cast<std::size_t>(std::distance(allowed.begin(), first_failed));
    auto const count = sound > 0 ? sound : allowed.size();
    if (count == 0)
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> number(0, count - 1);
    return allowed[number(random_)];
}

void relay_selector::record_failure(entry_id const& entry)
{
    failures_[entry] = clock_.now();
}

} // namespace verbenacove
