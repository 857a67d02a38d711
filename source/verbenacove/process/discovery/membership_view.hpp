#ifndef VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_VIEW_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_VIEW_HPP

#include "verbenacove/process/discovery/member_content.hpp"
#include "verbenacove/process/discovery/start_order.hpp"
#include "verbenacove/process/discovery/sync_position.hpp"

#include <QCborMap>
#include <QHash>
#include <QSet>

#include <functional>
#include <optional>
#include <utility>
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

/** How the reader of a membership view uses it. */
struct view_reader
{
    /** Whether it wants heartbeats, not only changes. */
    bool wants_heartbeats = false;
    /** Whether it leaves the failure detection to the replica that receives the
        heartbeats of a process. It then needs that replica's records and
        nothing of others, but for what is lost. */
    bool is_delegating = false;
    /** Whether the first read contains all entries nevertheless: look-ups need
        them at once. */
    bool wants_all_entries = false;
    /** Names of the replicas that it cannot read itself, and that this one
        has contact with. */
    QSet<QString> lost = {};
    /** Those of them whose records it wants whatever its position. */
    QSet<QString> newly_lost = {};
    /** Names of further replicas that it cannot read itself, of which it needs
        the departures only: they may be gone and have told nobody else. */
    QSet<QString> unreachable = {};
    /** Those of them whose recent departures it wants whatever its
        position. */
    QSet<QString> newly_unreachable = {};
    /** Whether it has read the departures of before once, so that a whole view
        needs not contain those that others have received. */
    bool has_old_departures = false;
};

/** A replica whose view is merged. */
struct view_source
{
    QString name;
    /** Whether its failure detector decides for the processes whose heartbeats
        it receives. */
    bool is_delegate = false;
};

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
        /** Called before `upstream` with the record of an upstream that was
            warm and is cold without a new start: what is sent to it until this
            is known may be too much. */
        std::function<void(upstream_member const&)> cooled =
            [](upstream_member const&) {
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

    /** Sets the services that the configuration names; until then all count as
        named. The heartbeats of any other service may come from a foreign
        registrar: they take neither an address nor an id from an upstream of a
        named one. */
    void set_named_services(QSet<service_name> services);

    /** Returns whether a heartbeat names the id of an upstream of a named
        service and another service that is not named. */
    bool is_foreign(upstream_member const& update) const;

    /** Applies a heartbeat that was received directly from its process. */
    update_result apply_heartbeat(upstream_member update);
    update_result apply_heartbeat(entry_member update);
    update_result apply_heartbeat(replica_member update);

    /** Returns whether what an upstream says, its phase included, is in the
        view or has been overtaken by what the same start said later. */
    bool holds(upstream_member const& said) const;

    /** Applies a rate limit that an upstream has named to an entry. */
    update_result apply_rate_limit(rate_limit_record update);

    /** Applies an upstream's record that was relayed by another replica. */
    update_result apply_relayed(upstream_member update);

    /** Marks an upstream as gone that announced its end without a
        heartbeat.

        @param receiver  the replica to which it announced that; empty for this
                         one
    */
    update_result mark_upstream_gone(upstream_id const& id,
                                     QString receiver = {});

    /** Adds the departures to a delta that a reader may have missed, as it
        cannot read the replicas that received them. */
    void add_missed_departures(QCborMap& delta, sync_position const& position,
                               view_reader const& reader) const;

    /** Returns the delta after a reader's position, and the reader's next
        position. When nothing has changed, it contains only that position. */
    QCborMap updates_since(sync_position const& position,
                           view_reader const& reader) const;

    /** Returns whether there are changes after a reader's position. */
    bool has_updates_since(sync_position const& position,
                           view_reader const& reader) const;

    /** Returns the position of a reader that has read all of this view. */
    sync_position position() const;

    /** Returns the replicas, for a reader that chooses one of them to read. */
    QCborMap replica_records() const;

    /** Applies what `replica_records` of another view has returned. */
    void merge_replica_records(QCborMap const& records);

    /** Returns whether a position is one in this view; if not, all of the view
        is read. */
    bool is_known(sync_position const& position) const
    {
        return position.view_id == view_id_;
    }

    /** Applies a delta from another view. Returns the position from which that
        view is to be read next. */
    sync_position merge(QCborMap const& delta, view_source const& from = {});

    /** Records contact with a replica, or that another one has contact with it.
        The processes that send their heartbeats to it count as heard of, unless
        its view is another one than before.

        @param view_id  identifies its view
    */
    void record_contact(QString const& replica, qint64 view_id);

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
    struct replica_contact
    {
        qint64 view_id = 0;
        monotonic_time at{};
    };

    update_result apply_upstream(upstream_member update, update_origin origin);
    update_result handle_upstream_result(QString const& id,
                                         update_result change);
    /** Returns whether an update is of a start that is known as warm. */
    bool concerns_warm(upstream_member const& update) const;
    update_result apply_bare_departure(upstream_member update,
                                       update_origin origin);
    update_result apply_after_departure(upstream_member update,
                                        update_origin origin);
    update_result record_departure(QString const& id, QString receiver,
                                   monotonic_time when);
    static bool concerns(upstream_member const& departure,
                         upstream_member const& known);
    static bool replaces_departure(upstream_member const& update,
                                   upstream_member const& known);
    /** Gives a heartbeat's start its place among those of the process.

        @return false if it is that of an earlier start, or may be
    */
    template <class Content>
    bool place_start(membership_table<Content> const& table,
                     member_record<Content>& update);
    template <class Content>
    monotonic_time last_heard(member_record<Content> const& known) const;
    bool mark_replaced_gone(upstream_member const& update,
                            update_origin origin);
    bool replaces_foreign(upstream_member const& update) const;
    void keep_displaced(upstream_member record);
    void restore_displaced();
    void remove_obsolete_displaced(monotonic_time now);
    bool is_named(service_name const& service) const;
    void merge_heartbeats(QCborMap const& delta, view_source const& from);
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
    /** Latest contact with each other replica, by its name. */
    QHash<QString, replica_contact> contacts_;
    membership_table<upstream_content> upstreams_;
    std::optional<QSet<service_name>> named_services_;
    start_order starts_;
    /** Id of the latest upstream of a named service at each address. May name
        records that were removed, or have moved to another address. */
    QHash<socket_address, QString> address_holders_;
    /** The latest record of each id that another service's record has displaced
        because just one of the two services is named. */
    QHash<QString, upstream_member> displaced_;
    membership_table<entry_content> entries_;
    membership_table<replica_content> replicas_;
    membership_table<rate_limit_content> rate_limits_;
};

} // namespace verbenacove

#endif
