#include "verbenacove/process/discovery/heartbeat_receiver.hpp"

#include "verbenacove/core/distance.hpp"
#include "verbenacove/core/stable_hash.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace verbenacove
{

namespace
{

/** A replica that may be chosen; the lowest rank, then the highest hash, goes
    first. */
struct candidate
{
    socket_address address;
    int rank = 0;
    quint64 hash = 0;
};

std::optional<socket_address> best_of(std::vector<candidate> const& candidates)
{
    auto const best =
        std::max_element(candidates.begin(), candidates.end(),
                         [](candidate const& a, candidate const& b)
                         {
                             return std::make_tuple(-a.rank, a.hash) <
                                    std::make_tuple(-b.rank, b.hash);
                         });
    return best == candidates.end() ? std::nullopt
                                    : std::optional(best->address);
}

// Returns the region of a zone, as entries and replicas report it.
region_name region_of(membership_view const& membership, zone_name const& zone)
{
    for (auto const& replica : membership.replicas().records())
    {
        if (replica.content.zone == zone)
        {
            return replica.content.region;
        }
    }
    for (auto const& entry : membership.entries().records())
    {
        if (entry.content.zone == zone)
        {
            return entry.content.region;
        }
    }
    return {};
}

} // namespace

std::optional<socket_address> choose_receiver(membership_view const& membership,
                                              upstream_id const& id,
                                              zone_name const& zone)
{
    location const upstream{region_of(membership, zone), zone};
    std::vector<candidate> candidates;
    for (auto const& replica : membership.replicas().records())
    {
        if (replica.phase != member_phase::serving || replica.is_silent)
        {
            continue;
        }
        auto const distance = distance_between(upstream, replica.content);
        candidates.push_back(
            {replica.content.address, static_cast<int>(distance),
             stable_hash(id.value().toUtf8(), replica.id.toUtf8())});
    }
    return best_of(candidates);
}

std::optional<socket_address>
choose_remote_receiver(membership_view const& membership,
                       socket_address const& self, upstream_id const& id,
                       qint64 attempt)
{
    auto const key = id.value().toUtf8() + QByteArray::number(attempt);
    std::vector<candidate> candidates;
    for (auto const& replica : membership.replicas().records())
    {
        bool const is_usable = replica.content.address != self &&
                               replica.phase == member_phase::serving;
        if (is_usable)
        {
            candidates.push_back({replica.content.address,
                                  replica.is_silent ? 0 : 1,
                                  stable_hash(key, replica.id.toUtf8())});
        }
    }
    return best_of(candidates);
}

} // namespace verbenacove
