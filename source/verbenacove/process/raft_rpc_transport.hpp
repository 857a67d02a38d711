#ifndef VERBENACOVE_PROCESS_RAFT_RPC_TRANSPORT_HPP
#define VERBENACOVE_PROCESS_RAFT_RPC_TRANSPORT_HPP

#include "verbenacove/connection/rpc_client.hpp"
#include "verbenacove/process/raft_node.hpp"

#include <QHash>

#include <memory>

namespace verbenacove
{

/** Carries a replica's messages by one rpc_client for each other replica. */
class raft_rpc_transport : public raft_transport
{
public:
    void send(socket_address const& to, QCborMap message, milliseconds timeout,
              callback done) override;

private:
    QHash<socket_address, std::shared_ptr<rpc_client>> clients_;
};

} // namespace verbenacove

#endif
