#ifndef VERBENACOVE_REQUEST_CLAIM_SERVICE_HPP
#define VERBENACOVE_REQUEST_CLAIM_SERVICE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/version/claim_table.hpp"

#include <functional>
#include <optional>

namespace verbenacove
{

/** Has claim commands committed by a majority of the control replicas.

    @see claim_table
*/
class claim_service
{
public:
    /** Gets what the command came to, or nothing when that is not known: it
        may be committed later. */
    using callback = std::function<void(std::optional<claim_answer>)>;

    /** One command without its log time, which the leader sets. */
    using command_type = decltype(claim_log_command::command);

    virtual ~claim_service() = default;

    /** Proposes a command until it is committed or the time has run out;
        calls back once, never from within this call. */
    virtual void propose(command_type command, milliseconds time_left,
                         callback done) = 0;

    /** Returns a holder that no attempt has had before. */
    virtual claim_holder next_holder() = 0;
};

} // namespace verbenacove

#endif
