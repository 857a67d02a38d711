#include "verbenacove/process/routing/entry_ranking.hpp"

#include "verbenacove/core/stable_hash.hpp"

namespace verbenacove
{

entry_ranking::entry_ranking(entry_id const& self,
                             membership_table<entry_content> const& entries)
{
    for (auto const& entry : entries.records())
    {
        if (entry.is_silent || entry.phase != member_phase::serving ||
            !entry.content.reaches_upstreams)
        {
            continue;
        }
        ranked_entry const ranked{entry.id,
                                  {entry.content.region, entry.content.zone}};
        ++zone_sizes_[ranked.place.zone];
        ++region_sizes_[ranked.place.region];
        if (entry.id == self.value())
        {
            self_ = ranked;
            is_serving_ = true;
        }
        entries_.push_back(ranked);
    }
}

std::size_t entry_ranking::count_nearer(network_distance than,
                                        location const& upstream_location) const
{
    switch (than)
    {
    case network_distance::same_zone:
        return 0;
    case network_distance::same_region:
        return zone_sizes_.value(upstream_location.zone);
    case network_distance::other_region:
        return region_sizes_.value(upstream_location.region);
    }
    return 0;
}

bool entry_ranking::is_among_first(std::size_t count,
                                   upstream_id const& upstream,
                                   location const& upstream_location) const
{
    auto const own_distance = distance_between(upstream_location, self_.place);
    auto before = count_nearer(own_distance, upstream_location);
    // Most entries are ruled out here, without hashing.
    if (!is_serving_ || before >= count)
    {
        return false;
    }
    auto const key = upstream.value().toUtf8();
    auto const rank = [&key](ranked_entry const& entry)
    {
        return std::pair{stable_hash(key, entry.id.toUtf8()), entry.id};
    };
    auto const own_rank = rank(self_);
    for (auto const& other : entries_)
    {
        bool const is_peer =
            distance_between(upstream_location, other.place) == own_distance;
        before += is_peer && rank(other) < own_rank ? 1 : 0;
    }
    return before < count;
}

} // namespace verbenacove
