#include "verbenacove/request/quarantine_trials.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

bool is_same(trial_request const& a, trial_request const& b)
{
    return a.entry == b.entry && a.entry_incarnation == b.entry_incarnation &&
           a.attempt == b.attempt;
}

} // namespace

quarantine_trials::quarantine_trials(quarantine& known)
    : known_(known)
{
}

void quarantine_trials::start_term(monotonic_time now)
{
    wait_end_ = now + duration;
    trials_.clear();
    last_trials_.clear();
}

trial_decision quarantine_trials::decide(trial_request const& request,
                                         monotonic_time as_of)
{
    expire(as_of);
    if (known_.permission(request.request) == send_permission::refused)
    {
        return trial_decision::refused;
    }
    if (!wait_end_ || as_of < *wait_end_ || trials_.size() >= maximum_trials)
    {
        return trial_decision::busy;
    }
    for (auto& running : trials_)
    {
        if (is_same(running.request, request))
        {
            running.end = std::max(running.end, as_of + duration);
            return trial_decision::permitted;
        }
        if (running.request.request == request.request ||
            running.request.upstream == request.upstream)
        {
            return trial_decision::busy;
        }
    }
    bool const has_room = last_trials_.contains(request.entry) ||
                          last_trials_.size() < maximum_entries;
    if (is_old(request) || !has_room)
    {
        return trial_decision::busy;
    }
    last_trials_.insert(request.entry,
                        {request.entry_incarnation, request.attempt});
    trials_.push_back({request, as_of + duration});
    return trial_decision::permitted;
}

void quarantine_trials::end(trial_request const& request)
{
    std::erase_if(trials_, [&](trial const& running)
                  { return is_same(running.request, request); });
}

void quarantine_trials::expire(monotonic_time as_of)
{
    auto const is_over = [&](trial const& running)
    {
        return running.end <= as_of;
    };
    for (auto const& running : trials_)
    {
        if (is_over(running))
        {
            auto const& lost = running.request;
            known_.merge_news({{},
                               {{lost.request,
                                 {{lost.upstream, lost.upstream_incarnation,
                                   milliseconds(0), false, true}}}}});
        }
    }
    std::erase_if(trials_, is_over);
}

// A request that was delayed past the end of its trial must not run again.
bool quarantine_trials::is_old(trial_request const& request) const
{
    auto const last = last_trials_.constFind(request.entry);
    if (last == last_trials_.constEnd() ||
        last->entry_incarnation < request.entry_incarnation)
    {
        return false;
    }
    return request.entry_incarnation < last->entry_incarnation ||
           request.attempt <= last->attempt;
}

} // namespace verbenacove
