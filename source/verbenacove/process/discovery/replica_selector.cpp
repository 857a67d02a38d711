#include "verbenacove/process/discovery/replica_selector.hpp"

#include <algorithm>
#include <tuple>

namespace verbenacove
{

namespace
{

/** Distance of a replica whose location is unknown: one more than the maximum
    network distance. */
constexpr int unknown_distance =
    static_cast<int>(network_distance::other_region) + 1;

} // namespace

replica_selector::replica_selector(location self, quint64 seed)
    : self_(std::move(self))
    , random_(seed)
{
}

std::optional<socket_address>
replica_selector::choose(membership_view const& membership, monotonic_time now)
{
    auto all = candidates(membership, now);
    std::shuffle(all.begin(), all.end(), random_);
    auto const precedes = [](candidate const& a, candidate const& b)
    {
        return std::tie(a.failed_at, a.distance) <
               std::tie(b.failed_at, b.distance);
    };
    auto const silent =
        std::partition(all.begin(), all.end(),
                       [](candidate const& each) { return !each.is_silent; });
    auto const live = std::min_element(all.begin(), silent, precedes);
    bool const is_first_try =
        live != silent && live->failed_at == monotonic_time{};
    bool const has_choice = live != silent && silent != all.end();
    bool const is_silent_due =
        !is_first_try && next_silent_ && now >= *next_silent_;
    if (live == silent || (has_choice && is_silent_due))
    {
        next_silent_ = now + silent_interval;
        auto const best = std::min_element(silent, all.end(), precedes);
        return best == all.end() ? std::nullopt : std::optional(best->address);
    }
    return live->address;
}

std::vector<replica_selector::candidate>
replica_selector::candidates(membership_view const& membership,
                             monotonic_time now) const
{
    std::vector<candidate> result;
    auto const add = [&](socket_address const& address, bool is_silent)
    {
        auto const failed_at = is_silent || has_failed(address, now)
                                   ? failures_.value(address)
                                   : monotonic_time{};
        result.push_back(
            {address, failed_at, distance_of(address, membership), is_silent});
    };
    auto const& known = membership.replicas().records();
    for (auto const& replica : known)
    {
        // A silent replica stays a candidate: the replica that was read last
        // may only have been partitioned from it.
        add(replica.content.address, replica.is_silent);
    }
    for (auto const& seed : seeds_)
    {
        // No replica that was read has heard of it for long.
        if (membership.replicas().find(seed.text()) == nullptr)
        {
            add(seed, !known.isEmpty());
        }
    }
    return result;
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
    next_silent_ = next_silent_.value_or(now + silent_interval);
    failures_.removeIf(
        [now](auto const& item)
        { return elapsed(item.value(), now) > silent_failure_retention; });
}

void replica_selector::record_success(socket_address const& replica)
{
    failures_.remove(replica);
    next_silent_.reset();
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
