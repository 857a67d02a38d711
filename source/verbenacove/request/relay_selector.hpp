#ifndef VERBENACOVE_REQUEST_RELAY_SELECTOR_HPP
#define VERBENACOVE_REQUEST_RELAY_SELECTOR_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/request/lookup_ranking.hpp"

#include <QHash>

#include <optional>
#include <random>
#include <vector>

namespace verbenacove
{

/** Selects the entry that a request is relayed to while this entry reaches no
    upstream.

    All calls must come from one thread.
*/
class relay_selector
{
public:
    /** Time for which an entry that could not be connected to is not selected
        while there are others. */
    static constexpr milliseconds failure_retention{1000};

    /** The clock must outlive the object.

        @param region  region of this entry
        @param seed    seed of the random choice; must differ between entries
    */
    relay_selector(clock_source const& clock, region_name region, quint64 seed);

    /** Replaces the entries to select from. */
    void set_entries(std::vector<entry_view> entries)
    {
        entries_ = std::move(entries);
    }

    /** Returns an entry at random, or nothing if none is allowed.

        @param homes     regions that the request may go to, besides the one of
                         this entry; empty for all
        @param excluded  entries that were already tried for the request
    */
    std::optional<entry_view> choose(std::vector<region_name> const& homes,
                                     std::vector<entry_id> const& excluded);

    /** Records that an entry could not be connected to. */
    void record_failure(entry_id const& entry);

private:
    bool is_allowed(entry_view const& entry,
                    std::vector<region_name> const& homes,
                    std::vector<entry_id> const& excluded) const;

    clock_source const& clock_;
    region_name region_;
    std::mt19937_64 random_;
    std::vector<entry_view> entries_;
    /** Time of each recent failure. */
    QHash<entry_id, monotonic_time> failures_;
};

} // namespace verbenacove

#endif
