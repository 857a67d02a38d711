#ifndef VERBENACOVE_CONNECTION_UPSTREAM_ATTEMPT_HPP
#define VERBENACOVE_CONNECTION_UPSTREAM_ATTEMPT_HPP

#include "verbenacove/connection/body_pacer.hpp"
#include "verbenacove/connection/upstream_answer.hpp"
#include "verbenacove/connection/upstream_client.hpp"
#include "verbenacove/connection/upstream_sockets.hpp"

#include <curl/curl.h>

#include <memory>

namespace verbenacove
{

/** The memory that the bodies of unfinished responses take together. */
struct response_memory
{
    /** Bytes held now. */
    qint64 held = 0;
    /** Maximum number of bytes. */
    qint64 maximum = 0;
};

/** One request on its way by libcurl: the easy handle, what it is told, and
    what came back.

    An address that stays the same is needed while it is in flight.
*/
class upstream_attempt
{
public:
    /** Prepares the request; it is not sent yet.

        @param sockets  must outlive all connections of the multi interface
        @param memory   counts what the response takes; must outlive the attempt
        @param pacer    paces a large body; null to send it at once; must
                        outlive the attempt
    */
    upstream_attempt(attempt_request request, upstream_client::callback call,
                     upstream_sockets& sockets, response_memory& memory,
                     body_pacer* pacer, monotonic_time now);
    ~upstream_attempt();
    upstream_attempt(upstream_attempt const&) = delete;
    upstream_attempt& operator=(upstream_attempt const&) = delete;

    /** Returns the handle to give to the multi interface. */
    CURL* handle() const;

    /** Returns true when the method, target and headers can be written. */
    bool is_valid() const;

    /** Returns true once a connection is open and the request goes out. */
    bool is_sent() const;

    /** Returns true when nothing was sent, because the kept connection was
        no good, and a new connection may be tried. */
    bool needs_new_connection() const;

    /** Prepares for a new connection, in the time that is left. */
    void use_new_connection(monotonic_time now);

    /** Returns the result that libcurl's code stands for. */
    attempt_result finish(CURLcode code, monotonic_time now);

    /** Returns the memory that the response takes so far, in bytes. */
    qint64 held_response_bytes() const { return held_bytes_; }

    /** Returns the result of an attempt that is given up, and drops what it has
        received. */
    attempt_result give_up(attempt_end end, QString const& reason,
                           monotonic_time now);

    /** Returns true when an answer has begun and then stood still. */
    bool is_stalled(monotonic_time now) const;

    /** Lets a paced body go on; does nothing if it does not wait. */
    void continue_body();

    /** Calls back with the result. */
    void call_back(attempt_result result);

    /** Returns whether its body is sent in slices. */
    bool is_paced() const;

private:
    /** Why the request was kept back when the connection was open. */
    enum class hold_back
    {
        none,
        already_sent,
        connection_not_quiet,
        out_of_time
    };

    static curl_socket_t open_socket(void* attempt, curlsocktype purpose,
                                     curl_sockaddr* address);
    static int close_socket(void* sockets, curl_socket_t socket);
    static int before_send(void* attempt, char* remote_host, char* local_host,
                           int remote_port, int local_port);
    static size_t give_body(char* buffer, size_t size, size_t count,
                            void* attempt);
    size_t next_slice(char* buffer, size_t size);
    static size_t take_header(char* bytes, size_t size, size_t count,
                              void* attempt);
    static size_t take_body(char* bytes, size_t size, size_t count,
                            void* attempt);
    void set_target();
    void set_connection();
    void set_method();
    void set_headers();
    void append_header_line(QByteArray const& line);
    hold_back check_before_send(int local_port);
    bool take_header_line(QByteArrayView line);
    void count_held_bytes(qint64 bytes);
    attempt_end end_of(CURLcode code) const;
    QString reason_of(CURLcode code) const;

    attempt_request const request_;
    upstream_client::callback call_;
    monotonic_time const start_;
    upstream_sockets& sockets_;
    response_memory& memory_;
    body_pacer* pacer_;
    /** Bytes of a paced body that have been handed to libcurl. */
    qint64 given_bytes_ = 0;
    /** Whether a paced body waits for its next slice. */
    bool waits_for_slice_ = false;
    upstream_answer answer_;
    /** What is counted in `memory_`. */
    qint64 held_bytes_ = 0;
    CURL* handle_;
    curl_slist* header_lines_ = nullptr;
    char error_text_[CURL_ERROR_SIZE] = {};
    upstream_sockets::descriptor opened_socket_ = upstream_sockets::none;
    hold_back held_back_ = hold_back::none;
    bool is_sent_ = false;
    /** When a new connection was begun. */
    monotonic_time connecting_since_{};
    /** When a new connection was open. */
    std::optional<monotonic_time> connected_;
    /** When the first byte of the answer came. */
    std::optional<monotonic_time> response_begun_;
    bool is_foreign_response_ = false;
    monotonic_time last_progress_;
};

} // namespace verbenacove

#endif
