#ifndef VERBENACOVE_REQUEST_CLAIM_SERVICE_HPP
#define VERBENACOVE_REQUEST_CLAIM_SERVICE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/version/claim_table.hpp"

#include <functional>
#include <optional>

namespace verbenacove
{

/** Commits claim commands on a majority of the control replicas.

    @see claim_table
*/
class claim_service
{
public:
    /** Called with the result of the command, or with nothing when the result
        is unknown: the command may still be committed later. */
    using callback = std::function<void(std::optional<claim_answer>)>;

    /** A claim command without its log time, which the leader sets. */
    using command_type = decltype(claim_log_command::command);

    virtual ~claim_service() = default;

    /** Proposes a command repeatedly until it is committed or the time has run
        out. Calls `done` exactly once, never from within this call. */
    virtual void propose(command_type command, milliseconds time_left,
                         callback done) = 0;

    /** Returns a claim holder that no other attempt has used. */
    virtual claim_holder next_holder() = 0;
};

} // namespace verbenacove

#endif
