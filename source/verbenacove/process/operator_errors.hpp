#ifndef VERBENACOVE_PROCESS_OPERATOR_ERRORS_HPP
#define VERBENACOVE_PROCESS_OPERATOR_ERRORS_HPP

#include "verbenacove/core/socket_address.hpp"

#include <QString>

#include <optional>

namespace verbenacove
{

/** The error when another control replica leads; nothing was changed. */
struct not_leader
{
    /** Where the leader listens for operators, when that is known. */
    std::optional<socket_address> leader;
};

/** The error when no majority of control replicas can be reached; nothing
    was changed. */
struct no_quorum
{
};

/** The error when the time ran out after a change was proposed. It may have
    been accepted: send it again with the same change id. */
struct outcome_unknown
{
};

/** The error when no control replica could answer; nothing was changed. */
struct control_unreachable
{
    /** What each one tried said last, one line for each. */
    QString reasons;
};

/** The error when a control replica did not understand the question. */
struct request_invalid
{
    /** What is wrong, one line for each fault. */
    QString reasons;
};

/** The codes of JSON-RPC errors at the operators' door; libjsonrpccpp has
    codes of its own from -32003 to -32001. */
enum class operator_error_code
{
    invalid_parameters = -32602,
    not_leader = -32050,
    no_quorum = -32051,
    outcome_unknown = -32052
};

} // namespace verbenacove

#endif
