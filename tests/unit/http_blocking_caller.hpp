#ifndef VERBENACOVE_HTTP_BLOCKING_CALLER_HPP
#define VERBENACOVE_HTTP_BLOCKING_CALLER_HPP

#include <QByteArray>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace verbenacove
{

/** A caller with a plain blocking socket, apart from Qt's event loop. */
class blocking_caller
{
public:
    /** Connects to a port of this machine; see is_connected. */
    explicit blocking_caller(quint16 port)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int const on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        is_connected_ =
            ::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)) == 0;
    }

    ~blocking_caller() { ::close(socket_); }
    blocking_caller(blocking_caller const&) = delete;
    blocking_caller& operator=(blocking_caller const&) = delete;

    bool is_connected() const { return is_connected_; }

    /** Writes it all; false when the connection has been cut. */
    bool send(QByteArray const& bytes) const
    {
        qsizetype sent = 0;
        while (sent < bytes.size())
        {
            auto const rest = static_cast<std::size_t>(bytes.size() - sent);
            auto const count =
                ::send(socket_, bytes.data() + sent, rest, MSG_NOSIGNAL);
            if (count <= 0)
            {
                return false;
            }
            sent += count;
        }
        return true;
    }

    /** Returns bytes that have come, at least one unless `flags` say
        otherwise; empty when the connection has closed. */
    QByteArray receive(int flags = 0) const
    {
        std::array<char, 4096> block{};
        auto const count = ::recv(socket_, block.data(), block.size(), flags);
        return {block.data(), std::max<qsizetype>(count, 0)};
    }

private:
    int socket_;
    bool is_connected_ = false;
};

} // namespace verbenacove

#endif
