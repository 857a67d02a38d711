#ifndef VERBENACOVE_PROCESS_DISCOVERY_HEARTBEAT_RECEIVER_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_HEARTBEAT_RECEIVER_HPP

#include "verbenacove/process/discovery/membership_view.hpp"

#include <optional>

namespace verbenacove
{

/** Returns the replica that an upstream should send its heartbeats to, by its
    internal address; nothing when no replica serves.

    Replicas of the upstream's zone go first, then those of its region, so that
    heartbeats do not cross zones. Among them rendezvous hashing chooses, so
    replicas with the same view agree, and the loss of one moves its upstreams
    only.
*/
std::optional<socket_address> choose_receiver(membership_view const& membership,
                                              upstream_id const& id,
                                              zone_name const& zone);

/** Returns a replica other than this one, silent ones first: for a replica that
    has lost contact with the leader, those that it does not hear may be the
    majority.

    @param attempt  a number that changes with time, so that different replicas
                    are named in turn
*/
std::optional<socket_address>
choose_remote_receiver(membership_view const& membership,
                       socket_address const& self, upstream_id const& id,
                       qint64 attempt);

} // namespace verbenacove

#endif
