#include "verbenacove/connection/upstream_attempt.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

// An idle connection that is older may have gone silent unnoticed.
constexpr long maximum_idle_seconds = 10;

constexpr milliseconds shortest_timeout{1};

long timeout_ms(milliseconds timeout)
{
    return static_cast<long>(std::max(timeout, shortest_timeout).count());
}

bool is_target(QByteArrayView target)
{
    return !target.isEmpty() &&
           std::all_of(target.begin(), target.end(),
                       [](char character)
                       {
                           auto const code =
                               static_cast<unsigned char>(character);
                           return code > 32 && code != 127;
                       });
}

bool is_writable(http_header const& header)
{
    return is_header_token(header.name) && is_header_text(header.value);
}

} // namespace

upstream_attempt::upstream_attempt(attempt_request request,
                                   upstream_client::callback call,
                                   upstream_sockets& sockets,
                                   response_memory& memory, body_pacer* pacer,
                                   monotonic_time now)
    : request_(std::move(request))
    , call_(std::move(call))
    , start_(now)
    , sockets_(sockets)
    , memory_(memory)
    , pacer_(pacer)
    , answer_(request_.method == "HEAD", request_.maximum_response_bytes)
    , handle_(curl_easy_init())
    , last_progress_(now)
{
    set_target();
    set_connection();
    set_method();
    set_headers();
    curl_easy_setopt(handle_, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle_, CURLOPT_ERRORBUFFER, error_text_);
    curl_easy_setopt(handle_, CURLOPT_OPENSOCKETFUNCTION, &open_socket);
    curl_easy_setopt(handle_, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(handle_, CURLOPT_CLOSESOCKETFUNCTION, &close_socket);
    curl_easy_setopt(handle_, CURLOPT_CLOSESOCKETDATA, &sockets_);
    curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &before_send);
    curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
}

upstream_attempt::~upstream_attempt()
{
    count_held_bytes(0);
    curl_easy_cleanup(handle_);
    curl_slist_free_all(header_lines_);
}

CURL* upstream_attempt::handle() const
{
    return handle_;
}

bool upstream_attempt::is_valid() const
{
    return is_header_token(request_.method) && is_target(request_.target) &&
           std::all_of(request_.headers.begin(), request_.headers.end(),
                       is_writable);
}

bool upstream_attempt::is_sent() const
{
    return is_sent_;
}

void upstream_attempt::set_target()
{
    auto const url =
        QByteArray("http://") + request_.address.text().toLatin1() + '/';
    curl_easy_setopt(handle_, CURLOPT_URL, url.constData());
    curl_easy_setopt(handle_, CURLOPT_REQUEST_TARGET,
                     request_.target.constData());
}

void upstream_attempt::set_connection()
{
    long const fresh = request_.may_reuse_connection ? 0 : 1;
    curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT, fresh);
    curl_easy_setopt(handle_, CURLOPT_FORBID_REUSE, fresh);
    curl_easy_setopt(handle_, CURLOPT_MAXAGE_CONN, maximum_idle_seconds);
    curl_easy_setopt(handle_, CURLOPT_HTTP_VERSION,
                     static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle_, CURLOPT_PROXY, "");
    curl_easy_setopt(handle_, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle_, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle_, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS,
                     timeout_ms(request_.connect_timeout));
    curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS,
                     timeout_ms(request_.time_left));
    curl_easy_setopt(handle_, CURLOPT_MAXFILESIZE_LARGE,
                     static_cast<curl_off_t>(
                         std::max(request_.maximum_response_bytes, qint64{1})));
}

void upstream_attempt::set_method()
{
    bool const sends_length =
        !request_.body.isEmpty() || request_.method == "POST" ||
        request_.method == "PUT" || request_.method == "PATCH";
    if (sends_length)
    {
        curl_easy_setopt(handle_, CURLOPT_POST, 1L);
        if (is_paced())
        {
            curl_easy_setopt(handle_, CURLOPT_READFUNCTION, &give_body);
            curl_easy_setopt(handle_, CURLOPT_READDATA, this);
        }
        else
        {
            curl_easy_setopt(handle_, CURLOPT_POSTFIELDS,
                             request_.body.constData());
        }
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request_.body.size()));
    }
    if (request_.method == "HEAD")
    {
        curl_easy_setopt(handle_, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST,
                     request_.method.constData());
}

