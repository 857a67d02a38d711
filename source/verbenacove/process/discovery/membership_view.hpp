#ifndef VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_VIEW_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_VIEW_HPP

#include "verbenacove/process/discovery/member_content.hpp"

#include <QCborMap>
#include <QHash>

#include <functional>
#include <vector>

namespace verbenacove
{

/** Selects whose failure detector decides that a process is silent. */
enum class failure_detector
{
    /** This view's own, by the heartbeats that reach it. */
    self,
    /** That of the remote view that this view is synchronised with. */
    source
};

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

/** Holds the upstreams, entries and replicas that a process tracks, and the
    rate limits that upstreams have named.

    Provides the deltas that synchronise the views of other processes with it.

    @see discovery_service, replica_link
*/
class membership_view
{
public:
    /** Callbacks for changes; each is called with the changed record. */
    struct listener
    {
        std::function<void(upstream_member const&)> upstream;
        std::function<void(entry_member const&)> entry;
        std::function<void(replica_member const&)> replica;
        std::function<void(rate_limit_record const&)> rate_limit =
            [](rate_limit_record const&) {
            };
    };

    /** Creates an empty view.

        @param view_id   identifies this instance; must differ from those of
                         all other views
        @param detector  selects the failure detector
        @param clock     must outlive the view
        @param calls     callbacks for changes
    */
    membership_view(qint64 view_id, failure_detector detector,
                    clock_source const& clock, listener calls);

    /** Applies a heartbeat that was received directly from its process. */
    update_result apply_heartbeat(upstream_member update);
    update_result apply_heartbeat(entry_member update);
    update_result apply_heartbeat(replica_member update);

    /** Applies a rate limit that an upstream has named to an entry. */
    update_result apply_rate_limit(rate_limit_record update);

    /** Applies an upstream's record that was relayed by another replica. */
    update_result apply_relayed(upstream_member update);

    /** Marks an upstream as gone that announced its end without a
        heartbeat. */
    update_result mark_upstream_gone(upstream_id const& id);

    /** Returns the delta after a reader's position, and the reader's next
        position. When nothing has changed, it contains only that position.

        @param with_heartbeats  whether to add the heartbeats that were received
                                directly since then
    */
    QCborMap updates_since(sync_position const& position,
                           bool with_heartbeats) const;

    /** Returns whether there are changes after a reader's position. */
    bool has_updates_since(sync_position const& position) const;

    /** Applies a delta from another view. Returns the position from which that
        view is to be read next. */
    sync_position merge(QCborMap const& delta);

    /** Runs the failure detector; must be called a few times per second. */
    void expire();

    membership_table<upstream_content> const& upstreams() const
    {
        return upstreams_;
    }
    membership_table<entry_content> const& entries() const { return entries_; }
    membership_table<replica_content> const& replicas() const
    {
        return replicas_;
    }
    membership_table<rate_limit_content> const& rate_limits() const
    {
        return rate_limits_;
    }

private:
    update_result apply_upstream(upstream_member update, update_origin origin);
    bool mark_replaced_gone(upstream_member const& update);
    void merge_heartbeats(QCborMap const& delta);
    void remove_obsolete_rate_limits(monotonic_time now);
    void remove_obsolete_address_holders();

    qint64 view_id_;
    failure_detector detector_;
    clock_source const& clock_;
    listener calls_;
    /** Identifier of the remote view whose delta was applied last, and the time
        since which its deltas are applied. */
    qint64 source_ = 0;
    monotonic_time source_first_read_;
    membership_table<upstream_content> upstreams_;
    /** Id of the latest upstream at each address. May name records that have
        been removed, or that have moved to another address. */
    QHash<socket_address, QString> address_holders_;
    membership_table<entry_content> entries_;
    membership_table<replica_content> replicas_;
    membership_table<rate_limit_content> rate_limits_;
};

} // namespace verbenacove

#endif
