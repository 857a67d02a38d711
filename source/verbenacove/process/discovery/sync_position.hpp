#ifndef VERBENACOVE_PROCESS_DISCOVERY_SYNC_POSITION_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_SYNC_POSITION_HPP

#include <QCborMap>

namespace verbenacove
{

/** Sync position of a reader in a remote membership view: the last revision and
    heartbeat count that it has received for each kind of process. */
struct sync_position
{
    /** Identifies the instance of the remote view; a position is valid for that
        instance only. */
    qint64 view_id = 0;
    qint64 upstreams = 0;
    qint64 entries = 0;
    qint64 replicas = 0;
    qint64 upstream_heartbeats = 0;
    qint64 entry_heartbeats = 0;
    qint64 replica_heartbeats = 0;
    qint64 rate_limits = 0;
};

/** Converts a position to CBOR and back. */
QCborMap to_cbor(sync_position const& position);
sync_position parse_sync_position(QCborMap const& map);

} // namespace verbenacove

#endif
