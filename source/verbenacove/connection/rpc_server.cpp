#include "verbenacove/connection/rpc_server.hpp"

#include <utility>

namespace verbenacove
{

namespace
{

auto const id_key = QLatin1String("id");

} // namespace

rpc_server::rpc_server(handler handle)
    : handle_(std::move(handle))
    , self_(std::make_shared<rpc_server*>(this))
{
    QObject::connect(&server_, &QTcpServer::newConnection,
                     [this] { take_connection(); });
}

rpc_server::~rpc_server() = default;

bool rpc_server::listen(socket_address const& address)
{
    return server_.listen(address.host, address.port);
}

void rpc_server::take_connection()
{
    while (server_.hasPendingConnections())
    {
        std::unique_ptr<QTcpSocket> socket(server_.nextPendingConnection());
        if (connections_.size() >= maximum_connections)
        {
            socket->abort();
            socket.release()->deleteLater();
            continue;
        }
        socket->setParent(nullptr);
        auto const id = next_connection_++;
        connections_.insert(
            id, std::make_shared<frame_socket>(
                    std::move(socket),
                    frame_socket::listener{[this, id](QCborMap const& request)
                                           { handle_call(id, request); },
                                           [this, id]
                                           {
                                               connections_.remove(id);
                                           }}));
    }
}

void rpc_server::handle_call(qint64 connection, QCborMap const& request)
{
    std::weak_ptr<rpc_server*> const self = self_;
    auto const id = request.value(id_key);
    if (is_urgent_(request))
    {
        connections_.value(connection)->set_urgent();
    }
    handle_(request,
            [self, connection, id](QCborMap reply)
            {
                if (auto const server = self.lock())
                {
                    reply[id_key] = id;
                    (*server)->send_reply(connection, reply);
                }
            });
}

void rpc_server::send_reply(qint64 connection, QCborMap const& reply)
{
    // Kept alive here: a failing send ends the connection and its entry.
    auto const socket = connections_.value(connection);
    if (socket)
    {
        socket->send(reply);
    }
}

} // namespace verbenacove
