#include "verbenacove/request/upstream_pool.hpp"

#include "verbenacove/core/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace verbenacove
{

namespace
{

/** What was learned of an upstream that is not listed is kept for so long. */
constexpr milliseconds missing_memory{30000};
/** How sharply lateness sets in, as a share of the objective. */
constexpr double lateness_spread = 0.2;
/** Slots that are nearly all in use make an upstream slower. */
constexpr double crowding_ms = 15;
/** What an upstream with silent heartbeats loses of its worth. */
constexpr double silence_penalty = 0.5;
/** What a failing upstream loses of its worth, at most. */
constexpr double failure_penalty = 0.8;
/** Of the largest shift between regions: entries do not change alike. */
constexpr double used_shift_share = 0.5;
/** How much chance decides for requests without an object. */
constexpr double jitter_share = 0.1;

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

std::vector<ended_process>
upstream_pool::update(std::vector<pool_member> members, int region_entries,
                      int all_entries)
{
    std::vector<ended_process> ended;
    region_entries_ = std::max(1, region_entries);
    all_entries_ = std::max(region_entries_, all_entries);
    auto const now = clock_.now();
    members_ = std::move(members);
    for (auto const& member : members_)
    {
        auto& known = states_[member.id];
        if (!known.standing || known.started != member.started)
        {
            if (known.standing && known.started < member.started)
            {
                ended.push_back({member.id, known.started});
            }
            known = state{};
            known.started = member.started;
            known.standing = std::make_shared<upstream_standing>();
        }
        known.last_listed = now;
    }
    states_.removeIf(
        [now](auto const& item)
        { return elapsed(item.value().last_listed, now) > missing_memory; });
    return ended;
}

bool upstream_pool::is_allowed(pool_member const& member,
                               pool_query const& query) const
{
    bool const was_tried =
        std::find(query.excluded.begin(), query.excluded.end(), member.id) !=
        query.excluded.end();
    bool const is_at_home =
        query.homes.empty() || std::find(query.homes.begin(), query.homes.end(),
                                         member.region) != query.homes.end();
    return !was_tried && is_at_home;
}

bool upstream_pool::is_cold(pool_member const& member, state const& known,
                            monotonic_time now)
{
    return std::max(member.cold_until, known.cold_until) > now;
}

bool upstream_pool::is_usable(pool_member const& member, state const& known,
                              monotonic_time now) const
{
    if (known.standing->is_ejected(now))
    {
        return false;
    }
    // One request at a time shows whether it works again.
    if (known.standing->is_on_trial() && known.standing->in_flight() > 0)
    {
        return false;
    }
    return !is_cold(member, known, now) ||
           (member.cold_rate > 0 && now >= known.next_cold);
}

double upstream_pool::in_time_chance(double expected_ms, milliseconds left,
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
    return std::min(settings_.highest_crossing_cost,
                    per_kib * work_.average_kib());
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

// Gumbel noise that all entries draw alike for an object and an upstream: the
// best sum of worth and noise spreads objects over upstreams of like worth,
// and few objects move when the worth of one changes.
double upstream_pool::object_preference(QByteArray const& key,
                                        upstream_id const& id)
{
    constexpr double range = 18446744073709551616.0;
    bool const has_object = !key.isEmpty();
    quint64 const hash =
        has_object ? stable_hash(key, id.value().toUtf8()) : quint64{random_()};
    double const uniform = (static_cast<double>(hash) + 1) / (range + 2);
    return settings_.object_spread * (has_object ? 1 : jitter_share) *
           -std::log(-std::log(uniform));
}

upstream_pool::candidate upstream_pool::assess(pool_member const& member,
                                               state& known,
                                               pool_query const& query,
                                               monotonic_time now)
{
    auto const& standing = *known.standing;
    candidate result;
    result.member = &member;
    result.known = &known;
    result.work = known.keys.classify(query.affinity_key);
    result.distance = distance_between(settings_, member);

    double const slots = std::max(1, member.slots.value());
    double const load = standing.load(now);
    auto const objective = static_cast<double>(query.objective.count());
    double const work =
        work_.average_ms(result.work, objective) * standing.slowness(now);
    double const queue = std::max(0.0, load + 1 - slots) / slots * work;
    double const crowding = crowding_ms * std::min(1.0, load / slots);
    result.expected_ms =
        work + queue + crowding +
        static_cast<double>(round_trip(result.distance).count());
    result.has_free_slot = load + 1 <= slots;
    result.shortest_ms =
        result.expected_ms - work +
        std::min(work, work_.average_ms(work_class(0), objective));

    double const warm = work_.average_ms(work_class(0), objective);
    double const extra =
        query.affinity_key.isEmpty()
            ? 0
            : std::max(0.0, work_.average_ms(result.work, objective) - warm) *
                  standing.slowness(now) * (1 - settings_.unseen_share);
    double const counted_ms = result.expected_ms - extra;
    double const in_time =
        in_time_chance(counted_ms, query.objective_left, query.objective);
    double const at_all =
        in_time_chance(counted_ms, query.time_left, query.objective);
    result.answer_worth =
        in_time + settings_.late_worth * (at_all - in_time) - queue / 1e5;
    result.cost = crossing_cost(result.distance) +
                  failure_penalty * standing.failure_share(now) +
                  (member.is_silent ? silence_penalty : 0);
    result.suitability = object_preference(query.affinity_key, member.id);
    result.worth = result.answer_worth - result.cost;
    // The first request shows what a new upstream can do.
    bool const is_new = !standing.last_used() && is_cold(member, known, now);
    if (is_new && result.distance == network_distance::same_zone)
    {
        result.worth += 1;
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
    for (auto const& member : members_)
    {
        if (!is_allowed(member, query))
        {
            continue;
        }
        auto& known = states_[member.id];
        if (!is_usable(member, known, now))
        {
            shortage = pool_shortage::none_usable;
            continue;
        }
        candidates.push_back(assess(member, known, query, now));
    }
    auto const* const chosen = pick(candidates, query, now);
    if (chosen == nullptr)
    {
        return std::nullopt;
    }
    // A free slot is worth a try, however short the time.
    bool const has_time =
        chosen->has_free_slot ||
        chosen->shortest_ms < settings_.longest_wait *
                                  static_cast<double>(query.time_left.count());
    if (!has_time)
    {
        shortage = pool_shortage::no_time;
        return std::nullopt;
    }
    return take(*chosen, now);
}

double upstream_pool::overflow(pool_query const& query, monotonic_time now)
{
    region_capacity capacity;
    capacity.entries = region_entries_;
    capacity.all_entries = all_entries_;
    capacity.mean_work_ms =
        work_.mean_ms(static_cast<double>(query.objective.count()));
    for (auto const& member : members_)
    {
        auto const& known = states_[member.id];
        bool const has_room =
            !is_cold(member, known, now) && !known.standing->is_ejected(now);
        bool const is_near = member.region == settings_.region;
        int const slots = has_room ? member.slots.value() : 0;
        capacity.all_slots += slots;
        capacity.slots += is_near ? slots : 0;
    }
    return overflow_.value(now, capacity);
}

double upstream_pool::preference(candidate const& of, double best_worth) const
{
    double const loss = best_worth - of.answer_worth;
    return of.suitability - of.cost -
           std::max(0.0, loss - settings_.worth_tolerance);
}

upstream_pool::candidate const*
upstream_pool::best_of(std::vector<candidate> const& from, bool in_region) const
{
    auto const is_there = [in_region](candidate const& each)
    {
        return (each.distance != network_distance::other_region) == in_region;
    };
    double best_worth = std::numeric_limits<double>::lowest();
    for (auto const& each : from)
    {
        best_worth = is_there(each) ? std::max(best_worth, each.answer_worth)
                                    : best_worth;
    }
    candidate const* best = nullptr;
    for (auto const& each : from)
    {
        bool const is_better =
            is_there(each) &&
            (best == nullptr ||
             preference(each, best_worth) > preference(*best, best_worth));
        best = is_better ? &each : best;
    }
    return best;
}

upstream_pool::candidate const*
upstream_pool::pick(std::vector<candidate> const& from, pool_query const& query,
                    monotonic_time now)
{
    // The same objects leave first at all entries, so that they meet again.
    double const order =
        query.affinity_key.isEmpty()
            ? std::uniform_real_distribution<double>(0, 1)(random_)
            : stable_fraction(query.affinity_key);
    double const margin = settings_.leave_margin * 2 * order;
    auto const* const near = best_of(from, true);
    auto const* const far = best_of(from, false);
    if (near == nullptr || far == nullptr)
    {
        return near == nullptr ? far : near;
    }
    bool const overflows = order < overflow(query, now);
    if (overflows || far->worth > near->worth + margin)
    {
        return shift_.may_leave(now) ? far : near;
    }
    return shift_.should_leave(now) ? far : near;
}

pool_choice upstream_pool::take(candidate const& chosen, monotonic_time now)
{
    auto& known = *chosen.known;
    if (is_cold(*chosen.member, known, now))
    {
        auto const pause = std::chrono::duration<double>(
            1 / std::max(0.01, chosen.member->cold_rate));
        known.next_cold =
            now + std::chrono::duration_cast<monotonic_time::duration>(pause);
    }
    known.standing->start(now);
    shift_.count(now, chosen.distance == network_distance::other_region);
    pool_choice result;
    result.member = *chosen.member;
    result.standing = known.standing;
    result.work = chosen.work;
    result.expected = milliseconds(static_cast<qint64>(chosen.expected_ms));
    result.distance = chosen.distance;
    result.started = now;
    return result;
}

void upstream_pool::finish(pool_choice const& choice,
                           QByteArray const& affinity_key,
                           upstream_evidence evidence,
                           std::optional<upstream_load> const& load,
                           qint64 bytes)
{
    auto const now = clock_.now();
    auto const taken =
        std::chrono::duration<double, std::milli>(now - choice.started).count();
    double const expected =
        std::max(1.0, static_cast<double>(choice.expected.count()));
    double const slowness = choice.standing->slowness(now);
    choice.standing->finish(now, evidence, taken / expected * slowness);
    if (load)
    {
        choice.standing->note_load(now, *load);
    }
    if (evidence != upstream_evidence::success)
    {
        return;
    }
    work_.add_size(bytes);
    auto const way = static_cast<double>(round_trip(choice.distance).count());
    work_.add(choice.work, (taken - way) / std::max(0.2, slowness));
    auto const known = states_.find(choice.member.id);
    if (known != states_.end() && known->started == choice.member.started)
    {
        known->keys.note(affinity_key);
    }
}

std::vector<pool_member> upstream_pool::take_probes()
{
    auto const now = clock_.now();
    std::vector<pool_member> result;
    for (auto const& member : members_)
    {
        if (states_[member.id].standing->take_probe(now))
        {
            result.push_back(member);
        }
    }
    return result;
}

void upstream_pool::take_probe_answer(upstream_id const& id, bool is_healthy,
                                      milliseconds cold_start_remaining)
{
    auto const known = states_.find(id);
    if (known == states_.end())
    {
        return;
    }
    if (is_healthy)
    {
        known->standing->note_healthy(clock_.now());
        known->cold_until =
            clock_.now() + std::min(cold_start_remaining, longest_cold_time);
        return;
    }
    known->standing->start(clock_.now());
    known->standing->finish(clock_.now(), upstream_evidence::connection_lost,
                            1);
}

} // namespace verbenacove
