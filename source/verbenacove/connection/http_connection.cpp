#include "verbenacove/connection/http_connection.hpp"

#include "verbenacove/connection/upstream_sockets.hpp"

#include <QTcpSocket>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr qint64 read_buffer_bytes = qint64{64} * 1024;

// How long a refused caller may go on sending before it is cut off; without
// that time, its unread bytes would make the kernel drop the answer.
constexpr milliseconds linger_timeout{2000};

// Memory of a request in hand besides its texts, in bytes.
constexpr qint64 request_overhead = 2 * 1024;

http_response timeout_response(bool is_body)
{
    return not_run_response(408, "request-timeout",
                            is_body ? "The body came too slowly."
                                    : "The headers came too slowly.");
}

} // namespace

http_connection::http_connection(std::unique_ptr<QTcpSocket> socket,
                                 http_limits const& limits, listener& receiver,
                                 monotonic_time idle_since)
    : socket_(std::move(socket))
    , limits_(limits)
    , listener_(receiver)
    , progress_(idle_since)
    , phase_start_(idle_since)
{
    socket_->setReadBufferSize(read_buffer_bytes);
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(socket_.get(), &QTcpSocket::readyRead, this, [this] { read(); });
    connect(socket_.get(), &QTcpSocket::bytesWritten, this,
            [this](qint64 bytes)
            {
                progress_.add(bytes);
                note_unsent();
                send_answers();
                read();
            });
    connect(socket_.get(), &QTcpSocket::disconnected, this,
            [this] { finish(); });
    charge();
}

http_connection::~http_connection()
{
    socket_->disconnect(this);
    for (auto const& answer : pending_)
    {
        if (auto const exchange = answer.exchange.lock())
        {
            exchange->forget_connection();
        }
    }
}

void http_connection::answer(quint64 sequence, http_response const& response)
{
    auto const index = sequence - first_sequence_;
    if (is_finished_ || index >= pending_.size())
    {
        return;
    }
    auto& slot = pending_[index];
    bool const is_newest = index + 1 == pending_.size();
    if (is_newest && listener_.is_stopping())
    {
        slot.form.closes = true;
        takes_requests_ = false;
    }
    slot.bytes = write_http_response(response, slot.form);
    pending_body_bytes_ -= slot.body_bytes;
    pending_cost_ -= slot.request_cost;
    waiting_answer_bytes_ += slot.bytes->size();
    send_answers();
    hold_bytes();
    charge();
    if (waiting_answer_bytes_ > 0 && listener_.holds_too_much())
    {
        abort();
        return;
    }
    // The answer is delivered in any case; others make room for it.
    if (waiting_answer_bytes_ > 0 || unsent_since_)
    {
        is_answering_ = true;
        listener_.make_room(charged_bytes_);
        is_answering_ = false;
    }
    read();
}

void http_connection::refuse(http_response const& response)
{
    if (is_finished_ || !takes_requests_)
    {
        return;
    }
    takes_requests_ = false;
    drop_parser();
    input_.clear();
    pending_answer slot;
    slot.form.closes = true;
    slot.bytes = write_http_response(response, slot.form);
    waiting_answer_bytes_ += slot.bytes->size();
    pending_.push_back(std::move(slot));
    send_answers();
    charge();
}

void http_connection::check_time(monotonic_time now)
{
    bool const is_over = elapsed(phase_start_, now) > phase_limit();
    if (is_unread_too_long(now) || (is_over && (is_lingering_ || is_idle())))
    {
        abort();
        return;
    }
    // While it reads nothing itself, the caller is not the slow one.
    bool const waits_for_caller =
        phase_ != progress::nothing && takes_requests_ && may_take_more();
    if (is_over && waits_for_caller)
    {
        refuse(timeout_response(phase_ == progress::body));
    }
    // It may have waited for memory to be free.
    else if (!input_.isEmpty() || socket_->bytesAvailable() > 0)
    {
        read();
    }
}

void http_connection::abort()
{
    socket_->abort();
    finish();
}

