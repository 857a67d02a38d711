#ifndef VERBENACOVE_REQUEST_UPSTREAM_RECORD_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_RECORD_HPP

#include "verbenacove/request/request_class.hpp"
#include "verbenacove/request/upstream_view.hpp"

#include <array>

namespace verbenacove
{

/** How an attempt at an upstream ended. */
enum class attempt_outcome
{
    /** A whole answer came. */
    answered,
    /** No whole answer came, or one that says the upstream is broken. */
    failed,
    /** The upstream shed the request without running it, as with a 503. */
    refused,
    /** The caller or the deadline ended it. */
    cancelled
};

/** A moving average of the answer time of each class over all upstreams of a
    service, which single upstreams are compared with. */
class class_latency
{
public:
    /** Returns the average for a class; a default before the first answer. */
    std::chrono::microseconds average(request_class kind) const;

    /** Takes in the time that an answer took. */
    void add(request_class kind, std::chrono::microseconds latency);

private:
    std::array<double, request_class_count> average_us_{};
};

/** What an entry has learned of one incarnation of an upstream by its own
    requests: work in flight, slowness, failures and ejection.

    Values fade with time, so that an upstream that is no longer used is
    tried again. All calls come from one thread.
    @see upstream_chooser
*/
class upstream_record
{
public:
    /** Creates a record without experience. */
    explicit upstream_record(upstream_view view);

    /** Returns what the upstream announced last. */
    upstream_view const& view() const { return view_; }

    /** Replaces the announcement; the experience stays. */
    void renew(upstream_view view);

    /** Counts an attempt as in flight, until `finish`.

        @param expected  the time that it should take
    */
    void start(monotonic_time now, std::chrono::microseconds expected);

    /** Takes in how an attempt ended.

        @param started   when `start` was called for it
        @param expected  what `start` was told
        @param latency   from its start to its end
    */
    void finish(monotonic_time now, monotonic_time started,
                std::chrono::microseconds expected, attempt_outcome outcome,
                std::chrono::microseconds latency);

    /** Returns the number of this entry's attempts in flight. */
    int in_flight() const { return in_flight_; }

    /** Returns how many times longer than expected its answers take; the
        attempts in flight count with their age so far. */
    double slowness(monotonic_time now) const;

    /** Returns the share of attempts that failed or were refused of late, 0
        to 1. */
    double failure_share(monotonic_time now) const;

    /** Returns true when it failed and has not answered since, for a minute
        after the last failure. */
    bool is_suspect(monotonic_time now) const;

    /** Returns true while consecutive failures keep it out of use; it ends
        with an answer, or some time after no probe was made. */
    bool is_ejected(monotonic_time now) const;

    /** Returns true when it is ejected and one attempt may try it. */
    bool needs_probe(monotonic_time now) const;

    /** Returns true when it is slow, has nothing in flight and has not been
        tried of late: one attempt may find out whether it still is. */
    bool needs_trial(monotonic_time now) const;

    /** An answer that takes less than this many times the average is normal.
     */
    static constexpr double normal_slowness = 2;

private:
    void add_latency(monotonic_time now, double ratio);
    void add_failure(monotonic_time now, double weight);
    void eject(monotonic_time now);
    void readmit();

    upstream_view view_;
    int in_flight_ = 0;
    monotonic_time started_at_{};
    std::chrono::nanoseconds started_sum_{0};
    std::chrono::microseconds expected_sum_{0};
    double slowness_ = 1;
    bool has_latency_ = false;
    int slow_trials_ = 0;
    monotonic_time latency_at_;
    double failure_share_ = 0;
    monotonic_time failure_at_;
    int consecutive_failures_ = 0;
    int ejections_ = 0;
    bool is_ejected_ = false;
    monotonic_time ejected_until_;
};

} // namespace verbenacove

#endif
