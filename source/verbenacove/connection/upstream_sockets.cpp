#include "verbenacove/connection/upstream_sockets.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace verbenacove
{

namespace
{

// How long sent bytes may stay unacknowledged: past it the path is silent,
// however long the upstream itself may take to answer.
constexpr int unacknowledged_timeout_ms = 5000;

} // namespace

size_t qHash(connection_ends const& ends, size_t seed)
{
    return qHashMulti(seed, ends.upstream, ends.local_port);
}

upstream_sockets::descriptor upstream_sockets::open(int family, int type,
                                                    int protocol)
{
    auto const socket = ::socket(family, type | SOCK_CLOEXEC, protocol);
    if (socket != none)
    {
        ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &unacknowledged_timeout_ms,
                     sizeof(unacknowledged_timeout_ms));
    }
    return socket;
}

void upstream_sockets::name(connection_ends const& ends, descriptor socket)
{
    sockets_.insert(ends, socket);
    names_.insert(socket, ends);
}

upstream_sockets::descriptor
upstream_sockets::find(connection_ends const& ends) const
{
    return sockets_.value(ends, none);
}

void upstream_sockets::close(descriptor socket)
{
    auto const found = names_.constFind(socket);
    if (found != names_.constEnd())
    {
        sockets_.remove(*found);
        names_.erase(found);
    }
    ::close(socket);
}

bool upstream_sockets::is_quiet(descriptor socket)
{
    char byte = 0;
    auto const count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool upstream_sockets::has_ended(descriptor socket)
{
    pollfd watched{socket, POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) > 0;
}

} // namespace verbenacove
