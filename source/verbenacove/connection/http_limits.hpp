#ifndef VERBENACOVE_CONNECTION_HTTP_LIMITS_HPP
#define VERBENACOVE_CONNECTION_HTTP_LIMITS_HPP

#include "verbenacove/core/clock.hpp"

#include <QByteArray>

#include <functional>

namespace verbenacove
{

/** What an http_server takes from its callers; each is at least 1. */
struct http_limits
{
    /** The most bytes of one request's body. */
    qint64 maximum_body_bytes = qint64{1024} * 1024;
    /** Returns the most bytes of the body of one kind of request, in addition
        to that bound; may be empty. */
    std::function<qint64(QByteArray const& method, QByteArray const& path)>
        body_bytes_for;
    /** The most bytes of one request's first line and headers. */
    qint64 maximum_header_bytes = qint64{16} * 1024;
    /** The most headers of one request. */
    int maximum_headers = 64;
    /** The most connections at a time. */
    int maximum_connections = 4096;
    /** The most requests of one connection whose answers are outstanding;
        further ones are left unread. */
    int maximum_pipelined = 16;
    /** From a request's first byte to the end of its headers. */
    milliseconds header_timeout{5000};
    /** From the end of a request's headers to the end of its body. */
    milliseconds body_timeout{15000};
    /** The longest time that a connection may stay without a request. */
    milliseconds idle_timeout{30000};
    /** The longest time that a caller may take to read its answers. */
    milliseconds answer_timeout{30000};
    /** The most bytes of request bodies, and of answers that wait behind
        earlier ones, of all connections together; a request that goes beyond is
        refused with 503, and a connection whose answer does is closed. */
    qint64 maximum_held_bytes = qint64{64} * 1024 * 1024;
    /** The most bytes of answers that one connection's caller has yet to
        read when a further one is added; beyond, the further ones wait. */
    qint64 maximum_unsent_bytes = qint64{4} * 1024 * 1024;
};

} // namespace verbenacove

#endif
