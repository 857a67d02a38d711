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

/** What one entry knows of another, or of itself. */
struct entry_view
{
    entry_id id;
    socket_address address;
    region_name region;
    zone_name zone;
    /** False once it is to stop: it leaves look-ups first. */
    bool is_serving = true;
    /** The share of its capacity that is free, 0 to 1. */
    double headroom = 1;
    /** When this was said, on the own clock. */
    monotonic_time reported_at;
};

/** Orders the entries for the answer to a look-up.

    Entries of the caller's zone come before those of its region, and those
    before others. Among equals the order is drawn at random, weighted by
    headroom, so that entries which know the same do not send all callers to
    the same one. All calls come from one thread.
*/
class lookup_ranking
{
public:
    /** The largest number of entries in an answer. */
    static constexpr std::size_t largest_list = 8;

    /** The largest number of entries that are considered. */
    static constexpr std::size_t largest_set = 1024;

    /** Creates a ranking; the clock must outlive it.

        @param seed  of the random draws; differs from entry to entry
    */
    lookup_ranking(clock_source const& clock, quint64 seed);

    /** Returns the entries in the order in which a caller should try them.

        An entry that stops is never named, nor one whose news is older than
        3 s, but for `self`, whose news is always fresh.

        @param self    the entry that answers
        @param others  the other entries; `self` may be among them
    */
    std::vector<entry_view> rank(location const& caller, entry_view const& self,
                                 std::vector<entry_view> const& others);

private:
    struct ranked
    {
        entry_view const* entry;
        int tier;
        double order;
    };

    ranked place(location const& caller, entry_view const& entry);

    clock_source const& clock_;
    std::mt19937_64 random_;
};

} // namespace verbenacove

#endif
