#ifndef VERBENACOVE_CONNECTION_FRAME_SOCKET_HPP
#define VERBENACOVE_CONNECTION_FRAME_SOCKET_HPP

#include <QCborMap>
#include <QObject>
#include <QTcpSocket>

#include <functional>
#include <memory>

namespace verbenacove
{

/** Sends and receives whole CBOR messages over one TCP connection.

    Each message is a frame of a length (4 bytes, big-endian) and that many
    bytes of CBOR. A frame over the bound, or one that is no CBOR map, closes
    the connection.

    @see rpc_client, rpc_server
*/
class frame_socket
{
public:
    /** The longest frame that is sent or taken, in bytes. */
    static constexpr qint64 maximum_frame_bytes = 16 * 1024 * 1024;

    /** The most bytes that may wait to be sent before the connection is taken
        for silent. */
    static constexpr qint64 maximum_unsent_bytes = 48 * 1024 * 1024;

    /** What is called for each message, and once when the connection ends.
        Neither is called after the frame_socket is destroyed. */
    struct listener
    {
        std::function<void(QCborMap const&)> message;
        std::function<void()> closed;
    };

    /** Takes over a connected or connecting socket. */
    frame_socket(std::unique_ptr<QTcpSocket> socket, listener calls);
    ~frame_socket();
    frame_socket(frame_socket const&) = delete;
    frame_socket& operator=(frame_socket const&) = delete;

    /** Sends a message; one that is too long closes the connection. */
    void send(QCborMap const& message);

    /** Lets this connection be read before others when the process is busy.
        @see epoll_event_dispatcher::set_priority */
    void set_urgent();

    /** Returns whether bytes have come that were not read yet. */
    bool has_unread_bytes() const;

    /** Returns the number of bytes received so far. */
    qint64 received_bytes() const { return received_bytes_; }

private:
    void read_frames();
    void close();

    std::unique_ptr<QTcpSocket> socket_;
    listener calls_;
    QByteArray buffer_;
    qint64 received_bytes_ = 0;
    bool is_urgent_ = false;
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

} // namespace verbenacove

#endif
