#include "verbenacove/connection/rpc_client.hpp"

#include <utility>

namespace verbenacove
{

namespace
{

auto const id_key = QLatin1String("id");

/** Time by which a call is extended while there is something to read, and how
    often. */
constexpr milliseconds extension{200};
constexpr int maximum_extensions = 5;

} // namespace

rpc_client::rpc_client(socket_address address, urgency replies)
    : address_(std::move(address))
    , urgency_(replies)
{
}

rpc_client::~rpc_client() = default;

void rpc_client::call(QCborMap request, patience limits, callback done)
{
    if (pending_.size() >= maximum_pending_calls)
    {
        fail_later(std::move(done));
        return;
    }
    ensure_connected();
    auto const id = next_id_++;
    auto waiting = std::make_shared<pending_call>();
    waiting->done = std::move(done);
    waiting->limits = limits;
    waiting->started = clock_.now();
    wait(id, *waiting);
    pending_.insert(id, std::move(waiting));
    request[id_key] = id;
    socket_->send(request);
}

void rpc_client::wait(qint64 id, pending_call& waiting)
{
    waiting.received_bytes = socket_->received_bytes();
    waiting.timeout =
        timers_.call_after(waiting.limits.silence, [this, id] { expire(id); });
}

bool rpc_client::may_wait_on(pending_call const& waiting) const
{
    bool const was_silent =
        !socket_ || socket_->received_bytes() == waiting.received_bytes;
    return !was_silent &&
           elapsed(waiting.started, clock_.now()) < waiting.limits.longest;
}

void rpc_client::ensure_connected()
{
    if (socket_)
    {
        return;
    }
    auto socket = std::make_unique<QTcpSocket>();
    auto* const raw_socket = socket.get();
    auto const number = ++connection_number_;
    socket_ = std::make_unique<frame_socket>(
        std::move(socket),
        frame_socket::listener{
            [this](QCborMap const& reply) { take_reply(reply); },
            // Deferred: the end may come while a call is being sent.
            [this, number]
            {
                QMetaObject::invokeMethod(
                    &context_, [this, number] { end_connection(number); },
                    Qt::QueuedConnection);
            }});
    if (urgency_ == urgency::urgent)
    {
        socket_->set_urgent();
    }
    raw_socket->connectToHost(address_.host, address_.port);
}

void rpc_client::take_reply(QCborMap const& reply)
{
    auto const waiting = pending_.take(reply.value(id_key).toInteger());
    if (waiting)
    {
        waiting->done(reply);
    }
}

void rpc_client::expire(qint64 id)
{
    auto const waiting = pending_.value(id);
    if (!waiting)
    {
        return;
    }
    if (may_wait_on(*waiting))
    {
        wait(id, *waiting);
        return;
    }
    // The reply may have come while this process was busy.
    if (socket_ && waiting->extensions < maximum_extensions &&
        socket_->has_unread_bytes())
    {
        ++waiting->extensions;
        waiting->timeout =
            timers_.call_after(extension, [this, id] { expire(id); });
        return;
    }
    pending_.remove(id);
    bool const was_silent =
        socket_ && socket_->received_bytes() == waiting->received_bytes;
    if (was_silent)
    {
        fail_all();
    }
    waiting->done(std::nullopt);
}

void rpc_client::end_connection(qint64 number)
{
    if (number == connection_number_)
    {
        fail_all();
    }
}

void rpc_client::fail_all()
{
    socket_.reset();
    auto const failed = std::exchange(pending_, {});
    for (auto const& waiting : failed)
    {
        waiting->timeout.cancel();
        waiting->done(std::nullopt);
    }
}

void rpc_client::fail_later(callback done)
{
    QMetaObject::invokeMethod(
        &context_, [done = std::move(done)] { done(std::nullopt); },
        Qt::QueuedConnection);
}

} // namespace verbenacove
