#ifndef VERBENACOVE_PROCESS_ROUTING_ENTRY_RANKING_HPP
#define VERBENACOVE_PROCESS_ROUTING_ENTRY_RANKING_HPP

#include "verbenacove/core/distance.hpp"
#include "verbenacove/process/discovery/member_content.hpp"

#include <QHash>

#include <vector>

namespace verbenacove
{

/** Assigns upstreams that accept few requests to entries.

    For each upstream the entries that serve are ranked by distance, then by
    rendezvous hashing. All entries compute the same ranking as long as they
    know the same entries, so no messages are needed.
*/
class entry_ranking
{
public:
    /** Creates the ranking of the entries in a table that serve and reach
        upstreams.

        @param self  the entry whose assignments are asked for
    */
    entry_ranking(entry_id const& self,
                  membership_table<entry_content> const& entries);

    /** Returns the number of entries that serve. */
    std::size_t size() const { return entries_.size(); }

    /** Returns whether this entry is among the first ones for an upstream;
        false if it does not serve.

        @param count  the number of entries that the upstream is assigned to
    */
    bool is_among_first(std::size_t count, upstream_id const& upstream,
                        location const& upstream_location) const;

private:
    struct ranked_entry
    {
        QString id;
        location place;
    };

    /** Returns the number of entries that are nearer to an upstream. */
    std::size_t count_nearer(network_distance than,
                             location const& upstream_location) const;

    std::vector<ranked_entry> entries_;
    QHash<zone_name, std::size_t> zone_sizes_;
    QHash<region_name, std::size_t> region_sizes_;
    ranked_entry self_;
    bool is_serving_ = false;
};

} // namespace verbenacove

#endif
