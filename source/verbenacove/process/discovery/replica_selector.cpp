#include "verbenacove/process/discovery/replica_selector.hpp"

#include <algorithm>
#include <tuple>

namespace verbenacove
{

namespace
{

/** Distance of a replica whose location is unknown: one more than the maximum
    network distance. Also added to the distance of silent replicas. */
constexpr int unknown_distance =
    static_cast<int>(network_distance::other_region) + 1;

struct candidate
{
    socket_address address;
    /** Time of its last failure; the clock's zero when it has not failed. */
    monotonic_time failed_at{};
    int rank = 0;
};

} // namespace

replica_selector::replica_selector(location self, quint64 seed)
    : self_(std::move(self))
    , random_(seed)
{
}

std::optional<socket_address>
replica_selector::choose(membership_view const& membership, monotonic_time now)
{
    std::vector<candidate> candidates;
    auto const add = [&](socket_address const& address, int penalty)
    {
        auto const failed_at = has_failed(address, now)
                                   ? failures_.value(address)
                                   : monotonic_time{};
        candidates.push_back(
            {address, failed_at, distance_of(address, membership) + penalty});
    };
    for (auto const& known : membership.replicas().records())
    {
        // A silent replica stays a candidate: the replica that was read last
        // may only have been partitioned from it.
        add(known.content.address, known.is_silent ? unknown_distance : 0);
    }
    for (auto const& seed : seeds_)
    {
        if (membership.replicas().find(seed.text()) == nullptr)
        {
            add(seed, 0);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random_);
    auto const best =
        std::min_element(candidates.begin(), candidates.end(),
                         [](candidate const& a, candidate const& b) {
                             return std::tie(a.failed_at, a.rank) <
                                    std::tie(b.failed_at, b.rank);
                         });
    return best == candidates.end() ? std::nullopt
                                    : std::optional(best->address);
}

std::size_t
replica_selector::candidate_count(membership_view const& membership) const
{
    auto const& known = membership.replicas();
    auto const unlisted_seeds =
        std::count_if(seeds_.begin(), seeds_.end(),
                      [&known](socket_address const& seed)
                      { return known.find(seed.text()) == nullptr; });
    return static_cast<std::size_t>(
        std::max(qint64{1}, qint64{known.records().size()} + unlisted_seeds));
}

bool replica_selector::has_nearer(socket_address const& current,
                                  membership_view const& membership,
                                  monotonic_time now) const
{
    auto const distance = distance_of(current, membership);
    for (auto const& known : membership.replicas().records())
    {
        auto const& address = known.content.address;
        bool const is_usable = !known.is_silent && !has_failed(address, now);
        if (is_usable && distance_of(address, membership) < distance)
        {
            return true;
        }
    }
    return false;
}

void replica_selector::record_failure(socket_address const& replica,
                                      monotonic_time now)
{
    failures_[replica] = now;
    failures_.removeIf(
        [now](auto const& item)
        { return elapsed(item.value(), now) > failure_retention; });
}

void replica_selector::record_success(socket_address const& replica)
{
    failures_.remove(replica);
}

int replica_selector::distance_of(socket_address const& replica,
                                  membership_view const& membership) const
{
    auto const* known = membership.replicas().find(replica.text());
    return known == nullptr
               ? unknown_distance
               : static_cast<int>(distance_between(self_, known->content));
}

bool replica_selector::has_failed(socket_address const& replica,
                                  monotonic_time now) const
{
    auto const found = failures_.constFind(replica);
    return found != failures_.cend() &&
           elapsed(*found, now) <= failure_retention;
}

} // namespace verbenacove
