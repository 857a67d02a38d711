#ifndef VERBENACOVE_REQUEST_ROUTE_DIALECT_HPP
#define VERBENACOVE_REQUEST_ROUTE_DIALECT_HPP

#include "verbenacove/connection/http_message.hpp"
#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <optional>
#include <vector>

namespace verbenacove
{

/** What a caller says of its request beside HTTP itself. */
struct request_marks
{
    /** Identifies this attempt of the caller; empty when it gave none. */
    QByteArray id;
    /** How long the caller will wait. */
    std::optional<milliseconds> time_left;
    /** Requests about the same object have the same key; may be empty. */
    QByteArray affinity_key;
};

/** How busy an upstream says that it is. */
struct upstream_load
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/** What an upstream says with its answer beside HTTP itself. */
struct answer_marks
{
    /** The request that it answers; empty when it does not say. */
    QByteArray request_id;
    /** Vouches for the body; empty when there is none. */
    QByteArray signature;
    /** It did not run the request, and never will. */
    bool is_not_executed = false;
    /** Who answered; empty when it does not say. */
    upstream_id responder;
    std::optional<upstream_load> load;
    /** How long the upstream will bear few requests only, in answers to
        probes. */
    std::optional<milliseconds> cold_for;
};

/** Reads and writes the headers that callers, entries and upstreams use
    beside those of HTTP.

    @see routed_request
*/
class route_dialect
{
public:
    virtual ~route_dialect() = default;

    virtual request_marks read_request(http_request const& request) const = 0;

    virtual answer_marks read_answer(http_response const& answer) const = 0;

    /** Adds what an upstream must know, in place of what the caller wrote.

        @param expected  the only upstream that may run the request
    */
    virtual void mark_outgoing(std::vector<http_header>& headers,
                               milliseconds time_left,
                               upstream_id const& expected) const = 0;

    /** Tells a refused caller when to come back. */
    virtual void mark_retry_after(std::vector<http_header>& headers,
                                  milliseconds delay) const = 0;
};

} // namespace verbenacove

#endif
