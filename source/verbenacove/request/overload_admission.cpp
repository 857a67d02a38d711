#include "verbenacove/request/overload_admission.hpp"

#include "verbenacove/core/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace verbenacove
{

namespace
{

/** The time between two updates of the shares. */
constexpr milliseconds update_interval{50};
/** The half-lives of reports of queues and of the counted demand. */
constexpr double queue_half_life_s = 0.4;
constexpr double demand_half_life_s = 0.7;
/** With fewer reports the queue is not known, and nothing is refused. */
constexpr double minimum_reports = 1.5;
/** The part of the upstreams that must report a queue: a few slow ones are no
    shortage while the others have free slots. */
constexpr double least_queued_part = 0.5;
/** The weight of a new response in the mean processing time. */
constexpr double processing_weight = 0.05;
/** The part of the objective that processing and queueing may take together.
    The rest is for the way there and back. */
constexpr double usable_objective = 0.85;
/** The part of the objective that processing is assumed to take before it has
    been seen without a queue. */
constexpr double assumed_processing = 0.5;
/** The range of the queue that is tolerated, in requests per slot. */
constexpr double shortest_queue = 0.6;
constexpr double longest_queue = 1.5;
/** A queue below this part of the tolerated one shows that there is room for
    all. */
constexpr double short_queue_part = 0.7;
/** The room follows the rate of responses. It is corrected by this power of the
    queue: a higher one would make the queue swing, as reports come late. */
constexpr double queue_exponent = -0.3;
constexpr double lowest_correction = 0.6;
/** Standard deviations of the counted demand that are admitted beyond the rate
    of responses, so that few requests are not refused by chance. */
constexpr double slack_deviations = 0.5;
constexpr double minimum_room = 0.1;
/** Each priority gets at least this part of the room that its share of the
    demand would get. */
constexpr double reserved_part = 0.5;
/** A team with less is dropped. */
constexpr double negligible_demand = 0.01;
/** The greatest share of a resource that each further priority leaves free. */
constexpr double share_kept_per_priority = 0.25;
double decay(double seconds, double half_life_s)
{
    return std::exp2(-seconds / half_life_s);
}

double seconds_between(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

std::size_t index_of(int priority)
{
    return std::min(static_cast<std::size_t>(std::max(0, priority)),
                    overload_admission::priority_count - 1);
}

} // namespace

double admission_lot(QByteArray const& request_id)
{
    constexpr quint64 lots = 10007;
    return static_cast<double>(stable_hash(request_id, "admission") % lots) /
           lots;
}

double share_kept_for_urgent(int priority, double lot)
{
    return share_kept_per_priority * static_cast<double>(index_of(priority)) *
           lot;
}

overload_decision overload_admission::decide(admission_subject const& subject,
                                             monotonic_time now)
{
    update(subject.objective, now);
    auto const priority = index_of(subject.priority);
    auto& demand = demand_of(subject.team).at(priority);
    // Without this request, which would make rare ones look frequent.
    auto const others = std::max(1.0, demand);
    demand += 1;
    bool const is_admitted =
        room_ >= 1 || subject.lot * others < levels_.at(priority);
    auto& counted = decisions_.at(priority);
    ++(is_admitted ? counted.admitted : counted.refused);
    if (is_admitted)
    {
        return {};
    }
    shortage_.note_refusal(now);
    return {false,
            shortage_.return_delay(subject.objective / 2, subject.lot, now)};
}

void overload_admission::record_load(upstream_load const& load,
                                     milliseconds duration, monotonic_time now)
{
    if (load.slots <= 0)
    {
        return;
    }
    auto const queue = static_cast<double>(load.waiting) / load.slots;
    queue_weight_ *= decay(seconds_between(queue_at_, now), queue_half_life_s);
    queue_at_ = now;
    queue_weight_ += 1;
    queue_ += (queue - queue_) / queue_weight_;
    queued_part_ += ((load.waiting > 0 ? 1 : 0) - queued_part_) / queue_weight_;
    if (duration <= milliseconds(0))
    {
        return;
    }
    responses_ += 1;
    // Responses of a longer queue would count the wait as processing.
    if (load.waiting == 0 && queue_ < shortest_queue)
    {
        auto const processing = static_cast<double>(duration.count());
        processing_ms_ += (processing_ms_ > 0 ? processing_weight : 1) *
                          (processing - processing_ms_);
    }
}

void overload_admission::update(milliseconds objective, monotonic_time now)
{
    if (elapsed(updated_, now) < update_interval)
    {
        return;
    }
    queue_weight_ *= decay(seconds_between(queue_at_, now), queue_half_life_s);
    queue_at_ = now;
    decay_demand(seconds_between(updated_, now));
    updated_ = now;
    update_room(objective);
    divide_room();
}

void overload_admission::update_room(milliseconds objective)
{
    auto const excess = queue_ / tolerable_queue(objective);
    bool const is_short = queue_weight_ >= minimum_reports &&
                          excess >= short_queue_part &&
                          queued_part_ >= least_queued_part;
    if (!is_short)
    {
        room_ = 1;
        return;
    }
    auto const correction =
        std::max(lowest_correction, std::pow(excess, queue_exponent));
    auto const demand = std::max(1.0, total_demand());
    auto const admitted =
        responses_ * correction + slack_deviations * std::sqrt(demand);
    room_ = std::clamp(admitted / demand, minimum_room, 1.0);
}

double overload_admission::total_demand() const
{
    double result = 0;
    for (auto const& team : demand_)
    {
        result = std::accumulate(team.begin(), team.end(), result);
    }
    return result;
}

double overload_admission::tolerable_queue(milliseconds objective) const
{
    auto const objective_ms = static_cast<double>(objective.count());
    auto const processing_ms =
        processing_ms_ > 0 ? processing_ms_ : objective_ms * assumed_processing;
    auto const queue = objective_ms * usable_objective / processing_ms - 1;
    return std::clamp(queue, shortest_queue, longest_queue);
}

void overload_admission::decay_demand(double seconds)
{
    auto const factor = decay(seconds, demand_half_life_s);
    responses_ *= factor;
    for (auto& team : demand_)
    {
        for (auto& count : team)
        {
            count *= factor;
        }
    }
    demand_.removeIf(
        [](auto const& team)
        {
            auto const& counts = team.value();
            return std::accumulate(counts.begin(), counts.end(), 0.0) <
                   negligible_demand;
        });
}

void overload_admission::divide_room()
{
    demand_by_priority total{};
    for (auto const& team : demand_)
    {
        for (std::size_t i = 0; i < priority_count; ++i)
        {
            total.at(i) += team.at(i);
        }
    }
    double left = room_ * total_demand();
    demand_by_priority reserved{};
    for (std::size_t i = 0; i < priority_count; ++i)
    {
        reserved.at(i) = reserved_part * room_ * total.at(i);
        left -= reserved.at(i);
    }
    for (std::size_t i = 0; i < priority_count; ++i)
    {
        auto const added = std::min(left, total.at(i) - reserved.at(i));
        left -= added;
        // At least what admits a first request with the average probability.
        levels_.at(i) = std::max(room_, fair_level(i, reserved.at(i) + added));
    }
}

double overload_admission::fair_level(std::size_t priority, double room) const
{
    std::vector<double> demands;
    demands.reserve(static_cast<std::size_t>(demand_.size()));
    for (auto const& team : demand_)
    {
        if (team.at(priority) > 0)
        {
            demands.push_back(team.at(priority));
        }
    }
    std::sort(demands.begin(), demands.end());
    double level = room;
    for (std::size_t i = 0; i < demands.size(); ++i)
    {
        level = room / static_cast<double>(demands.size() - i);
        if (demands[i] >= level)
        {
            break;
        }
        room -= demands[i];
    }
    return level;
}

overload_admission::demand_by_priority&
overload_admission::demand_of(QString const& team)
{
    auto const found = demand_.find(team);
    if (found != demand_.end())
    {
        return *found;
    }
    bool const is_full = demand_.size() >= maximum_teams;
    return demand_[is_full ? QString() : team];
}

} // namespace verbenacove
