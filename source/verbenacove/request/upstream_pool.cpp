#include "verbenacove/request/upstream_pool.hpp"

#include "verbenacove/core/stable_hash.hpp"
#include "verbenacove/request/object_placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace verbenacove
{

namespace
{

/** How long measurements of an upstream are kept after it leaves the list. */
constexpr milliseconds unlisted_retention{30000};
/** The width of the logistic curve from in time to late, as a share of the
    objective. */
constexpr double lateness_spread = 0.2;
/** The extra time at an upstream whose slots are all in use, in milliseconds;
    below that it grows in proportion to the load. */
constexpr double crowding_ms = 15;
/** The cost added for an upstream whose heartbeats have stopped. */
constexpr double silence_penalty = 0.5;
/** The cost added for an upstream that fails all requests. */
constexpr double failure_penalty = 0.8;
/** The share of the maximum region shift that one entry uses; below 1 because
    the shares of the entries change by different amounts. */
constexpr double used_shift_share = 0.5;
/** The weight of the random preference of requests without an object, relative
    to the preference of an object. */
constexpr double jitter_share = 0.1;

/** Maps an object to a number from 0 to 1, the same at all entries. */
double stable_fraction(QByteArray const& key)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(stable_hash(key, "leave")) / range;
}

} // namespace

upstream_pool::upstream_pool(steering_settings const& settings,
                             clock_source const& clock,
                             region_shift_limit& shift, quint64 seed)
    : settings_(settings)
    , clock_(clock)
    , shift_(shift)
    , random_(seed)
    , overflow_(settings.maximum_region_shift * used_shift_share)
{
}

std::vector<ended_incarnation>
upstream_pool::update(std::vector<pool_member> members, int region_entries,
                      int all_entries)
{
    std::vector<ended_incarnation> ended;
    region_entries_ = std::max(1, region_entries);
    all_entries_ = std::max(region_entries_, all_entries);
    auto const now = clock_.now();
    members_ = std::move(members);
    for (auto const& member : members_)
    {
        auto& tracked = states_[member.id];
        if (!tracked.monitor || tracked.started != member.started)
        {
            if (tracked.monitor && tracked.started < member.started)
            {
                ended.push_back({member.id, tracked.started});
            }
            tracked = state{};
            tracked.started = member.started;
            tracked.monitor = std::make_shared<upstream_monitor>();
        }
        tracked.last_listed = now;
        apply_rate_limit(member, tracked, now);
    }
    states_.removeIf(
        [now](auto const& item) {
            return elapsed(item.value().last_listed, now) > unlisted_retention;
        });
    return ended;
}

bool upstream_pool::is_allowed(pool_member const& member,
                               pool_query const& query) const
{
    bool const was_tried =
        std::find(query.excluded.begin(), query.excluded.end(), member.id) !=
        query.excluded.end();
    bool const is_in_allowed_region =
        query.homes.empty() || std::find(query.homes.begin(), query.homes.end(),
                                         member.region) != query.homes.end();
    return !was_tried && is_in_allowed_region;
}

bool upstream_pool::is_cold(pool_member const& member, state const& tracked,
                            monotonic_time now)
{
    return std::max(member.cold_until, tracked.cold_until) > now;
}

bool upstream_pool::is_usable(pool_member const& member, state const& tracked,
                              monotonic_time now) const
{
    if (tracked.monitor->is_ejected(now) || wants_nothing(tracked, now))
    {
        return false;
    }
    // In recovery: one probe request at a time shows whether it works again.
    if (tracked.monitor->is_in_recovery() && tracked.monitor->in_flight() > 0)
    {
        return false;
    }
    return !is_cold(member, tracked, now) ||
           (member.cold_rate > 0 && now >= tracked.next_cold);
}

double upstream_pool::in_time_probability(double expected_ms, milliseconds left,
                                          milliseconds scale) const
{
    auto const spread =
        std::max(1.0, static_cast<double>(scale.count()) * lateness_spread);
    auto const excess =
        (expected_ms - static_cast<double>(left.count())) / spread;
    return 1 / (1 + std::exp(excess));
}

double upstream_pool::crossing_cost(network_distance distance) const
{
    if (distance == network_distance::same_zone)
    {
        return 0;
    }
    double const per_kib = settings_.zone_crossing_cost +
                           (distance == network_distance::other_region
                                ? settings_.region_crossing_cost
                                : 0);
    return std::min(settings_.maximum_crossing_cost,
                    per_kib * averages_.average_kib());
}

milliseconds upstream_pool::round_trip(network_distance distance) const
{
    switch (distance)
    {
    case network_distance::same_zone:
        break;
    case network_distance::same_region:
        return settings_.zone_round_trip;
    case network_distance::other_region:
        return settings_.region_round_trip;
    }
    return milliseconds(0);
}

// Choosing the maximum of value plus a scaled rank spreads the objects over
// upstreams of similar value, and few objects move when one value changes.
double upstream_pool::object_preference(QByteArray const& key,
                                        pool_member const& member)
{
    if (key.isEmpty())
    {
        return settings_.object_spread * jitter_share *
               object_placement::random_rank(random_(), member.slots);
    }
    return settings_.object_spread *
           object_placement::rank(key, member.id, member.slots);
}

