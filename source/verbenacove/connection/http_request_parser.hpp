#ifndef VERBENACOVE_CONNECTION_HTTP_REQUEST_PARSER_HPP
#define VERBENACOVE_CONNECTION_HTTP_REQUEST_PARSER_HPP

#include "verbenacove/connection/http_limits.hpp"
#include "verbenacove/connection/http_message.hpp"

#include <memory>

namespace verbenacove
{

/** Turns the bytes of one HTTP/1 request into a message, within limits.

    It stores no more than the limits allow, and refuses a request as soon as
    it is known to be wrong: a body that is declared too long is refused
    before its first byte. The grammar is Boost.Beast's; the checks against
    requests that two hops could read in two ways are the parser's own. A new
    parser is needed for each request.
*/
class http_request_parser
{
public:
    /** How far the request has come. */
    enum class progress
    {
        nothing,
        header,
        body,
        complete,
        refused
    };

    /** Creates a parser; the limits must outlive it. */
    explicit http_request_parser(http_limits const& limits);
    ~http_request_parser();
    http_request_parser(http_request_parser const&) = delete;
    http_request_parser& operator=(http_request_parser const&) = delete;

    /** Takes bytes of the request.

        @return how many were used; the others are to be given again, with
                more behind them, unless the request is complete or refused
    */
    qsizetype put(QByteArrayView bytes);

    /** Returns how far the request has come. */
    progress state() const;

    /** Returns true when the caller waits for `100 Continue`. */
    bool expects_continue() const;

    /** Returns true when the request is HTTP/1.1, not HTTP/1.0. */
    bool is_http_1_1() const;

    /** Returns true when the connection may carry another request. */
    bool keeps_alive() const;

    /** Returns the bytes of the body that are stored so far. */
    qint64 body_bytes() const;

    /** Returns the approximate memory that the request takes so far, in
        bytes. */
    qint64 held_bytes() const;

    /** Moves the request out, once it is complete. */
    http_request take_request();

    /** Returns the answer to a refused request. */
    http_response refusal() const;

private:
    class grammar;
    std::unique_ptr<grammar> grammar_;
};

} // namespace verbenacove

#endif
