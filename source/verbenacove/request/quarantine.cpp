#include "verbenacove/request/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

quarantine::quarantine(clock_source const& clock)
    : clock_(clock)
{
}

send_permission quarantine::permission(request_fingerprint const& request) const
{
    auto const uncleared = uncleared_crashes(request);
    auto const crashes = crash_count(request, uncleared);
    auto const losses = loss_count(request);
    if (crashes >= crash_limit)
    {
        bool const may_try =
            losses == 0 && is_trial_due(request, uncleared, crashes);
        return may_try ? send_permission::trial : send_permission::refused;
    }
    if (crashes + losses >= crash_limit)
    {
        return send_permission::undecided;
    }
    return !uncleared.empty() || losses > 0 ? send_permission::isolated
                                            : send_permission::unrestricted;
}

bool quarantine::can_start(request_fingerprint const& request,
                           upstream_id const& upstream) const
{
    auto const allowed = permission(request);
    auto const others = attempts_of_upstream_.value(upstream);
    if (allowed == send_permission::unrestricted)
    {
        return std::none_of(others.begin(), others.end(),
                            [](bool is_isolated) { return is_isolated; });
    }
    // A suspect has one attempt at a time, so that it crashes one upstream at
    // most.
    bool const is_running =
        std::any_of(attempts_.begin(), attempts_.end(),
                    [&](attempt const& other)
                    { return other.is_isolated && other.request == request; });
    bool const may_run_alone = allowed == send_permission::isolated ||
                               allowed == send_permission::trial;
    return may_run_alone && others.isEmpty() && !is_running;
}

std::optional<attempt_number>
quarantine::start(request_fingerprint const& request,
                  upstream_id const& upstream, incarnation upstream_incarnation,
                  zone_name const& zone)
{
    if (attempts_.size() >= maximum_attempts || !can_start(request, upstream))
    {
        return std::nullopt;
    }
    bool const is_isolated =
        permission(request) != send_permission::unrestricted;
    return add_attempt({request, upstream, upstream_incarnation, zone,
                        is_isolated, earlier_end(request)});
}

std::optional<attempt_number>
quarantine::track(request_fingerprint const& request,
                  upstream_id const& upstream, incarnation upstream_incarnation,
                  zone_name const& zone)
{
    if (attempts_.size() >= maximum_attempts)
    {
        return std::nullopt;
    }
    return add_attempt({request, upstream, upstream_incarnation, zone, false,
                        earlier_end(request)});
}

attempt_number quarantine::add_attempt(attempt added)
{
    last_attempt_ = attempt_number(last_attempt_.value() + 1);
    attempts_of_upstream_[added.upstream].insert(last_attempt_,
                                                 added.is_isolated);
    attempts_.insert(last_attempt_, std::move(added));
    return last_attempt_;
}

void quarantine::answered(attempt_number number)
{
    auto const removed = remove_attempt(number);
    if (!removed)
    {
        return;
    }
    // What ran to its end elsewhere did not end these upstreams.
    std::erase_if(losses_, [&](loss const& lost)
                  { return lost.lost_attempt.request == removed->request; });
    auto const found = records_.find(removed->request);
    if (found == records_.end())
    {
        return;
    }
    bool const is_suspect =
        std::any_of(found->crashes.begin(), found->crashes.end(),
                    [](crash const& each) { return !each.is_cleared; });
    for (auto& crash : found->crashes)
    {
        crash.is_cleared = true;
    }
    if (is_suspect)
    {
        mark_changed(*found, record_origin::own);
    }
}

void quarantine::ended(attempt_number number)
{
    remove_attempt(number);
}

void quarantine::lost(attempt_number number)
{
    expire();
    auto const removed = remove_attempt(number);
    if (!removed)
    {
        return;
    }
    if (is_known_gone(*removed))
    {
        add_local_crash(*removed, clock_.now());
        return;
    }
    if (qsizetype(losses_.size()) >= maximum_losses)
    {
        losses_.pop_front();
    }
    losses_.push_back({*removed, clock_.now()});
}

void quarantine::upstream_gone(upstream_id const& upstream,
                               incarnation last_gone)
{
    expire();
    if (gone_upstreams_.contains(upstream) ||
        gone_upstreams_.size() < maximum_losses)
    {
        auto& gone = gone_upstreams_[upstream];
        gone.last_gone = std::max(gone.last_gone, last_gone);
        gone.when = clock_.now();
    }
    for (auto const& lost : losses_)
    {
        if (is_known_gone(lost.lost_attempt))
        {
            add_local_crash(lost.lost_attempt, lost.when);
        }
    }
    std::erase_if(losses_, [&](loss const& lost)
                  { return is_known_gone(lost.lost_attempt); });
}

