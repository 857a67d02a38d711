#ifndef VERBENACOVE_REQUEST_LINK_BUDGET_HPP
#define VERBENACOVE_REQUEST_LINK_BUDGET_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/request/shortage.hpp"

#include <optional>
#include <utility>

namespace verbenacove
{

/** Admits requests as far as the VM's link can carry them in time.

    A link that gets more than it carries delays each request and each response
    by its whole queue, so that all of them come late. This happens when callers
    of other entries come here, or other entries relay to this one. The budget
    is a token bucket of bytes for each direction; what a request is expected to
    take is reserved when it is admitted.

    Headers of the transport, acknowledgements and new connections are not
    counted, and what they take differs. A queue that forms all the same shows
    in the delay of this VM's packets; the longer that is, the less is admitted.
    Must be used from one thread only.
*/
class link_budget
{
public:
    /** Bytes in each direction. */
    struct traffic
    {
        qint64 received = 0;
        qint64 sent = 0;
    };

    /** What was admitted and refused in a period. */
    struct usage
    {
        qint64 admitted = 0;
        qint64 refused = 0;
        /** Bytes of all requests and responses, as far as they are known. */
        traffic bytes;
        /** Lowest share of the rate that was in use because of delays. */
        double lowest_share = 1;
    };

    /** Creates a budget.

        @param rate   rate of the link in each direction; absent if it is not
                      known, in which case all requests are admitted
        @param clock  must outlive the budget
    */
    link_budget(std::optional<megabits_per_second> rate,
                clock_source const& clock);

    /** Reserves what a request is expected to take.

        @param kept_free  the share of a full bucket that must stay for more
                          urgent requests, 0 to 1
        @return  false if the link cannot carry it in time; nothing is reserved
                 then
    */
    bool admit(traffic const& expected, double kept_free = 0);

    /** Corrects a reservation once it is known what the request has taken, or
        counts what was not reserved. */
    void add(traffic const& difference);

    /** Lowers the rate while packets of this VM wait for its link.

        @param delay  how long they wait at present
        @see path_delay_meter
    */
    void observe_delay(milliseconds delay);

    /** Returns the time until the link can carry a request like the last one
        that was not admitted. */
    milliseconds time_until_room() const;

    /** Returns when the caller of the request that was refused last should come
        back.

        @param lot  a number from 0 to 1 that is uniform over requests
    */
    milliseconds return_delay(double lot) const;

    /** Returns the usage since the previous call. */
    usage take_usage() { return std::exchange(usage_, {}); }

private:
    void count(traffic const& bytes);
    void refill();
    double share(monotonic_time now) const;

    clock_source const& clock_;
    /** Bytes per second that may be used; absent if there is no limit. */
    std::optional<double> rate_;
    double received_left_ = 0;
    double sent_left_ = 0;
    double missing_ = 0;
    monotonic_time refilled_{};
    milliseconds delay_{0};
    monotonic_time delay_observed_{};
    usage usage_;
    shortage shortage_;
};

} // namespace verbenacove

#endif
