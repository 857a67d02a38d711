#include "verbenacove/request/upstream_record.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenacove
{

namespace
{

using std::chrono::microseconds;

constexpr microseconds default_latency{20000};
/** The weight of a new sample in each moving average; that of a response time
    is higher after a gap, see `latency_averaging_period`. */
constexpr double class_average_weight = 0.02;
constexpr double latency_weight = 0.2;
constexpr double failure_weight = 0.25;
/** A lower share of failures is treated as 0. */
constexpr double negligible_failure_share = 0.01;
constexpr double maximum_slowness = 1000;
constexpr milliseconds latency_decay_time{10000};
constexpr milliseconds failure_decay_time{10000};
constexpr int failures_to_eject = 3;
/** The time from the first ejection to its probe, doubled for each recent
    ejection. */
constexpr milliseconds first_ejection_time{1000};
constexpr int maximum_ejection_doublings = 5;
/** The time after which an ejection ends although no probe was sent: a service
    may have no requests that can be used as probes. */
constexpr milliseconds probe_timeout{30000};
constexpr milliseconds suspect_period{60000};
/** The time after which a slow upstream that gets no requests is probed,
    doubled for each consecutive slow probe. In this way one stalled response
    does not keep an upstream out of use, and an upstream that stays slow costs
    few requests. */
constexpr milliseconds first_latency_probe_delay{1000};
constexpr int maximum_latency_probe_doublings = 3;
/** The averaging period: when responses are further apart than this, the
    latest one dominates the average. */
constexpr milliseconds latency_averaging_period{500};

double decay_factor(monotonic_time since, monotonic_time now,
                    milliseconds decay_time)
{
    std::chrono::duration<double, std::milli> const age = now - since;
    return std::exp(-std::max(0.0, age.count()) / double(decay_time.count()));
}

double ratio_of(std::chrono::nanoseconds span, microseconds expected)
{
    auto const expected_ns = double(std::chrono::nanoseconds(expected).count());
    return double(span.count()) / std::max(1.0, expected_ns);
}

} // namespace

microseconds class_latency::average(request_class kind) const
{
    auto const average_us = average_us_.at(std::size_t(kind));
    return average_us > 0 ? microseconds(std::llround(average_us))
                          : default_latency;
}

void class_latency::add(request_class kind, microseconds latency)
{
    auto& average_us = average_us_.at(std::size_t(kind));
    auto const sample_us = std::max(1.0, double(latency.count()));
    average_us = average_us > 0 ? average_us + class_average_weight *
                                                   (sample_us - average_us)
                                : sample_us;
}

upstream_record::upstream_record(upstream_view view)
    : view_(std::move(view))
{
}

void upstream_record::update_view(upstream_view view)
{
    view_ = std::move(view);
}

void upstream_record::start(monotonic_time now, microseconds expected)
{
    ++in_flight_;
    last_started_at_ = now;
    started_sum_ += now.time_since_epoch();
    expected_sum_ += expected;
    if (is_ejected_)
    {
        // Only one probe at a time is sent; the next is due after this delay.
        ejected_until_ = now + first_ejection_time;
    }
}

void upstream_record::finish(monotonic_time now, monotonic_time started,
                             microseconds expected, attempt_outcome outcome,
                             microseconds latency)
{
    --in_flight_;
    started_sum_ -= started.time_since_epoch();
    expected_sum_ -= expected;
    auto const ratio = ratio_of(latency, expected);
    switch (outcome)
    {
    case attempt_outcome::answered:
        add_latency(now, ratio);
        update_failure_share(now, 0);
        readmit();
        break;
    case attempt_outcome::failed:
        update_failure_share(now, 1);
        ++consecutive_failures_;
        if (is_ejected_ || consecutive_failures_ >= failures_to_eject)
        {
            eject(now);
        }
        break;
    case attempt_outcome::refused:
        // A refusal indicates overload, not a fault, and never causes an
        // ejection.
        update_failure_share(now, 1);
        break;
    case attempt_outcome::cancelled:
        // An attempt that is cancelled early gives no information; one that
        // took longer than the current average shows that the upstream is slow.
        if (ratio > slowness(now))
        {
            add_latency(now, ratio);
        }
        break;
    }
}

double upstream_record::slowness(monotonic_time now) const
{
    auto const decayed =
        1 + (slowness_ - 1) *
                decay_factor(last_latency_at_, now, latency_decay_time);
    if (in_flight_ == 0)
    {
        return decayed;
    }
    auto const age_sum = in_flight_ * now.time_since_epoch() - started_sum_;
    return std::max(decayed, ratio_of(age_sum, expected_sum_));
}

double upstream_record::failure_share(monotonic_time now) const
{
    auto const share = failure_share_ * decay_factor(failure_share_updated_at_,
                                                     now, failure_decay_time);
    return share < negligible_failure_share ? 0 : share;
}

bool upstream_record::is_suspect(monotonic_time now) const
{
    return consecutive_failures_ > 0 &&
           now - failure_share_updated_at_ < suspect_period;
}

bool upstream_record::is_ejected(monotonic_time now) const
{
    return is_ejected_ && now < ejected_until_ + probe_timeout;
}

bool upstream_record::needs_probe(monotonic_time now) const
{
    return is_ejected_ && now >= ejected_until_;
}

bool upstream_record::needs_latency_probe(monotonic_time now) const
{
    return in_flight_ == 0 && slowness(now) >= normal_slowness &&
           now - last_started_at_ >=
               first_latency_probe_delay * (1 << slow_latency_probes_);
}

void upstream_record::add_latency(monotonic_time now, double ratio)
{
    auto const bounded = std::min(ratio, maximum_slowness);
    // Responses that arrive close together count as one probe.
    bool const is_latency_probe =
        has_latency_ && now - last_latency_at_ >= first_latency_probe_delay;
    if (ratio < normal_slowness)
    {
        slow_latency_probes_ = 0;
    }
    else if (is_latency_probe)
    {
        slow_latency_probes_ =
            std::min(slow_latency_probes_ + 1, maximum_latency_probe_doublings);
    }
    auto const previous =
        1 + (slowness_ - 1) *
                decay_factor(last_latency_at_, now, latency_decay_time);
    auto const gap_weight =
        1 - decay_factor(last_latency_at_, now, latency_averaging_period);
    auto const weight = std::max(latency_weight, gap_weight);
    slowness_ =
        has_latency_ ? previous + weight * (bounded - previous) : bounded;
    has_latency_ = true;
    last_latency_at_ = now;
}

void upstream_record::update_failure_share(monotonic_time now, double sample)
{
    auto const previous = failure_share(now);
    failure_share_ = previous + failure_weight * (sample - previous);
    failure_share_updated_at_ = now;
}

void upstream_record::eject(monotonic_time now)
{
    auto const doublings = std::min(ejections_, maximum_ejection_doublings);
    is_ejected_ = true;
    ejected_until_ = now + first_ejection_time * (1 << doublings);
    ejections_ = std::min(ejections_ + 1, maximum_ejection_doublings);
}

void upstream_record::readmit()
{
    consecutive_failures_ = 0;
    is_ejected_ = false;
    ejections_ = std::max(0, ejections_ - 1);
}

} // namespace verbenacove
