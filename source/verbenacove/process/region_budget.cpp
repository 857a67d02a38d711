#include "verbenacove/process/region_budget.hpp"

#include "verbenacove/process/limited_resources.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr qint64 bits_per_byte = 8;
/** The unused part of a link's share that may be used later. */
constexpr milliseconds longest_saving{100};
/** What an idle link asks for, in kbit/s, so that a first request may go. */
constexpr qint64 idle_link_demand = 1000;
constexpr qint64 idle_slot_demand = 1;
/** How much more than now is asked for, in percent. */
constexpr qint64 headroom_percent = 50;

} // namespace

region_budget::region_budget(entry_id own_id, incarnation started,
                             region_name own_region, clock_source const& clock)
    : own_region_(std::move(own_region))
    , clock_(clock)
    , holder_(std::move(own_id), started, clock)
{
}

void region_budget::update(config_view const& config)
{
    auto const limits = limited_resources(config);
    std::erase_if(uses_, [&limits](auto const& item)
                  { return limits.count(item.first) == 0; });
    auto const own_from = link_resource(own_region_, region_name()).value();
    auto const own_to = QLatin1Char('>') + own_region_.value();
    for (auto const& [name, limit] : limits)
    {
        bool const is_link = name.value().startsWith(QLatin1String("link:"));
        bool const is_own_link =
            name.value().startsWith(own_from) || name.value().endsWith(own_to);
        if (is_link && !is_own_link)
        {
            continue;
        }
        auto const [known, is_new] = uses_.emplace(name, use{});
        if (is_new)
        {
            known->second.is_link = is_link;
            known->second.filled = clock_.now();
            known->second.asked = clock_.now();
        }
    }
}

std::vector<grant_request> region_budget::next_requests()
{
    std::vector<grant_request> requests;
    auto const now = clock_.now();
    for (auto& [name, of] : uses_)
    {
        auto const used = in_use(name, of, now);
        auto const request = holder_.next_request(name, used, demand(of, used));
        if (request)
        {
            of.last_request = request->sequence;
            requests.push_back(*request);
        }
        of.used_bits = 0;
        of.refused = 0;
        of.asked = now;
    }
    return requests;
}

void region_budget::take(grant_answer const& answer)
{
    auto* const of = find(answer.resource);
    if (!holder_.take(answer) || of == nullptr)
    {
        return;
    }
    of->floor = answer.floor;
    if (answer.sequence == of->last_request)
    {
        of->granted = of->asked;
    }
}

grant_amount region_budget::usable(resource_name const& resource) const
{
    auto const most = holder_.usable(resource);
    auto const found = uses_.find(resource);
    if (found == uses_.end() || found->second.is_link)
    {
        return most;
    }
    auto const& of = found->second;
    bool const is_fresh = elapsed(of.granted, clock_.now()) < slot_start_time;
    return is_fresh ? most : std::min(most, of.floor);
}

bool region_budget::permits(region_name const& region)
{
    // All are asked, so that each notes what it could not give.
    bool const has_slots = has_slot(slots_resource(region));
    if (region == own_region_)
    {
        return has_slots;
    }
    bool const has_way = has_link_room(link_resource(own_region_, region));
    bool const has_return = has_link_room(link_resource(region, own_region_));
    return has_slots && has_way && has_return;
}

void region_budget::begin(region_name const& region, qint64 sent_bytes)
{
    ++running_[slots_resource(region)];
    count_bits(link_resource(own_region_, region), sent_bytes);
}

void region_budget::end(region_name const& region, qint64 received_bytes)
{
    auto const slots = running_.find(slots_resource(region));
    if (slots != running_.end() && --slots->second == 0)
    {
        running_.erase(slots);
    }
    count_bits(link_resource(region, own_region_), received_bytes);
}

void region_budget::fill(resource_name const& name, use& of)
{
    // The share as it is now, also for the time that has passed: a grant that
    // has run out meanwhile gives nothing.
    auto const now = clock_.now();
    double const rate = static_cast<double>(holder_.usable(name).value());
    auto const passed = static_cast<double>(elapsed(of.filled, now).count());
    auto const most = rate * static_cast<double>(longest_saving.count());
    of.bits_left = std::min(of.bits_left + rate * passed, most);
    of.filled = now;
}

bool region_budget::has_link_room(resource_name const& name)
{
    auto* const of = find(name);
    if (of == nullptr)
    {
        return true;
    }
    fill(name, *of);
    if (of->bits_left > 0)
    {
        return true;
    }
    ++of->refused;
    return false;
}

bool region_budget::has_slot(resource_name const& name)
{
    auto* const of = find(name);
    if (of == nullptr)
    {
        return true;
    }
    if (running(name) < usable(name).value())
    {
        return true;
    }
    ++of->refused;
    return false;
}

void region_budget::count_bits(resource_name const& name, qint64 bytes)
{
    if (auto* const of = find(name))
    {
        fill(name, *of);
        of->bits_left -= static_cast<double>(bytes * bits_per_byte);
        of->used_bits += bytes * bits_per_byte;
    }
}

grant_amount region_budget::in_use(resource_name const& name, use const& of,
                                   monotonic_time now) const
{
    auto const most = holder_.usable(name).value();
    if (!of.is_link)
    {
        return grant_amount(std::min(running(name), most));
    }
    auto const passed = std::max<qint64>(elapsed(of.asked, now).count(), 1);
    return grant_amount(std::min(of.used_bits / passed, most));
}

grant_amount region_budget::demand(use const& of, grant_amount in_use) const
{
    auto const idle = of.is_link ? idle_link_demand : idle_slot_demand;
    auto const more = in_use.value() * headroom_percent / 100;
    auto const refused =
        of.is_link && of.refused > 0 ? in_use.value() : of.refused;
    return grant_amount(in_use.value() + std::max(more, idle) + refused);
}

region_budget::use* region_budget::find(resource_name const& name)
{
    auto const found = uses_.find(name);
    return found == uses_.end() ? nullptr : &found->second;
}

qint64 region_budget::running(resource_name const& slots) const
{
    auto const found = running_.find(slots);
    return found == running_.end() ? 0 : found->second;
}

} // namespace verbenacove
