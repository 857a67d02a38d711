#include "verbenacove/request/region_shift_limit.hpp"

namespace verbenacove
{

namespace
{

constexpr milliseconds slice_length{200};
/** The share of the limit that one entry uses; below 1 because the shares of
    the entries of a region change by different amounts. */
constexpr double used_share = 0.6;
/** The minimum number of requests in the earlier window; with fewer the share
    is not significant and no limit applies. */
constexpr int minimum_requests = 10;

} // namespace

region_shift_limit::region_shift_limit(double maximum_change)
    : maximum_change_(maximum_change)
{
}

bool region_shift_limit::may_leave(monotonic_time now)
{
    remove_expired(now);
    auto const previous = share_between(now - 2 * window, now - window);
    auto const current = share_between(now - window, now);
    if (previous.sent < minimum_requests)
    {
        return true;
    }
    double const upper_limit = previous.value() + maximum_change_ * used_share;
    double const next = (current.left_region + 1.0) / (current.sent + 1.0);
    // The first request of a window may leave even if it alone exceeds the
    // limit; otherwise none could leave at a low request rate.
    return next <= upper_limit || (current.left_region == 0 && upper_limit > 0);
}

bool region_shift_limit::should_leave(monotonic_time now)
{
    remove_expired(now);
    auto const previous = share_between(now - 2 * window, now - window);
    auto const current = share_between(now - window, now);
    if (previous.sent < minimum_requests)
    {
        return false;
    }
    double const lower_limit = previous.value() - maximum_change_ * used_share;
    return lower_limit > 0 &&
           static_cast<double>(current.left_region) / (current.sent + 1.0) <
               lower_limit;
}

void region_shift_limit::count(monotonic_time now, bool leaves_region)
{
    if (slices_.empty() || elapsed(slices_.back().start, now) >= slice_length)
    {
        slices_.push_back({now, 0, 0});
    }
    ++slices_.back().sent;
    slices_.back().left_region += leaves_region ? 1 : 0;
}

void region_shift_limit::remove_expired(monotonic_time now)
{
    while (!slices_.empty() && elapsed(slices_.front().start, now) > 2 * window)
    {
        slices_.pop_front();
    }
}

region_shift_limit::share
region_shift_limit::share_between(monotonic_time from, monotonic_time to) const
{
    share result;
    for (auto const& each : slices_)
    {
        if (each.start >= from && each.start < to)
        {
            result.sent += each.sent;
            result.left_region += each.left_region;
        }
    }
    return result;
}

} // namespace verbenacove
