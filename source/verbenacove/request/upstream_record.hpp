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
    /** A complete response was received. */
    answered,
    /** No complete response was received, or one that reports a fault of the
        upstream. */
    failed,
    /** The upstream rejected the request without running it, as with a 503. */
    refused,
    /** The caller or the deadline ended the attempt. */
    cancelled
};

/** Keeps the moving average of the response time of each request class over
    all upstreams of a service: the baseline for the slowness of one upstream.
*/
class class_latency
{
public:
    /** Returns the average for a class, or 20 ms before the first response. */
    std::chrono::microseconds average(request_class kind) const;

    /** Adds the time that a response took. */
    void add(request_class kind, std::chrono::microseconds latency);

private:
    std::array<double, request_class_count> average_us_{};
};

/** Holds what an entry has measured of one incarnation of an upstream with its
    own requests: attempts in flight, slowness, failures and ejection.

    Slowness and failures decay with time, so that an upstream that is no longer
    used is tried again. All calls must come from one thread.
    @see upstream_chooser
*/
class upstream_record
{
public:
    /** Creates a record without any attempts. */
    explicit upstream_record(upstream_view view);

    /** Returns the last report of the upstream. */
    upstream_view const& view() const { return view_; }

    /** Replaces the report; the recorded attempt results are kept. */
    void update_view(upstream_view view);

    /** Counts an attempt as in flight until `finish` is called for it.

        @param expected  the expected duration of the attempt
    */
    void start(monotonic_time now, std::chrono::microseconds expected);

    /** Records how an attempt ended.

        @param started   the time of the call of `start` for this attempt
        @param expected  the value passed to `start` for this attempt
        @param latency   the time from the start of the attempt to its end
    */
    void finish(monotonic_time now, monotonic_time started,
                std::chrono::microseconds expected, attempt_outcome outcome,
                std::chrono::microseconds latency);

    /** Returns the number of this entry's attempts in flight. */
    int in_flight() const { return in_flight_; }

    /** Returns the average ratio of measured to expected response time, which
        decays to 1. The attempts in flight are included with their ages if
        that makes the ratio higher. */
    double slowness(monotonic_time now) const;

    /** Returns the share of recent attempts that failed or were refused, 0
        to 1. */
    double failure_share(monotonic_time now) const;

    /** Returns true when no response has been received since a failure and the
        last failure or refusal is less than a minute ago. */
    bool is_suspect(monotonic_time now) const;

    /** Returns true while the upstream is ejected after consecutive failures.
        An ejection ends with a response, or 30 s after a probe became due
        when no probe was sent. */
    bool is_ejected(monotonic_time now) const;

    /** Returns true when a probe of an ejected upstream is due; only meaningful
        while `is_ejected` returns true. */
    bool needs_probe(monotonic_time now) const;

    /** Returns true when the upstream is slow, has nothing in flight and has
        not been used recently: one attempt may be sent to measure whether it
        is still slow. */
    bool needs_latency_probe(monotonic_time now) const;

    /** A response that takes less than this multiple of the expected time is
        normal. */
    static constexpr double normal_slowness = 2;

private:
    /** Adds a ratio of measured to expected response time to the average. */
    void add_latency(monotonic_time now, double ratio);
    /** Adds an attempt to the share of failures: 1 for a failure or refusal, 0
        for a response. */
    void update_failure_share(monotonic_time now, double sample);
    void eject(monotonic_time now);
    void readmit();

    upstream_view view_;
    int in_flight_ = 0;
    monotonic_time last_started_at_{};
    /** The sums of the start times and expected durations of the attempts in
        flight. */
    std::chrono::nanoseconds started_sum_{0};
    std::chrono::microseconds expected_sum_{0};
    /** The average ratio of measured to expected response time. */
    double slowness_ = 1;
    bool has_latency_ = false;
    /** The number of consecutive slow probes, limited. */
    int slow_latency_probes_ = 0;
    monotonic_time last_latency_at_;
    double failure_share_ = 0;
    /** The time of the last sample of the failure share, also of a response. */
    monotonic_time failure_share_updated_at_;
    /** The number of failures since the last response; refusals neither count
        nor reset it. */
    int consecutive_failures_ = 0;
    /** The number of recent ejections, limited; reduced by each response. */
    int ejections_ = 0;
    bool is_ejected_ = false;
    /** The time at which the next probe is due. */
    monotonic_time ejected_until_;
};

} // namespace verbenacove

#endif
