#include "verbenacove/process/raft_rpc_transport.hpp"

#include <utility>

namespace verbenacove
{

void raft_rpc_transport::send(socket_address const& to, QCborMap message,
                              milliseconds timeout, callback done)
{
    auto& client = clients_[to];
    if (!client)
    {
        client = std::make_shared<rpc_client>(to);
    }
    client->call(std::move(message), timeout, std::move(done));
}

} // namespace verbenacove
