#ifndef VERBENACOVE_CONNECTION_HTTP_CONNECTION_HPP
#define VERBENACOVE_CONNECTION_HTTP_CONNECTION_HPP

#include "verbenacove/connection/connection_progress.hpp"
#include "verbenacove/connection/http_exchange.hpp"
#include "verbenacove/connection/http_limits.hpp"
#include "verbenacove/connection/http_request_parser.hpp"
#include "verbenacove/connection/http_response_writer.hpp"

#include <QObject>

#include <deque>
#include <memory>
#include <optional>

class QTcpSocket;

namespace verbenacove
{

/** One caller's connection to an http_server.

    It reads requests within the limits, hands them over, and writes the
    answers in the order of the requests. It reads no further while the
    caller leaves answers unread, so that what it holds stays bounded. A
    request that is refused gets its answer after those before it; then the
    connection closes. A caller that closes its sending side has left.
*/
class http_connection : public QObject
{
public:
    /** What a connection needs of its server. */
    class listener
    {
    public:
        virtual ~listener() = default;

        /** Called with each whole request. */
        virtual void request_arrived(std::shared_ptr<http_exchange>) = 0;

        /** Called once, when the connection is closed; it may be deleted
            later, but not within the call. */
        virtual void connection_closed(http_connection*) = 0;

        /** Called when the connection holds more, or fewer, bytes of
            request bodies and of answers that wait behind earlier ones. */
        virtual void held_bytes_changed(qint64 change) = 0;

        /** Returns true when all connections together hold too much. */
        virtual bool holds_too_much() const = 0;

        /** Called when the connection's memory grows or shrinks. */
        virtual void charged_bytes_changed(qint64 change) = 0;

        /** Returns true when a connection with a request in hand is to take
            no further one. */
        virtual bool is_memory_scarce() const = 0;

        /** Returns whether a connection may keep the bytes that it has been
            charged; others may be released for it. */
        virtual bool make_room(qint64 charged_bytes) = 0;

        /** Returns true when no further request is to be taken. */
        virtual bool is_stopping() const = 0;
    };

    /** Takes over a connected socket, idle since a time.

        @param limits    must outlive the connection
        @param receiver  must outlive the connection
    */
    http_connection(std::unique_ptr<QTcpSocket> socket,
                    http_limits const& limits, listener& receiver,
                    monotonic_time idle_since);
    ~http_connection() override;

    /** Gives the answer to the request of this number. */
    void answer(quint64 sequence, http_response const& response);

    /** Sends an error after the answers still to come, and closes. */
    void refuse(http_response const& response);

    /** Ends what has taken longer than the limits allow. */
    void check_time(monotonic_time now);

    /** Tells the connection that bytes wait in its socket: it is not idle
        until they have been read. */
    void expect_input() { awaits_input_ = true; }

    /** Closes at once, without what is still to be sent. */
    void abort();

    /** Returns when the connection last made progress, if it waits for its
        caller: for a request, the rest of one, or the reading of answers. */
    std::optional<monotonic_time> stalled_since() const;

    /** Refuses the request that is on its way, or closes the connection.

        @param is_closed_at_once  whether it is to be closed in any case
        @see stalled_since
    */
    void release(bool is_closed_at_once);

    /** Returns true when no request is in hand or on its way, and every
        answer has been sent. */
    bool is_idle() const;

    /** Returns true when the connection is idle and may go on as a bare
        socket.

        @see release_socket
    */
    bool can_be_parked() const;

    /** Returns whether the caller has closed its connection or its sending
        side, also if that has not been read yet. */
    bool has_caller_left() const;

    /** Returns whether no bytes wait in the socket, and it is open. */
    bool is_socket_quiet() const;

    /** Gives the socket up without closing the connection, which this object
        then no longer has; -1 when there is no file descriptor left. */
    int release_socket();

    /** Returns since when the connection is as it is: idle, in a request's
        headers, in its body, or waiting for the caller to close. */
    monotonic_time phase_start() const { return phase_start_; }

    /** Returns how many requests are in hand. */
    int open_exchanges() const;

private:
    using progress = http_request_parser::progress;

    struct pending_answer
    {
        std::weak_ptr<http_exchange> exchange;
        std::optional<QByteArray> bytes;
        qint64 body_bytes = 0;
        /** Memory of the request, in bytes, until it is answered. */
        qint64 request_cost = 0;
        http_response_form form;
    };

    void read();
    void take_input();
    void discard_input();
    void parse();
    void parse_some();
    void skip_blank_lines();
    void take_request();
    void refuse_what_is_too_large();
    void send_continue();
    void send_answers();
    bool has_room_for(qint64 bytes) const;
    void send_answer(pending_answer const& answer);
    void note_unsent();
    void start_lingering();
    void finish();
    void hold_bytes();
    void charge();
    void refuse_for_memory();
    void drop_parser();
    void set_phase(progress phase);
    bool may_take_more() const;
    bool is_unread_too_long(monotonic_time now) const;
    milliseconds phase_limit() const;

    std::unique_ptr<QTcpSocket> socket_;
    http_limits const& limits_;
    listener& listener_;
    /** Empty while no byte of a request is there. */
    std::unique_ptr<http_request_parser> parser_;
    QByteArray input_;
    std::deque<pending_answer> pending_;
    /** The number of the oldest pending answer's request. */
    quint64 first_sequence_ = 0;
    qint64 pending_body_bytes_ = 0;
    /** Bytes of answers that wait behind earlier ones. */
    qint64 waiting_answer_bytes_ = 0;
    qint64 held_bytes_ = 0;
    qint64 pending_cost_ = 0;
    qint64 charged_bytes_ = 0;
    connection_progress progress_;
    progress phase_ = progress::nothing;
    monotonic_time phase_start_;
    /** When the first byte of the request on its way was read. */
    monotonic_time reading_since_{};
    std::optional<monotonic_time> unsent_since_;
    bool is_reading_ = false;
    /** Whether room is being made for an answer. */
    bool is_answering_ = false;
    bool awaits_input_ = false;
    bool takes_requests_ = true;
    bool has_sent_continue_ = false;
    bool has_sent_last_ = false;
    bool is_lingering_ = false;
    bool is_finished_ = false;
};

} // namespace verbenacove

#endif