void quarantine::upstream_alive(upstream_id const& upstream, incarnation alive)
{
    std::erase_if(losses_,
                  [&](loss const& lost)
                  {
                      return lost.lost_attempt.upstream == upstream &&
                             lost.lost_attempt.upstream_incarnation == alive;
                  });
}

bool quarantine::is_undecided(upstream_id const& upstream,
                              incarnation upstream_incarnation) const
{
    auto const now = clock_.now();
    return std::any_of(losses_.begin(), losses_.end(),
                       [&](loss const& one)
                       {
                           return one.lost_attempt.upstream == upstream &&
                                  one.lost_attempt.upstream_incarnation ==
                                      upstream_incarnation &&
                                  now - one.when < confirmation_timeout;
                       });
}

bool quarantine::has_changes(quarantine_cursor since, record_scope scope) const
{
    return since <
           (scope == record_scope::own ? last_own_change_ : last_change_);
}

quarantine_update quarantine::export_update(quarantine_cursor since,
                                            record_scope scope) const
{
    std::vector<std::pair<quarantine_cursor, request_fingerprint>> changed;
    for (auto next = records_.begin(); next != records_.end(); ++next)
    {
        auto const last = scope == record_scope::own ? next->last_own_change
                                                     : next->last_change;
        if (last > since)
        {
            changed.emplace_back(last, next.key());
        }
    }
    std::sort(changed.begin(), changed.end());
    bool const is_complete = changed.size() <= maximum_update_records;
    changed.resize(std::min(changed.size(), maximum_update_records));
    quarantine_update update{is_complete ? last_change_ : changed.back().first,
                             {}};
    auto const now = clock_.now();
    for (auto const& [cursor, request] : changed)
    {
        request_crashes record{request, {}};
        auto const uncleared = uncleared_crashes(request);
        for (auto const& crash : records_.constFind(request)->crashes)
        {
            record.crashes.push_back(
                {crash.upstream, crash.upstream_incarnation,
                 elapsed(crash.when, now), crash.is_cleared, crash.is_isolated,
                 is_repeated(crash, uncleared)});
        }
        update.records.push_back(std::move(record));
    }
    return update;
}

void quarantine::merge_update(quarantine_update const& update,
                              record_origin origin)
{
    expire();
    auto const now = clock_.now();
    for (auto const& record : update.records)
    {
        for (auto const& crash : record.crashes)
        {
            if (crash.age < maximum_update_age)
            {
                add_crash(record.fingerprint,
                          {crash.upstream, crash.upstream_incarnation,
                           now - crash.age, crash.is_cleared, crash.is_isolated,
                           crash.is_repeated},
                          origin);
            }
        }
    }
}

std::vector<quarantine::crash>
quarantine::uncleared_crashes(request_fingerprint const& request) const
{
    std::vector<crash> uncleared;
    auto const found = records_.constFind(request);
    if (found == records_.constEnd())
    {
        return uncleared;
    }
    auto const now = clock_.now();
    std::copy_if(found->crashes.begin(), found->crashes.end(),
                 std::back_inserter(uncleared),
                 [&](crash const& one)
                 { return !one.is_cleared && now - one.when < retention; });
    std::sort(uncleared.begin(), uncleared.end(),
              [](crash const& a, crash const& b) { return a.when < b.when; });
    return uncleared;
}

void quarantine::record_isolated_crash(request_fingerprint const& request,
                                       crash const& added)
{
    if (isolated_crashes_.size() < maximum_requests)
    {
        isolated_crashes_.insert({added.upstream, added.upstream_incarnation},
                                 {request, added.when});
    }
}

int quarantine::loss_count(request_fingerprint const& request) const
{
    auto const now = clock_.now();
    return int(std::count_if(losses_.begin(), losses_.end(),
                             [&](loss const& one)
                             {
                                 return one.lost_attempt.request == request &&
                                        now - one.when < confirmation_timeout;
                             }));
}

bool quarantine::is_known_gone(attempt const& lost_attempt) const
{
    auto const found = gone_upstreams_.constFind(lost_attempt.upstream);
    return found != gone_upstreams_.constEnd() &&
           lost_attempt.upstream_incarnation <= found->last_gone;
}

