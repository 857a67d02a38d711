#include "verbenacove/request/isolation_permits.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

bool is_same_run(isolation_request const& a, isolation_request const& b)
{
    return a.entry == b.entry && a.entry_incarnation == b.entry_incarnation &&
           a.attempt == b.attempt;
}

} // namespace

isolation_permits::isolation_permits(quarantine& crashes)
    : crashes_(crashes)
{
}

void isolation_permits::start_term(monotonic_time now)
{
    issue_start_ = now + duration;
    permits_.clear();
    last_runs_.clear();
}

isolation_decision isolation_permits::decide(isolation_request const& request,
                                             monotonic_time as_of)
{
    expire(as_of);
    if (crashes_.permission(request.request) == send_permission::refused)
    {
        return isolation_decision::refused;
    }
    if (!issue_start_ || as_of < *issue_start_ ||
        permits_.size() >= maximum_permits)
    {
        return isolation_decision::busy;
    }
    for (auto& other : permits_)
    {
        if (is_same_run(other.request, request))
        {
            other.expiry = std::max(other.expiry, as_of + duration);
            return isolation_decision::permitted;
        }
        if (other.request.request == request.request ||
            other.request.upstream == request.upstream)
        {
            return isolation_decision::busy;
        }
    }
    bool const has_room = last_runs_.contains(request.entry) ||
                          last_runs_.size() < maximum_entries;
    if (is_outdated(request) || !has_room)
    {
        return isolation_decision::busy;
    }
    last_runs_.insert(request.entry,
                      {request.entry_incarnation, request.attempt});
    permits_.push_back({request, as_of + duration});
    return isolation_decision::permitted;
}

void isolation_permits::end(isolation_request const& request)
{
    std::erase_if(permits_, [&](permit const& one)
                  { return is_same_run(one.request, request); });
}

// Removes expired permits. Their entries reported no outcome, so each run is
// recorded as a crash.
void isolation_permits::expire(monotonic_time as_of)
{
    auto const is_expired = [&](permit const& one)
    {
        return one.expiry <= as_of;
    };
    for (auto const& one : permits_)
    {
        if (is_expired(one))
        {
            auto const& expired = one.request;
            crashes_.merge_update(
                {{},
                 {{expired.request,
                   {{expired.upstream, expired.upstream_incarnation,
                     milliseconds(0), false, true, true}}}}});
        }
    }
    std::erase_if(permits_, is_expired);
}

// Returns true for a request that was delayed until after its run had ended,
// or that follows a newer one. It must not run again.
bool isolation_permits::is_outdated(isolation_request const& request) const
{
    auto const last = last_runs_.constFind(request.entry);
    if (last == last_runs_.constEnd() ||
        last->entry_incarnation < request.entry_incarnation)
    {
        return false;
    }
    return request.entry_incarnation < last->entry_incarnation ||
           request.attempt <= last->attempt;
}

} // namespace verbenacove
