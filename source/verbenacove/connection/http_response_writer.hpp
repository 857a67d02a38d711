#ifndef VERBENACOVE_CONNECTION_HTTP_RESPONSE_WRITER_HPP
#define VERBENACOVE_CONNECTION_HTTP_RESPONSE_WRITER_HPP

#include "verbenacove/connection/http_message.hpp"

namespace verbenacove
{

/** Says for which request an answer is written. */
struct http_response_form
{
    /** The request was HEAD: its answer has no body. */
    bool is_head = false;
    /** The request was HTTP/1.1, not HTTP/1.0. */
    bool is_http_1_1 = true;
    /** The connection closes after the answer. */
    bool closes = false;
};

/** Returns the bytes of an answer, with its Content-Length and Connection.

    Headers that a hop sets by itself, or that cannot be written, are left
    out; a status that no answer may have becomes 500.
*/
QByteArray write_http_response(http_response const& response,
                               http_response_form const& form);

} // namespace verbenacove

#endif
