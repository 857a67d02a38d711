#include "verbenacove/connection/caller_budget.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace verbenacove
{

namespace
{

/** A connection that has made progress within this time is not released for
    memory. */
constexpr milliseconds stall_grace{250};

/** Bytes that an ordinary request holds at most; it may use the reserve. */
constexpr qint64 ordinary_bytes = qint64{48} * 1024;

/** Connections released for one that needs room. */
constexpr int maximum_releases = 64;

constexpr qint64 memory_share = 4;
constexpr qint64 descriptor_share = 2;
constexpr qint64 lowest_memory = qint64{1024} * 1024;

} // namespace

qint64 process_descriptors()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY)
    {
        return 0;
    }
    return static_cast<qint64>(limit.rlim_cur);
}

caller_share caller_share_of(qint64 memory_bytes, qint64 descriptors)
{
    caller_share result;
    if (memory_bytes > 0)
    {
        result.memory_bytes = std::clamp(memory_bytes / memory_share,
                                         lowest_memory, result.memory_bytes);
    }
    auto const own = process_descriptors();
    if (descriptors == 0 || (own > 0 && own < descriptors))
    {
        descriptors = own;
    }
    if (descriptors > 0)
    {
        result.connections = static_cast<int>(std::clamp<qint64>(
            descriptors / descriptor_share, 1, result.connections));
    }
    return result;
}

bool caller_budget::is_scarce() const
{
    return charged_bytes_ > limits_.memory_bytes / 4 * 3 ||
           used_connections() > maximum_used_connections() * 3 / 4;
}

bool caller_budget::has_upstream_room(bool is_followed) const
{
    auto const maximum = maximum_used_connections();
    return used_connections() < (is_followed ? maximum * 3 / 4 : maximum);
}

int caller_budget::open_connections() const
{
    int result = 0;
    for (auto const* const each : endpoints_)
    {
        result += each->open_connections();
    }
    return result;
}

int caller_budget::used_connections() const
{
    return open_connections() + (count_upstreams_ ? count_upstreams_() : 0);
}

int caller_budget::maximum_used_connections() const
{
    return limits_.connections + limits_.connections / 4;
}

// A single large request is served in calm, whatever its size. What it takes
// beyond the bound doesn't count for the others.
bool caller_budget::has_room(qint64 own_bytes)
{
    auto const reserve = limits_.memory_bytes / 8;
    if (own_bytes >= charged_bytes_ / 4 * 3)
    {
        exempt_bytes_ = std::max(exempt_bytes_,
                                 own_bytes - (limits_.memory_bytes - reserve));
        return true;
    }
    auto const bound = own_bytes <= ordinary_bytes
                           ? limits_.memory_bytes
                           : limits_.memory_bytes - reserve;
    return charged_bytes_ - exempt_bytes_ <= bound;
}

void caller_budget::charge(qint64 change)
{
    charged_bytes_ += change;
    if (charged_bytes_ <= limits_.memory_bytes)
    {
        exempt_bytes_ = 0;
    }
}

bool caller_budget::make_room(qint64 own_bytes, monotonic_time now)
{
    if (is_releasing_)
    {
        return true;
    }
    for (int i = 0; i < maximum_releases && !has_room(own_bytes); ++i)
    {
        if (!release_one(now - stall_grace, false))
        {
            break;
        }
        ++totals_.released_for_memory;
    }
    bool const result = has_room(own_bytes);
    totals_.refused += result ? 0 : 1;
    return result;
}

bool caller_budget::make_connection_room(monotonic_time now)
{
    if (open_connections() < limits_.connections)
    {
        return true;
    }
    bool const result = release_one(now, true);
    totals_.released_for_connections += result ? 1 : 0;
    totals_.refused += result ? 0 : 1;
    return result;
}

bool caller_budget::release_one(monotonic_time stalled_before,
                                bool is_closed_at_once)
{
    endpoint* chosen = nullptr;
    auto longest = stalled_before;
    for (auto* const each : endpoints_)
    {
        auto const since = each->longest_stalled(is_closed_at_once);
        if (since && *since <= longest)
        {
            chosen = each;
            longest = *since;
        }
    }
    if (chosen == nullptr)
    {
        return false;
    }
    is_releasing_ = true;
    chosen->release_longest_stalled(is_closed_at_once);
    is_releasing_ = false;
    return true;
}

} // namespace verbenacove
