#include "verbenacove/process/raft_rpc_transport.hpp"

#include <utility>

namespace verbenacove
{

void raft_rpc_transport::send(socket_address const& to, QCborMap message,
                              milliseconds timeout, callback done)
{
    client_in(clients_, to).call(std::move(message), timeout, std::move(done));
}

void raft_rpc_transport::send_bulk(socket_address const& to, QCborMap message,
                                   milliseconds timeout, callback done)
{
    client_in(bulk_clients_, to)
        .call(std::move(message), timeout, std::move(done));
}

rpc_client& raft_rpc_transport::client_in(client_table& clients,
                                          socket_address const& address)
{
    auto& client = clients[address];
    if (!client)
    {
        client = std::make_shared<rpc_client>(address);
    }
    return *client;
}

} // namespace verbenacove
