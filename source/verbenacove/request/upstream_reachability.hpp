#ifndef VERBENACOVE_REQUEST_UPSTREAM_REACHABILITY_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_REACHABILITY_HPP

#include "verbenacove/connection/upstream_client.hpp"
#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QHash>

#include <functional>
#include <map>

namespace verbenacove
{

/** Detects that this entry is cut off from all upstreams, by its attempts to
    open connections.

    An entry counts as cut off when connections to several upstreams failed, one
    after the other, and none has been opened for longer than an attempt to
    connect takes. Unless the connections were refused, there must have been no
    response either: on a link that is full, new connections come late. Refused
    ones count alone, since open connections may outlive the path for new ones.
    The entry counts as connected again with the first connection that is
    opened.

    All calls must come from one thread.
*/
class upstream_reachability
{
public:
    /** Number of upstreams that must have failed. */
    static constexpr qsizetype failures_to_cut_off = 3;

    /** The same if all of them refused the connection, as an upstream with a
        long queue also does. */
    static constexpr qsizetype refusals_to_cut_off = 6;

    /** Minimum time without a new connection. */
    static constexpr milliseconds minimum_outage{400};

    /** Age at which a failure no longer counts. */
    static constexpr milliseconds failure_retention{5000};

    /** Interval between the probes of an entry that is cut off. */
    static constexpr milliseconds probe_interval{500};

    using change_callback = std::function<void(bool is_cut_off)>;

    /** Identifies a callback of `call_when_cut_off`. */
    using callback_id = quint64;

    /** The clock must outlive the object.

        @param changed  called when the result of `is_cut_off` has changed
    */
    upstream_reachability(clock_source const& clock, change_callback changed);
    upstream_reachability(upstream_reachability const&) = delete;
    upstream_reachability& operator=(upstream_reachability const&) = delete;

    /** Minimum duration of an attempt to connect that counts as a failure when
        its time has run out. One that fails earlier was refused. */
    static constexpr milliseconds conclusive_connect_time{250};

    /** Records a new connection to an upstream, as soon as it is open: the
        attempt may last for seconds after that. */
    void record_connection(monotonic_time opened);

    /** Records what an attempt that has ended says about the path to an
        upstream. */
    void record_attempt(upstream_id const& upstream,
                        attempt_result const& result);

    bool is_cut_off() const { return is_cut_off_; }

    /** Returns whether it is time to test whether this entry is still cut off.
        If so, counts the probe as started. */
    bool start_due_probe();

    /** Registers a function that is called once when this entry becomes cut
        off. Must be paired with `remove`. */
    callback_id call_when_cut_off(std::function<void()> call);

    /** Removes a registered function; does nothing if it was called. */
    void remove(callback_id id) { waiting_.erase(id); }

private:
    struct failure
    {
        monotonic_time at;
        bool was_refused = false;
    };

    void record_failure(upstream_id const& upstream, bool was_refused);
    bool is_evidence_sufficient(monotonic_time now) const;
    void set_cut_off(bool is_cut_off);

    clock_source const& clock_;
    change_callback changed_;
    bool is_cut_off_ = false;
    monotonic_time cut_off_since_{};
    monotonic_time last_connection_{};
    monotonic_time last_probe_{};
    monotonic_time last_response_{};
    /** Each upstream's last failure since the last connection; at most
        `refusals_to_cut_off`. */
    QHash<upstream_id, failure> failures_;
    std::map<callback_id, std::function<void()>> waiting_;
    callback_id last_id_ = 0;
};

} // namespace verbenacove

#endif
