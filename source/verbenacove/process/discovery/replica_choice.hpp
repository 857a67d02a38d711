#ifndef VERBENACOVE_PROCESS_DISCOVERY_REPLICA_CHOICE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_REPLICA_CHOICE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/distance.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/process/discovery/discovery_board.hpp"

#include <QHash>

#include <optional>
#include <random>
#include <vector>

namespace verbenacove
{

/** Decides which control replica an entry reads: the nearest that answers and
    hears of a leader.

    Replicas that failed are tried again only after all others, the one that
    failed first of all before the rest: near replicas on the minority's side
    of a partition must not keep an entry from far ones of the majority. All
    calls come from one thread.
*/
class replica_choice
{
public:
    /** How long a failure counts. A nearer replica is returned to after it. */
    static constexpr milliseconds failure_memory{6000};

    /** Creates the choice for an entry at a place.

        @param seed  of the draw among replicas that are alike
    */
    replica_choice(location self, quint64 seed);

    /** Replaces the addresses that are known from the settings. */
    void set_seeds(std::vector<socket_address> seeds)
    {
        seeds_ = std::move(seeds);
    }

    /** Returns the replica to read; nothing when none is known. */
    std::optional<socket_address> choose(discovery_board const& board,
                                         monotonic_time now);

    /** Returns whether a nearer replica than this one should be read. */
    bool has_nearer(socket_address const& current, discovery_board const& board,
                    monotonic_time now) const;

    /** Notes that a replica did not answer, or hears of no leader. */
    void note_failure(socket_address const& replica, monotonic_time now);

    /** Notes that a replica answered and hears of a leader. */
    void note_answer(socket_address const& replica);

    /** Returns how far a replica is; one step beyond all others when that is
        not known. */
    int distance_of(socket_address const& replica,
                    discovery_board const& board) const;

private:
    bool has_failed(socket_address const& replica, monotonic_time now) const;

    location self_;
    std::mt19937_64 random_;
    std::vector<socket_address> seeds_;
    QHash<socket_address, monotonic_time> failures_;
};

} // namespace verbenacove

#endif
