#ifndef VERBENACOVE_PROCESS_DISCOVERY_DELTA_CACHE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_DELTA_CACHE_HPP

#include "verbenacove/process/discovery/membership_view.hpp"

#include <QByteArray>

#include <utility>
#include <vector>

namespace verbenacove
{

/** Keeps the latest deltas of a membership view for entries.

    Entries that read the same replica have mostly the same position, so a delta
    is made and packed once for all of them.
*/
class delta_cache
{
public:
    /** Number of records from which on a delta is packed: a smaller one gains
        little. */
    static constexpr qsizetype minimum_packed_records = 16;

    /** A delta as it is sent. */
    struct entry_delta
    {
        QCborMap plain;
        /** Empty if the delta is small. */
        QByteArray packed;
    };

    /** Returns the delta after a reader's position.

        The result is valid until the next call.
    */
    entry_delta const& find(membership_view const& view,
                            sync_position const& position, monotonic_time now);

    /** Numbers of the deltas that were made and of the records in them. */
    struct made_deltas
    {
        qint64 whole_views = 0;
        qint64 changes = 0;
        qint64 records = 0;
    };

    /** Returns what was made since the previous call. */
    made_deltas take_made() { return std::exchange(counts_, {}); }

private:
    struct cached_delta
    {
        sync_position position;
        entry_delta delta;
    };

    /** The deltas of one state of the view. */
    std::vector<cached_delta> deltas_;
    sync_position state_;
    monotonic_time made_{};
    made_deltas counts_;
};

} // namespace verbenacove

#endif
