#include "verbenacove/request/relay_selector.hpp"

#include <algorithm>
#include <iterator>

namespace verbenacove
{

namespace
{

template <class Items, class Item>
bool has_item(Items const& items, Item const& item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

std::vector<entry_view> allowed_entries(std::vector<entry_view> const& entries,
                                        std::vector<region_name> const& homes,
                                        std::vector<entry_id> const& excluded)
{
    std::vector<entry_view> result;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(result),
                 [&](entry_view const& entry)
                 {
                     bool const is_home =
                         homes.empty() || has_item(homes, entry.region);
                     return is_home && !has_item(excluded, entry.id);
                 });
    return result;
}

} // namespace

relay_selector::relay_selector(clock_source const& clock, quint64 seed)
    : clock_(clock)
    , random_(seed)
{
}

std::optional<entry_view>
relay_selector::choose(std::vector<region_name> const& homes,
                       std::vector<entry_id> const& excluded)
{
    auto const now = clock_.now();
    failures_.removeIf(
        [now](auto const& item)
        { return elapsed(item.value(), now) > failure_retention; });
    auto allowed = allowed_entries(near_, homes, excluded);
    if (allowed.empty() && !homes.empty())
    {
        allowed = allowed_entries(remote_, homes, excluded);
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
