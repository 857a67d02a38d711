#include "verbenacove/connection/frame_socket.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/epoll_event_dispatcher.hpp"

#include <QtEndian>

#include <sys/ioctl.h>

#include <utility>

namespace verbenacove
{

namespace
{

constexpr qsizetype length_bytes = 4;

} // namespace

frame_socket::frame_socket(std::unique_ptr<QTcpSocket> socket, listener calls)
    : socket_(std::move(socket))
    , calls_(std::move(calls))
{
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(socket_.get(), &QTcpSocket::readyRead,
                     [this] { read_frames(); });
    QObject::connect(socket_.get(), &QTcpSocket::connected,
                     [this]
                     {
                         socket_->setSocketOption(
                             QAbstractSocket::LowDelayOption, 1);
                         if (is_urgent_)
                         {
                             epoll_event_dispatcher::set_priority(
                                 socket_->socketDescriptor(),
                                 epoll_event_dispatcher::priority::urgent);
                         }
                     });
    QObject::connect(socket_.get(), &QTcpSocket::disconnected,
                     [this] { close(); });
    QObject::connect(socket_.get(), &QTcpSocket::errorOccurred,
                     [this](QAbstractSocket::SocketError) { close(); });
}

frame_socket::~frame_socket()
{
    *is_alive_ = false;
    socket_->disconnect();
    socket_->abort();
    // A signal of the socket may be what led here, so it ends later.
    socket_.release()->deleteLater();
}

void frame_socket::send(QCborMap const& message)
{
    auto const payload = message.toCborValue().toCbor();
    if (payload.size() > maximum_frame_bytes ||
        socket_->bytesToWrite() > maximum_unsent_bytes)
    {
        socket_->abort();
        return;
    }
    QByteArray frame(length_bytes, Qt::Uninitialized);
    qToBigEndian(static_cast<quint32>(payload.size()), frame.data());
    frame += payload;
    socket_->write(frame);
}

void frame_socket::set_urgent()
{
    is_urgent_ = true;
    if (socket_->state() == QAbstractSocket::ConnectedState)
    {
        epoll_event_dispatcher::set_priority(
            socket_->socketDescriptor(),
            epoll_event_dispatcher::priority::urgent);
    }
}

bool frame_socket::has_unread_bytes() const
{
    int count = 0;
    auto const descriptor = static_cast<int>(socket_->socketDescriptor());
    return descriptor >= 0 && ::ioctl(descriptor, FIONREAD, &count) == 0 &&
           count > 0;
}

void frame_socket::read_frames()
{
    auto const bytes = socket_->readAll();
    received_bytes_ += bytes.size();
    buffer_ += bytes;
    auto const alive = is_alive_;
    while (buffer_.size() >= length_bytes)
    {
        auto const length = qFromBigEndian<quint32>(buffer_.constData());
        if (length > maximum_frame_bytes)
        {
            socket_->abort();
            return;
        }
        if (buffer_.size() < length_bytes + static_cast<qsizetype>(length))
        {
            return;
        }
        auto const payload = buffer_.mid(length_bytes, length);
        buffer_.remove(0, length_bytes + static_cast<qsizetype>(length));
        auto const message = parse_cbor_map(payload);
        if (!message)
        {
            socket_->abort();
            return;
        }
        calls_.message(*message);
        if (!*alive)
        {
            return;
        }
    }
}

void frame_socket::close()
{
    auto const call = std::exchange(calls_.closed, nullptr);
    if (call)
    {
        call();
    }
}

} // namespace verbenacove