upstream_pool::candidate upstream_pool::assess(pool_member const& member,
                                               state& tracked,
                                               pool_query const& query,
                                               monotonic_time now)
{
    auto const& monitor = *tracked.monitor;
    candidate result;
    result.member = &member;
    result.tracked = &tracked;
    result.recency = tracked.objects.classify(query.affinity_key);
    result.distance = distance_between(settings_, member);

    double const slots = std::max(1, member.slots.value());
    double const load = monitor.load(now);
    auto const objective = static_cast<double>(query.objective.count());
    double const processing_ms =
        averages_.average_ms(result.recency, objective) *
        monitor.slowness(now) * monitor.work_factor(now);
    double const queue_ms =
        std::max(0.0, load + 1 - slots) / slots * processing_ms;
    double const crowding = crowding_ms * std::min(1.0, load / slots);
    result.expected_ms =
        processing_ms + queue_ms + crowding +
        static_cast<double>(round_trip(result.distance).count());
    result.has_free_slot = load + 1 <= slots;
    result.minimum_ms =
        result.expected_ms - processing_ms +
        std::min(processing_ms,
                 averages_.average_ms(recency_class(0), objective));

    // Only a part of the extra time for an object that the upstream has not
    // handled recently counts, because handling it makes later requests faster.
    double const recent_ms = averages_.average_ms(recency_class(0), objective);
    double const uncounted_ms =
        query.affinity_key.isEmpty()
            ? 0
            : std::max(0.0, averages_.average_ms(result.recency, objective) -
                                recent_ms) *
                  monitor.slowness(now) * (1 - settings_.extra_time_share);
    double const counted_ms = result.expected_ms - uncounted_ms;
    double const before_objective =
        in_time_probability(counted_ms, query.objective_left, query.objective);
    double const before_deadline =
        in_time_probability(counted_ms, query.time_left, query.objective);
    // The last term prefers the shorter queue where the value is otherwise
    // equal.
    result.response_value =
        before_objective +
        settings_.late_value * (before_deadline - before_objective) -
        queue_ms / 1e5;
    result.cost = crossing_cost(result.distance) +
                  failure_penalty * monitor.failure_share(now) +
                  (member.is_silent ? silence_penalty : 0);
    result.affinity = object_preference(query.affinity_key, member);
    result.score = result.response_value - result.cost;
    // Prefers a cold upstream of the local zone that has had no request from
    // this entry yet, so that a first request measures it.
    bool const is_new = !monitor.last_used() && is_cold(member, tracked, now);
    if (is_new && result.distance == network_distance::same_zone)
    {
        result.score += 1;
    }
    return result;
}

std::optional<pool_choice> upstream_pool::choose(pool_query const& query,
                                                 pool_shortage& shortage)
{
    auto const now = clock_.now();
    overflow_.count(now);
    std::vector<candidate> candidates;
    shortage = pool_shortage::none_known;
    bool is_any_rate_limited = false;
    for (auto const& member : members_)
    {
        if (!is_allowed(member, query))
        {
            continue;
        }
        auto& tracked = states_[member.id];
        if (!is_usable(member, tracked, now))
        {
            shortage = pool_shortage::none_usable;
            continue;
        }
        if (is_rate_limited(member, tracked, now))
        {
            is_any_rate_limited = true;
            continue;
        }
        candidates.push_back(assess(member, tracked, query, now));
    }
    auto const* const chosen = select(candidates, query, now);
    if (chosen == nullptr)
    {
        shortage = is_any_rate_limited && shortage == pool_shortage::none_known
                       ? pool_shortage::rate_limited
                       : shortage;
        return std::nullopt;
    }
    // An upstream with a free slot is tried however little time is left.
    bool const has_time =
        chosen->has_free_slot ||
        chosen->minimum_ms < settings_.maximum_wait_share *
                                 static_cast<double>(query.time_left.count());
    if (!has_time)
    {
        shortage = pool_shortage::no_time;
        return std::nullopt;
    }
    return start_attempt(*chosen, now);
}

double upstream_pool::update_overflow(pool_query const& query,
                                      monotonic_time now)
{
    region_capacity capacity;
    capacity.entries = region_entries_;
    capacity.all_entries = all_entries_;
    capacity.mean_processing_ms =
        averages_.mean_ms(static_cast<double>(query.objective.count()));
    for (auto const& member : members_)
    {
        auto const& tracked = states_[member.id];
        bool const has_capacity = !is_cold(member, tracked, now) &&
                                  !tracked.monitor->is_ejected(now) &&
                                  !wants_nothing(tracked, now);
        bool const is_local = member.region == settings_.region;
        int const slots =
            has_capacity ? usable_slots(member, capacity.mean_processing_ms)
                         : 0;
        capacity.all_slots += slots;
        capacity.slots += is_local ? slots : 0;
    }
    return overflow_.value(now, capacity);
}

double upstream_pool::preference(candidate const& option,
                                 double best_value) const
{
    double const loss = best_value - option.response_value;
    return option.affinity - option.cost -
           std::max(0.0, loss - settings_.value_tolerance);
}

