#include "verbenacove/request/upstream_monitor.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

namespace
{

/** Weights of the newest attempt in the moving averages. */
constexpr double success_weight = 0.2;
constexpr double failure_weight = 0.15;
/** Bounds the effect of a single slow response on `slowness`. */
constexpr double maximum_ratio = 20;
/** The half-life of the failure share. */
constexpr double failure_half_life_ms = 4000;
/** The half-life of the deviation of `slowness` from 1. */
constexpr double slowness_half_life_ms = 5000;
/** An upstream is ejected when its failure share exceeds this. */
constexpr double failure_limit = 0.35;
/** The duration of the first ejection, after a lost connection and after too
    many failures. It doubles with each further ejection until the upstream
    recovers. */
constexpr milliseconds connection_ejection{500};
constexpr milliseconds failure_ejection{2500};
/** How long no requests are sent after these outcomes, which are not failures
    and do not put the upstream into recovery. */
constexpr milliseconds full_pause{150};
constexpr milliseconds misdirected_pause{1500};
constexpr int maximum_doublings = 4;
/** The minimum time between two health probes. */
constexpr milliseconds probe_interval{500};
/** The half-life of the reported load of other entries. */
constexpr double load_half_life_ms = 600;
/** The half-life of the deviation of the reported work factor from 1. Others on
    the upstream's machine change it several times a second. */
constexpr double work_factor_half_life_ms = 250;

double decay(monotonic_time from, monotonic_time to, double half_life_ms)
{
    auto const age = std::chrono::duration<double, std::milli>(to - from);
    return std::exp2(-age.count() / half_life_ms);
}

} // namespace

void upstream_monitor::start(monotonic_time now)
{
    ++in_flight_;
    last_used_ = now;
}

void upstream_monitor::finish(monotonic_time now, upstream_outcome outcome,
                              double ratio)
{
    in_flight_ = std::max(0, in_flight_ - 1);
    bool const is_failure = outcome == upstream_outcome::failure ||
                            outcome == upstream_outcome::connection_lost;
    if (is_failure || outcome == upstream_outcome::success)
    {
        failure_share_ = failure_share(now) * (1 - failure_weight) +
                         (is_failure ? failure_weight : 0);
        failure_at_ = now;
    }
    switch (outcome)
    {
    case upstream_outcome::success:
        slowness_ = slowness(now);
        slowness_ += success_weight *
                     (std::clamp(ratio, 0.05, maximum_ratio) - slowness_);
        slowness_at_ = now;
        awaits_probe_ = false;
        if (failure_share_ < failure_limit)
        {
            ejections_ = 0;
        }
        break;
    case upstream_outcome::failure:
        if (failure_share_ > failure_limit)
        {
            eject(now, failure_ejection);
        }
        break;
    case upstream_outcome::connection_lost:
        awaits_probe_ = true;
        eject(now, connection_ejection);
        break;
    case upstream_outcome::full:
        ejected_until_ = std::max(ejected_until_, now + full_pause);
        break;
    case upstream_outcome::misdirected:
        ejected_until_ = std::max(ejected_until_, now + misdirected_pause);
        break;
    case upstream_outcome::inconclusive:
        break;
    }
}

void upstream_monitor::eject(monotonic_time now, milliseconds base_duration)
{
    // Attempts that fail together count as one event, so the ejection is not
    // extended while one is in force.
    if (is_ejected(now) && ejections_ > 0)
    {
        return;
    }
    auto const doubling = 1 << std::min(ejections_, maximum_doublings);
    ejected_until_ = now + base_duration * doubling;
    ++ejections_;
}

void upstream_monitor::record_load(monotonic_time now,
                                   upstream_load const& load)
{
    load_of_others_ = std::max(0, load.running + load.waiting - in_flight_);
    load_at_ = now;
    work_factor_ = std::clamp(load.work_factor.value_or(1), 1 / maximum_ratio,
                              maximum_ratio);
}

double upstream_monitor::work_factor(monotonic_time now) const
{
    return 1 +
           (work_factor_ - 1) * decay(load_at_, now, work_factor_half_life_ms);
}

double upstream_monitor::load(monotonic_time now) const
{
    return in_flight_ +
           load_of_others_ * decay(load_at_, now, load_half_life_ms);
}

double upstream_monitor::slowness(monotonic_time now) const
{
    return 1 +
           (slowness_ - 1) * decay(slowness_at_, now, slowness_half_life_ms);
}

double upstream_monitor::failure_share(monotonic_time now) const
{
    return failure_share_ * decay(failure_at_, now, failure_half_life_ms);
}

void upstream_monitor::record_healthy_probe(monotonic_time now)
{
    ejected_until_ = now;
    awaits_probe_ = false;
}

void upstream_monitor::end_connection_ejection(monotonic_time now)
{
    if (awaits_probe_)
    {
        ejected_until_ = std::min(ejected_until_, now);
    }
}

bool upstream_monitor::start_due_probe(monotonic_time now)
{
    bool const is_due = awaits_probe_ && !is_ejected(now) &&
                        elapsed(last_probe_, now) > probe_interval;
    if (is_due)
    {
        last_probe_ = now;
    }
    return is_due;
}

} // namespace verbenacove
