#include "verbenacove/process/discovery/sync_position.hpp"

#include "verbenacove/core/cbor.hpp"

namespace verbenacove
{

QCborMap to_cbor(sync_position const& position)
{
    return {{QLatin1String("stream"), position.view_id},
            {QLatin1String("u"), position.upstreams},
            {QLatin1String("e"), position.entries},
            {QLatin1String("r"), position.replicas},
            {QLatin1String("ub"), position.upstream_heartbeats},
            {QLatin1String("eb"), position.entry_heartbeats},
            {QLatin1String("rb"), position.replica_heartbeats},
            {QLatin1String("l"), position.rate_limits}};
}

sync_position parse_sync_position(QCborMap const& map)
{
    return {cbor_number(map, "stream"), cbor_number(map, "u"),
            cbor_number(map, "e"),      cbor_number(map, "r"),
            cbor_number(map, "ub"),     cbor_number(map, "eb"),
            cbor_number(map, "rb"),     cbor_number(map, "l")};
}

} // namespace verbenacove
