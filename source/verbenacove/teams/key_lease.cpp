#include "verbenacove/teams/key_lease.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

/** The part of the revocation time that is left unused, for clocks that run at
    different rates: the confirmed time is measured by up to three of them.
    Twenty times the rate by which time services slew a clock. */
constexpr int clock_rate_divisor = 100;
/** Left unused besides, for readings that are rounded to milliseconds. */
constexpr milliseconds rounding_margin{10};

std::chrono::nanoseconds usable_time(std::chrono::nanoseconds revocation)
{
    return std::max(std::chrono::nanoseconds(0),
                    revocation - revocation / clock_rate_divisor -
                        rounding_margin);
}

} // namespace

key_lease::key_lease(milliseconds revocation)
    : usable_time_(usable_time(revocation))
{
}

void key_lease::set_revision(qint64 revision)
{
    revision_ = revision;
    if (confirmed_ && confirmed_->revision > revision_)
    {
        confirmed_.reset();
    }
    adopt_pending();
}

void key_lease::confirm(key_confirmation const& confirmation)
{
    if (confirmation.revision <= revision_)
    {
        advance(confirmed_, confirmation);
        return;
    }
    advance(pending_, confirmation);
}

void key_lease::adopt_pending()
{
    if (pending_ && pending_->revision <= revision_)
    {
        advance(confirmed_, *pending_);
        pending_.reset();
    }
}

std::optional<boot_time> key_lease::end() const
{
    return confirmed_ ? std::optional(confirmed_->as_of + usable_time_)
                      : std::nullopt;
}

bool key_lease::is_valid(boot_time now) const
{
    auto const at = end();
    return at && now < *at;
}

milliseconds key_lease::remaining(boot_time now) const
{
    auto const at = end();
    return at ? std::max(milliseconds(0),
                         std::chrono::floor<milliseconds>(*at - now))
              : milliseconds(0);
}

std::optional<milliseconds> key_lease::age(boot_time now) const
{
    return confirmed_ ? std::optional(std::chrono::floor<milliseconds>(
                            now - confirmed_->as_of))
                      : std::nullopt;
}

} // namespace verbenacove
