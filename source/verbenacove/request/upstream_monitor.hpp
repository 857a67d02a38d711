#ifndef VERBENACOVE_REQUEST_UPSTREAM_MONITOR_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_MONITOR_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/request/route_header_codec.hpp"

#include <optional>

namespace verbenacove
{

/** The outcome of an attempt, classified by what it says about the upstream's
    health. */
enum class upstream_outcome
{
    /** A complete response that is a success or a caller error. */
    success,
    /** The upstream failed the request or sent an invalid response. */
    failure,
    /** The connection could not be opened, or broke. */
    connection_lost,
    /** The upstream was at capacity and did not run the request. */
    full,
    /** A different process responded at the upstream's address. */
    misdirected,
    /** The attempt ended for a reason unrelated to the upstream. */
    inconclusive
};

/** Tracks the health, load and speed of one incarnation of an upstream, as
    observed by this entry's own requests, and ejects it when it fails.

    All calls must come from one thread.

    @see upstream_pool
*/
class upstream_monitor
{
public:
    /** Counts an attempt as in flight, until `finish`. */
    void start(monotonic_time now);

    /** Records the outcome of an attempt and removes it from those in flight.

        @param ratio  the duration divided by the one expected of an upstream
                      of average speed; used only for a success
    */
    void finish(monotonic_time now, upstream_outcome outcome, double ratio);

    /** Records the load that the upstream has just reported. */
    void record_load(monotonic_time now, upstream_load const& load);

    /** Returns the estimated number of requests that the upstream has in
        progress: this entry's, plus the last reported number of others', which
        decays with time. */
    double load(monotonic_time now) const;

    /** Returns how long work takes at the upstream now, as a multiple of its
        usual time. It is what the upstream reported last and decays to 1 within
        about a second, because the figure is as old as the report. */
    double work_factor(monotonic_time now) const;

    int in_flight() const { return in_flight_; }

    /** Returns the ratio of the upstream's response times to those expected at
        average speed. Decays to 1 after the last response, so that a slow
        upstream is tried again. */
    double slowness(monotonic_time now) const;

    /** Returns the share of requests that the upstream fails, 0 to 1; decays
        with time. */
    double failure_share(monotonic_time now) const;

    /** Returns whether the upstream must not get requests now. */
    bool is_ejected(monotonic_time now) const { return now < ejected_until_; }

    /** Returns whether the upstream was ejected and has not recovered since. It
        recovers with a successful request that leaves its failure share below
        the limit. */
    bool is_in_recovery() const { return ejections_ > 0; }

    /** Records a successful health probe, which ends the ejection. The upstream
        stays in recovery until a request succeeds. */
    void record_healthy_probe(monotonic_time now);

    /** Ends an ejection for a lost connection, because this entry was cut off
        and not the upstream. It stays in recovery until a request succeeds. */
    void end_connection_ejection(monotonic_time now);

    /** Returns whether a health probe is due. If so, counts it as started, so
        that the next one is due only after the probe interval. */
    bool start_due_probe(monotonic_time now);

    /** Returns when the last attempt started, or nullopt before the first. */
    std::optional<monotonic_time> last_used() const { return last_used_; }

private:
    void eject(monotonic_time now, milliseconds base_duration);

    int in_flight_ = 0;
    double slowness_ = 1;
    monotonic_time slowness_at_{};
    double failure_share_ = 0;
    monotonic_time failure_at_{};
    int ejections_ = 0;
    /** Whether a connection was lost and neither a request nor a probe has
        succeeded since. */
    bool awaits_probe_ = false;
    monotonic_time ejected_until_{};
    monotonic_time last_probe_{};
    std::optional<monotonic_time> last_used_;
    /** The requests of other entries when the load was last reported. */
    double load_of_others_ = 0;
    double work_factor_ = 1;
    monotonic_time load_at_{};
};

} // namespace verbenacove

#endif
