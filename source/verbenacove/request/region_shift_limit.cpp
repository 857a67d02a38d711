#include "verbenacove/request/region_shift_limit.hpp"

namespace verbenacove
{

namespace
{

constexpr milliseconds slice_length{200};
/** The share of the limit that one entry uses; below 1 because the entries of a
    region do not change at the same time. */
constexpr double used_share = 0.6;
/** The minimum number of requests in the earlier window; with fewer the share
    is not significant and no limit applies. */
constexpr int fewest_requests = 10;

} // namespace

region_shift_limit::region_shift_limit(double largest_change)
    : largest_change_(largest_change)
{
}

bool region_shift_limit::may_leave(monotonic_time now)
{
    forget_old(now);
    auto const before = of(now - 2 * window, now - window);
    auto const current = of(now - window, now);
    if (before.sent < fewest_requests)
    {
        return true;
    }
    double const most = before.value() + largest_change_ * used_share;
    double const next = (current.left + 1.0) / (current.sent + 1.0);
    return next <= most || (current.left == 0 && most > 0);
}

bool region_shift_limit::should_leave(monotonic_time now)
{
    forget_old(now);
    auto const before = of(now - 2 * window, now - window);
    auto const current = of(now - window, now);
    if (before.sent < fewest_requests)
    {
        return false;
    }
    double const least = before.value() - largest_change_ * used_share;
    return least > 0 &&
           static_cast<double>(current.left) / (current.sent + 1.0) < least;
}

void region_shift_limit::count(monotonic_time now, bool has_left)
{
    if (slices_.empty() || elapsed(slices_.back().start, now) >= slice_length)
    {
        slices_.push_back({now, 0, 0});
    }
    ++slices_.back().sent;
    slices_.back().left += has_left ? 1 : 0;
}

void region_shift_limit::forget_old(monotonic_time now)
{
    while (!slices_.empty() && elapsed(slices_.front().start, now) > 2 * window)
    {
        slices_.pop_front();
    }
}

region_shift_limit::share region_shift_limit::of(monotonic_time from,
                                                 monotonic_time to) const
{
    share result;
    for (auto const& each : slices_)
    {
        if (each.start >= from && each.start < to)
        {
            result.sent += each.sent;
            result.left += each.left;
        }
    }
    return result;
}

} // namespace verbenacove
