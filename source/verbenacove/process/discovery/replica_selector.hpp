#ifndef VERBENACOVE_PROCESS_DISCOVERY_REPLICA_SELECTOR_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_REPLICA_SELECTOR_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/distance.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/process/discovery/membership_view.hpp"

#include <QHash>

#include <optional>
#include <random>
#include <vector>

namespace verbenacove
{

/** Selects the control replica that an entry reads: the nearest one that
    responds and has contact with a leader.

    Replicas that failed are retried only after all others, in the order of
    their failures: nearby replicas on the minority side of a partition must not
    keep an entry from distant replicas of the majority. Replicas that are
    silent are tried now and then only while none has a leader: most of them are
    gone, and each costs the time of a read that is not answered. Must be used
    from one thread only.
*/
class replica_selector
{
public:
    /** Retention period of a failure, after which a nearer replica is used
        again. */
    static constexpr milliseconds failure_retention{6000};

    /** Retention period of a failure of a silent replica, so that all of them
        are tried before one is tried again. */
    static constexpr milliseconds silent_failure_retention{60000};

    /** Minimum interval between attempts to read silent replicas while others
        respond. */
    static constexpr milliseconds silent_interval{1500};

    /** Creates a selector for an entry.

        @param self  location of the entry
        @param seed  seed of the random choice among equivalent replicas
    */
    replica_selector(location self, quint64 seed);

    /** Replaces the seed addresses, which come from the settings. */
    void set_seeds(std::vector<socket_address> seeds)
    {
        seeds_ = std::move(seeds);
    }

    /** Returns the replica to read, or nothing when none is known. */
    std::optional<socket_address> choose(membership_view const& membership,
                                         monotonic_time now);

    /** Returns the number of replicas among which `choose` selects, at least
        one. */
    std::size_t candidate_count(membership_view const& membership) const;

    /** Returns whether a usable replica is nearer than the current one. */
    bool has_nearer(socket_address const& current,
                    membership_view const& membership,
                    monotonic_time now) const;

    /** Records that a replica did not respond, or has no contact with a
        leader. */
    void record_failure(socket_address const& replica, monotonic_time now);

    /** Records that a replica responded and has contact with a leader. */
    void record_success(socket_address const& replica);

    /** Returns the network distance to a replica; one more than the maximum
        distance when its location is unknown. */
    int distance_of(socket_address const& replica,
                    membership_view const& membership) const;

private:
    /** A replica that may be chosen. */
    struct candidate
    {
        socket_address address;
        /** Time of its last failure; the clock's zero when it has not failed.
         */
        monotonic_time failed_at;
        int distance = 0;
        bool is_silent = false;
    };

    std::vector<candidate> candidates(membership_view const& membership,
                                      monotonic_time now) const;
    bool has_failed(socket_address const& replica, monotonic_time now) const;

    location self_;
    std::mt19937_64 random_;
    std::vector<socket_address> seeds_;
    /** Time of the last failure of each replica that failed recently. */
    QHash<socket_address, monotonic_time> failures_;
    /** Time from which a silent replica may be chosen; absent while the last
        read was successful. */
    std::optional<monotonic_time> next_silent_;
};

} // namespace verbenacove

#endif
