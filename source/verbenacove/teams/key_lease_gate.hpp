#ifndef VERBENACOVE_TEAMS_KEY_LEASE_GATE_HPP
#define VERBENACOVE_TEAMS_KEY_LEASE_GATE_HPP

#include "verbenacove/teams/key_lease.hpp"

#include <optional>

namespace verbenacove
{

/** Decides for an entry whether its keys may be used now, and logs when that
    changes.

    Without a revocation time, or where no keys are used, they always may. An
    empty table of teams is watched like any other.

    Use it on one thread.
*/
class key_lease_gate
{
public:
    /** Creates a gate.

        @param revocation  the time after which a withdrawn key must not be
                           accepted; absent where keys need no confirmation
    */
    explicit key_lease_gate(std::optional<milliseconds> revocation);

    /** Must be called when the routes are replaced, before their keys are
        used. */
    void set_routes(qint64 revision, bool uses_keys);

    /** Extends the lease. */
    void confirm(key_confirmation const& confirmation);

    /** Returns whether the request at hand may be run by its key; reads the
        clock. Must be called once for each request that needs a key. */
    bool permits_request();

    /** Logs the end of the lease and its return; called at intervals, so that
        the lines are bounded. */
    void log_changes();

    /** Returns how long the lease lasts from now on; nothing where keys need no
        confirmation. */
    std::optional<milliseconds> remaining() const;

private:
    std::optional<key_lease> lease_;
    bool uses_keys_ = false;
    qint64 revision_ = -1;
    /** Time at which the end of the lease was logged. */
    std::optional<boot_time> ended_;
    /** Number of requests refused since the last line. */
    qint64 refused_ = 0;
};

} // namespace verbenacove

#endif
