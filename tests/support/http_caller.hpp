#ifndef VERBENACOVE_SUPPORT_HTTP_CALLER_HPP
#define VERBENACOVE_SUPPORT_HTTP_CALLER_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <QByteArray>
#include <QHash>
#include <QJsonObject>

namespace verbenacove::support
{

/** Why a call yielded no whole answer. */
enum class call_error
{
    none,
    /** No connection was made, so nothing was sent. */
    connect_failed,
    /** The answer was not complete in time. */
    timed_out,
    /** The connection ended before the whole answer, or the answer does not
        say how long it is. */
    truncated,
    other
};

/** What a call yielded; status, headers and body may be there even when an
    error cut the answer short. */
struct http_answer
{
    call_error error = call_error::none;
    QString message;
    int status = 0;
    /** By name in lower case; the last one counts. */
    QHash<QByteArray, QByteArray> headers;
    QByteArray body;

    /** Returns true when a whole answer of this status came. */
    bool is(int expected_status) const;

    /** Returns the body as a JSON object, empty when it is none. */
    QJsonObject json() const;
};

/** One request. */
struct http_call
{
    socket_address address;
    QByteArray method = "GET";
    /** Path and query. */
    QByteArray target = "/";
    /** Whole lines, as `Idempotency-Key: k1`. */
    QList<QByteArray> headers;
    QByteArray body;
    milliseconds timeout{5000};
};

/** Sends a request over a new connection and blocks until its end.

    Each call sends the request at most once. Thread-safe.
*/
http_answer call_http(http_call const& call);

/** Sends raw bytes and returns what came until the other side closed or the
    time was up; for input that no HTTP library would send. */
QByteArray raw_exchange(socket_address const& address, QByteArray const& bytes,
                        milliseconds timeout);

} // namespace verbenacove::support

#endif
