#include "verbenacove/connection/http_connection.hpp"

#include "verbenacove/connection/http_response_writer.hpp"

#include <QTcpSocket>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr qint64 read_buffer_bytes = qint64{64} * 1024;
constexpr qint64 read_step_bytes = qint64{16} * 1024;

// How long a refused caller may go on sending before it is cut off; without
// that time, its unread bytes would make the kernel drop the answer.
constexpr milliseconds linger_timeout{2000};

http_response timeout_response(bool is_body)
{
    return not_run_response(408, "request-timeout",
                            is_body ? "The body came too slowly."
                                    : "The headers came too slowly.");
}

} // namespace

http_connection::http_connection(std::unique_ptr<QTcpSocket> socket,
                                 http_limits const& limits, listener& receiver,
                                 monotonic_time now)
    : socket_(std::move(socket))
    , limits_(limits)
    , listener_(receiver)
    , parser_(std::make_unique<http_request_parser>(limits))
    , phase_start_(now)
{
    socket_->setReadBufferSize(read_buffer_bytes);
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(socket_.get(), &QTcpSocket::readyRead, this, [this] { read(); });
    connect(socket_.get(), &QTcpSocket::bytesWritten, this,
            [this]
            {
                send_answers();
                read();
            });
    connect(socket_.get(), &QTcpSocket::disconnected, this,
            [this] { finish(); });
}

http_connection::~http_connection()
{
    socket_->disconnect(this);
    for (auto const& answer : pending_)
    {
        if (auto const exchange = answer.exchange.lock())
        {
            exchange->connection_.clear();
            exchange->is_cancelled_ = true;
        }
    }
}

void http_connection::answer(quint64 sequence, http_response response)
{
    auto const index = sequence - first_sequence_;
    if (is_finished_ || sequence < first_sequence_ || index >= pending_.size())
    {
        return;
    }
    auto& slot = pending_[index];
    bool const is_newest = index + 1 == pending_.size();
    if (is_newest && listener_.is_stopping())
    {
        slot.is_last = true;
        takes_requests_ = false;
    }
    slot.bytes = write_http_response(
        response, {slot.is_head, slot.is_http_1_1, slot.is_last});
    send_answers();
    read();
}

void http_connection::refuse(http_response const& response)
{
    if (is_finished_ || !takes_requests_)
    {
        return;
    }
    takes_requests_ = false;
    reset_parser();
    pending_answer slot;
    slot.is_last = true;
    slot.bytes = write_http_response(response, {false, true, true});
    pending_.push_back(std::move(slot));
    send_answers();
}

void http_connection::check_time(monotonic_time now)
{
    if (unsent_since_ && elapsed(*unsent_since_, now) > limits_.answer_timeout)
    {
        abort();
        return;
    }
    if (elapsed(phase_start_, now) <= phase_limit())
    {
        return;
    }
    if (is_lingering_ || is_idle())
    {
        abort();
    }
    else if (takes_requests_ && may_take_more() &&
             phase_ != http_request_parser::progress::nothing)
    {
        refuse(timeout_response(phase_ == http_request_parser::progress::body));
    }
}

void http_connection::abort()
{
    socket_->abort();
    finish();
}

bool http_connection::is_idle() const
{
    return takes_requests_ && pending_.empty() && !unsent_since_ &&
           phase_ == http_request_parser::progress::nothing;
}

monotonic_time http_connection::phase_start() const
{
    return phase_start_;
}

int http_connection::open_exchanges() const
{
    return static_cast<int>(std::count_if(pending_.begin(), pending_.end(),
                                          [](pending_answer const& answer) {
                                              return !answer.bytes.has_value();
                                          }));
}

bool http_connection::may_take_more() const
{
    return pending_.size() <
               static_cast<std::size_t>(limits_.maximum_pipelined) &&
           !unsent_since_;
}

