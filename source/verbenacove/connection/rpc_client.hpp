#ifndef VERBENACOVE_CONNECTION_RPC_CLIENT_HPP
#define VERBENACOVE_CONNECTION_RPC_CLIENT_HPP

#include "verbenacove/connection/frame_socket.hpp"
#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/core/timer_service.hpp"

#include <QHash>

#include <functional>
#include <memory>
#include <optional>

namespace verbenacove
{

/** Calls one rpc_server; it connects when there is something to say.

    A call gets its reply or nothing, and nothing means that the other side
    may or may not have acted. When a call times out and the connection was
    silent meanwhile, the connection is dropped, so that the next call opens
    a new one.
*/
class rpc_client
{
public:
    /** Gets the reply, or nothing after a time-out or a lost connection. */
    using callback = std::function<void(std::optional<QCborMap>)>;

    /** How long a reply may take. */
    struct patience
    {
        /** Without a byte from the other side, connecting included. */
        milliseconds silence;
        /** In all, while bytes arrive. */
        milliseconds longest;
    };

    /** The most calls that may wait for their replies; one more fails. */
    static constexpr int maximum_pending_calls = 4096;

    /** Whether replies are read before other work of a busy process. */
    enum class urgency
    {
        normal,
        urgent
    };

    explicit rpc_client(socket_address address,
                        urgency replies = urgency::normal);
    ~rpc_client();
    rpc_client(rpc_client const&) = delete;
    rpc_client& operator=(rpc_client const&) = delete;

    /** Sends a request and calls back exactly once, never from within this
        call, unless the client is destroyed first.

        @param timeout  how long to wait for the reply, connecting included
    */
    void call(QCborMap request, milliseconds timeout, callback done)
    {
        call(std::move(request), patience{timeout, timeout}, std::move(done));
    }

    /** As above, for replies that a narrow link may carry for longer than
        silence is borne. */
    void call(QCborMap request, patience limits, callback done);

    /** Returns the address that is called. */
    socket_address const& address() const { return address_; }

private:
    struct pending_call
    {
        callback done;
        timer_service::subscription timeout;
        qint64 received_bytes = 0;
        /** Number of times that its time was extended. */
        int extensions = 0;
        patience limits;
        monotonic_time started;
    };

    void ensure_connected();
    void take_reply(QCborMap const& reply);
    void wait(qint64 id, pending_call& waiting);
    void expire(qint64 id);
    bool may_wait_on(pending_call const& waiting) const;
    void end_connection(qint64 number);
    void fail_all();
    void fail_later(callback done);

    socket_address address_;
    urgency urgency_;
    steady_clock_source clock_;
    timer_service timers_;
    std::unique_ptr<frame_socket> socket_;
    QHash<qint64, std::shared_ptr<pending_call>> pending_;
    qint64 next_id_ = 1;
    qint64 connection_number_ = 0;
    QObject context_;
};

} // namespace verbenacove

#endif