void quarantine::add_crash(request_fingerprint const& request,
                           crash const& added, record_origin origin)
{
    if (!records_.contains(request))
    {
        evict_if_full();
    }
    if (added.is_isolated)
    {
        record_isolated_crash(request, added);
    }
    auto& target = records_[request];
    auto const same = std::find_if(target.crashes.begin(), target.crashes.end(),
                                   [&](crash const& one)
                                   {
                                       return one.upstream == added.upstream &&
                                              one.upstream_incarnation ==
                                                  added.upstream_incarnation;
                                   });
    if (same != target.crashes.end())
    {
        // The older time is kept: an age does not include the transfer time of
        // its update, so a crash seems more recent than it is.
        same->when = std::min(same->when, added.when);
        bool const is_changed = (added.is_cleared && !same->is_cleared) ||
                                (added.is_isolated && !same->is_isolated) ||
                                (added.is_repeated && !same->is_repeated);
        same->is_cleared = same->is_cleared || added.is_cleared;
        same->is_isolated = same->is_isolated || added.is_isolated;
        same->is_repeated = same->is_repeated || added.is_repeated;
        same->earlier = same->earlier ? same->earlier : added.earlier;
        if (is_changed)
        {
            mark_changed(target, origin);
        }
        return;
    }
    if (target.crashes.size() >= maximum_crashes)
    {
        auto const oldest =
            std::min_element(target.crashes.begin(), target.crashes.end(),
                             [](crash const& a, crash const& b)
                             {
                                 return std::pair(!a.is_cleared, a.when) <
                                        std::pair(!b.is_cleared, b.when);
                             });
        target.crashes.erase(oldest);
    }
    target.crashes.push_back(added);
    mark_changed(target, origin);
}

void quarantine::add_local_crash(attempt const& lost_attempt,
                                 monotonic_time when)
{
    add_crash(lost_attempt.request,
              {lost_attempt.upstream, lost_attempt.upstream_incarnation, when,
               false, lost_attempt.is_isolated, false, lost_attempt.zone,
               lost_attempt.earlier},
              record_origin::own);
}

void quarantine::mark_changed(record& target, record_origin origin)
{
    last_change_ = quarantine_cursor(last_change_.value() + 1);
    target.last_change = last_change_;
    if (origin == record_origin::own)
    {
        last_own_change_ = last_change_;
        target.last_own_change = last_change_;
    }
}

void quarantine::expire()
{
    auto const now = clock_.now();
    while (!losses_.empty() &&
           now - losses_.front().when >= confirmation_timeout)
    {
        losses_.pop_front();
    }
    gone_upstreams_.removeIf([&](auto const& one)
                             { return now - one.value().when >= retention; });
    isolated_crashes_.removeIf([&](auto const& one)
                               { return now - one.value().when >= retention; });
    for (auto next = records_.begin(); next != records_.end();)
    {
        std::erase_if(next->crashes, [&](crash const& one)
                      { return now - one.when >= retention; });
        next = next->crashes.empty() ? records_.erase(next) : std::next(next);
    }
}

// Evicts the request with the fewest uncleared crashes, so cleared requests go
// first; among equals, the one whose last change is the oldest.
void quarantine::evict_if_full()
{
    if (records_.size() < maximum_requests)
    {
        return;
    }
    auto const retention_priority = [](record const& candidate)
    {
        auto const uncleared =
            std::count_if(candidate.crashes.begin(), candidate.crashes.end(),
                          [](crash const& one) { return !one.is_cleared; });
        return std::pair(uncleared, candidate.last_change);
    };
    auto const lowest = std::min_element(
        records_.begin(), records_.end(),
        [&](record const& a, record const& b)
        { return retention_priority(a) < retention_priority(b); });
    records_.erase(lowest);
}

std::optional<quarantine::attempt>
quarantine::remove_attempt(attempt_number number)
{
    if (!attempts_.contains(number))
    {
        return std::nullopt;
    }
    auto removed = attempts_.take(number);
    auto const upstream_attempts = attempts_of_upstream_.find(removed.upstream);
    upstream_attempts->remove(number);
    if (upstream_attempts->isEmpty())
    {
        attempts_of_upstream_.erase(upstream_attempts);
    }
    return removed;
}

} // namespace verbenacove
