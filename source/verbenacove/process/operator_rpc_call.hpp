#ifndef VERBENACOVE_PROCESS_OPERATOR_RPC_CALL_HPP
#define VERBENACOVE_PROCESS_OPERATOR_RPC_CALL_HPP

#include <string>

namespace verbenacove
{

/** What came of one JSON-RPC call. */
struct operator_rpc_answer
{
    /** How the call ended. */
    enum class ending
    {
        /** With a result. */
        result,
        /** With an error that the server made. */
        error,
        /** No connection was made: nothing was sent. */
        no_connection,
        /** The answer was lost: the server may have acted. */
        answer_lost
    };

    ending how = ending::answer_lost;
    /** The JSON-RPC error's code, for `error`. */
    int code = 0;
    /** What went wrong, as a short text; empty for `result`. */
    std::string message;
    /** The result, or the error's data, as JSON. */
    std::string json;
};

/** Makes one JSON-RPC call on a connection of its own, and waits for it.

    The library's client headers are not valid C++17, so this file and its
    source are kept to C++14 and the source is built as such.

    @param url         where to, such as `http://127.0.0.1:7003/`
    @param method      the method's name
    @param parameters  named parameters, as a JSON object
    @param timeout_ms  the longest time for all of it
*/
operator_rpc_answer operator_rpc_call(std::string const& url,
                                      std::string const& method,
                                      std::string const& parameters,
                                      long timeout_ms);

} // namespace verbenacove

#endif
