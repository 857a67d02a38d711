#ifndef VERBENACOVE_CONNECTION_RPC_SERVER_HPP
#define VERBENACOVE_CONNECTION_RPC_SERVER_HPP

#include "verbenacove/connection/frame_socket.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <QHash>
#include <QTcpServer>

#include <functional>
#include <memory>

namespace verbenacove
{

/** Takes the calls of many rpc_clients and sends their replies, which may
    come later and in any order. */
class rpc_server
{
public:
    /** Sends the reply to one call; does nothing once its connection ended.
        May be dropped without being called: the caller then times out. */
    using reply_function = std::function<void(QCborMap)>;

    /** Handles one call. */
    using handler = std::function<void(QCborMap const&, reply_function)>;

    /** The most connections at a time; one more is closed at once. */
    static constexpr int maximum_connections = 2048;

    explicit rpc_server(handler handle);
    ~rpc_server();
    rpc_server(rpc_server const&) = delete;
    rpc_server& operator=(rpc_server const&) = delete;

    /** Selects the calls whose connections are read before others when the
        process is busy; none by default. */
    void set_urgent_calls(std::function<bool(QCborMap const&)> is_urgent)
    {
        is_urgent_ = std::move(is_urgent);
    }

    /** Starts to listen; false when the address cannot be had.
        @see error_text */
    bool listen(socket_address const& address);

    /** Returns why `listen` failed. */
    QString error_text() const { return server_.errorString(); }

private:
    void take_connection();
    void handle_call(qint64 connection, QCborMap const& request);
    void send_reply(qint64 connection, QCborMap const& reply);

    handler handle_;
    std::function<bool(QCborMap const&)> is_urgent_ = [](QCborMap const&)
    {
        return false;
    };
    QTcpServer server_;
    QHash<qint64, std::shared_ptr<frame_socket>> connections_;
    qint64 next_connection_ = 1;
    // Expires with the server, so that a late reply finds nothing to use.
    std::shared_ptr<rpc_server*> self_;
};

} // namespace verbenacove

#endif
