#ifndef VERBENACOVE_REQUEST_PATH_DELAY_METER_HPP
#define VERBENACOVE_REQUEST_PATH_DELAY_METER_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QHash>

#include <deque>

namespace verbenacove
{

/** Measures how long this VM itself delays what passes through it, by the times
    that new connections to upstreams take to open.

    A connection takes a round trip, and on top of it the time that packets wait
    for the VM's link and events for its processor. The shortest time to a zone
    stands for the round trip. A queue that does not go away delays all
    connections alike, so the smallest excess among the latest ones counts: a
    lost packet, a slow upstream or a short burst delays only some.

    All calls must come from one thread.
*/
class path_delay_meter
{
public:
    /** Number of latest connections that are compared. */
    static constexpr std::size_t sample_count = 4;

    /** Age at which a connection no longer says anything of the present. */
    static constexpr milliseconds sample_retention{1000};

    /** Period after which a shortest time is dropped, unless it was measured
        again. */
    static constexpr milliseconds baseline_period{30000};

    /** Maximum delay that is added to the usual time to connect. */
    static constexpr milliseconds maximum_allowance{700};

    /** The clock must outlive the meter. */
    explicit path_delay_meter(clock_source const& clock);

    /** Records how long a connection to an upstream of a zone took to open. Not
        for one that was given up: its upstream may be gone. */
    void record_connection(zone_name const& zone, milliseconds duration);

    /** Returns the delay that the latest connections have in common; 0 if
        there were too few. */
    milliseconds delay() const;

    /** Returns how long to wait for a connection to open: the usual time, and
        the delay on top of it. A time-out that the VM itself causes would be
        taken for a failure of the upstream. */
    milliseconds time_to_connect(milliseconds usual) const;

    /** Returns the longest such delay since the previous call. */
    milliseconds take_maximum();

private:
    struct sample
    {
        monotonic_time at;
        milliseconds excess{0};
    };

    /** The shortest time in the current period and in the one before. */
    struct baseline
    {
        milliseconds shortest{0};
        milliseconds previous{0};
        monotonic_time since{};
    };

    milliseconds update_baseline(zone_name const& zone, milliseconds duration);

    clock_source const& clock_;
    QHash<zone_name, baseline> baselines_;
    std::deque<sample> samples_;
    milliseconds maximum_{0};
};

} // namespace verbenacove

#endif
