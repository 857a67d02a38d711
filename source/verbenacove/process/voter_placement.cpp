#include "verbenacove/process/voter_placement.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

voter_placement::voter_placement(raft_members const& voters,
                                 std::size_t maximum_voters,
                                 location_lookup const& lookup)
    : voters_(voters)
    , maximum_voters_(maximum_voters)
    , lookup_(lookup)
{
    for (auto const& voter : voters_)
    {
        if (auto const place = lookup_(voter))
        {
            ++regions_[place->region];
            ++zones_[place->zone];
        }
    }
}

raft_member const*
voter_placement::choose_learner(std::vector<raft_member> const& learners) const
{
    auto const best = std::min_element(
        learners.begin(), learners.end(),
        [this](raft_member const& a, raft_member const& b)
        {
            return std::pair(voters_in_region(a), voters_in_zone(a)) <
                   std::pair(voters_in_region(b), voters_in_zone(b));
        });
    return best == learners.end() ? nullptr : &*best;
}

raft_member const*
voter_placement::surplus_voter(std::vector<raft_member> const& learners,
                               replica_id const& leader) const
{
    auto const* learner = choose_learner(learners);
    if (learner == nullptr || !lookup_(*learner))
    {
        return nullptr;
    }
    // What may be lost with a region and still leave a majority.
    auto const tolerated = (maximum_voters_ - 1) / 2;
    auto const least = voters_in_region(*learner);
    raft_member const* result = nullptr;
    for (auto const& voter : voters_)
    {
        auto const count = voters_in_region(voter);
        bool const is_surplus =
            voter.identity != leader && count > tolerated && count > least + 1;
        bool const is_denser = result == nullptr ||
                               voters_in_zone(voter) > voters_in_zone(*result);
        if (is_surplus && is_denser)
        {
            result = &voter;
        }
    }
    return result;
}

std::size_t voter_placement::voters_in_region(raft_member const& member) const
{
    auto const place = lookup_(member);
    return place ? regions_.value(place->region) : 0;
}

std::size_t voter_placement::voters_in_zone(raft_member const& member) const
{
    auto const place = lookup_(member);
    return place ? zones_.value(place->zone) : 0;
}

} // namespace verbenacove
