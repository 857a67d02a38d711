#ifndef VERBENACOVE_CONNECTION_UPSTREAM_ATTEMPT_HPP
#define VERBENACOVE_CONNECTION_UPSTREAM_ATTEMPT_HPP

#include "verbenacove/connection/upstream_answer.hpp"
#include "verbenacove/connection/upstream_client.hpp"

#include <curl/curl.h>

#include <memory>

namespace verbenacove
{

/** One request on its way by libcurl: the easy handle, what it is told, and
    what came back.

    An address that stays the same is needed while it is in flight.
*/
class upstream_attempt
{
public:
    /** Prepares the request; it is not sent yet. */
    upstream_attempt(attempt_request request, upstream_client::callback call,
                     monotonic_time now);
    ~upstream_attempt();
    upstream_attempt(upstream_attempt const&) = delete;
    upstream_attempt& operator=(upstream_attempt const&) = delete;

    /** Returns the handle to give to the multi interface. */
    CURL* handle() const;

    /** Returns true when the method, target and headers can be written. */
    bool is_valid() const;

    /** Returns true once a connection is open and the request goes out. */
    bool is_sent() const;

    /** Returns the result that libcurl's code stands for. */
    attempt_result finish(CURLcode code, monotonic_time now);

    /** Returns the result of an attempt that is given up. */
    attempt_result give_up(attempt_end before_send, attempt_end after_send,
                           QString const& reason, monotonic_time now);

    /** Returns true when an answer has begun and then stood still. */
    bool is_stalled(monotonic_time now) const;

    /** Calls back with the result. */
    void call_back(attempt_result result);

private:
    static int before_send(void* attempt, char* remote_host, char* local_host,
                           int remote_port, int local_port);
    static size_t take_header(char* bytes, size_t size, size_t count,
                              void* attempt);
    static size_t take_body(char* bytes, size_t size, size_t count,
                            void* attempt);
    void set_target();
    void set_connection();
    void set_method();
    void set_headers();
    void append_header_line(QByteArray const& line);
    attempt_end end_of(CURLcode code) const;
    QString reason_of(CURLcode code) const;

    attempt_request const request_;
    upstream_client::callback call_;
    monotonic_time const start_;
    upstream_answer answer_;
    CURL* handle_;
    curl_slist* header_lines_ = nullptr;
    char error_text_[CURL_ERROR_SIZE] = {};
    int send_count_ = 0;
    monotonic_time last_progress_;
};

} // namespace verbenacove

#endif
