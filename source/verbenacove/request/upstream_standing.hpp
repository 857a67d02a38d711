#ifndef VERBENACOVE_REQUEST_UPSTREAM_STANDING_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_STANDING_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/request/route_header_codec.hpp"

#include <optional>

namespace verbenacove
{

/** How an attempt at an upstream ended, as far as it tells of the upstream. */
enum class upstream_evidence
{
    /** A whole answer that is a success, or the caller's fault. */
    success,
    /** It failed the request, or spoilt the answer. */
    failure,
    /** Its connection could not be opened, or broke. */
    connection_lost,
    /** It was full and did not run the request. */
    full,
    /** Another process answers at its address. */
    misdirected,
    /** The attempt ended for reasons of its own. */
    nothing
};

/** What an entry has learned of one incarnation of an upstream from its own
    requests. All calls come from one thread.

    @see upstream_pool
*/
class upstream_standing
{
public:
    /** Counts an attempt as in flight, until `finish`. */
    void start(monotonic_time now);

    /** Takes in how an attempt ended.

        @param ratio  its duration by the expected one; ignored but for a
                      success
    */
    void finish(monotonic_time now, upstream_evidence evidence, double ratio);

    /** Takes in what the upstream said of its load just now. */
    void note_load(monotonic_time now, upstream_load const& load);

    /** Returns how many requests it has in hand by now, as far as known. */
    double load(monotonic_time now) const;

    int in_flight() const { return in_flight_; }

    /** Returns how many times longer than others' its answers take; 1 again
        some time after the last one, so that it is tried again. */
    double slowness(monotonic_time now) const;

    /** Returns the share of requests that it fails, fading with time. */
    double failure_share(monotonic_time now) const;

    /** Returns whether it is to get no requests now. */
    bool is_ejected(monotonic_time now) const { return now < ejected_until_; }

    /** Returns whether it was ejected and has not answered since. */
    bool is_on_trial() const { return ejections_ > 0; }

    /** Notes that a probe found it in health, which ends its ejection. */
    void note_healthy(monotonic_time now);

    /** Returns whether a probe is due; a second call soon is answered no. */
    bool take_probe(monotonic_time now);

    /** Returns when the last attempt started; nothing before the first. */
    std::optional<monotonic_time> last_used() const { return last_used_; }

private:
    void eject(monotonic_time now, milliseconds shortest);

    int in_flight_ = 0;
    double slowness_ = 1;
    monotonic_time slowness_at_{};
    double failure_share_ = 0;
    monotonic_time failure_at_{};
    int ejections_ = 0;
    /** It lost a connection and has neither answered nor been found in health
        since. */
    bool awaits_probe_ = false;
    monotonic_time ejected_until_{};
    monotonic_time probed_{};
    std::optional<monotonic_time> last_used_;
    /** The requests of others, when it last told its load. */
    double load_of_others_ = 0;
    monotonic_time load_at_{};
};

} // namespace verbenacove

#endif
