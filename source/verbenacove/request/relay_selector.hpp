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

        @param seed  seed of the random choice; must differ between entries
    */
    relay_selector(clock_source const& clock, quint64 seed);

    /** Replaces the entries to select from.

        @param near    those that are preferred
        @param remote  entries of other regions, for requests whose homes have
                       none of the former
    */
    void set_entries(std::vector<entry_view> near,
                     std::vector<entry_view> remote = {})
    {
        near_ = std::move(near);
        remote_ = std::move(remote);
    }

    /** Returns an entry at random, or nothing if none is allowed.

        @param homes     regions that the request may go to; empty for all.
                         This entry's own is no exception: the caller may be
                         of another one.
        @param excluded  entries that were already tried for the request
    */
    std::optional<entry_view> choose(std::vector<region_name> const& homes,
                                     std::vector<entry_id> const& excluded);

    /** Records that an entry could not be connected to. */
    void record_failure(entry_id const& entry);

private:
    clock_source const& clock_;
    std::mt19937_64 random_;
    std::vector<entry_view> near_;
    std::vector<entry_view> remote_;
    /** Time of each recent failure. */
    QHash<entry_id, monotonic_time> failures_;
};

} // namespace verbenacove

#endif
