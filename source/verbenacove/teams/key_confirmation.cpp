#include "verbenacove/teams/key_confirmation.hpp"

#include "verbenacove/core/cbor.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

/** Limit of the time that is read from a message; keeps sums in range. */
constexpr qint64 maximum_offset_ms = qint64{24} * 3600 * 1000;

/** Sent instead of an age where there is no confirmation. */
constexpr milliseconds no_age{-1};
/** Age from which on a confirmation is old; longer than all that delays one in
    calm. */
constexpr milliseconds old_age{1500};
/** Minimum time by which a confirmation that is sent at once is later. */
constexpr milliseconds minimum_gain{500};

} // namespace

void add_to(QCborMap& reply, key_confirmation const& known, boot_time received)
{
    // Rounded down, also where it is below zero.
    auto const offset =
        std::chrono::floor<milliseconds>(known.as_of - received);
    reply[QLatin1String("confirmed_ms")] = qint64{offset.count()};
    reply[QLatin1String("confirmed_revision")] = known.revision;
}

std::optional<key_confirmation>
parse_key_confirmation(QCborMap const& reply, boot_time sent, boot_time now)
{
    auto const offset = reply.value(QLatin1String("confirmed_ms"));
    auto const revision = reply.value(QLatin1String("confirmed_revision"));
    if (!offset.isInteger() || !revision.isInteger() ||
        offset.toInteger() < -maximum_offset_ms)
    {
        return std::nullopt;
    }
    milliseconds const span(std::min(offset.toInteger(), maximum_offset_ms));
    return key_confirmation{std::min(sent + span, now), revision.toInteger()};
}

void add_age_to(QCborMap& request, std::optional<key_confirmation> const& known,
                boot_time now)
{
    auto const age =
        known ? std::chrono::duration_cast<milliseconds>(now - known->as_of)
              : no_age;
    request[QLatin1String("confirmed_age")] = qint64{age.count()};
}

bool is_wanted_at_once(QCborMap const& request, key_confirmation const& known,
                       boot_time received)
{
    auto const value = request.value(QLatin1String("confirmed_age"));
    if (!value.isInteger())
    {
        return false;
    }
    milliseconds const age(std::min(value.toInteger(), maximum_offset_ms));
    bool const has_none = age.count() < 0;
    // The gain also bounds the number of such responses.
    return has_none ||
           (age >= old_age && received - known.as_of + minimum_gain <=
                                  std::chrono::nanoseconds(age));
}

bool advance(std::optional<key_confirmation>& known,
             key_confirmation const& other)
{
    bool const is_later = !known || other.as_of > known->as_of;
    if (is_later)
    {
        known = other;
    }
    return is_later;
}

} // namespace verbenacove
