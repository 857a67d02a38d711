#ifndef VERBENACOVE_CONNECTION_UPSTREAM_SOCKETS_HPP
#define VERBENACOVE_CONNECTION_UPSTREAM_SOCKETS_HPP

#include "verbenacove/core/socket_address.hpp"

#include <QHash>

namespace verbenacove
{

/** Says which two ends a connection has. */
struct connection_ends
{
    socket_address upstream;
    int local_port = 0;

    friend bool operator==(connection_ends const&,
                           connection_ends const&) = default;
};

/** Hashes a connection's ends, for QHash. */
size_t qHash(connection_ends const& ends, size_t seed = 0);

/** The sockets that libcurl has open, so that a kept one can be looked at
    before it is used again.

    libcurl 7.88 does not look whether bytes wait on a kept connection: it
    would take a late second answer for the answer to the next request.
*/
class upstream_sockets
{
public:
    /** A file descriptor, or `none`. */
    using descriptor = int;
    static constexpr descriptor none = -1;

    /** Opens a socket as libcurl asks for it; returns `none` on failure. */
    descriptor open(int family, int type, int protocol);

    /** Notes which connection an open socket became. */
    void name(connection_ends const& ends, descriptor socket);

    /** Returns the socket of a connection, or `none`. */
    descriptor find(connection_ends const& ends) const;

    /** Closes a socket and forgets it. */
    void close(descriptor socket);

    /** Returns true when the socket is open and no byte waits in it. */
    static bool is_quiet(descriptor socket);

    /** Returns true when the other side has closed the connection or its
        sending side, whether or not bytes wait before that end. */
    static bool has_ended(descriptor socket);

private:
    QHash<connection_ends, descriptor> sockets_;
    QHash<descriptor, connection_ends> names_;
};

} // namespace verbenacove

#endif
