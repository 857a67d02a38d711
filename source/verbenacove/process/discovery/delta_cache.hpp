#ifndef VERBENACOVE_PROCESS_DISCOVERY_DELTA_CACHE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_DELTA_CACHE_HPP

#include "verbenacove/process/discovery/membership_view.hpp"

#include <QByteArray>

#include <optional>
#include <utility>
#include <vector>

namespace verbenacove
{

/** Keeps the latest deltas of a membership view for readers of one kind.

    Readers of the same replica have mostly the same position, so a delta is
    made once for all of them.
*/
class delta_cache
{
public:
    /** Number of records from which on a delta is packed: a smaller one gains
        little. */
    static constexpr qsizetype minimum_packed_records = 16;

    /** A whole view is given for this many times as long as it took to make,
        so that a loss of replicas, which sends many readers to others while the
        view changes, takes a small part of the processor time only. */
    static constexpr int view_age_factor = 20;
    /** Maximum age of a whole view. */
    static constexpr milliseconds maximum_view_age{1000};

    /** Whether large deltas are packed, too. */
    enum class packing
    {
        none,
        large_deltas
    };

    /** A delta as it is sent. */
    struct cached_delta
    {
        QCborMap plain;
        /** Empty if the delta is small, or if none are packed. */
        QByteArray packed;
    };

    /** @param reader  what the readers need */
    delta_cache(view_reader reader, packing packed)
        : reader_(std::move(reader))
        , packing_(packed)
    {
    }

    /** Returns the delta after a reader's position.

        A reader of another view gets the whole of this one, perhaps as it was a
        while ago; it reads on from there. The result is valid until the next
        call.

        @param clock  measures how long it takes to make a whole view
    */
    cached_delta const& find(membership_view const& view,
                             sync_position const& position,
                             clock_source const& clock);

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
    /** A delta, and the position of the readers that need it. */
    struct positioned_delta
    {
        sync_position position;
        cached_delta delta;
    };

    /** The whole of a view, as it was in one state. */
    struct cached_view
    {
        sync_position state;
        cached_delta delta;
        monotonic_time made{};
        /** Age at which it is made again once the state has changed. */
        milliseconds maximum_age{0};
    };

    cached_delta const& find_whole_view(membership_view const& view,
                                        clock_source const& clock);
    cached_delta make(membership_view const& view, sync_position const& from);
    /** Returns whether two positions are the same to these readers. */
    bool is_same(sync_position const& a, sync_position const& b) const;

    view_reader reader_;
    packing packing_;
    std::optional<cached_view> whole_view_;
    /** The deltas of one state of the view. */
    std::vector<positioned_delta> deltas_;
    sync_position state_;
    monotonic_time made_{};
    made_deltas counts_;
};

} // namespace verbenacove

#endif
