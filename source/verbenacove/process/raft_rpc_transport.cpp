#include "verbenacove/process/raft_rpc_transport.hpp"

#include <utility>

namespace verbenacove
{

void raft_rpc_transport::send(socket_address const& to, QCborMap message,
                              milliseconds timeout, callback done)
{
    client_in(clients_, to, rpc_client::urgency::urgent)
        .call(std::move(message), timeout, measured(std::move(done)));
}

void raft_rpc_transport::send_bulk(socket_address const& to, QCborMap message,
                                   milliseconds timeout, callback done)
{
    client_in(bulk_clients_, to, rpc_client::urgency::urgent)
        .call(std::move(message), timeout, measured(std::move(done)));
}

raft_transport::callback raft_rpc_transport::measured(callback done)
{
    return [this, done = std::move(done)](std::optional<QCborMap> reply)
    {
        work_meter::scope const scope(work_, work_kind::consensus);
        done(std::move(reply));
    };
}

rpc_client& raft_rpc_transport::client_in(client_table& clients,
                                          socket_address const& address,
                                          rpc_client::urgency urgency)
{
    auto& client = clients[address];
    if (!client)
    {
        client = std::make_shared<rpc_client>(address, urgency);
    }
    return *client;
}

} // namespace verbenacove
