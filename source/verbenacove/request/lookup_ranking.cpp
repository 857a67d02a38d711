#include "verbenacove/request/lookup_ranking.hpp"

#include "verbenacove/core/distance.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

namespace
{

constexpr milliseconds report_lease{3000};
constexpr double low_headroom_threshold = 0.1;
constexpr double minimum_weight = 0.01;

/** Entries with low headroom come last, whatever their distance. */
constexpr int low_headroom_tier =
    static_cast<int>(network_distance::other_region) + 1;

double headroom_of(entry_view const& entry)
{
    return std::isfinite(entry.headroom) ? std::clamp(entry.headroom, 0.0, 1.0)
                                         : 0.0;
}

int tier_of(location const& caller, entry_view const& entry)
{
    return headroom_of(entry) < low_headroom_threshold
               ? low_headroom_tier
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
    std::vector<ranked_entry> order;
    if (self.is_serving)
    {
        order.push_back(ranked_entry_for(caller, self));
    }
    auto const count = std::min(others.size(), maximum_candidates);
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const& other = others[i];
        auto const is_fresh = now - other.reported_at <= report_lease;
        if (other.id != self.id && other.is_serving && is_fresh)
        {
            order.push_back(ranked_entry_for(caller, other));
        }
    }
    auto const result_count = std::min(order.size(), maximum_results);
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(result_count),
                      order.end(),
                      [](ranked_entry const& a, ranked_entry const& b) {
                          return a.tier != b.tier ? a.tier < b.tier
                                                  : a.random_key < b.random_key;
                      });
    std::vector<entry_view> result;
    for (std::size_t i = 0; i < result_count; ++i)
    {
        result.push_back(*order[i].entry);
    }
    return result;
}

lookup_ranking::ranked_entry
lookup_ranking::ranked_entry_for(location const& caller,
                                 entry_view const& entry)
{
    // Exponential random keys give a weighted random order: the probability
    // that an entry has the lowest key is proportional to the rate of its
    // distribution, which is its weight.
    auto const weight = std::max(minimum_weight, headroom_of(entry));
    std::exponential_distribution<double> distribution(weight);
    return {&entry, tier_of(caller, entry), distribution(random_)};
}

} // namespace verbenacove
