#include "verbenacove/request/admission.hpp"

#include <algorithm>
#include <numeric>

namespace verbenacove
{

namespace
{

constexpr int percent = 100;
// Each run changes the mean by the difference divided by this.
constexpr int mean_divisor = 8;

std::size_t index_of(request_class kind)
{
    return std::size_t(kind);
}

} // namespace

class_policies default_class_policies()
{
    return {{{100, 64, std::chrono::seconds(1), true},
             {100, 64, std::chrono::seconds(2), true},
             {75, 1000, std::chrono::minutes(10), false}}};
}

std::optional<milliseconds> time_left(monotonic_time deadline,
                                      monotonic_time now)
{
    if (now >= deadline)
    {
        return std::nullopt;
    }
    return std::max(elapsed(now, deadline), milliseconds(1));
}

admission::admission(clock_source const& clock, class_policies const& policies)
    : clock_(clock)
    , policies_(policies)
{
}

void admission::set_slots(service_name const& service, slot_count slots)
{
    if (!pools_.contains(service) && pools_.size() >= maximum_services)
    {
        return;
    }
    auto& changed = pools_[service];
    changed.slots = slots.value();
    decisions pending;
    admit_waiting(changed, service, pending);
    notify(pending);
}

admission::result admission::enter(service_name const& service,
                                   request_class kind, monotonic_time deadline,
                                   callback decided)
{
    auto const now = clock_.now();
    if (now >= deadline)
    {
        return {admission_decision::deadline, {}};
    }
    auto const found = pools_.find(service);
    if (found == pools_.end())
    {
        return {admission_decision::overloaded, {}};
    }
    last_ticket_ = admission_ticket(last_ticket_.value() + 1);
    auto& waiting = found->waiting.at(index_of(kind));
    if (waiting.empty() && has_free_slot(*found, kind))
    {
        assign_slot(*found, service, kind, last_ticket_);
        return {admission_decision::admitted, last_ticket_};
    }
    auto const& policy = policies_.at(index_of(kind));
    auto const end = std::min(deadline, now + policy.maximum_wait);
    if (waiting.size() >= policy.maximum_waiting ||
        (policy.refuses_early && is_unlikely_in_time(*found, kind, end)))
    {
        return {admission_decision::overloaded, {}};
    }
    waiting.push_back({last_ticket_, deadline, end, std::move(decided)});
    waiting_.insert(last_ticket_, service);
    return {admission_decision::waiting, last_ticket_};
}

void admission::leave(admission_ticket ticket)
{
    if (!running_.contains(ticket))
    {
        remove_waiting(ticket);
        return;
    }
    release_slot(running_.take(ticket));
}

void admission::expire()
{
    decisions pending;
    for (auto& pool : pools_)
    {
        expire_waiting(pool, pending);
    }
    notify(pending);
}

std::optional<monotonic_time> admission::next_expiry() const
{
    std::optional<monotonic_time> next;
    for (auto const& pool : pools_)
    {
        for (auto const& waiting : pool.waiting)
        {
            for (auto const& request : waiting)
            {
                next = std::min(next.value_or(request.end), request.end);
            }
        }
    }
    return next;
}

int admission::running_count(service_name const& service) const
{
    auto const found = pools_.constFind(service);
    return found == pools_.constEnd() ? 0 : running(*found);
}

std::size_t admission::waiting_count(service_name const& service,
                                     request_class kind) const
{
    auto const found = pools_.constFind(service);
    return found == pools_.constEnd()
               ? 0
               : found->waiting.at(index_of(kind)).size();
}

bool admission::has_free_slot(pool const& from, request_class kind) const
{
    auto const share = policies_.at(index_of(kind)).maximum_slot_percent;
    auto const class_slots = std::max(1, from.slots * share / percent);
    return running(from) < from.slots &&
           from.running.at(index_of(kind)) < class_slots;
}

// Returns true when the requests with precedence are expected to occupy the
// slots until after `end`, at the mean time a slot is held.
bool admission::is_unlikely_in_time(pool const& from, request_class kind,
                                    monotonic_time end) const
{
    if (from.slots <= 0)
    {
        return true;
    }
    std::size_t preceding = 1;
    for (std::size_t i = 0; i <= index_of(kind); ++i)
    {
        preceding += from.waiting.at(i).size();
    }
    auto const wait = from.mean_hold_time * qint64(preceding) / from.slots;
    return clock_.now() + wait >= end;
}

void admission::assign_slot(pool& in, service_name const& service,
                            request_class kind, admission_ticket ticket)
{
    ++in.running.at(index_of(kind));
    running_.insert(ticket, {service, kind, clock_.now()});
}

void admission::release_slot(running_request const& ended)
{
    auto const found = pools_.find(ended.service);
    --found->running.at(index_of(ended.kind));
    auto const hold_time = clock_.now() - ended.start;
    found->mean_hold_time += (hold_time - found->mean_hold_time) / mean_divisor;
    decisions pending;
    admit_waiting(*found, ended.service, pending);
    notify(pending);
}

void admission::remove_waiting(admission_ticket ticket)
{
    auto const service = waiting_.constFind(ticket);
    if (service == waiting_.constEnd())
    {
        return;
    }
    for (auto& waiting : pools_[*service].waiting)
    {
        std::erase_if(waiting, [&](waiting_request const& request)
                      { return request.ticket == ticket; });
    }
    waiting_.erase(service);
}

void admission::admit_waiting(pool& in, service_name const& service,
                              decisions& pending)
{
    expire_waiting(in, pending);
    for (std::size_t i = 0; i < request_class_count; ++i)
    {
        auto const kind = request_class(i);
        auto& waiting = in.waiting.at(i);
        while (!waiting.empty() && has_free_slot(in, kind))
        {
            auto const ticket = waiting.front().ticket;
            pending.push_back({std::move(waiting.front().decided),
                               admission_decision::admitted});
            waiting.pop_front();
            waiting_.remove(ticket);
            assign_slot(in, service, kind, ticket);
        }
    }
}

void admission::expire_waiting(pool& in, decisions& pending)
{
    auto const now = clock_.now();
    for (auto& waiting : in.waiting)
    {
        std::erase_if(
            waiting,
            [&](waiting_request& request)
            {
                if (now < request.end)
                {
                    return false;
                }
                auto const reason = now >= request.deadline
                                        ? admission_decision::deadline
                                        : admission_decision::overloaded;
                pending.push_back({std::move(request.decided), reason});
                waiting_.remove(request.ticket);
                return true;
            });
    }
}

int admission::running(pool const& in)
{
    return std::accumulate(in.running.begin(), in.running.end(), 0);
}

// Called after all changes, with a consistent state, because the callbacks may
// call this object again.
void admission::notify(decisions const& pending)
{
    for (auto const& one : pending)
    {
        one.decided(one.decision);
    }
}

} // namespace verbenacove
