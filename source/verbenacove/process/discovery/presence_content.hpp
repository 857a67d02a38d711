#ifndef VERBENACOVE_PROCESS_DISCOVERY_PRESENCE_CONTENT_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_PRESENCE_CONTENT_HPP

#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/process/discovery/presence_table.hpp"

#include <QCborMap>

#include <optional>

namespace verbenacove
{

/** What an upstream says of itself in its heartbeats. */
struct upstream_content
{
    service_name service;
    socket_address address;
    zone_name zone;
    /** The requests that it runs at the same time. */
    slot_count slots;
    /** Until when it bears few requests only, on the own clock; the clock's
        zero when it is warm. */
    monotonic_time cold_until;

    /** Returns the time until which an upstream is cold that says it will be
        for so long from now. */
    static monotonic_time cold_after(monotonic_time now, milliseconds remaining)
    {
        return remaining.count() > 0 ? now + remaining : monotonic_time{};
    }

    /** Returns whether readers need not hear of the difference. */
    bool is_same(upstream_content const& other) const;
};

/** What an entry says of itself. */
struct entry_content
{
    /** Where callers connect. */
    socket_address address;
    zone_name zone;
    region_name region;

    bool is_same(entry_content const& other) const;
};

/** What a control replica says of itself. */
struct replica_content
{
    /** For other replicas and entries. */
    socket_address address;
    zone_name zone;
    region_name region;

    bool is_same(replica_content const& other) const;
};

using upstream_presence = presence_record<upstream_content>;
using entry_presence = presence_record<entry_content>;
using replica_presence = presence_record<replica_content>;

/** Returns news of a process as CBOR; ages go with it, since clocks differ. */
QCborMap to_cbor(upstream_presence const& record, monotonic_time now);
QCborMap to_cbor(entry_presence const& record, monotonic_time now);
QCborMap to_cbor(replica_presence const& record, monotonic_time now);

/** Reads news of a process; false when the map holds none. */
bool from_cbor(QCborMap const& map, monotonic_time now,
               upstream_presence& record);
bool from_cbor(QCborMap const& map, monotonic_time now, entry_presence& record);
bool from_cbor(QCborMap const& map, monotonic_time now,
               replica_presence& record);

/** Returns the word for a phase, for logs. */
QString phase_word(presence_phase phase);

} // namespace verbenacove

#endif
