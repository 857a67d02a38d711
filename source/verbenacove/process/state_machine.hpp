#ifndef VERBENACOVE_PROCESS_STATE_MACHINE_HPP
#define VERBENACOVE_PROCESS_STATE_MACHINE_HPP

#include "verbenacove/core/ids.hpp"

#include <QByteArray>
#include <QCborMap>

namespace verbenacove
{

/** What the replicated log drives: the same commands in the same order give
    the same state on each replica. It reads no clock and does no input or
    output.

    @see raft_node
*/
class state_machine
{
public:
    virtual ~state_machine() = default;

    /** Returns whether this build knows what a command means. One that it does
        not know was written by a later build and must not be applied. */
    virtual bool can_apply(QCborMap const& command) const
    {
        Q_UNUSED(command)
        return true;
    }

    /** Carries out a committed command and returns its result. */
    virtual QCborMap apply(QCborMap const& command, log_index index) = 0;

    /** Returns the whole state as bytes. */
    virtual QByteArray snapshot() const = 0;

    /** Replaces the whole state; false when the bytes are not a state, and
        then the state is as it was. */
    virtual bool restore(QByteArray const& state) = 0;
};

} // namespace verbenacove

#endif
