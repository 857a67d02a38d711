#include "verbenacove/request/admission.hpp"

#include <algorithm>
#include <numeric>

namespace verbenacove
{

namespace
{

constexpr int percent = 100;
// The divisor of the moving average: each hold time changes the mean by the
// difference divided by this.
constexpr int mean_divisor = 8;

std::size_t index_of(request_class kind)
{
    return std::size_t(kind);
}

} // namespace

class_policies default_class_policies()
{
    // In the order of the members: maximum_slot_percent, maximum_waiting,
    // maximum_wait, refuses_early.
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
    decisions decided;
    admit_waiting(changed, service, decided);
    notify(decided);
}

admission::result admission::enter(service_name const& service,
                                   request_class kind, monotonic_time deadline,
                                   callback on_decision)
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
    auto const expiry = std::min(deadline, now + policy.maximum_wait);
    if (waiting.size() >= policy.maximum_waiting ||
        (policy.refuses_early && is_unlikely_in_time(*found, kind, expiry)))
    {
        return {admission_decision::overloaded, {}};
    }
    waiting.push_back({last_ticket_, deadline, expiry, std::move(on_decision)});
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
    decisions decided;
    for (auto& pool : pools_)
    {
        expire_waiting(pool, decided);
    }
    notify(decided);
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
                next = std::min(next.value_or(request.expiry), request.expiry);
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

bool admission::has_free_slot(pool const& service_pool,
                              request_class kind) const
{
    auto const share = policies_.at(index_of(kind)).maximum_slot_percent;
    auto const class_slots = std::max(1, service_pool.slots * share / percent);
    return running(service_pool) < service_pool.slots &&
           service_pool.running.at(index_of(kind)) < class_slots;
}

// Returns true when a new request of a class is not expected to get a slot
// before `expiry`: the waiting requests of its class and of the classes before
// it go first, and each holds a slot for the mean hold time.
bool admission::is_unlikely_in_time(pool const& service_pool,
                                    request_class kind,
                                    monotonic_time expiry) const
{
    if (service_pool.slots <= 0)
    {
        return true;
    }
    // The new request itself counts as one.
    std::size_t preceding = 1;
    for (std::size_t i = 0; i <= index_of(kind); ++i)
    {
        preceding += service_pool.waiting.at(i).size();
    }
    auto const wait =
        service_pool.mean_hold_time * qint64(preceding) / service_pool.slots;
    return clock_.now() + wait >= expiry;
}

void admission::assign_slot(pool& service_pool, service_name const& service,
                            request_class kind, admission_ticket ticket)
{
    ++service_pool.running.at(index_of(kind));
    running_.insert(ticket, {service, kind, clock_.now()});
}

void admission::release_slot(running_request const& ended)
{
    auto const found = pools_.find(ended.service);
    --found->running.at(index_of(ended.kind));
    auto const hold_time = clock_.now() - ended.start;
    found->mean_hold_time += (hold_time - found->mean_hold_time) / mean_divisor;
    decisions decided;
    admit_waiting(*found, ended.service, decided);
    notify(decided);
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

void admission::admit_waiting(pool& service_pool, service_name const& service,
                              decisions& decided)
{
    expire_waiting(service_pool, decided);
    for (std::size_t i = 0; i < request_class_count; ++i)
    {
        auto const kind = request_class(i);
        auto& waiting = service_pool.waiting.at(i);
        while (!waiting.empty() && has_free_slot(service_pool, kind))
        {
            auto const ticket = waiting.front().ticket;
            decided.push_back({std::move(waiting.front().on_decision),
                               admission_decision::admitted});
            waiting.pop_front();
            waiting_.remove(ticket);
            assign_slot(service_pool, service, kind, ticket);
        }
    }
}

void admission::expire_waiting(pool& service_pool, decisions& decided)
{
    auto const now = clock_.now();
    for (auto& waiting : service_pool.waiting)
    {
        std::erase_if(
            waiting,
            [&](waiting_request& request)
            {
                if (now < request.expiry)
                {
                    return false;
                }
                auto const reason = now >= request.deadline
                                        ? admission_decision::deadline
                                        : admission_decision::overloaded;
                decided.push_back({std::move(request.on_decision), reason});
                waiting_.remove(request.ticket);
                return true;
            });
    }
}

int admission::running(pool const& service_pool)
{
    return std::accumulate(service_pool.running.begin(),
                           service_pool.running.end(), 0);
}

// Called after all changes, with a consistent state, because the callbacks may
// call this object again.
void admission::notify(decisions const& decided)
{
    for (auto const& one : decided)
    {
        one.on_decision(one.decision);
    }
}

} // namespace verbenacove
