#ifndef VERBENACOVE_PROCESS_DISCOVERY_CRASH_EXCHANGE_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_CRASH_EXCHANGE_HPP

#include "verbenacove/request/quarantine.hpp"

#include <QCborMap>

namespace verbenacove
{

/** Adds the crashes after a position to a message, when there are any.

    @return the position that the message brings its receiver to
*/
quarantine_cursor add_crashes(QCborMap& message, quarantine const& known,
                              quarantine_cursor since);

/** Returns the crashes that a message carries; nothing when there are none
    or they cannot be read, which is logged. */
std::optional<quarantine_update> crashes_in(QCborMap const& message);

/** How far a reader knows the crashes that one source tells of. A source that
    has started anew counts from the beginning. */
class crash_position
{
public:
    /** Adds the position to a question for news. */
    void add_to(QCborMap& question) const;

    /** Moves on by an answer.

        @param stream  tells one start of the source from another
    */
    void move(qint64 stream, std::optional<quarantine_update> const& news);

    /** Returns the position that a question names. */
    static quarantine_cursor in(QCborMap const& question);

private:
    qint64 stream_ = 0;
    quarantine_cursor since_{0};
};

} // namespace verbenacove

#endif
