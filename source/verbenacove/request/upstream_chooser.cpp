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

constexpr milliseconds missing_lease{30000};
constexpr std::size_t largest_memory = 2 * upstream_chooser::largest_set;
constexpr int in_flight_per_slot = 16;
/** The factor by which the cost of an upstream in another region is reduced
    before it is compared with the local one: a free slot in another region is
    preferred to a local queue, even if its response is expected to take
    somewhat longer. */
constexpr double remote_cost_share = 0.6;

bool contains(std::vector<upstream_id> const& ids, upstream_id const& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

upstream_chooser::choice::choice(std::shared_ptr<upstream_record> record,
                                 std::shared_ptr<class_latency> latencies,
                                 clock_source const& clock, request_class kind,
                                 microseconds expected, bool is_other_region)
    : record_(std::move(record))
    , latencies_(std::move(latencies))
    , clock_(&clock)
    , kind_(kind)
    , is_other_region_(is_other_region)
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
        choice ended(std::move(*this));
        record_ = std::move(other.record_);
        latencies_ = std::move(other.latencies_);
        clock_ = other.clock_;
        kind_ = other.kind_;
        is_other_region_ = other.is_other_region_;
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

void upstream_chooser::group::clear()
{
    count = 0;
    usable.clear();
    ejected.clear();
}

bool upstream_chooser::group::has_free_slot() const
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
    , pick_(pick_of(settings_.policy))
{
}

std::size_t
upstream_chooser::update(std::vector<upstream_view> const& upstreams)
{
    auto const now = clock_.now();
    auto const count = std::min(upstreams.size(), largest_set);
    for (auto& known : members_)
    {
        known.is_listed = false;
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const& view = upstreams[i];
        auto found = std::find_if(
            members_.begin(), members_.end(),
            [&](member const& known)
            {
                auto const& old = known.record->view();
                return old.id == view.id && old.incarnation == view.incarnation;
            });
        if (found == members_.end())
        {
            members_.push_back({std::make_shared<upstream_record>(view)});
            found = std::prev(members_.end());
        }
        found->record->renew(view);
        found->distance = distance_between(settings_, view);
        found->is_listed = true;
        found->last_listed = now;
    }
    std::erase_if(members_, [&](member const& known)
                  { return now - known.last_listed > missing_lease; });
    // Listed members come first, so that the limit drops only missing ones.
    std::stable_partition(members_.begin(), members_.end(),
                          [](member const& known) { return known.is_listed; });
    members_.resize(std::min(members_.size(), largest_memory));
    return upstreams.size() - count;
}

std::optional<upstream_chooser::choice>
upstream_chooser::choose(request_class kind,
                         std::vector<upstream_id> const& excluded,
                         region_permit const& allow_other_regions)
{
    auto const now = clock_.now();
    collect(excluded, now);
    // A retry is never used as a probe of a failed or slow upstream.
    auto const* probed = excluded.empty() ? probe_target(kind, now) : nullptr;
    if (probed)
    {
        return take(*probed, kind);
    }
    assess(local_, kind, now);
    auto const* chosen = local_.usable.empty() ? nullptr : pick_from(local_);
    if (allow_other_regions && !local_.has_free_slot())
    {
        assess(remote_, kind, now);
        if (auto const* far = pick_remote(kind, chosen, allow_other_regions))
        {
            chosen = far;
        }
    }
    if (!chosen)
    {
        return std::nullopt;
    }
    return take(*chosen->upstream, kind);
}

bool upstream_chooser::is_usable(member const& upstream,
                                 monotonic_time now) const
{
    auto const& view = upstream.record->view();
    return upstream.is_listed && view.state == upstream_state::serving &&
           now - view.reported_at <= settings_.news_lease &&
           upstream.record->in_flight() < in_flight_per_slot * slots_of(view);
}

void upstream_chooser::collect(std::vector<upstream_id> const& excluded,
                               monotonic_time now)
{
    local_.clear();
    remote_.clear();
    for (auto const& known : members_)
    {
        if (!is_usable(known, now))
        {
            continue;
        }
        auto& of =
            known.distance == network_distance::other_region ? remote_ : local_;
        ++of.count;
        if (contains(excluded, known.record->view().id))
        {
            continue;
        }
        if (settings_.parts.ejection && known.record->is_ejected(now))
        {
            of.ejected.push_back(&known);
        }
        else
        {
            of.usable.push_back({&known});
        }
    }
    release_over_bound(local_, now);
    release_over_bound(remote_, now);
}

void upstream_chooser::release_over_bound(group& of, monotonic_time now) const
{
    auto const bound =
        std::size_t(settings_.largest_ejected_share * double(of.count));
    if (of.ejected.size() <= bound)
    {
        return;
    }
    std::sort(of.ejected.begin(), of.ejected.end(),
              [now](member const* a, member const* b) {
                  return a->record->failure_share(now) >
                         b->record->failure_share(now);
              });
    while (of.ejected.size() > bound)
    {
        of.usable.push_back({of.ejected.back()});
        of.ejected.pop_back();
    }
}

void upstream_chooser::assess(group& of, request_class kind,
                              monotonic_time now) const
{
    double load_sum = 0;
    double largest_share = 0;
    for (auto const& one : of.usable)
    {
        auto const& view = one.upstream->record->view();
        load_sum += load_of(view);
        largest_share = std::max(largest_share, cost_.ramp_share(view, now));
    }
    auto const average_load =
        load_sum / double(std::max<std::size_t>(1, of.usable.size()));
    for (auto& one : of.usable)
    {
        auto const& record = *one.upstream->record;
        auto const& view = record.view();
        // Capacity is relative to the largest ramp share: when all upstreams
        // are new, their capacity is not reduced.
        one.capacity =
            slots_of(view) * cost_.ramp_share(view, now) / largest_share;
        one.has_free_slot = has_free_slot(one, average_load);
        one.cost_ms = cost_.milliseconds_of(record, one.upstream->distance,
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
                     [now](candidate const& one)
                     { return one.upstream->record->needs_trial(now); });
    return slow == local_.usable.end() ? nullptr : slow->upstream;
}

upstream_chooser::candidate const* upstream_chooser::pick_from(group const& of)
{
    return &of.usable[(this->*pick_)(of.usable)];
}

upstream_chooser::candidate const*
upstream_chooser::pick_remote(request_class kind, candidate const* nearest,
                              region_permit const& permit)
{
    // Batch requests stay in the local region while it has any upstream.
    if (nearest && kind == request_class::batch)
    {
        return nullptr;
    }
    std::erase_if(remote_.usable, [&](candidate const& far)
                  { return !is_better(far, nearest); });
    while (!remote_.usable.empty())
    {
        auto const* far = pick_from(remote_);
        auto const region = far->upstream->record->view().region;
        if (permit(region))
        {
            return far;
        }
        std::erase_if(remote_.usable,
                      [&](candidate const& one) {
                          return one.upstream->record->view().region == region;
                      });
    }
    return nullptr;
}

bool upstream_chooser::is_better(candidate const& far,
                                 candidate const* nearest) const
{
    if (!nearest)
    {
        return true;
    }
    if (!settings_.parts.region_comparison)
    {
        return far.has_free_slot;
    }
    return far.has_free_slot &&
           far.cost_ms * remote_cost_share < nearest->cost_ms;
}

upstream_chooser::choice upstream_chooser::take(member const& target,
                                                request_class kind)
{
    return {target.record,
            latencies_,
            clock_,
            kind,
            cost_.expected_latency(target.distance, kind),
            target.distance == network_distance::other_region};
}

upstream_chooser::pick_function upstream_chooser::pick_of(chooser_policy policy)
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
upstream_chooser::pick_lowest_cost(std::vector<candidate> const& from)
{
    return pick_least(from, [](candidate const& one) { return one.cost_ms; });
}

std::size_t upstream_chooser::pick_random(std::vector<candidate> const& from)
{
    return draw(from.size());
}

std::size_t
upstream_chooser::pick_round_robin(std::vector<candidate> const& from)
{
    return round_robin_++ % from.size();
}

std::size_t
upstream_chooser::pick_least_reported_load(std::vector<candidate> const& from)
{
    return pick_least(from, [](candidate const& one)
                      { return one.upstream->record->view().load; });
}

std::size_t
upstream_chooser::pick_least_in_flight(std::vector<candidate> const& from)
{
    return pick_least(from,
                      [](candidate const& one)
                      {
                          auto const& record = *one.upstream->record;
                          return double(record.in_flight()) /
                                 slots_of(record.view());
                      });
}

template <class Score>
std::size_t upstream_chooser::pick_least(std::vector<candidate> const& from,
                                         Score score)
{
    // Starts at a random index to spread requests among equal scores.
    auto const offset = draw(from.size());
    auto best = offset;
    for (std::size_t i = 1; i < from.size(); ++i)
    {
        auto const next = (offset + i) % from.size();
        if (score(from[next]) < score(from[best]))
        {
            best = next;
        }
    }
    return best;
}

std::size_t upstream_chooser::draw(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

} // namespace verbenacove
