#ifndef VERBENACOVE_REQUEST_LOOKUP_RANKING_HPP
#define VERBENACOVE_REQUEST_LOOKUP_RANKING_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/distance.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <random>
#include <vector>

namespace verbenacove
{

/** The last report of an entry, as another entry received it. */
struct entry_view
{
    entry_id id;
    socket_address address;
    region_name region;
    zone_name zone;
    /** False once the entry is about to stop, so that it is removed from
        look-ups before it stops serving. */
    bool is_serving = true;
    /** False while it is cut off from all upstreams. */
    bool reaches_upstreams = true;
    /** The free share of its capacity, 0 to 1. */
    double headroom = 1;
    /** The time of the report, on the local clock. */
    monotonic_time reported_at;
};

/** Orders the entries for the response to a look-up.

    Entries of the caller's zone come first, then those of its region, then all
    others; entries with less than 10 % headroom come last. Within one of these
    tiers the order is random, weighted by headroom, so that entries with the
    same reports do not send all callers to the same entry. All calls must come
    from one thread.
*/
class lookup_ranking
{
public:
    /** The maximum number of entries in a response. */
    static constexpr std::size_t maximum_results = 8;

    /** The maximum number of entries that are considered. */
    static constexpr std::size_t maximum_candidates = 1024;

    /** Creates a ranking; the clock must outlive it.

        @param seed  the seed of the random draws; must differ between entries
    */
    lookup_ranking(clock_source const& clock, quint64 seed);

    /** Returns the entries in the order in which a caller should try them.

        Entries that are not serving are never returned, nor are entries whose
        last report is older than 3 s, except `self`, whose report is always
        treated as current.

        @param self    the entry that handles the look-up
        @param others  the other entries; may contain `self`
    */
    std::vector<entry_view> rank(location const& caller, entry_view const& self,
                                 std::vector<entry_view> const& others);

private:
    struct ranked_entry
    {
        entry_view const* entry;
        /** Lower tiers come first. */
        int tier;
        /** Within a tier, lower keys come first. */
        double random_key;
    };

    ranked_entry ranked_entry_for(location const& caller,
                                  entry_view const& entry);

    clock_source const& clock_;
    std::mt19937_64 random_;
};

} // namespace verbenacove

#endif
