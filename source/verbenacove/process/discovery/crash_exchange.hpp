#ifndef VERBENACOVE_PROCESS_DISCOVERY_CRASH_EXCHANGE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_CRASH_EXCHANGE_HPP

#include "verbenacove/request/quarantine.hpp"

#include <QCborMap>

namespace verbenacove
{

/** Adds the crashes of a scope after a position to a message, if there are
    any.

    @return the position that the receiver has reached once it has applied the
            message
*/
quarantine_cursor add_crashes(QCborMap& message, quarantine const& known,
                              quarantine_cursor since,
                              record_scope scope = record_scope::all);

/** Adds crashes to the responses to many readers, most of which have the same
    position: what they need is written once. */
class shared_crash_update
{
public:
    /** As add_crashes(), for all changes. */
    void add_to(QCborMap& message, quarantine const& known,
                quarantine_cursor since, monotonic_time now);

private:
    quarantine_cursor since_;
    /** Latest change when the update was written. */
    quarantine_cursor last_change_;
    monotonic_time written_{};
    QCborMap update_;
};

/** Returns the crashes in a message; nothing when there are none or when they
    are malformed, which is logged. */
std::optional<quarantine_update> parse_crashes(QCborMap const& message);

/** Tracks a reader's position in the crashes that a source reports.

    The position restarts from zero when the source restarts, or when another
    source is read.
*/
class crash_position
{
public:
    /** Adds the position to a request for updates. */
    void add_to(QCborMap& request) const;

    /** Advances the position by a response.

        @param view_id  identifies the source's membership view, which is a new
                        one after each restart
        @param crashes  crashes in the response, if any
    */
    void apply_response(qint64 view_id,
                        std::optional<quarantine_update> const& crashes);

    /** Returns the position that add_to() added to a request. */
    static quarantine_cursor parse(QCborMap const& request);

private:
    qint64 view_id_ = 0;
    quarantine_cursor since_{0};
};

} // namespace verbenacove

#endif
