#ifndef VERBENACOVE_REQUEST_QUARANTINE_HPP
#define VERBENACOVE_REQUEST_QUARANTINE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/request/fingerprint.hpp"

#include <QCborMap>
#include <QHash>

#include <boost/leaf/result.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace verbenacove
{

/** The number of an attempt, unique within this process. */
using attempt_number = strong_type<struct attempt_number_tag, qint64>;

/** A position in the sequence of changes to one process's crash records; 0 is
    before the first change. */
using quarantine_cursor = strong_type<struct quarantine_cursor_tag, qint64>;

/** The crash of an upstream process while a request was in flight on it. */
struct crash_record
{
    upstream_id upstream;
    incarnation upstream_incarnation;
    /** The time since the crash, in milliseconds; not a wall-clock time. */
    milliseconds age{0};
    /** True when the request has since completed on another upstream. */
    bool is_cleared = false;
    /** True when the request was a suspect and ran there in isolation. */
    bool is_isolated = false;
    /** True when the request was sent there after an earlier end was known, and
        no common event explains both; see `quarantine`. */
    bool is_repeated = false;
};

/** The crashes that one process has recorded for one request. */
struct request_crashes
{
    request_fingerprint fingerprint;
    std::vector<crash_record> crashes;
};

/** Changed crash records that one process sends to others. */
struct quarantine_update
{
    /** The cursor to pass to `export_update` for the next update. */
    quarantine_cursor next;
    std::vector<request_crashes> records;
};

/** The reason why an update could not be parsed. */
struct quarantine_format_error
{
    QString reason;
};

/** Where a change of a record comes from. */
enum class record_origin
{
    /** From this process, or from one that reports to this one alone. */
    own,
    /** From a process that reports to others as well. */
    other
};

/** Which changes of the records an update holds. */
enum class record_scope
{
    all,
    /** Those of own origin: a reader that reads all processes gets the others
        from them. */
    own
};

/** Returns an update as a CBOR map:

        {"next": cursor, "records": [[fingerprint, [crash, ...]], ...],
         "repeated": [[is_repeated, ...], ...]}

    where a crash is [upstream, incarnation, age in milliseconds, is_cleared,
    is_isolated]. "repeated" has the crashes in the order of "records"; an
    earlier build does not send it, and then the isolated ones count as
    repeated.
*/
QCborMap to_cbor(quarantine_update const& update);

/** Parses an update; an invalid field gives a quarantine_format_error. */
boost::leaf::result<quarantine_update>
parse_quarantine_update(QCborMap const& map);

/** How a request may be sent. */
enum class send_permission
{
    /** To any upstream that does not run a suspect. */
    unrestricted,
    /** Only in isolation: to an upstream on which this process has no other
        attempt in flight. */
    isolated,
    /** Not yet: an upstream closed the connection, and it is not known whether
        its process crashed. Check again after a short delay. */
    undecided,
    /** To one upstream, once: the request was refused until now. Its next crash
        makes it refused for longer, and a response clears it. */
    trial,
    /** To no upstream for now: the request has crashed too many of them. */
    refused
};

/** Limits the number of upstreams that a request can crash.

    A request that was in flight on an upstream whose process crashed is a
    suspect. A complete response clears it. Only a process that is gone counts
    as a crash; a lost connection by itself does not.

    Upstreams that end together, as in the outage of an availability zone, say
    nothing about what they were running. A further crash therefore counts only
    when it is repeated: the request was sent there after an earlier end was
    known, and the two were in different zones or more than `event_duration`
    apart. The first crash and `crash_limit` - 1 repeated ones make the request
    refused.

    A refused request is tried again after `first_trial_delay`, twice as long
    after each further crash, so that one that was refused for crashes that it
    did not cause is served again. Entries take turns by a hash of the request,
    and each runs one trial at a time.

    When a suspect ran in isolation on the process that crashed, other requests
    in flight there are not charged for that crash, unless it is their oldest
    one or the isolated suspect has since been cleared.

    Processes share their records with `export_update` and `merge_update`.
    Updates may arrive late, out of order or more than once. All state is
    bounded and expires. Not thread-safe: use it on one thread.
*/
class quarantine
{
public:
    /** The number of counted crashes after which a request is refused. */
    static constexpr int crash_limit = 2;

    /** Time in which ends of upstreams in one zone count as one event. */
    static constexpr milliseconds event_duration = std::chrono::seconds(1);

    /** Time from the last counted crash of a refused request to its first
        trial. */
    static constexpr milliseconds first_trial_delay = std::chrono::seconds(60);

    /** Time between the turns of two entries to try a refused request: longer
        than a report takes to reach all entries. */
    static constexpr milliseconds trial_turn = std::chrono::seconds(4);

    /** Longest time in which all entries have had their turn. */
    static constexpr milliseconds maximum_trial_spread =
        std::chrono::minutes(5);

    /** The retention period of a crash. */
    static constexpr milliseconds retention = std::chrono::minutes(10);

    /** The age from which a crash in an update is ignored. It is below the
        retention period, or processes would return crashes to each other
        forever. */
    static constexpr milliseconds maximum_update_age = std::chrono::minutes(9);

    /** The time after a lost connection in which it can be confirmed as a
        crash. */
    static constexpr milliseconds confirmation_timeout =
        std::chrono::seconds(5);

    /** The maximum number of requests with recorded crashes. */
    static constexpr qsizetype maximum_requests = 10'000;

    /** The maximum number of recorded crashes of one request. */
    static constexpr std::size_t maximum_crashes = 16;

    /** The maximum number of attempts in flight. */
    static constexpr qsizetype maximum_attempts = 100'000;

    /** The maximum number of lost connections, and of gone upstreams, that are
        stored. */
    static constexpr qsizetype maximum_losses = 10'000;

    /** The maximum number of records in one update. */
    static constexpr std::size_t maximum_update_records = 1'000;

    /** Creates an empty quarantine; the clock must outlive it. */
    explicit quarantine(clock_source const& clock);

    quarantine(quarantine const&) = delete;
    quarantine& operator=(quarantine const&) = delete;

    /** Sets this entry's turns for trials of refused requests.

        @param entry    this entry's name
        @param entries  the number of live entries
    */
    void set_trial_turns(QByteArray entry, int entries);

    /** Returns whether a request has a crash that no response has cleared. */
    bool is_suspect(request_fingerprint const& request) const;

    /** Returns how a request may be sent at this time. */
    send_permission permission(request_fingerprint const& request) const;

    /** Returns true when a request may be sent to an upstream at this time. A
        suspect needs an upstream with no other attempt in flight, and no other
        request is sent to an upstream that runs a suspect.

        @see start
    */
    bool can_start(request_fingerprint const& request,
                   upstream_id const& upstream) const;

    /** Records the start of an attempt; called before its first byte is sent.

        A suspect also needs a permit of the control leader, which is not
        checked here; see isolation_permits.

        @param zone  the upstream's availability zone; empty when unknown
        @return the attempt's number, to be passed to exactly one of
                `answered`, `ended` and `lost`; nothing when the attempt may
                not start
    */
    std::optional<attempt_number> start(request_fingerprint const& request,
                                        upstream_id const& upstream,
                                        incarnation upstream_incarnation,
                                        zone_name const& zone = {});

    /** Records the start of an attempt without checking its permission, for
        an entry that does not isolate suspects but only rejects refused
        requests.

        @return the attempt's number as from `start`; nothing only when too
                many attempts are in flight
    */
    std::optional<attempt_number> track(request_fingerprint const& request,
                                        upstream_id const& upstream,
                                        incarnation upstream_incarnation,
                                        zone_name const& zone = {});

    /** Records the complete response to an attempt, which clears its request.
     */
    void answered(attempt_number attempt);

    /** Removes an attempt that was cancelled or timed out; it neither clears
        its request nor counts as a lost connection. */
    void ended(attempt_number attempt);

    /** Records that the upstream closed or reset the connection of an attempt
        that may have been sent.

        Check next whether the upstream's process is gone, and report the result
        with `upstream_gone` or `upstream_alive`.
    */
    void lost(attempt_number attempt);

    /** Records that an upstream's process is gone, which is detected by a
        connection refused right after one was lost, or by a newer incarnation.

        @param last_gone  the newest incarnation that is gone
    */
    void upstream_gone(upstream_id const& upstream, incarnation last_gone);

    /** Records that an upstream's process responded after a connection was
        lost. Its lost connections are discarded, because it did not crash.

        @param alive  the incarnation that responded
    */
    void upstream_alive(upstream_id const& upstream, incarnation alive);

    /** Returns true while it is not known whether an upstream's process that
        closed a connection is gone, for at most `confirmation_timeout`. */
    bool is_undecided(upstream_id const& upstream,
                      incarnation upstream_incarnation) const;

    /** Returns the records with changes of a scope after a cursor, oldest
        change first.

        A cursor is valid for one process lifetime: when the source has
        restarted, the reader starts again from 0.
    */
    quarantine_update
    export_update(quarantine_cursor since,
                  record_scope scope = record_scope::all) const;

    /** Returns true when there are changes of a scope after a cursor. */
    bool has_changes(quarantine_cursor since,
                     record_scope scope = record_scope::all) const;

    /** Returns the cursor after the latest change. */
    quarantine_cursor last_change() const { return last_change_; }

    /** Merges the records of another process. */
    void merge_update(quarantine_update const& update,
                      record_origin origin = record_origin::other);

    /** Returns the number of requests with recorded crashes. */
    qsizetype request_count() const { return records_.size(); }

private:
    /** The end of an upstream process that ran a request. */
    struct process_end
    {
        upstream_id upstream;
        incarnation upstream_incarnation;
        /** Empty when it is not known. */
        zone_name zone;
        monotonic_time when;
    };

    struct crash
    {
        upstream_id upstream;
        incarnation upstream_incarnation;
        monotonic_time when;
        bool is_cleared = false;
        bool is_isolated = false;
        /** What the process that recorded it has found. */
        bool is_repeated = false;
        /** Empty for a crash that another process has recorded. */
        zone_name zone = {};
        /** An end that was known when the request was sent there. */
        std::optional<process_end> earlier = {};
    };

    struct record
    {
        std::vector<crash> crashes;
        quarantine_cursor last_change;
        quarantine_cursor last_own_change;
    };

    struct attempt
    {
        request_fingerprint request;
        upstream_id upstream;
        incarnation upstream_incarnation;
        zone_name zone;
        bool is_isolated = false;
        /** An end that was known of its request at its start. */
        std::optional<process_end> earlier;
    };

    /** A lost connection that is not yet known to be a crash or not. */
    struct loss
    {
        attempt lost_attempt;
        monotonic_time when;
    };

    /** The newest incarnation of an upstream that is known to be gone. */
    struct gone_upstream
    {
        incarnation last_gone;
        monotonic_time when;
    };

    /** One process of an upstream, which can crash only once. */
    struct upstream_process
    {
        upstream_id upstream;
        incarnation upstream_incarnation;

        friend bool operator==(upstream_process const&,
                               upstream_process const&) = default;
        friend size_t qHash(upstream_process const& key, size_t seed = 0)
        {
            return qHashMulti(seed, key.upstream.value(),
                              key.upstream_incarnation.value());
        }
    };

    /** The suspect that ran in isolation on an upstream process that crashed.
     */
    struct isolated_crash
    {
        request_fingerprint request;
        monotonic_time when;
    };

    attempt_number add_attempt(attempt added);
    std::optional<process_end>
    earlier_end(request_fingerprint const& request) const;
    static bool is_repeated(crash const& candidate,
                            std::vector<crash> const& uncleared);
    bool is_running(request_fingerprint const& request) const;
    bool is_trial_due(request_fingerprint const& request,
                      std::vector<crash> const& uncleared, int crashes) const;
    milliseconds trial_offset(request_fingerprint const& request) const;
    std::vector<crash>
    uncleared_crashes(request_fingerprint const& request) const;
    int crash_count(request_fingerprint const& request,
                    std::vector<crash> const& uncleared) const;
    bool is_attributed_to_other(request_fingerprint const& request,
                                crash const& candidate) const;
    void record_isolated_crash(request_fingerprint const& request,
                               crash const& added);
    int loss_count(request_fingerprint const& request) const;
    bool is_known_gone(attempt const& lost_attempt) const;
    void add_crash(request_fingerprint const& request, crash const& added,
                   record_origin origin);
    void add_local_crash(attempt const& lost_attempt, monotonic_time when);
    void mark_changed(record& target, record_origin origin);
    void expire();
    void evict_if_full();
    std::optional<attempt> remove_attempt(attempt_number number);

    clock_source const& clock_;
    QByteArray entry_;
    int entries_ = 1;
    QHash<request_fingerprint, record> records_;
    QHash<attempt_number, attempt> attempts_;
    // The attempts in flight on each upstream; true when isolated.
    QHash<upstream_id, QHash<attempt_number, bool>> attempts_of_upstream_;
    std::deque<loss> losses_;
    QHash<upstream_id, gone_upstream> gone_upstreams_;
    QHash<upstream_process, isolated_crash> isolated_crashes_;
    attempt_number last_attempt_;
    quarantine_cursor last_change_;
    quarantine_cursor last_own_change_;
};

} // namespace verbenacove

#endif
