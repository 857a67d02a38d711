#ifndef VERBENACOVE_TEAMS_KEY_LEASE_HPP
#define VERBENACOVE_TEAMS_KEY_LEASE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/teams/key_confirmation.hpp"

#include <optional>

namespace verbenacove
{

/** The right of an entry to run requests by the keys that it holds; it ends by
    itself.

    Each confirmation of these keys extends it. It ends before the revocation
    time has passed since the confirmed time, so a key that was withdrawn is not
    accepted for longer, whatever happens to this entry. Confirmations and
    tables of keys may come in any order.

    Use it on one thread.
*/
class key_lease
{
public:
    /** Creates a lease that has not begun.

        @param revocation  the time after which a withdrawn key must not be
                           accepted anywhere
    */
    explicit key_lease(milliseconds revocation);

    /** Must be called when the table of keys is replaced, with the revision of
        the routes that it belongs to. */
    void set_revision(qint64 revision);

    /** Extends the lease, at once or as soon as the table of keys is of that
        revision. */
    void confirm(key_confirmation const& confirmation);

    /** Returns whether keys may be accepted at a time; must be asked with a
        reading that was made after the request had come. */
    bool is_valid(boot_time now) const;

    /** Returns how long the lease lasts from a time on; zero when it has
        ended. */
    milliseconds remaining(boot_time now) const;

    /** Returns the age of the confirmation in use; nothing without any. */
    std::optional<milliseconds> age(boot_time now) const;

private:
    void adopt_pending();
    /** Returns when the lease ends; nothing if it has not begun. */
    std::optional<boot_time> end() const;

    std::chrono::nanoseconds usable_time_;
    qint64 revision_ = -1;
    /** That of the table in use. */
    std::optional<key_confirmation> confirmed_;
    /** That of a table that has not come yet. */
    std::optional<key_confirmation> pending_;
};

} // namespace verbenacove

#endif
