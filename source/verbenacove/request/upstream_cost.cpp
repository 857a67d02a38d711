#include "verbenacove/request/upstream_cost.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

using milliseconds_double = std::chrono::duration<double, std::milli>;

constexpr double failure_cost_ms = 1000;
constexpr double non_idempotent_failure_cost_ms = 4000;
constexpr double minimum_ramp_share = 0.01;

} // namespace

upstream_cost::upstream_cost(chooser_settings settings,
                             std::shared_ptr<class_latency const> latencies)
    : settings_(std::move(settings))
    , latencies_(std::move(latencies))
{
}

double upstream_cost::expected_cost_ms(upstream_record const& record,
                                       network_distance distance,
                                       double capacity, request_class kind,
                                       monotonic_time now) const
{
    auto const latency = latency_ms(record, distance, kind, now);
    auto const utilization = (own_in_flight(record) + 1) / capacity;
    auto const waiting = latency * utilization * utilization;
    return latency + waiting + failure_ms(record, kind, now);
}

std::chrono::microseconds
upstream_cost::expected_latency(network_distance distance,
                                request_class kind) const
{
    auto const average = latencies_->average(kind);
    if (!settings_.parts.zone_distance ||
        distance == network_distance::same_zone)
    {
        return average;
    }
    return average + (distance == network_distance::same_region
                          ? settings_.zone_round_trip
                          : settings_.region_round_trip);
}

double upstream_cost::ramp_share(upstream_view const& view,
                                 monotonic_time now) const
{
    if (!settings_.parts.ramp || settings_.ramp_time <= milliseconds(0))
    {
        return 1;
    }
    auto const age = milliseconds_double(now - view.first_seen).count();
    auto const progress =
        std::clamp(age / double(settings_.ramp_time.count()), 0.0, 1.0);
    auto const initial =
        std::clamp(settings_.initial_ramp_share, minimum_ramp_share, 1.0);
    return initial + (1 - initial) * progress;
}

double upstream_cost::own_in_flight(upstream_record const& record) const
{
    return settings_.parts.in_flight ? double(record.in_flight()) : 0;
}

double upstream_cost::latency_ms(upstream_record const& record,
                                 network_distance distance, request_class kind,
                                 monotonic_time now) const
{
    milliseconds_double const expected = expected_latency(distance, kind);
    if (!settings_.parts.latency)
    {
        return expected.count();
    }
    // An upstream warms up only by handling requests, so a higher slowness is
    // accepted as normal during the ramp.
    auto const normal =
        upstream_record::normal_slowness / ramp_share(record.view(), now);
    auto const slowness = record.slowness(now);
    return expected.count() * (slowness < normal ? 1 : slowness);
}

double upstream_cost::failure_ms(upstream_record const& record,
                                 request_class kind, monotonic_time now) const
{
    if (!settings_.parts.failures)
    {
        return 0;
    }
    auto const share = record.failure_share(now);
    if (kind != request_class::non_idempotent)
    {
        return share * failure_cost_ms;
    }
    // Only requests that can be retried are used to find out whether a suspect
    // upstream has recovered.
    auto const risk = record.is_suspect(now) ? 1 : share;
    return risk * non_idempotent_failure_cost_ms;
}

} // namespace verbenacove