void http_connection::read()
{
    if (is_reading_)
    {
        return;
    }
    is_reading_ = true;
    if (!takes_requests_)
    {
        // What comes after a refused request is thrown away.
        socket_->skip(socket_->bytesAvailable());
    }
    parse();
    while (!is_finished_ && takes_requests_ && may_take_more() &&
           socket_->bytesAvailable() > 0)
    {
        input_.append(socket_->read(read_step_bytes));
        parse();
    }
    is_reading_ = false;
}

void http_connection::parse()
{
    while (!input_.isEmpty() && !is_finished_ && takes_requests_ &&
           may_take_more())
    {
        auto const used = parser_->put(input_);
        input_.remove(0, used);
        auto const state = parser_->state();
        if (state == http_request_parser::progress::refused)
        {
            refuse(parser_->refusal());
            return;
        }
        start_phase();
        if (state == http_request_parser::progress::complete)
        {
            take_request();
            continue;
        }
        send_continue();
        if (input_.size() > limits_.maximum_header_bytes)
        {
            refuse(not_run_response(431, "headers-too-large",
                                    "A line is over the bound."));
        }
        break;
    }
    hold(takes_requests_ ? parser_->body_bytes() : 0);
}

void http_connection::start_phase()
{
    auto const state = parser_->state();
    if (state != phase_)
    {
        phase_ = state;
        phase_start_ = std::chrono::steady_clock::now();
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
    case http_request_parser::progress::header:
        return limits_.header_timeout;
    case http_request_parser::progress::body:
        return limits_.body_timeout;
    default:
        return limits_.idle_timeout;
    }
}

void http_connection::take_request()
{
    pending_answer slot;
    slot.is_last = !parser_->keeps_alive() || listener_.is_stopping();
    slot.is_http_1_1 = parser_->is_http_1_1();
    slot.body_bytes = parser_->body_bytes();
    auto request = parser_->take_request();
    request.remote = socket_->peerAddress();
    slot.is_head = request.method == "HEAD";
    auto const sequence = first_sequence_ + pending_.size();
    auto exchange =
        std::make_shared<http_exchange>(std::move(request), this, sequence);
    slot.exchange = exchange;
    takes_requests_ = !slot.is_last;
    pending_.push_back(std::move(slot));
    reset_parser();
    listener_.request_arrived(std::move(exchange));
}

void http_connection::reset_parser()
{
    parser_ = std::make_unique<http_request_parser>(limits_);
    phase_ = http_request_parser::progress::nothing;
    phase_start_ = std::chrono::steady_clock::now();
    has_sent_continue_ = false;
}

void http_connection::send_continue()
{
    if (parser_->expects_continue() && !has_sent_continue_ &&
        pending_.empty() &&
        parser_->state() == http_request_parser::progress::body)
    {
        has_sent_continue_ = true;
        socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void http_connection::send_answers()
{
    while (!is_finished_ && !pending_.empty() && pending_.front().bytes)
    {
        auto const slot = std::move(pending_.front());
        pending_.pop_front();
        ++first_sequence_;
        bool const is_too_much = socket_->bytesToWrite() > 0 &&
                                 socket_->bytesToWrite() + slot.bytes->size() >
                                     limits_.maximum_unsent_bytes;
        if (is_too_much)
        {
            abort();
            return;
        }
        socket_->write(*slot.bytes);
        if (slot.is_last)
        {
            takes_requests_ = false;
            pending_.clear();
            is_lingering_ = true;
        }
    }
    if (is_finished_)
    {
        return;
    }
    socket_->flush();
    if (socket_->bytesToWrite() == 0)
    {
        unsent_since_.reset();
        if (is_lingering_)
        {
            start_lingering();
        }
    }
    else if (!unsent_since_)
    {
        unsent_since_ = std::chrono::steady_clock::now();
    }
}

void http_connection::start_lingering()
{
    ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    phase_start_ = std::chrono::steady_clock::now();
}

void http_connection::hold(qint64 bytes)
{
    auto const change = bytes - held_bytes_;
    held_bytes_ = bytes;
    listener_.hold_bytes(change);
}

void http_connection::finish()
{
    if (is_finished_)
    {
        return;
    }
    is_finished_ = true;
    hold(0);
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
