#ifndef VERBENACOVE_REQUEST_UPSTREAM_COST_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_COST_HPP

#include "verbenacove/core/distance.hpp"
#include "verbenacove/request/chooser_settings.hpp"
#include "verbenacove/request/upstream_record.hpp"

#include <memory>

namespace verbenacove
{

/** Estimates the cost of an attempt at an upstream, in milliseconds: the sum
    of its latency, the wait for a slot, and the expected cost of a failure.

    @see upstream_chooser
*/
class upstream_cost
{
public:
    /** Creates a cost estimator with these settings.

        @param latencies  the average latencies over all upstreams; never null
    */
    upstream_cost(chooser_settings settings,
                  std::shared_ptr<class_latency const> latencies);

    /** Returns the expected cost of an attempt.

        @param capacity  the number of slots that may be used, more than 0
    */
    double expected_cost_ms(upstream_record const& record,
                            network_distance distance, double capacity,
                            request_class kind, monotonic_time now) const;

    /** Returns the response time of an average upstream at this distance. */
    std::chrono::microseconds expected_latency(network_distance distance,
                                               request_class kind) const;

    /** Returns the share of its slots that an upstream may use, more than 0 and
        at most 1; it grows with the time since its start. */
    double ramp_share(upstream_view const& view, monotonic_time now) const;

    /** Returns the number of this entry's attempts in flight, or 0 when they
        are not part of the cost. */
    double own_in_flight(upstream_record const& record) const;

private:
    double latency_ms(upstream_record const& record, network_distance distance,
                      request_class kind, monotonic_time now) const;
    double failure_ms(upstream_record const& record, request_class kind,
                      monotonic_time now) const;

    chooser_settings settings_;
    std::shared_ptr<class_latency const> latencies_;
};

} // namespace verbenacove

#endif
