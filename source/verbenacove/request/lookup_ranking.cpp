#include "verbenacove/request/lookup_ranking.hpp"

#include "verbenacove/core/distance.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

namespace
{

constexpr milliseconds news_lease{3000};
constexpr double scarce_headroom = 0.1;
constexpr double smallest_weight = 0.01;

/** Entries with low headroom come last, whatever their distance. */
constexpr int scarce_tier =
    static_cast<int>(network_distance::other_region) + 1;

double headroom_of(entry_view const& entry)
{
    return std::isfinite(entry.headroom) ? std::clamp(entry.headroom, 0.0, 1.0)
                                         : 0.0;
}

int tier_of(location const& caller, entry_view const& entry)
{
    return headroom_of(entry) < scarce_headroom
               ? scarce_tier
               : static_cast<int>(distance_between(caller, entry));
}

} // namespace

lookup_ranking::lookup_ranking(clock_source const& clock, quint64 seed)
    : clock_(clock)
    , random_(seed)
{
}

std::vector<entry_view>
lookup_ranking::rank(location const& caller, entry_view const& self,
                     std::vector<entry_view> const& others)
{
    auto const now = clock_.now();
    std::vector<ranked> order;
    if (self.is_serving)
    {
        order.push_back(place(caller, self));
    }
    auto const count = std::min(others.size(), largest_set);
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const& other = others[i];
        auto const is_fresh = now - other.reported_at <= news_lease;
        if (other.id != self.id && other.is_serving && is_fresh)
        {
            order.push_back(place(caller, other));
        }
    }
    auto const named = std::min(order.size(), largest_list);
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(named),
        order.end(),
        [](ranked const& a, ranked const& b)
        { return a.tier != b.tier ? a.tier < b.tier : a.order < b.order; });
    std::vector<entry_view> result;
    for (std::size_t i = 0; i < named; ++i)
    {
        result.push_back(*order[i].entry);
    }
    return result;
}

lookup_ranking::ranked lookup_ranking::place(location const& caller,
                                             entry_view const& entry)
{
    // The minimum of exponential variables belongs to each entry with a
    // probability proportional to its rate, which is the weight here.
    auto const weight = std::max(smallest_weight, headroom_of(entry));
    std::exponential_distribution<double> draw(weight);
    return {&entry, tier_of(caller, entry), draw(random_)};
}

} // namespace verbenacove
