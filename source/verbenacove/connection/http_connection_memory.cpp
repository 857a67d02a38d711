// What a connection holds, and how it is let go when memory is scarce.

#include "verbenacove/connection/http_connection.hpp"

#include "verbenacove/connection/upstream_sockets.hpp"

#include <QTcpSocket>

#include <fcntl.h>

namespace verbenacove
{

bool http_connection::may_take_more() const
{
    return pending_.size() <
               static_cast<std::size_t>(limits_.maximum_pipelined) &&
           waiting_answer_bytes_ < limits_.maximum_unsent_bytes &&
           !unsent_since_ &&
           (pending_.empty() || !listener_.is_memory_scarce());
}

// A connection that asks for room is in the middle of a request or an answer. A
// caller that sends ahead waits for this process, not the other way round.
std::optional<monotonic_time> http_connection::stalled_since() const
{
    bool const is_asking = is_reading_ || is_answering_;
    bool const waits_for_caller =
        is_idle() || unsent_since_ ||
        (phase_ != progress::nothing && may_take_more());
    return !is_finished_ && !is_asking && waits_for_caller
               ? std::optional(progress_.last())
               : std::nullopt;
}

void http_connection::release(bool is_closed_at_once)
{
    bool const is_refused = !is_lingering_ && !unsent_since_ &&
                            takes_requests_ && phase_ != progress::nothing;
    if (is_refused)
    {
        refuse_for_memory();
    }
    if (!is_refused || (is_closed_at_once && !is_finished_))
    {
        abort();
    }
}

void http_connection::refuse_for_memory()
{
    refuse(not_run_response(503, "overloaded",
                            "There are too many large requests."));
}

bool http_connection::can_be_parked() const
{
    return is_idle() && !is_lingering_ && input_.isEmpty() &&
           socket_->state() == QAbstractSocket::ConnectedState &&
           socket_->bytesAvailable() == 0;
}

bool http_connection::is_socket_quiet() const
{
    return upstream_sockets::is_quiet(
        static_cast<int>(socket_->socketDescriptor()));
}

int http_connection::release_socket()
{
    auto const original = static_cast<int>(socket_->socketDescriptor());
    auto const result = ::fcntl(original, F_DUPFD_CLOEXEC, 0);
    if (result >= 0)
    {
        // Only Qt's descriptor closes; the connection lives on in the other.
        socket_->disconnect(this);
        socket_->abort();
        is_finished_ = true;
        charge();
    }
    return result;
}

void http_connection::hold_bytes()
{
    auto const bytes = pending_body_bytes_ + waiting_answer_bytes_ +
                       (parser_ ? parser_->body_bytes() : 0);
    listener_.held_bytes_changed(bytes - held_bytes_);
    held_bytes_ = bytes;
}

void http_connection::charge()
{
    auto const bytes =
        is_finished_
            ? 0
            : connection_cost + pending_cost_ + waiting_answer_bytes_ +
                  (parser_ ? parser_->held_bytes() : 0) + input_.capacity() +
                  socket_->bytesAvailable() + socket_->bytesToWrite();
    listener_.charged_bytes_changed(bytes - charged_bytes_);
    charged_bytes_ = bytes;
}

} // namespace verbenacove