bool http_connection::is_idle() const
{
    return is_lingering_ ||
           (takes_requests_ && pending_.empty() && !unsent_since_ &&
            !awaits_input_ && phase_ == progress::nothing);
}

bool http_connection::has_caller_left() const
{
    return upstream_sockets::has_ended(
        static_cast<int>(socket_->socketDescriptor()));
}

int http_connection::open_exchanges() const
{
    return static_cast<int>(std::count_if(pending_.begin(), pending_.end(),
                                          [](pending_answer const& answer) {
                                              return !answer.bytes.has_value();
                                          }));
}

bool http_connection::is_unread_too_long(monotonic_time now) const
{
    return unsent_since_ &&
           elapsed(*unsent_since_, now) > limits_.answer_timeout;
}

void http_connection::read()
{
    if (is_reading_ || is_finished_)
    {
        return;
    }
    is_reading_ = true;
    awaits_input_ = false;
    parse();
    while (!is_finished_ && takes_requests_ && may_take_more() &&
           socket_->bytesAvailable() > 0)
    {
        take_input();
        parse();
    }
    is_reading_ = false;
    discard_input();
    charge();
}

// Reading all that is there lets Qt hand its buffer over, so that an idle
// socket keeps none.
void http_connection::take_input()
{
    auto const bytes = socket_->read(socket_->bytesAvailable());
    progress_.add(bytes.size());
    if (input_.isEmpty())
    {
        input_ = bytes;
    }
    else
    {
        input_.append(bytes);
    }
}

// What comes after a connection's last request is thrown away.
void http_connection::discard_input()
{
    if (!takes_requests_ && !is_finished_)
    {
        input_.clear();
        socket_->skip(socket_->bytesAvailable());
    }
}

void http_connection::parse()
{
    while (!input_.isEmpty() && !is_finished_ && takes_requests_ &&
           may_take_more())
    {
        auto const size_before = input_.size();
        parse_some();
        if (input_.size() == size_before)
        {
            break;
        }
    }
    if (input_.isEmpty())
    {
        // An idle connection is to hold no memory for input.
        input_ = QByteArray();
    }
}

void http_connection::parse_some()
{
    skip_blank_lines();
    bool const is_half_blank_line = !parser_ && input_ == "\r";
    if (input_.isEmpty() || is_half_blank_line)
    {
        return;
    }
    if (!parser_)
    {
        parser_ = std::make_unique<http_request_parser>(limits_);
        reading_since_ = std::chrono::steady_clock::now();
    }
    input_.remove(0, parser_->put(input_));
    auto const state = parser_->state();
    if (state == progress::refused)
    {
        refuse(parser_->refusal());
    }
    else if (state == progress::complete)
    {
        take_request();
    }
    else
    {
        set_phase(state);
        hold_bytes();
        charge();
        send_continue();
        refuse_what_is_too_large();
    }
}

// RFC 9112, section 2.2: an empty line before a request is passed over.
void http_connection::skip_blank_lines()
{
    while (!parser_ && input_.startsWith("\r\n"))
    {
        input_.remove(0, 2);
    }
}

void http_connection::refuse_what_is_too_large()
{
    if (input_.size() > limits_.maximum_header_bytes)
    {
        refuse(not_run_response(431, "headers-too-large",
                                "A line is over the bound."));
    }
    else if ((listener_.holds_too_much() && parser_->body_bytes() > 0) ||
             !listener_.make_room(charged_bytes_))
    {
        refuse_for_memory();
    }
}

void http_connection::set_phase(progress phase)
{
    if (phase != phase_)
    {
        phase_ = phase;
        phase_start_ = std::chrono::steady_clock::now();
        progress_.restart(phase_start_);
    }
}

milliseconds http_connection::phase_limit() const
{
    if (is_lingering_)
    {
        return linger_timeout;
    }
    switch (phase_)
    {
    case progress::header:
        return limits_.header_timeout;
    case progress::body:
        return limits_.body_timeout;
    default:
        return limits_.idle_timeout;
    }
}

