#ifndef VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_DELTA_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_DELTA_HPP

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/discovery/membership_view.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

/** How membership_view writes and reads the deltas of its tables. */
namespace verbenacove::membership_detail
{

inline auto const receiver_key = QLatin1String("receiver");

template <class Content>
QCborArray to_cbor_array(std::vector<member_record<Content>> const& records,
                         view_reader const& reader, monotonic_time now)
{
    QCborArray result;
    for (auto const& record : records)
    {
        auto map = to_cbor(record, now);
        if (reader.is_delegating && !record.receiver.isEmpty())
        {
            map[receiver_key] = record.receiver;
        }
        result.append(map);
    }
    return result;
}

// Returns the changes of a table that a reader needs.
template <class Content>
QCborArray changes_to_cbor(membership_table<Content> const& table,
                           qint64 revision, view_reader const& reader,
                           monotonic_time now)
{
    using table_type = membership_table<Content>;
    bool const is_first_read = revision == 0 && !reader.has_old_departures;
    // Records of lost replicas are sent whatever the position.
    auto const first = reader.newly_lost.isEmpty() ? revision : 0;
    auto const changes = table.select_since(
        first,
        [revision, is_first_read, &reader](member_record<Content> const& record)
        {
            if (!reader.is_delegating)
            {
                return record.revision > revision;
            }
            bool const is_newly_lost =
                reader.newly_lost.contains(record.receiver);
            // A replica that starts hears of the departures before its time
            // from each other one.
            bool const is_needed =
                table_type::concerns_delegating_readers(record) ||
                (is_first_read && table_type::is_departure(record)) ||
                reader.lost.contains(record.receiver);
            return is_newly_lost || (is_needed && record.revision > revision);
        });
    return to_cbor_array(changes, reader, now);
}

// Returns the departures that were received by replicas which the reader cannot
// read.
inline QCborArray
departures_to_cbor(membership_table<upstream_content> const& table,
                   qint64 revision, view_reader const& reader,
                   monotonic_time now)
{
    auto const recent = table.recent_revision();
    auto const first = reader.newly_unreachable.isEmpty()
                           ? revision
                           : std::min(revision, recent);
    return to_cbor_array(
        table.select_since(
            first,
            [revision, recent, &reader](upstream_member const& record)
            {
                bool const is_missed =
                    record.revision > revision ||
                    (record.revision > recent &&
                     reader.newly_unreachable.contains(record.receiver));
                return is_missed &&
                       membership_table<upstream_content>::is_departure(
                           record) &&
                       reader.unreachable.contains(record.receiver);
            }),
        reader, now);
}

// Returns the heartbeats that a reader needs: all that were received here, or,
// if it delegates, the first one of each process that now sends them here.
template <class Content>
QCborArray heartbeats_to_cbor(membership_table<Content> const& table,
                              qint64 after, view_reader const& reader,
                              monotonic_time now)
{
    QCborArray result;
    auto const last = reader.is_delegating ? table.last_direct_since()
                                           : table.direct_heartbeats();
    if (last <= after)
    {
        return result;
    }
    for (auto const& record : table.records())
    {
        auto const count = reader.is_delegating ? record.direct_since
                                                : record.direct_heartbeat;
        if (count > after && record.phase != member_phase::gone)
        {
            result.append(QCborArray{
                record.id, record.started.value(), record.sequence,
                qint64{elapsed(record.last_heartbeat, now).count()}});
        }
    }
    return result;
}

template <class Content>
qint64 revision_for(membership_table<Content> const& table,
                    view_reader const& reader)
{
    if (!reader.is_delegating || !reader.lost.isEmpty())
    {
        return table.revision();
    }
    return reader.unreachable.isEmpty() ? table.delegated_revision()
                                        : std::max(table.delegated_revision(),
                                                   table.departure_revision());
}

inline void add(QCborMap& delta, char const* key, QCborArray const& items)
{
    if (!items.isEmpty())
    {
        delta[QLatin1String(key)] = items;
    }
}

template <class Content>
void notify(std::vector<member_record<Content>> const& records,
            std::function<void(member_record<Content> const&)> const& call)
{
    for (auto const& record : records)
    {
        call(record);
    }
}

template <class Content>
void merge_heartbeats_of(
    membership_table<Content>& table, QCborArray const& heartbeats,
    QString const& receiver, monotonic_time now,
    std::function<void(member_record<Content> const&)> const& call)
{
    for (auto const& item : heartbeats)
    {
        auto const heartbeat = item.toArray();
        auto const* known = table.find(heartbeat.at(0).toString());
        if (!known || known->started.value() != heartbeat.at(1).toInteger())
        {
            continue;
        }
        auto update = *known;
        update.sequence = heartbeat.at(2).toInteger();
        update.receiver = receiver;
        update.last_heartbeat =
            now -
            milliseconds(std::max(qint64{0}, heartbeat.at(3).toInteger()));
        auto const change =
            table.merge(std::move(update), update_origin::relayed, now);
        if (change == update_result::changed)
        {
            call(*table.find(heartbeat.at(0).toString()));
        }
    }
}

// Returns the replica that receives the heartbeats of a relayed record's
// process: the sender unless it names another one.
inline QString receiver_of(QCborMap const& record, QString const& sender)
{
    auto const named = cbor_text(record, "receiver");
    return named.isEmpty() ? sender : named;
}

template <class Content>
void merge_all(membership_table<Content>& table, QCborArray const& items,
               update_origin origin, qint64 source, QString const& sender,
               monotonic_time now,
               std::function<void(member_record<Content> const&)> const& call)
{
    for (auto const& item : items)
    {
        member_record<Content> record;
        auto const map = item.toMap();
        if (!from_cbor(map, now, record))
        {
            continue;
        }
        record.source = source;
        record.receiver = receiver_of(map, sender);
        auto const id = record.id;
        auto const change = table.merge(std::move(record), origin, now);
        if (change == update_result::changed)
        {
            call(*table.find(id));
        }
    }
}

} // namespace verbenacove::membership_detail

#endif
