#ifndef VERBENACOVE_PROCESS_RAFT_RPC_TRANSPORT_HPP
#define VERBENACOVE_PROCESS_RAFT_RPC_TRANSPORT_HPP

#include "verbenacove/connection/rpc_client.hpp"
#include "verbenacove/process/raft_node.hpp"
#include "verbenacove/process/work_meter.hpp"

#include <QHash>

#include <memory>

namespace verbenacove
{

/** Carries a replica's messages by two connections to each other replica, one
    of them for large messages. The other one goes before all other work of a
    busy replica. */
class raft_rpc_transport : public raft_transport
{
public:
    /** @param work  counts the time that the callbacks of `send` and
                     `send_bulk` take; must outlive this */
    explicit raft_rpc_transport(work_meter& work)
        : work_(work)
    {
    }

    void send(socket_address const& to, QCborMap message, milliseconds timeout,
              callback done) override;
    void send_bulk(socket_address const& to, QCborMap message,
                   milliseconds timeout, callback done) override;

private:
    using client_table = QHash<socket_address, std::shared_ptr<rpc_client>>;

    static rpc_client& client_in(client_table& clients,
                                 socket_address const& address,
                                 rpc_client::urgency urgency);
    /** Returns a callback whose time is counted. */
    callback measured(callback done);

    work_meter& work_;
    client_table clients_;
    client_table bulk_clients_;
};

} // namespace verbenacove

#endif
