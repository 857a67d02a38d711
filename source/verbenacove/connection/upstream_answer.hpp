#ifndef VERBENACOVE_CONNECTION_UPSTREAM_ANSWER_HPP
#define VERBENACOVE_CONNECTION_UPSTREAM_ANSWER_HPP

#include "verbenacove/connection/http_message.hpp"

#include <QString>

namespace verbenacove
{

/** Collects an upstream's answer and judges whether it is whole.

    An answer is whole only when it says its own length, by Content-Length or
    chunked coding, and that length came. The end of a connection is no sign
    of it: a killed process ends its connections like one that is done.
*/
class upstream_answer
{
public:
    /** Collects an answer to HEAD, or to another method, of at most so many
        bytes of body. */
    upstream_answer(bool is_head, qint64 maximum_bytes);

    /** Takes a line of the header; false when it is over the bound. */
    bool take_header_line(QByteArrayView line);

    /** Takes bytes of the body; false when they are over the bound. */
    bool take_body(QByteArrayView bytes);

    /** Returns true when the status and all headers have come. */
    bool is_header_done() const { return is_header_done_; }

    /** Returns the status and the headers so far. */
    http_response const& head() const { return response_; }

    /** Returns true when a byte of an answer has come. */
    bool has_begun() const;

    /** Returns true when a bound was broken. */
    bool is_oversized() const;

    /** Returns whether it has a status line that no answer may have, such as
        one with a status below 100, or 101 although no upgrade was asked for.
        Nothing that follows can be understood. */
    bool has_invalid_status() const { return has_invalid_status_; }

    /** Returns why an answer that has ended is not whole, or nothing. */
    QString fault() const;

    /** Returns the memory that the body takes, in bytes. */
    qint64 held_bytes() const { return response_.body.capacity(); }

    /** Moves the answer out, without hop-by-hop headers. */
    http_response take_response();

private:
    /** Returns false when no answer may have this line. */
    bool take_status_line(QByteArrayView line);
    void take_field(QByteArrayView line);
    bool has_no_body() const;
    QString length_fault() const;

    bool const is_head_;
    qint64 const maximum_bytes_;
    http_response response_;
    qint64 header_bytes_ = 0;
    bool is_header_done_ = false;
    bool is_malformed_ = false;
    bool has_invalid_status_ = false;
    bool is_oversized_ = false;
};

} // namespace verbenacove

#endif
