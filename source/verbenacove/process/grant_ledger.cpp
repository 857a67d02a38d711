#include "verbenacove/process/grant_ledger.hpp"

#include <algorithm>
#include <set>

namespace verbenacove
{

namespace
{

constexpr qint64 percent = 100;
constexpr qint64 millionths = 1'000'000;
constexpr std::chrono::microseconds longest_accrual = std::chrono::seconds(1);

} // namespace

grant_ledger::grant_ledger(grant_policy const& policy)
    : policy_(policy)
{
}

void grant_ledger::start_term(monotonic_time now)
{
    has_term_ = true;
    wait_end_ = now + policy_.duration;
    for (auto& [resource, state] : resources_)
    {
        state.accounts.clear();
        state.growth_millionths = 0;
        state.growth_time = now;
    }
}

bool grant_ledger::set_limit(resource_name const& resource,
                             grant_limit const& limit)
{
    bool const is_in_range =
        limit.cap >= grant_amount(0) && limit.cap <= limit.highest_cap &&
        limit.highest_cap.value() <= maximum_cap && limit.floor_percent >= 0 &&
        limit.floor_percent <= percent;
    bool const has_room =
        resources_.contains(resource) || resources_.size() < maximum_resources;
    if (!is_in_range || !has_room)
    {
        return false;
    }
    resources_[resource].limit = limit;
    return true;
}

void grant_ledger::remove_limit(resource_name const& resource)
{
    resources_.erase(resource);
}

bool grant_ledger::admit(entry_id const& holder)
{
    if (is_admitted(holder))
    {
        return true;
    }
    if (holders_.size() >= std::size_t(policy_.max_holders))
    {
        return false;
    }
    holders_.push_back(holder);
    return true;
}

void grant_ledger::dismiss(entry_id const& holder)
{
    std::erase(holders_, holder);
}

std::optional<grant_answer> grant_ledger::answer(grant_request const& request,
                                                 monotonic_time as_of)
{
    auto const found = resources_.find(request.resource);
    if (!has_term_ || found == resources_.end() || !is_admitted(request.holder))
    {
        return std::nullopt;
    }
    auto& state = found->second;
    auto const highest_floor = floor_of(state.limit, state.limit.highest_cap);
    account const unheard{
        request.holder_incarnation, {}, {}, highest_floor, 0, 0, {}, {}};
    auto& known =
        state.accounts.try_emplace(request.holder, unheard).first->second;
    std::erase_if(known.grants,
                  [&](grant const& made) { return made.end <= as_of; });
    if (is_overtaken(known, request) ||
        known.grants.size() >= maximum_grants_of_holder)
    {
        return std::nullopt;
    }
    note(known, request, as_of);
    accrue_growth(state, as_of);
    auto const amount = next_amount(state, known, request, as_of);
    auto const floor = floor_of(state.limit, state.limit.cap);
    known.grants.push_back({request.holder_incarnation, request.sequence,
                            amount, as_of + policy_.duration});
    known.floor = std::max(known.floor, floor);
    if (!is_waiting(as_of))
    {
        known.last_settling = request.sequence;
    }
    return grant_answer{request.resource,    request.holder_incarnation,
                        request.sequence,    grant_amount(amount),
                        grant_amount(floor), policy_.duration,
                        is_waiting(as_of)};
}

grant_amount grant_ledger::committed(resource_name const& resource,
                                     monotonic_time as_of) const
{
    auto const found = resources_.find(resource);
    if (found == resources_.end())
    {
        return {};
    }
    return grant_amount(charges(found->second, as_of) + floors(found->second));
}

bool grant_ledger::is_waiting(monotonic_time as_of) const
{
    return as_of < wait_end_;
}

bool grant_ledger::is_admitted(entry_id const& holder) const
{
    return std::find(holders_.begin(), holders_.end(), holder) !=
           holders_.end();
}

qint64 grant_ledger::floor_of(grant_limit const& limit, grant_amount cap) const
{
    return cap.value() * limit.floor_percent / percent / policy_.max_holders;
}

qint64 grant_ledger::floors(resource_state const& state) const
{
    auto const highest_floor = floor_of(state.limit, state.limit.highest_cap);
    auto const current_floor = floor_of(state.limit, state.limit.cap);
    qint64 sum = 0;
    for (auto const& holder : holders_)
    {
        auto const known = state.accounts.find(holder);
        sum += known == state.accounts.end()
                   ? highest_floor
                   : std::max(known->second.floor, current_floor);
    }
    return sum;
}

void grant_ledger::note(account& known, grant_request const& request,
                        monotonic_time as_of) const
{
    if (known.holder_incarnation != request.holder_incarnation)
    {
        known.holder_incarnation = request.holder_incarnation;
        known.last_settling = {};
    }
    known.last_sequence = request.sequence;
    known.demand = request.demand.value();
    known.in_use = request.in_use.value();
    known.heard_until = as_of + policy_.duration;
    std::erase_if(known.grants,
                  [&](grant const& made)
                  {
                      return made.holder_incarnation ==
                                 request.holder_incarnation &&
                             made.sequence < request.adopted;
                  });
    bool const is_settled = known.last_settling != grant_sequence() &&
                            known.last_settling == request.adopted;
    if (is_settled)
    {
        known.floor = request.floor.value();
    }
}

void grant_ledger::accrue_growth(resource_state& state,
                                 monotonic_time as_of) const
{
    if (as_of <= state.growth_time)
    {
        return;
    }
    auto const span = std::min(
        longest_accrual, std::chrono::duration_cast<std::chrono::microseconds>(
                             as_of - state.growth_time));
    auto const per_second =
        state.limit.cap.value() * policy_.growth_percent_per_second / percent;
    state.growth_millionths =
        std::min(state.growth_millionths + per_second * span.count(),
                 std::max<qint64>(per_second, 1) * millionths);
    state.growth_time = as_of;
}

qint64 grant_ledger::fair_share(resource_state const& state,
                                entry_id const& holder,
                                monotonic_time as_of) const
{
    auto const floor = floor_of(state.limit, state.limit.cap);
    std::vector<share_request> wants;
    for (auto const& [id, known] : state.accounts)
    {
        if (known.heard_until > as_of)
        {
            wants.push_back({id, std::max<qint64>(0, known.demand - floor)});
        }
    }
    std::stable_sort(wants.begin(), wants.end(),
                     [](share_request const& a, share_request const& b)
                     { return a.demand < b.demand; });
    auto left = std::max<qint64>(0, state.limit.cap.value() - floors(state));
    auto sharers = qint64(wants.size());
    for (auto const& want : wants)
    {
        auto const share = std::min(want.demand, left / sharers);
        if (want.holder == holder)
        {
            return share;
        }
        left -= share;
        --sharers;
    }
    return 0;
}

qint64 grant_ledger::next_amount(resource_state& state, account const& known,
                                 grant_request const& request,
                                 monotonic_time as_of) const
{
    auto const target = fair_share(state, request.holder, as_of);
    if (is_waiting(as_of))
    {
        return std::min(target, request.held.value());
    }
    auto const own = charge(known, request.holder_incarnation, as_of);
    auto const others = charges(state, as_of) - own;
    auto const room = state.limit.cap.value() - floors(state) - others;
    auto const before = newest_amount(known);
    auto const reach = before + state.growth_millionths / millionths;
    auto const amount = std::max<qint64>(0, std::min({target, room, reach}));
    auto const growth = std::max<qint64>(0, amount - before);
    state.growth_millionths -= growth * millionths;
    return amount;
}

bool grant_ledger::is_overtaken(account const& known,
                                grant_request const& request)
{
    if (known.holder_incarnation != request.holder_incarnation)
    {
        return request.holder_incarnation < known.holder_incarnation;
    }
    return request.sequence <= known.last_sequence;
}

qint64 grant_ledger::newest_amount(account const& known)
{
    bool const has_grant =
        !known.grants.empty() &&
        known.grants.back().holder_incarnation == known.holder_incarnation;
    return has_grant ? known.grants.back().amount : 0;
}

// The holder may use any one of its grants that it has not said to have
// replaced, so the highest counts.
qint64 grant_ledger::charge(account const& known, incarnation process,
                            monotonic_time as_of)
{
    qint64 highest = 0;
    for (auto const& made : known.grants)
    {
        if (made.holder_incarnation == process && made.end > as_of)
        {
            highest = std::max(highest, made.amount);
        }
    }
    bool const is_current = process == known.holder_incarnation;
    bool const is_heard = known.heard_until > as_of;
    return is_current && is_heard
               ? std::max(highest, known.in_use - known.floor)
               : highest;
}

qint64 grant_ledger::charges(resource_state const& state, monotonic_time as_of)
{
    qint64 sum = 0;
    for (auto const& [holder, known] : state.accounts)
    {
        std::set<incarnation> processes{known.holder_incarnation};
        for (auto const& made : known.grants)
        {
            processes.insert(made.holder_incarnation);
        }
        for (auto const& process : processes)
        {
            sum += charge(known, process, as_of);
        }
    }
    return sum;
}

} // namespace verbenacove
