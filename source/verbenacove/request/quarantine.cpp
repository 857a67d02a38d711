#include "verbenacove/request/quarantine.hpp"

#include <algorithm>

namespace verbenacove
{

quarantine::quarantine(clock_source const& clock)
    : clock_(clock)
{
}

send_permission quarantine::permission(request_fingerprint const& request) const
{
    auto const open = open_crashes(request);
    auto const crashes = crash_count(request, open);
    auto const losses = loss_count(request);
    if (crashes >= crash_limit)
    {
        return send_permission::refused;
    }
    if (crashes + losses >= crash_limit)
    {
        return send_permission::undecided;
    }
    return !open.empty() || losses > 0 ? send_permission::alone
                                       : send_permission::unrestricted;
}

bool quarantine::can_start(request_fingerprint const& request,
                           upstream_id const& upstream) const
{
    auto const permitted = permission(request);
    auto const others = attempts_of_upstream_.value(upstream);
    if (permitted == send_permission::unrestricted)
    {
        return std::none_of(others.begin(), others.end(),
                            [](bool is_alone) { return is_alone; });
    }
    // One suspect is tried at a time, so that it takes down one at most.
    bool const is_tried =
        std::any_of(attempts_.begin(), attempts_.end(),
                    [&](attempt const& other)
                    { return other.is_alone && other.request == request; });
    return permitted == send_permission::alone && others.isEmpty() && !is_tried;
}

std::optional<attempt_number>
quarantine::start(request_fingerprint const& request,
                  upstream_id const& upstream, incarnation upstream_incarnation)
{
    if (attempts_.size() >= maximum_attempts || !can_start(request, upstream))
    {
        return std::nullopt;
    }
    return note(request, upstream, upstream_incarnation,
                permission(request) == send_permission::alone);
}

std::optional<attempt_number>
quarantine::track(request_fingerprint const& request,
                  upstream_id const& upstream, incarnation upstream_incarnation)
{
    if (attempts_.size() >= maximum_attempts)
    {
        return std::nullopt;
    }
    return note(request, upstream, upstream_incarnation, false);
}

attempt_number quarantine::note(request_fingerprint const& request,
                                upstream_id const& upstream,
                                incarnation upstream_incarnation, bool is_alone)
{
    last_attempt_ = attempt_number(last_attempt_.value() + 1);
    attempts_.insert(last_attempt_,
                     {request, upstream, upstream_incarnation, is_alone});
    attempts_of_upstream_[upstream].insert(last_attempt_, is_alone);
    return last_attempt_;
}

void quarantine::answered(attempt_number number)
{
    auto const of = take(number);
    if (!of)
    {
        return;
    }
    auto const found = records_.find(of->request);
    if (found == records_.end())
    {
        return;
    }
    for (auto& crash : found->crashes)
    {
        crash.is_cleared = true;
    }
    touch(*found);
}

void quarantine::ended(attempt_number number)
{
    take(number);
}

void quarantine::lost(attempt_number number)
{
    expire();
    auto const of = take(number);
    if (!of)
    {
        return;
    }
    if (is_known_gone(*of))
    {
        add_own_crash(*of);
        return;
    }
    if (qsizetype(losses_.size()) >= maximum_losses)
    {
        losses_.pop_front();
    }
    losses_.push_back({*of, clock_.now()});
}

void quarantine::upstream_gone(upstream_id const& upstream,
                               incarnation last_gone)
{
    expire();
    if (gone_.contains(upstream) || gone_.size() < maximum_losses)
    {
        auto& known = gone_[upstream];
        known.last_gone = std::max(known.last_gone, last_gone);
        known.when = clock_.now();
    }
    for (auto const& lost : losses_)
    {
        if (is_known_gone(lost.of))
        {
            add_own_crash(lost.of);
        }
    }
    std::erase_if(losses_,
                  [&](loss const& lost) { return is_known_gone(lost.of); });
}

void quarantine::upstream_alive(upstream_id const& upstream, incarnation alive)
{
    std::erase_if(losses_,
                  [&](loss const& lost)
                  {
                      return lost.of.upstream == upstream &&
                             lost.of.upstream_incarnation == alive;
                  });
}

bool quarantine::is_undecided(upstream_id const& upstream,
                              incarnation upstream_incarnation) const
{
    auto const now = clock_.now();
    return std::any_of(losses_.begin(), losses_.end(),
                       [&](loss const& one)
                       {
                           return one.of.upstream == upstream &&
                                  one.of.upstream_incarnation ==
                                      upstream_incarnation &&
                                  now - one.when < confirmation;
                       });
}

quarantine_news quarantine::export_news(news_position since) const
{
    std::vector<std::pair<news_position, request_fingerprint>> changed;
    for (auto next = records_.begin(); next != records_.end(); ++next)
    {
        if (next->changed > since)
        {
            changed.emplace_back(next->changed, next.key());
        }
    }
    std::sort(changed.begin(), changed.end());
    bool const is_all = changed.size() <= maximum_news;
    changed.resize(std::min(changed.size(), maximum_news));
    quarantine_news news{is_all ? last_news_ : changed.back().first, {}};
    auto const now = clock_.now();
    for (auto const& [position, request] : changed)
    {
        crash_news record{request, {}};
        for (auto const& crash : records_.constFind(request)->crashes)
        {
            record.crashes.push_back(
                {crash.upstream, crash.upstream_incarnation,
                 elapsed(crash.when, now), crash.is_cleared, crash.is_trial});
        }
        news.records.push_back(std::move(record));
    }
    return news;
}

void quarantine::merge_news(quarantine_news const& news)
{
    expire();
    auto const now = clock_.now();
    for (auto const& record : news.records)
    {
        for (auto const& crash : record.crashes)
        {
            if (crash.age < oldest_news)
            {
                add_crash(record.fingerprint,
                          {crash.upstream, crash.upstream_incarnation,
                           now - crash.age, crash.is_cleared, crash.is_trial});
            }
        }
    }
}

std::vector<quarantine::crash>
quarantine::open_crashes(request_fingerprint const& request) const
{
    std::vector<crash> open;
    auto const found = records_.constFind(request);
    if (found == records_.constEnd())
    {
        return open;
    }
    auto const now = clock_.now();
    std::copy_if(found->crashes.begin(), found->crashes.end(),
                 std::back_inserter(open),
                 [&](crash const& one)
                 { return !one.is_cleared && now - one.when < memory; });
    std::sort(open.begin(), open.end(),
              [](crash const& a, crash const& b) { return a.when < b.when; });
    return open;
}

// The first crash counts always, or a crasher that first ran beside another
// suspect would not be one.
int quarantine::crash_count(request_fingerprint const& request,
                            std::vector<crash> const& open) const
{
    if (open.empty())
    {
        return 0;
    }
    return 1 + int(std::count_if(std::next(open.begin()), open.end(),
                                 [&](crash const& one) {
                                     return one.is_trial ||
                                            !has_other_trial(request, one);
                                 }));
}

bool quarantine::has_other_trial(request_fingerprint const& request,
                                 crash const& at) const
{
    auto const trial =
        trial_crashes_.constFind({at.upstream, at.upstream_incarnation});
    if (trial == trial_crashes_.constEnd() || trial->request == request)
    {
        return false;
    }
    // A suspect that was answered since is not what crashed the upstream.
    auto const suspect = records_.constFind(trial->request);
    return suspect != records_.constEnd() &&
           std::any_of(suspect->crashes.begin(), suspect->crashes.end(),
                       [&](crash const& one)
                       {
                           return !one.is_cleared &&
                                  one.upstream == at.upstream &&
                                  one.upstream_incarnation ==
                                      at.upstream_incarnation;
                       });
}

void quarantine::note_trial(request_fingerprint const& request, crash const& at)
{
    if (trial_crashes_.size() < maximum_requests)
    {
        trial_crashes_.insert({at.upstream, at.upstream_incarnation},
                              {request, at.when});
    }
}

int quarantine::loss_count(request_fingerprint const& request) const
{
    auto const now = clock_.now();
    return int(std::count_if(losses_.begin(), losses_.end(),
                             [&](loss const& one) {
                                 return one.of.request == request &&
                                        now - one.when < confirmation;
                             }));
}

bool quarantine::is_known_gone(attempt const& of) const
{
    auto const found = gone_.constFind(of.upstream);
    return found != gone_.constEnd() &&
           of.upstream_incarnation <= found->last_gone;
}

void quarantine::add_crash(request_fingerprint const& request,
                           crash const& added)
{
    if (!records_.contains(request))
    {
        make_room();
    }
    if (added.is_trial)
    {
        note_trial(request, added);
    }
    auto& known = records_[request];
    auto const same = std::find_if(known.crashes.begin(), known.crashes.end(),
                                   [&](crash const& one)
                                   {
                                       return one.upstream == added.upstream &&
                                              one.upstream_incarnation ==
                                                  added.upstream_incarnation;
                                   });
    if (same != known.crashes.end())
    {
        // The older time stays: news on its way looks younger than it is.
        same->when = std::min(same->when, added.when);
        bool const is_news = (added.is_cleared && !same->is_cleared) ||
                             (added.is_trial && !same->is_trial);
        same->is_cleared = same->is_cleared || added.is_cleared;
        same->is_trial = same->is_trial || added.is_trial;
        if (is_news)
        {
            touch(known);
        }
        return;
    }
    if (known.crashes.size() >= maximum_crashes)
    {
        auto const oldest =
            std::min_element(known.crashes.begin(), known.crashes.end(),
                             [](crash const& a, crash const& b)
                             {
                                 return std::pair(!a.is_cleared, a.when) <
                                        std::pair(!b.is_cleared, b.when);
                             });
        known.crashes.erase(oldest);
    }
    known.crashes.push_back(added);
    touch(known);
}

void quarantine::add_own_crash(attempt const& of)
{
    add_crash(of.request, {of.upstream, of.upstream_incarnation, clock_.now(),
                           false, of.is_alone});
}

void quarantine::touch(record& changed)
{
    last_news_ = news_position(last_news_.value() + 1);
    changed.changed = last_news_;
}

void quarantine::expire()
{
    auto const now = clock_.now();
    while (!losses_.empty() && now - losses_.front().when >= confirmation)
    {
        losses_.pop_front();
    }
    gone_.removeIf([&](auto const& one)
                   { return now - one.value().when >= memory; });
    trial_crashes_.removeIf([&](auto const& one)
                            { return now - one.value().when >= memory; });
    for (auto next = records_.begin(); next != records_.end();)
    {
        std::erase_if(next->crashes, [&](crash const& one)
                      { return now - one.when >= memory; });
        next = next->crashes.empty() ? records_.erase(next) : std::next(next);
    }
}

// What is cleared goes first, then what has crashed least, then the oldest.
void quarantine::make_room()
{
    if (records_.size() < maximum_requests)
    {
        return;
    }
    auto const worth = [](record const& known)
    {
        auto const open =
            std::count_if(known.crashes.begin(), known.crashes.end(),
                          [](crash const& one) { return !one.is_cleared; });
        return std::pair(open, known.changed);
    };
    auto const least = std::min_element(records_.begin(), records_.end(),
                                        [&](record const& a, record const& b)
                                        { return worth(a) < worth(b); });
    records_.erase(least);
}

std::optional<quarantine::attempt> quarantine::take(attempt_number number)
{
    if (!attempts_.contains(number))
    {
        return std::nullopt;
    }
    auto taken = attempts_.take(number);
    auto const of_upstream = attempts_of_upstream_.find(taken.upstream);
    of_upstream->remove(number);
    if (of_upstream->isEmpty())
    {
        attempts_of_upstream_.erase(of_upstream);
    }
    return taken;
}

} // namespace verbenacove
