#ifndef VERBENACOVE_TEAMS_KEY_CONFIRMATION_HPP
#define VERBENACOVE_TEAMS_KEY_CONFIRMATION_HPP

#include "verbenacove/core/boot_clock.hpp"
#include "verbenacove/core/clock.hpp"

#include <QCborMap>

#include <optional>

namespace verbenacove
{

/** States that the routes of a revision, and of each later one, hold every
    change that was accepted before a time.

    Its time is at or before the true one at each process that it reaches, so it
    stays true whatever was delayed, frozen or lost on the way.
*/
struct key_confirmation
{
    /** Reading of the clock of the process that holds it. */
    boot_time as_of;
    qint64 revision = 0;

    friend bool operator==(key_confirmation const&,
                           key_confirmation const&) = default;
};

/** Adds a confirmation to a reply. Its time is sent relative to that of the
    request, so that no reading of a clock leaves the process.

    @param received  the time at which this process took the request
*/
void add_to(QCborMap& reply, key_confirmation const& known, boot_time received);

/** Reads the confirmation in a reply, if any.

    @param sent  the time before which this process did not send the request
    @param now   the time at which the reply is read; a confirmation is never
                 of a later time
*/
std::optional<key_confirmation>
parse_key_confirmation(QCborMap const& reply, boot_time sent, boot_time now);

/** Adds the age of the latest confirmation, if any, to a request. */
void add_age_to(QCborMap& request, std::optional<key_confirmation> const& known,
                boot_time now);

/** Returns whether the sender of a request should get a confirmation at once,
    and not with the next update: its own, whose age it has named, is old or
    missing, and this one is much later. In calm none is sent so.

    @param known     the confirmation that this process has
    @param received  the time at which this process took the request
*/
bool is_wanted_at_once(QCborMap const& request, key_confirmation const& known,
                       boot_time received);

/** Replaces a confirmation by another one if that is of a later time.

    @return  whether it was replaced
*/
bool advance(std::optional<key_confirmation>& known,
             key_confirmation const& other);

} // namespace verbenacove

#endif
