#ifndef VERBENACOVE_CONNECTION_HTTP_MESSAGE_HPP
#define VERBENACOVE_CONNECTION_HTTP_MESSAGE_HPP

#include <QByteArray>
#include <QByteArrayView>
#include <QHostAddress>

#include <chrono>
#include <vector>

namespace verbenacove
{

/** One header line; its name is kept as it was received. */
struct http_header
{
    QByteArray name;
    QByteArray value;
};

/** Returns the value of the first header of this name, in any case; empty
    when there is none.

    @see has_http_header
*/
QByteArray find_http_header(std::vector<http_header> const& headers,
                            QByteArrayView name);

/** Returns true when a header of this name, in any case, is there. */
bool has_http_header(std::vector<http_header> const& headers,
                     QByteArrayView name);

/** Returns the headers that a proxy may pass on.

    Left out are the hop-by-hop headers of RFC 9110, section 7.6.1, those that
    a `Connection` header names, and `Content-Length`, which the next hop's
    sender sets by itself.
*/
std::vector<http_header>
end_to_end_headers(std::vector<http_header> const& headers);

/** Returns true when the text can stand in a header's value: no control
    characters but the tab. */
bool is_header_text(QByteArrayView text);

/** Returns true when the text is a token of RFC 9110, as a method or a
    header's name must be. */
bool is_header_token(QByteArrayView text);

/** A whole request, as a caller sent it. */
struct http_request
{
    QByteArray method;
    /** The encoded path, without the query. */
    QByteArray path;
    /** What follows the first `?`; empty when there is none. */
    QByteArray query;
    std::vector<http_header> headers;
    QByteArray body;
    /** The caller's address. */
    QHostAddress remote;
    /** Time from its first byte to its last, as they were read. */
    std::chrono::milliseconds reading_time{0};
    /** Whether the caller had already sent more behind it. */
    bool is_followed = false;

    /** Returns a header's value; the name's case does not matter. */
    QByteArray header(QByteArrayView name) const;

    /** Returns true when a header is there, though it may be empty. */
    bool has_header(QByteArrayView name) const;
};

/** A whole answer. */
struct http_response
{
    /** From 200 to 599. */
    int status = 200;
    std::vector<http_header> headers;
    QByteArray body;
};

/** Returns the answer that tells an error: a JSON body with the code and the
    sentence, and `Run-Verdict: not-run`. */
http_response not_run_response(int status, QByteArray const& code,
                               QByteArray const& message);

} // namespace verbenacove

#endif