void upstream_attempt::set_headers()
{
    auto const headers = end_to_end_headers(request_.headers);
    for (auto const& header : headers)
    {
        // libcurl takes an empty value for an order to leave the header out.
        append_header_line(header.value.isEmpty()
                               ? header.name + ';'
                               : header.name + ": " + header.value);
    }
    // What libcurl would add by itself.
    append_header_line("Expect:");
    for (char const* const name : {"Accept", "User-Agent", "Content-Type"})
    {
        if (!has_http_header(headers, name))
        {
            append_header_line(QByteArray(name) + ':');
        }
    }
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, header_lines_);
}

void upstream_attempt::append_header_line(QByteArray const& line)
{
    header_lines_ = curl_slist_append(header_lines_, line.constData());
}

curl_socket_t upstream_attempt::open_socket(void* attempt, curlsocktype,
                                            curl_sockaddr* address)
{
    auto& self = *static_cast<upstream_attempt*>(attempt);
    self.connecting_since_ = std::chrono::steady_clock::now();
    self.opened_socket_ = self.sockets_.open(address->family, address->socktype,
                                             address->protocol);
    return self.opened_socket_;
}

int upstream_attempt::close_socket(void* sockets, curl_socket_t socket)
{
    static_cast<upstream_sockets*>(sockets)->close(socket);
    return 0;
}

// Called for each send, with the connection open and nothing written yet.
int upstream_attempt::before_send(void* attempt, char*, char*, int,
                                  int local_port)
{
    auto& self = *static_cast<upstream_attempt*>(attempt);
    self.held_back_ = self.check_before_send(local_port);
    if (self.held_back_ != hold_back::none)
    {
        return CURL_PREREQFUNC_ABORT;
    }
    self.is_sent_ = true;
    return CURL_PREREQFUNC_OK;
}

upstream_attempt::hold_back upstream_attempt::check_before_send(int local_port)
{
    if (is_sent_)
    {
        // libcurl would resend what the upstream may have run.
        return hold_back::already_sent;
    }
    connection_ends const ends{request_.address, local_port};
    bool const is_new = opened_socket_ != upstream_sockets::none;
    if (is_new)
    {
        sockets_.name(ends, opened_socket_);
        connected_ = std::chrono::steady_clock::now();
        if (request_.on_connected)
        {
            request_.on_connected(elapsed(connecting_since_, *connected_));
        }
    }
    if (!upstream_sockets::is_quiet(sockets_.find(ends)))
    {
        return hold_back::connection_not_quiet;
    }
    // The process may have been frozen since it last looked at the clock.
    auto const now = std::chrono::steady_clock::now();
    return elapsed(start_, now) < request_.time_left ? hold_back::none
                                                     : hold_back::out_of_time;
}

bool upstream_attempt::needs_new_connection() const
{
    bool const was_kept = opened_socket_ == upstream_sockets::none;
    return held_back_ == hold_back::connection_not_quiet && was_kept;
}

void upstream_attempt::use_new_connection(monotonic_time now)
{
    held_back_ = hold_back::none;
    given_bytes_ = 0;
    waits_for_slice_ = false;
    curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS,
                     timeout_ms(request_.time_left - elapsed(start_, now)));
}

bool upstream_attempt::is_paced() const
{
    return pacer_ != nullptr &&
           request_.body.size() > body_pacer::short_body_bytes;
}

size_t upstream_attempt::give_body(char* buffer, size_t size, size_t count,
                                   void* attempt)
{
    return static_cast<upstream_attempt*>(attempt)->next_slice(buffer,
                                                               size * count);
}

size_t upstream_attempt::next_slice(char* buffer, size_t size)
{
    auto const left = std::min(request_.body.size() - given_bytes_,
                               static_cast<qint64>(size));
    if (left == 0)
    {
        return 0;
    }
    auto const due = pacer_->take(left, std::chrono::steady_clock::now());
    waits_for_slice_ = due == 0;
    if (waits_for_slice_)
    {
        return CURL_READFUNC_PAUSE;
    }
    std::copy_n(request_.body.constData() + given_bytes_, due, buffer);
    given_bytes_ += due;
    return static_cast<size_t>(due);
}

void upstream_attempt::continue_body()
{
    if (std::exchange(waits_for_slice_, false))
    {
        curl_easy_pause(handle_, CURLPAUSE_CONT);
    }
}

