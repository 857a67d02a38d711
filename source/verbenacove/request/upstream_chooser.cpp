#include "verbenacove/request/upstream_chooser.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace verbenacove
{

namespace
{

using std::chrono::microseconds;

/** The time for which the record of a missing upstream is kept. */
constexpr milliseconds missing_retention{30000};
constexpr std::size_t maximum_members =
    2 * upstream_chooser::maximum_candidates;
constexpr int maximum_in_flight_per_slot = 16;
/** The factor by which the cost of an upstream in another region is multiplied
    before it is compared with the local one: a free slot in another region is
    preferred to a local queue, even if its response is expected to take
    somewhat longer. */
constexpr double remote_cost_factor = 0.6;

bool contains(std::vector<upstream_id> const& ids, upstream_id const& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

upstream_chooser::choice::choice(std::shared_ptr<upstream_record> record,
                                 std::shared_ptr<class_latency> latencies,
                                 clock_source const& clock, request_class kind,
                                 microseconds expected, bool is_in_other_region)
    : record_(std::move(record))
    , latencies_(std::move(latencies))
    , clock_(&clock)
    , kind_(kind)
    , is_in_other_region_(is_in_other_region)
    , started_(clock.now())
    , expected_(expected)
{
    record_->start(started_, expected_);
}

upstream_chooser::choice::~choice()
{
    if (latencies_)
    {
        finish(
            attempt_outcome::cancelled,
            std::chrono::duration_cast<microseconds>(clock_->now() - started_));
    }
}

upstream_chooser::choice::choice(choice&&) noexcept = default;

upstream_chooser::choice&
upstream_chooser::choice::operator=(choice&& other) noexcept
{
    if (this != &other)
    {
        choice previous(std::move(*this));
        record_ = std::move(other.record_);
        latencies_ = std::move(other.latencies_);
        clock_ = other.clock_;
        kind_ = other.kind_;
        is_in_other_region_ = other.is_in_other_region_;
        started_ = other.started_;
        expected_ = other.expected_;
    }
    return *this;
}

upstream_view const& upstream_chooser::choice::upstream() const
{
    return record_->view();
}

void upstream_chooser::choice::finish(attempt_outcome outcome,
                                      microseconds latency)
{
    if (!latencies_)
    {
        return;
    }
    record_->finish(clock_->now(), started_, expected_, outcome, latency);
    if (outcome == attempt_outcome::answered)
    {
        latencies_->add(kind_, latency);
    }
    latencies_.reset();
}

void upstream_chooser::candidate_group::clear()
{
    count = 0;
    usable.clear();
    ejected.clear();
}

bool upstream_chooser::candidate_group::has_free_slot() const
{
    return std::any_of(usable.begin(), usable.end(),
                       [](candidate const& one) { return one.has_free_slot; });
}

upstream_chooser::upstream_chooser(chooser_settings settings,
                                   clock_source const& clock, quint64 seed)
    : settings_(std::move(settings))
    , clock_(clock)
    , random_(seed)
    , latencies_(std::make_shared<class_latency>())
    , cost_(settings_, latencies_)
    , pick_(pick_function_for(settings_.policy))
{
}

std::size_t
upstream_chooser::update(std::vector<upstream_view> const& upstreams)
{
    auto const now = clock_.now();
    auto const count = std::min(upstreams.size(), maximum_candidates);
    for (auto& each : members_)
    {
        each.is_listed = false;
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const& view = upstreams[i];
        auto found = std::find_if(
            members_.begin(), members_.end(),
            [&](member const& each)
            {
                auto const& old = each.record->view();
                return old.id == view.id && old.incarnation == view.incarnation;
            });
        if (found == members_.end())
        {
            members_.push_back({std::make_shared<upstream_record>(view)});
            found = std::prev(members_.end());
        }
        found->record->update_view(view);
        found->distance = distance_between(settings_, view);
        found->is_listed = true;
        found->last_listed = now;
    }
    std::erase_if(members_, [&](member const& each)
                  { return now - each.last_listed > missing_retention; });
    // Listed members come first, so that the limit drops only missing ones.
    std::stable_partition(members_.begin(), members_.end(),
                          [](member const& each) { return each.is_listed; });
    members_.resize(std::min(members_.size(), maximum_members));
    return upstreams.size() - count;
}

std::optional<upstream_chooser::choice>
upstream_chooser::choose(request_class kind,
                         std::vector<upstream_id> const& excluded,
                         region_permit const& allow_other_regions)
{
    auto const now = clock_.now();
    collect_candidates(excluded, now);
    // A retry is never used as a probe: it should not be risked on an upstream
    // that failed or was slow before.
    auto const* probed = excluded.empty() ? probe_target(kind, now) : nullptr;
    if (probed)
    {
        return start_attempt(*probed, kind);
    }
    score_candidates(local_, kind, now);
    auto const* chosen = local_.usable.empty() ? nullptr : pick_from(local_);
    if (allow_other_regions && !local_.has_free_slot())
    {
        score_candidates(remote_, kind, now);
        if (auto const* remote = pick_remote(kind, chosen, allow_other_regions))
        {
            chosen = remote;
        }
    }
    if (!chosen)
    {
        return std::nullopt;
    }
    return start_attempt(*chosen->upstream, kind);
}

bool upstream_chooser::is_usable(member const& upstream,
                                 monotonic_time now) const
{
    auto const& view = upstream.record->view();
    return upstream.is_listed && view.state == upstream_state::serving &&
           now - view.reported_at <= settings_.report_lease &&
           upstream.record->in_flight() <
               maximum_in_flight_per_slot * slots_of(view);
}

void upstream_chooser::collect_candidates(
    std::vector<upstream_id> const& excluded, monotonic_time now)
{
    local_.clear();
    remote_.clear();
    for (auto const& each : members_)
    {
        if (!is_usable(each, now))
        {
            continue;
        }
        auto& group =
            each.distance == network_distance::other_region ? remote_ : local_;
        ++group.count;
        if (contains(excluded, each.record->view().id))
        {
            continue;
        }
        if (settings_.parts.ejection && each.record->is_ejected(now))
        {
            group.ejected.push_back(&each);
        }
        else
        {
            group.usable.push_back({&each});
        }
    }
    apply_ejection_limit(local_, now);
    apply_ejection_limit(remote_, now);
}

void upstream_chooser::apply_ejection_limit(candidate_group& group,
                                            monotonic_time now) const
{
    auto const limit =
        std::size_t(settings_.maximum_ejected_share * double(group.count));
    if (group.ejected.size() <= limit)
    {
        return;
    }
    std::sort(group.ejected.begin(), group.ejected.end(),
              [now](member const* a, member const* b) {
                  return a->record->failure_share(now) >
                         b->record->failure_share(now);
              });
    while (group.ejected.size() > limit)
    {
        group.usable.push_back({group.ejected.back()});
        group.ejected.pop_back();
    }
}

void upstream_chooser::score_candidates(candidate_group& group,
                                        request_class kind,
                                        monotonic_time now) const
{
    double load_sum = 0;
    double maximum_share = 0;
    for (auto const& one : group.usable)
    {
        auto const& view = one.upstream->record->view();
        load_sum += load_of(view);
        maximum_share = std::max(maximum_share, cost_.ramp_share(view, now));
    }
    auto const average_load =
        load_sum / double(std::max<std::size_t>(1, group.usable.size()));
    for (auto& one : group.usable)
    {
        auto const& record = *one.upstream->record;
        auto const& view = record.view();
        // Capacity is relative to the largest ramp share: when all upstreams
        // are new, their capacity is not reduced.
        one.capacity =
            slots_of(view) * cost_.ramp_share(view, now) / maximum_share;
        one.has_free_slot = has_free_slot(one, average_load);
        one.cost_ms = cost_.expected_cost_ms(record, one.upstream->distance,
                                             one.capacity, kind, now);
    }
}

bool upstream_chooser::has_free_slot(candidate const& target,
                                     double average_load) const
{
    auto in_use = cost_.own_in_flight(*target.upstream->record);
    if (settings_.parts.reported_load)
    {
        auto const& view = target.upstream->record->view();
        in_use = std::max(in_use, average_load * slots_of(view));
    }
    return in_use + 1 <= target.capacity;
}

upstream_chooser::member const*
upstream_chooser::probe_target(request_class kind, monotonic_time now) const
{
    if (kind == request_class::non_idempotent)
    {
        return nullptr;
    }
    auto const failed = std::find_if(
        local_.ejected.begin(), local_.ejected.end(),
        [now](member const* one) { return one->record->needs_probe(now); });
    if (failed != local_.ejected.end())
    {
        return *failed;
    }
    if (!settings_.parts.latency)
    {
        return nullptr;
    }
    auto const slow =
        std::find_if(local_.usable.begin(), local_.usable.end(),
                     [now](candidate const& one) {
                         return one.upstream->record->needs_latency_probe(now);
                     });
    return slow == local_.usable.end() ? nullptr : slow->upstream;
}

upstream_chooser::candidate const*
upstream_chooser::pick_from(candidate_group const& group)
{
    return &group.usable[(this->*pick_)(group.usable)];
}

upstream_chooser::candidate const*
upstream_chooser::pick_remote(request_class kind, candidate const* best_local,
                              region_permit const& permit)
{
    // Batch requests stay in the local region while it has any upstream.
    if (best_local && kind == request_class::batch)
    {
        return nullptr;
    }
    std::erase_if(remote_.usable, [&](candidate const& remote)
                  { return !is_preferred_remote(remote, best_local); });
    while (!remote_.usable.empty())
    {
        auto const* remote = pick_from(remote_);
        auto const region = remote->upstream->record->view().region;
        if (permit(region))
        {
            return remote;
        }
        std::erase_if(remote_.usable,
                      [&](candidate const& one) {
                          return one.upstream->record->view().region == region;
                      });
    }
    return nullptr;
}

bool upstream_chooser::is_preferred_remote(candidate const& remote,
                                           candidate const* best_local) const
{
    if (!best_local)
    {
        return true;
    }
    if (!settings_.parts.region_comparison)
    {
        return remote.has_free_slot;
    }
    return remote.has_free_slot &&
           remote.cost_ms * remote_cost_factor < best_local->cost_ms;
}

upstream_chooser::choice upstream_chooser::start_attempt(member const& target,
                                                         request_class kind)
{
    return {target.record,
            latencies_,
            clock_,
            kind,
            cost_.expected_latency(target.distance, kind),
            target.distance == network_distance::other_region};
}

upstream_chooser::pick_function
upstream_chooser::pick_function_for(chooser_policy policy)
{
    static constexpr std::array<pick_function, 5> picks = {
        &upstream_chooser::pick_lowest_cost,
        &upstream_chooser::pick_random,
        &upstream_chooser::pick_round_robin,
        &upstream_chooser::pick_least_reported_load,
        &upstream_chooser::pick_least_in_flight,
    };
    return picks.at(std::size_t(policy));
}

std::size_t
upstream_chooser::pick_lowest_cost(std::vector<candidate> const& candidates)
{
    return pick_minimum(candidates,
                        [](candidate const& one) { return one.cost_ms; });
}

std::size_t
upstream_chooser::pick_random(std::vector<candidate> const& candidates)
{
    return random_index(candidates.size());
}

std::size_t
upstream_chooser::pick_round_robin(std::vector<candidate> const& candidates)
{
    return next_round_robin_++ % candidates.size();
}

std::size_t upstream_chooser::pick_least_reported_load(
    std::vector<candidate> const& candidates)
{
    return pick_minimum(candidates, [](candidate const& one)
                        { return one.upstream->record->view().load; });
}

std::size_t
upstream_chooser::pick_least_in_flight(std::vector<candidate> const& candidates)
{
    return pick_minimum(candidates,
                        [](candidate const& one)
                        {
                            auto const& record = *one.upstream->record;
                            return double(record.in_flight()) /
                                   slots_of(record.view());
                        });
}

template <class Score>
std::size_t
upstream_chooser::pick_minimum(std::vector<candidate> const& candidates,
                               Score score)
{
    // Starts at a random index to spread requests among upstreams with equal
    // scores.
    auto const offset = random_index(candidates.size());
    auto best = offset;
    for (std::size_t i = 1; i < candidates.size(); ++i)
    {
        auto const next = (offset + i) % candidates.size();
        if (score(candidates[next]) < score(candidates[best]))
        {
            best = next;
        }
    }
    return best;
}

std::size_t upstream_chooser::random_index(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

} // namespace verbenacove
