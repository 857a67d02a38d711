#ifndef VERBENACOVE_CONNECTION_UPSTREAM_CLIENT_HPP
#define VERBENACOVE_CONNECTION_UPSTREAM_CLIENT_HPP

#include "verbenacove/connection/http_message.hpp"
#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/core/strong_type.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace verbenacove
{

/** How an attempt ended, and so whether the request may have run.

    @see may_have_been_sent
*/
enum class attempt_end
{
    /** The whole answer is here. */
    answered,
    /** No byte of the request was sent. */
    connect_failed,
    /** The connection broke, or the answer was not whole. */
    failed_after_send,
    /** The time ran out before the connection was open. */
    timed_out_before_send,
    /** The time ran out, or the answer stopped half-way. */
    timed_out_after_send,
    cancelled_before_send,
    cancelled_after_send,
    /** The answer, or all unfinished ones together, were over the bound. */
    oversized,
    /** The response belongs to another request. */
    foreign_response
};

/** Returns true when the upstream may have seen the request. */
bool may_have_been_sent(attempt_end end);

/** Whether a connection has carried an earlier request. */
enum class connection_age
{
    fresh,
    reused
};

/** One request to one upstream. */
struct attempt_request
{
    socket_address address;
    QByteArray method;
    /** The path and the query, as they go out: `/grade?lot=7`. */
    QByteArray target;
    /** Hop-by-hop headers among them are left out. */
    std::vector<http_header> headers;
    QByteArray body;
    /** The bound for opening a connection. */
    milliseconds connect_timeout{1000};
    /** The bound for the whole attempt. */
    milliseconds time_left{10000};
    /** The bound for the answer's body. */
    qint64 maximum_response_bytes = qint64{1024} * 1024;
    /** The connection may be a kept one, and may be kept. Only for a request
        that is idempotent, and an upstream that answers each request once: a
        second answer that comes late, when the next request has just gone
        out, cannot be told from that one's answer. */
    bool may_reuse_connection = false;
    /** The bound for an answer that has begun and then stands still. */
    milliseconds stall_timeout{5000};
    /** Returns whether a response belongs to this request, by its status and
        headers. One that does not ends the attempt and its connection: a
        faulty upstream may repeat an earlier response. All are accepted when
        not set. */
    std::function<bool(http_response const& head, connection_age)>
        is_own_response = {};
    /** Called when a new connection is open, with the time that it took; must
        not call the client. May be empty. */
    std::function<void(milliseconds)> on_connected = {};
};

/** What became of an attempt. */
struct attempt_result
{
    attempt_end end = attempt_end::connect_failed;
    /** The answer, without hop-by-hop headers; empty but when answered. */
    http_response response;
    /** Why there is no answer, as a short sentence. */
    QString reason;
    /** When a new connection was opened for it, whatever came of it. */
    std::optional<monotonic_time> connected = std::nullopt;
    /** When the first byte of the answer came. */
    std::optional<monotonic_time> response_begun = std::nullopt;
    /** How long it took. */
    milliseconds duration{0};
};

/** Carries requests to upstreams, each sent at most once.

    It runs on the event loop of the thread it was created in. It never sends
    a request a second time by itself, also not when a kept connection turns
    out to be closed after the request went out: that is the caller's to
    decide. A kept connection on which bytes wait, or which has closed, is
    left for a new one before anything is sent.

    @see attempt_request::may_reuse_connection
*/
class upstream_client
{
public:
    /** What is called with an attempt's result. */
    using callback = std::function<void(attempt_result)>;

    /** Default bound of the memory for unfinished responses, in bytes. */
    static constexpr qint64 default_maximum_held_bytes =
        qint64{48} * 1024 * 1024;

    /** Identifies a started attempt. */
    using attempt_id = strong_type<struct attempt_id_tag, quint64>;

    /** Creates a client.

        @param maximum_held_bytes  bound of the memory that the bodies of all
                                   unfinished responses take together; beyond
                                   it the attempt with the largest one ends
    */
    explicit upstream_client(
        qint64 maximum_held_bytes = default_maximum_held_bytes);

    /** Closes all connections; nobody is called back. */
    ~upstream_client();
    upstream_client(upstream_client const&) = delete;
    upstream_client& operator=(upstream_client const&) = delete;

    /** Paces large request bodies, so that short messages on the same link do
        not wait behind them. To be called before the first attempt.

        @param link_bytes_per_second  rate of the link; above 0
    */
    void pace_bodies(double link_bytes_per_second);

    /** Starts an attempt.

        @param call  called exactly once, never from within start
    */
    attempt_id start(attempt_request request, callback call);

    /** Ends an attempt by closing its connection; its callback is called
        later. It does nothing when the attempt has ended. */
    void cancel(attempt_id id);

    /** Returns how many attempts have not called back. */
    int attempts_in_flight() const;

private:
    class core;
    std::unique_ptr<core> core_;
};

} // namespace verbenacove

#endif