size_t upstream_attempt::take_header(char* bytes, size_t size, size_t count,
                                     void* attempt)
{
    auto& self = *static_cast<upstream_attempt*>(attempt);
    auto const length = size * count;
    self.last_progress_ = std::chrono::steady_clock::now();
    self.response_begun_ = self.response_begun_.value_or(self.last_progress_);
    bool const is_taken =
        self.take_header_line({bytes, static_cast<qsizetype>(length)});
    return is_taken ? length : 0;
}

bool upstream_attempt::take_header_line(QByteArrayView line)
{
    bool const was_done = answer_.is_header_done();
    if (!answer_.take_header_line(line))
    {
        return false;
    }
    if (was_done || !answer_.is_header_done() || !request_.is_own_response)
    {
        return true;
    }
    auto const age = opened_socket_ == upstream_sockets::none
                         ? connection_age::reused
                         : connection_age::fresh;
    is_foreign_response_ = !request_.is_own_response(answer_.head(), age);
    return !is_foreign_response_;
}

size_t upstream_attempt::take_body(char* bytes, size_t size, size_t count,
                                   void* attempt)
{
    auto& self = *static_cast<upstream_attempt*>(attempt);
    auto const length = size * count;
    self.last_progress_ = std::chrono::steady_clock::now();
    bool const is_taken =
        self.answer_.take_body({bytes, static_cast<qsizetype>(length)});
    self.count_held_bytes(self.answer_.held_bytes());
    return is_taken ? length : 0;
}

void upstream_attempt::count_held_bytes(qint64 bytes)
{
    memory_.held += bytes - held_bytes_;
    held_bytes_ = bytes;
}

attempt_result upstream_attempt::finish(CURLcode code, monotonic_time now)
{
    attempt_result result;
    result.duration = elapsed(start_, now);
    result.end = end_of(code);
    result.reason = reason_of(code);
    result.connected = connected_;
    result.response_begun = response_begun_;
    if (result.end == attempt_end::answered)
    {
        result.response = answer_.take_response();
    }
    return result;
}

attempt_end upstream_attempt::end_of(CURLcode code) const
{
    if (code == CURLE_OPERATION_TIMEDOUT ||
        held_back_ == hold_back::out_of_time)
    {
        return is_sent() ? attempt_end::timed_out_after_send
                         : attempt_end::timed_out_before_send;
    }
    if (!is_sent())
    {
        return attempt_end::connect_failed;
    }
    if (answer_.is_oversized() || code == CURLE_FILESIZE_EXCEEDED)
    {
        return attempt_end::oversized;
    }
    if (is_foreign_response_)
    {
        return attempt_end::foreign_response;
    }
    bool const is_whole = code == CURLE_OK && answer_.fault().isEmpty();
    return is_whole ? attempt_end::answered : attempt_end::failed_after_send;
}

QString upstream_attempt::reason_of(CURLcode code) const
{
    if (answer_.is_oversized() || code == CURLE_FILESIZE_EXCEEDED)
    {
        return QStringLiteral("The answer is over the bound.");
    }
    if (is_foreign_response_)
    {
        return QStringLiteral("The response belongs to another request.");
    }
    switch (held_back_)
    {
    case hold_back::none:
        break;
    case hold_back::already_sent:
        return QStringLiteral("The kept connection closed without an answer.");
    case hold_back::connection_not_quiet:
        return QStringLiteral("The upstream spoke before the request.");
    case hold_back::out_of_time:
        return QStringLiteral("No time is left.");
    }
    if (code == CURLE_OK || answer_.has_invalid_status())
    {
        return answer_.fault();
    }
    return QString::fromUtf8(error_text_[0] != '\0' ? error_text_
                                                    : curl_easy_strerror(code));
}

attempt_result upstream_attempt::give_up(attempt_end end, QString const& reason,
                                         monotonic_time now)
{
    attempt_result result;
    result.end = end;
    result.reason = reason;
    result.connected = connected_;
    result.response_begun = response_begun_;
    result.duration = elapsed(start_, now);
    answer_.take_response();
    count_held_bytes(0);
    return result;
}

bool upstream_attempt::is_stalled(monotonic_time now) const
{
    return answer_.has_begun() &&
           elapsed(last_progress_, now) > request_.stall_timeout;
}

void upstream_attempt::call_back(attempt_result result)
{
    call_(std::move(result));
}

} // namespace verbenacove