void http_connection::take_request()
{
    charge();
    if (!listener_.make_room(charged_bytes_))
    {
        refuse_for_memory();
        return;
    }
    if (is_finished_)
    {
        return;
    }
    pending_answer slot;
    slot.form.is_http_1_1 = parser_->is_http_1_1();
    slot.form.closes = !parser_->keeps_alive() || listener_.is_stopping();
    slot.body_bytes = parser_->body_bytes();
    // The headers are copied for the attempt.
    slot.request_cost =
        request_overhead + parser_->held_bytes() * 2 - slot.body_bytes;
    auto request = parser_->take_request();
    request.remote = socket_->peerAddress();
    request.reading_time =
        elapsed(reading_since_, std::chrono::steady_clock::now());
    request.is_followed = !input_.isEmpty() || socket_->bytesAvailable() > 0;
    slot.form.is_head = request.method == "HEAD";
    auto exchange = std::make_shared<http_exchange>(
        std::move(request), this, first_sequence_ + pending_.size());
    slot.exchange = exchange;
    takes_requests_ = !slot.form.closes;
    pending_body_bytes_ += slot.body_bytes;
    pending_cost_ += slot.request_cost;
    pending_.push_back(std::move(slot));
    drop_parser();
    listener_.request_arrived(std::move(exchange));
}

void http_connection::drop_parser()
{
    parser_.reset();
    phase_ = progress::nothing;
    phase_start_ = std::chrono::steady_clock::now();
    progress_.restart(phase_start_);
    has_sent_continue_ = false;
    hold_bytes();
}

void http_connection::send_continue()
{
    if (parser_ && parser_->expects_continue() && !has_sent_continue_ &&
        pending_.empty() && parser_->state() == progress::body)
    {
        has_sent_continue_ = true;
        socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
        socket_->flush();
    }
}

void http_connection::send_answers()
{
    bool is_any = false;
    while (!is_finished_ && !pending_.empty() && pending_.front().bytes &&
           has_room_for(pending_.front().bytes->size()))
    {
        auto const answer = std::move(pending_.front());
        pending_.pop_front();
        waiting_answer_bytes_ -= answer.bytes->size();
        ++first_sequence_;
        is_any = true;
        send_answer(answer);
    }
    if (is_any && !is_finished_)
    {
        hold_bytes();
        phase_start_ = std::chrono::steady_clock::now();
        progress_.restart(phase_start_);
        note_unsent();
        send_continue();
    }
}

// The others wait for the caller to read.
bool http_connection::has_room_for(qint64 bytes) const
{
    auto const unsent = socket_->bytesToWrite();
    return unsent == 0 || unsent + bytes <= limits_.maximum_unsent_bytes;
}

void http_connection::send_answer(pending_answer const& answer)
{
    socket_->write(*answer.bytes);
    // While the bytes are held here too, Qt keeps no buffer of them.
    socket_->flush();
    has_sent_last_ = has_sent_last_ || answer.form.closes;
}

void http_connection::note_unsent()
{
    if (is_finished_)
    {
        return;
    }
    if (socket_->bytesToWrite() > 0)
    {
        unsent_since_ =
            unsent_since_.value_or(std::chrono::steady_clock::now());
        return;
    }
    unsent_since_.reset();
    if (has_sent_last_ && !is_lingering_)
    {
        start_lingering();
    }
}

void http_connection::start_lingering()
{
    is_lingering_ = true;
    phase_start_ = std::chrono::steady_clock::now();
    ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
}

void http_connection::finish()
{
    if (is_finished_)
    {
        return;
    }
    is_finished_ = true;
    parser_.reset();
    pending_body_bytes_ = 0;
    waiting_answer_bytes_ = 0;
    hold_bytes();
    charge();
    auto const pending = std::exchange(pending_, {});
    for (auto const& answer : pending)
    {
        if (auto const exchange = answer.exchange.lock())
        {
            exchange->cancel();
        }
    }
    listener_.connection_closed(this);
}

} // namespace verbenacove