upstream_pool::candidate const*
upstream_pool::best_of(std::vector<candidate> const& from, bool in_region) const
{
    auto const is_in_scope = [in_region](candidate const& each)
    {
        return (each.distance != network_distance::other_region) == in_region;
    };
    double best_value = std::numeric_limits<double>::lowest();
    for (auto const& each : from)
    {
        best_value = is_in_scope(each)
                         ? std::max(best_value, each.response_value)
                         : best_value;
    }
    candidate const* best = nullptr;
    for (auto const& each : from)
    {
        bool const is_better =
            is_in_scope(each) &&
            (best == nullptr ||
             preference(each, best_value) > preference(*best, best_value));
        best = is_better ? &each : best;
    }
    return best;
}

upstream_pool::candidate const*
upstream_pool::select(std::vector<candidate> const& from,
                      pool_query const& query, monotonic_time now)
{
    // Requests with a low rank leave the region first. The rank of an object is
    // the same at all entries, so that the requests for an object still reach
    // the same upstream.
    double const leave_rank =
        query.affinity_key.isEmpty()
            ? std::uniform_real_distribution<double>(0, 1)(random_)
            : stable_fraction(query.affinity_key);
    // The average over all ranks is `leave_margin`.
    double const margin = settings_.leave_margin * 2 * leave_rank;
    auto const* const local = best_of(from, true);
    auto const* const remote = best_of(from, false);
    if (local == nullptr || remote == nullptr)
    {
        return local == nullptr ? remote : local;
    }
    bool const overflows = leave_rank < update_overflow(query, now);
    if (overflows || remote->score > local->score + margin)
    {
        return shift_.may_leave(now) ? remote : local;
    }
    return shift_.should_leave(now) ? remote : local;
}

pool_choice upstream_pool::start_attempt(candidate const& chosen,
                                         monotonic_time now)
{
    auto& tracked = *chosen.tracked;
    if (is_cold(*chosen.member, tracked, now))
    {
        auto const pause = std::chrono::duration<double>(
            1 / std::max(0.01, chosen.member->cold_rate));
        tracked.next_cold =
            now + std::chrono::duration_cast<monotonic_time::duration>(pause);
    }
    if (chosen.member->rate_limit)
    {
        tracked.bucket.take(now);
    }
    tracked.monitor->start(now);
    shift_.count(now, chosen.distance == network_distance::other_region);
    pool_choice result;
    result.member = *chosen.member;
    result.monitor = tracked.monitor;
    result.recency = chosen.recency;
    result.expected = milliseconds(static_cast<qint64>(chosen.expected_ms));
    result.distance = chosen.distance;
    result.started = now;
    return result;
}

void upstream_pool::finish(pool_choice const& choice,
                           QByteArray const& affinity_key,
                           upstream_outcome outcome,
                           std::optional<upstream_load> const& load,
                           qint64 bytes)
{
    auto const now = clock_.now();
    auto const duration_ms =
        std::chrono::duration<double, std::milli>(now - choice.started).count();
    double const expected =
        std::max(1.0, static_cast<double>(choice.expected.count()));
    double const slowness = choice.monitor->slowness(now);
    choice.monitor->finish(now, outcome, duration_ms / expected * slowness);
    if (load)
    {
        choice.monitor->record_load(now, *load);
    }
    if (outcome != upstream_outcome::success)
    {
        return;
    }
    averages_.record_size(bytes);
    auto const round_trip_ms =
        static_cast<double>(round_trip(choice.distance).count());
    averages_.record_duration(choice.recency, (duration_ms - round_trip_ms) /
                                                  std::max(0.2, slowness));
    auto const tracked = states_.find(choice.member.id);
    if (tracked != states_.end() && tracked->started == choice.member.started)
    {
        tracked->objects.record(affinity_key);
    }
}

void upstream_pool::end_connection_ejections()
{
    auto const now = clock_.now();
    for (auto& tracked : states_)
    {
        tracked.monitor->end_connection_ejection(now);
    }
}

std::vector<pool_member> upstream_pool::start_due_probes()
{
    auto const now = clock_.now();
    std::vector<pool_member> result;
    for (auto const& member : members_)
    {
        auto const& tracked = states_[member.id];
        if (!wants_nothing(tracked, now) &&
            tracked.monitor->start_due_probe(now))
        {
            result.push_back(member);
        }
    }
    return result;
}

void upstream_pool::handle_probe_result(upstream_id const& id, bool is_healthy,
                                        milliseconds cold_duration)
{
    auto const tracked = states_.find(id);
    if (tracked == states_.end())
    {
        return;
    }
    if (is_healthy)
    {
        tracked->monitor->record_healthy_probe(clock_.now());
        tracked->cold_until =
            clock_.now() + std::min(cold_duration, maximum_cold_start);
        return;
    }
    // A failed probe counts as a lost connection.
    tracked->monitor->start(clock_.now());
    tracked->monitor->finish(clock_.now(), upstream_outcome::connection_lost,
                             1);
}

} // namespace verbenacove
