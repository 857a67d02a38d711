#ifndef VERBENACOVE_PROCESS_VOTER_PLACEMENT_HPP
#define VERBENACOVE_PROCESS_VOTER_PLACEMENT_HPP

#include "verbenacove/core/distance.hpp"
#include "verbenacove/process/raft_types.hpp"

#include <QHash>

#include <functional>
#include <optional>
#include <vector>

namespace verbenacove
{

/** Spreads the voting replicas over regions and availability zones, so that the
    loss of one region leaves a majority.

    Replicas whose location is unknown are not counted.
*/
class voter_placement
{
public:
    /** Returns the location of a replica, or nothing when it is unknown. */
    using location_lookup =
        std::function<std::optional<location>(raft_member const&)>;

    /** Counts the voters of each region and zone. The members and the lookup
        must outlive the object. */
    voter_placement(raft_members const& voters, std::size_t maximum_voters,
                    location_lookup const& lookup);

    /** Returns the learner that should vote next: one of the region with the
        fewest voters, and there of the zone with the fewest; null when there
        are no learners. */
    raft_member const*
    choose_learner(std::vector<raft_member> const& learners) const;

    /** Returns the voter that should give its place to one of the learners,
        since its region alone has a majority; null when there is none.

        @param leader  voter that keeps its place
    */
    raft_member const* surplus_voter(std::vector<raft_member> const& learners,
                                     replica_id const& leader) const;

private:
    std::size_t voters_in_region(raft_member const& member) const;
    std::size_t voters_in_zone(raft_member const& member) const;

    raft_members const& voters_;
    std::size_t maximum_voters_;
    location_lookup const& lookup_;
    QHash<region_name, std::size_t> regions_;
    QHash<zone_name, std::size_t> zones_;
};

} // namespace verbenacove

#endif
