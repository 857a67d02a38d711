#include "verbenacove/process/discovery/start_order.hpp"

namespace verbenacove
{

namespace
{

/** Time after which a first heartbeat without a second one is forgotten. */
constexpr milliseconds claim_retention{10000};

} // namespace

bool start_order::takes_over(QString const& id, incarnation start,
                             qint64 sequence, known_start const& known,
                             monotonic_time now)
{
    if (!known.has_replaced && !known.is_leaving && !known.is_elsewhere)
    {
        claims_.remove(id);
        return true;
    }
    if (!has_room(id, now))
    {
        return false;
    }
    auto& first = claims_[id];
    bool const is_alone = first.start == start &&
                          first.at >= known.last_heard &&
                          elapsed(first.at, now) < claim_retention;
    if (!is_alone)
    {
        first = {start, sequence, now};
        return false;
    }
    bool const is_alive =
        sequence > first.sequence && elapsed(first.at, now) >= minimum_proof;
    if (is_alive)
    {
        claims_.remove(id);
    }
    return is_alive;
}

bool start_order::has_room(QString const& id, monotonic_time now)
{
    if (claims_.size() >= maximum_claims && !claims_.contains(id))
    {
        claims_.removeIf(
            [now](auto const& item)
            { return elapsed(item.value().at, now) >= claim_retention; });
    }
    return claims_.size() < maximum_claims || claims_.contains(id);
}

} // namespace verbenacove
