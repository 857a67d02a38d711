#ifndef VERBENACOVE_PROCESS_DISCOVERY_MEMBER_CONTENT_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_MEMBER_CONTENT_HPP

#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/process/discovery/membership_table.hpp"

#include <QCborMap>

#include <optional>

namespace verbenacove
{

/** Attributes that an upstream reports in its heartbeats. */
struct upstream_content
{
    service_name service;
    socket_address address;
    zone_name zone;
    /** Number of requests that it runs concurrently. */
    slot_count slots;
    /** End of the warm-up during which it can handle only few requests, on
        the local clock; the clock's zero when it is warm. */
    monotonic_time cold_until;

    /** Returns the end of the warm-up of an upstream that reports this
        remaining warm-up time. */
    static monotonic_time warmup_end(monotonic_time now, milliseconds remaining)
    {
        return remaining.count() > 0 ? now + remaining : monotonic_time{};
    }

    /** Returns whether it can handle only few requests. */
    bool is_cold(monotonic_time now) const { return cold_until > now; }

    /** Returns whether the two differ in nothing that must be propagated;
        small differences of `cold_until` are ignored. */
    bool is_equivalent(upstream_content const& other) const;

    /** Returns whether the two name one service at one address. */
    bool is_same_place(upstream_content const& other) const;
};

/** Attributes that an entry reports about itself. */
struct entry_content
{
    /** Address for connections of callers. */
    socket_address address;
    zone_name zone;
    region_name region;
    /** False while it is cut off from all upstreams. */
    bool reaches_upstreams = true;

    bool is_equivalent(entry_content const& other) const;
    bool is_same_place(entry_content const& other) const
    {
        return address == other.address;
    }
};

/** Attributes that a control replica reports about itself. */
struct replica_content
{
    /** Address for connections of other replicas and entries. */
    socket_address address;
    zone_name zone;
    region_name region;

    bool is_equivalent(replica_content const& other) const;
    bool is_same_place(replica_content const& other) const
    {
        return address == other.address;
    }
};

/** The rate limit that an incarnation of an upstream has named in a
    response. */
struct rate_limit_content
{
    /** Absent if it no longer names a limit. */
    std::optional<requests_per_second> rate;

    bool is_equivalent(rate_limit_content const& other) const
    {
        return rate == other.rate;
    }
};

using upstream_member = member_record<upstream_content>;
using entry_member = member_record<entry_content>;
using replica_member = member_record<replica_content>;
/** Has the id and incarnation of the upstream. */
using rate_limit_record = member_record<rate_limit_content>;

/** Returns a record as CBOR. Times are written as durations relative to `now`,
    since the clocks of processes differ. */
QCborMap to_cbor(upstream_member const& record, monotonic_time now);
QCborMap to_cbor(entry_member const& record, monotonic_time now);
QCborMap to_cbor(replica_member const& record, monotonic_time now);
QCborMap to_cbor(rate_limit_record const& record, monotonic_time now);

/** Reads a record from CBOR.

    @return false when the map holds no valid record
*/
bool from_cbor(QCborMap const& map, monotonic_time now,
               upstream_member& record);
bool from_cbor(QCborMap const& map, monotonic_time now, entry_member& record);
bool from_cbor(QCborMap const& map, monotonic_time now, replica_member& record);
bool from_cbor(QCborMap const& map, monotonic_time now,
               rate_limit_record& record);

/** Returns the name of a phase, for logs. */
QString phase_name(member_phase phase);

} // namespace verbenacove

#endif
