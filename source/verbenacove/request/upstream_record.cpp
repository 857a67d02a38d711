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
constexpr double class_average_weight = 0.02;
constexpr double latency_weight = 0.2;
constexpr double failure_weight = 0.25;
/** A lower share of failures is treated as 0. */
constexpr double negligible_failure_share = 0.01;
constexpr double largest_slowness = 1000;
constexpr milliseconds latency_fade{10000};
constexpr milliseconds failure_fade{10000};
constexpr int failures_to_eject = 3;
constexpr milliseconds first_ejection{1000};
constexpr int largest_ejection_doubling = 5;
/** The time after which an ejection ends without a probe: a service may have
    no requests that can be used as probes. */
constexpr milliseconds probe_patience{30000};
constexpr milliseconds suspicion{60000};
/** The time after which a slow upstream without requests is probed, doubled
    for each consecutive slow probe: one stalled response does not keep an
    upstream out of use, and an upstream that stays slow costs few requests. */
constexpr milliseconds first_trial{1000};
constexpr int largest_trial_doubling = 3;
/** The averaging period: when responses are further apart than this, the
    latest one dominates the average. */
constexpr milliseconds latency_memory{500};

double fade(monotonic_time since, monotonic_time now, milliseconds span)
{
    std::chrono::duration<double, std::milli> const age = now - since;
    return std::exp(-std::max(0.0, age.count()) / double(span.count()));
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

void upstream_record::renew(upstream_view view)
{
    view_ = std::move(view);
}

void upstream_record::start(monotonic_time now, microseconds expected)
{
    ++in_flight_;
    started_at_ = now;
    started_sum_ += now.time_since_epoch();
    expected_sum_ += expected;
    if (is_ejected_)
    {
        // One probe at a time: delays the next one.
        ejected_until_ = now + first_ejection;
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
        add_failure(now, 0);
        readmit();
        break;
    case attempt_outcome::failed:
        add_failure(now, 1);
        ++consecutive_failures_;
        if (is_ejected_ || consecutive_failures_ >= failures_to_eject)
        {
            eject(now);
        }
        break;
    case attempt_outcome::refused:
        // A refusal indicates overload, not a fault, and never causes an
        // ejection.
        add_failure(now, 1);
        break;
    case attempt_outcome::cancelled:
        // An attempt that is cancelled early gives no information; one that ran
        // longer than the current slowness shows that the upstream is slow.
        if (ratio > slowness(now))
        {
            add_latency(now, ratio);
        }
        break;
    }
}

double upstream_record::slowness(monotonic_time now) const
{
    auto const seen =
        1 + (slowness_ - 1) * fade(latency_at_, now, latency_fade);
    if (in_flight_ == 0)
    {
        return seen;
    }
    auto const age_sum = in_flight_ * now.time_since_epoch() - started_sum_;
    return std::max(seen, ratio_of(age_sum, expected_sum_));
}

double upstream_record::failure_share(monotonic_time now) const
{
    auto const share = failure_share_ * fade(failure_at_, now, failure_fade);
    return share < negligible_failure_share ? 0 : share;
}

bool upstream_record::is_suspect(monotonic_time now) const
{
    return consecutive_failures_ > 0 && now - failure_at_ < suspicion;
}

bool upstream_record::is_ejected(monotonic_time now) const
{
    return is_ejected_ && now < ejected_until_ + probe_patience;
}

bool upstream_record::needs_probe(monotonic_time now) const
{
    return is_ejected_ && now >= ejected_until_;
}

bool upstream_record::needs_trial(monotonic_time now) const
{
    return in_flight_ == 0 && slowness(now) >= normal_slowness &&
           now - started_at_ >= first_trial * (1 << slow_trials_);
}

void upstream_record::add_latency(monotonic_time now, double ratio)
{
    auto const bounded = std::min(ratio, largest_slowness);
    // Responses that arrive close together count as one probe.
    bool const is_trial = has_latency_ && now - latency_at_ >= first_trial;
    if (ratio < normal_slowness)
    {
        slow_trials_ = 0;
    }
    else if (is_trial)
    {
        slow_trials_ = std::min(slow_trials_ + 1, largest_trial_doubling);
    }
    auto const before =
        1 + (slowness_ - 1) * fade(latency_at_, now, latency_fade);
    auto const gap_weight = 1 - fade(latency_at_, now, latency_memory);
    auto const weight = std::max(latency_weight, gap_weight);
    slowness_ = has_latency_ ? before + weight * (bounded - before) : bounded;
    has_latency_ = true;
    latency_at_ = now;
}

void upstream_record::add_failure(monotonic_time now, double weight)
{
    auto const before = failure_share(now);
    failure_share_ = before + failure_weight * (weight - before);
    failure_at_ = now;
}

void upstream_record::eject(monotonic_time now)
{
    auto const doubling = std::min(ejections_, largest_ejection_doubling);
    is_ejected_ = true;
    ejected_until_ = now + first_ejection * (1 << doubling);
    ejections_ = std::min(ejections_ + 1, largest_ejection_doubling);
}

void upstream_record::readmit()
{
    consecutive_failures_ = 0;
    is_ejected_ = false;
    ejections_ = std::max(0, ejections_ - 1);
}

} // namespace verbenacove
