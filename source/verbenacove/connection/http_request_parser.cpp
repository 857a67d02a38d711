#include "verbenacove/connection/http_request_parser.hpp"

#include "verbenacove/connection/connection_progress.hpp"

// GCC 12 sees an uninitialised value in Beast where there is none, when the
// sanitizers are on.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic pop
#endif

#include <algorithm>
#include <optional>
#include <utility>

namespace verbenacove
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

// The line's end and the `: ` of a header, counted with its texts.
constexpr qint64 header_line_overhead = 4;

QByteArrayView view_of(beast::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

http_response response_for(beast::error_code const& error)
{
    if (error == http::error::header_limit)
    {
        return not_run_response(431, "headers-too-large",
                                "The headers are over the bound.");
    }
    if (error == http::error::body_limit)
    {
        return not_run_response(413, "body-too-large",
                                "The body is over the bound.");
    }
    if (error == http::error::bad_version)
    {
        return not_run_response(400, "bad-request",
                                "The request is not HTTP/1.0 or HTTP/1.1.");
    }
    return not_run_response(400, "bad-request",
                            QByteArray("The request is not valid HTTP: ") +
                                QByteArray::fromStdString(error.message()) +
                                '.');
}

} // namespace

class http_request_parser::grammar : public http::basic_parser<true>
{
public:
    explicit grammar(http_limits const& limits)
        : limits_(limits)
    {
        header_limit(static_cast<std::uint32_t>(limits.maximum_header_bytes));
        body_limit(static_cast<std::uint64_t>(limits.maximum_body_bytes));
    }

    progress state() const
    {
        if (refusal_)
        {
            return progress::refused;
        }
        if (is_done())
        {
            return progress::complete;
        }
        if (is_header_done())
        {
            return progress::body;
        }
        return got_some() ? progress::header : progress::nothing;
    }

    void refuse(http_response response) { refusal_ = std::move(response); }

    // A refusal by a check of this class is kept over the grammar's error.
    void refuse(beast::error_code const& error)
    {
        if (!refusal_)
        {
            refusal_ = response_for(error);
        }
    }

    // The grammar counts only the bytes that it has not used yet.
    void check_unfinished_header(qsizetype used, qsizetype waiting)
    {
        used_header_bytes_ += used;
        if (used_header_bytes_ + waiting > limits_.maximum_header_bytes)
        {
            refuse(http::error::header_limit);
        }
    }

    http_request request_;
    std::optional<http_response> refusal_;
    bool expects_continue_ = false;
    bool is_http_1_1_ = false;

private:
    void reject(int status, QByteArray const& code, QByteArray const& message,
                beast::error_code& error)
    {
        refuse(not_run_response(status, code, message));
        error = http::error::bad_field;
    }

    void on_request_impl(http::verb, beast::string_view method,
                         beast::string_view target, int version,
                         beast::error_code& error) override
    {
        is_http_1_1_ = version >= 11;
        request_.method = view_of(method).toByteArray();
        header_bytes_ += static_cast<qint64>(method.size() + target.size());
        set_target(view_of(target).toByteArray(), error);
    }

    void set_target(QByteArray const& target, beast::error_code& error)
    {
        if (target.contains('#') || !(target.startsWith('/') || target == "*"))
        {
            reject(400, "bad-request", "The target must be a path.", error);
            return;
        }
        auto const mark = target.indexOf('?');
        request_.path = mark < 0 ? target : target.left(mark);
        request_.query = mark < 0 ? QByteArray() : target.mid(mark + 1);
    }

    void on_field_impl(http::field name, beast::string_view name_text,
                       beast::string_view value,
                       beast::error_code& error) override
    {
        header_bytes_ += static_cast<qint64>(name_text.size() + value.size()) +
                         header_line_overhead;
        ++header_count_;
        if (header_bytes_ > limits_.maximum_header_bytes ||
            header_count_ > limits_.maximum_headers)
        {
            error = http::error::header_limit;
            return;
        }
        if (is_header_done_)
        {
            // A trailer, which must not pass for a header.
            return;
        }
        check_field(name, view_of(value), error);
        request_.headers.push_back(
            {view_of(name_text).toByteArray(), view_of(value).toByteArray()});
    }

    void check_field(http::field name, QByteArrayView value,
                     beast::error_code& error)
    {
        switch (name)
        {
        case http::field::host:
            ++host_count_;
            break;
        case http::field::content_length:
            check_length(value, error);
            break;
        case http::field::transfer_encoding:
            check_transfer_encoding(value, error);
            break;
        case http::field::expect:
            check_expectation(value, error);
            break;
        default:
            break;
        }
    }

    void check_length(QByteArrayView value, beast::error_code& error)
    {
        if (++length_count_ > 1 || value.contains(','))
        {
            reject(400, "bad-request", "Content-Length is given twice.", error);
        }
    }

    void check_transfer_encoding(QByteArrayView value, beast::error_code& error)
    {
        if (value.compare("chunked", Qt::CaseInsensitive) != 0)
        {
            reject(501, "not-implemented",
                   "The only transfer coding taken is chunked.", error);
        }
        else if (!is_http_1_1_)
        {
            reject(400, "bad-request", "HTTP/1.0 knows no transfer coding.",
                   error);
        }
    }

    void check_expectation(QByteArrayView value, beast::error_code& error)
    {
        if (value.compare("100-continue", Qt::CaseInsensitive) != 0)
        {
            reject(417, "expectation-failed",
                   "The only expectation taken is 100-continue.", error);
            return;
        }
        expects_continue_ = is_http_1_1_;
    }

    // Before the body's first byte, where it has a length.
    void set_body_limit(beast::error_code& error)
    {
        if (!limits_.body_bytes_for)
        {
            return;
        }
        maximum_body_bytes_ =
            std::min(limits_.maximum_body_bytes,
                     limits_.body_bytes_for(request_.method, request_.path));
        auto const length = content_length();
        if (length && *length > static_cast<std::uint64_t>(maximum_body_bytes_))
        {
            error = http::error::body_limit;
        }
    }

    void on_header_impl(beast::error_code& error) override
    {
        is_header_done_ = true;
        if (host_count_ > 1 || (host_count_ == 0 && is_http_1_1_))
        {
            reject(400, "bad-request", "One Host header is needed.", error);
            return;
        }
        bool const has_no_length = length_count_ == 0 && !chunked();
        if (has_no_length && needs_length())
        {
            reject(411, "length-required",
                   "Content-Length or chunked coding is needed.", error);
            return;
        }
        set_body_limit(error);
    }

    bool needs_length() const
    {
        return request_.method == "POST" || request_.method == "PUT" ||
               request_.method == "PATCH";
    }

    void on_body_init_impl(boost::optional<std::uint64_t> const& length,
                           beast::error_code&) override
    {
        if (length)
        {
            request_.body.reserve(static_cast<qsizetype>(*length));
        }
    }

    std::size_t on_body_impl(beast::string_view bytes,
                             beast::error_code&) override
    {
        request_.body.append(view_of(bytes));
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view,
                              beast::error_code&) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes,
                                   beast::error_code& error) override
    {
        if (request_.body.size() + static_cast<qsizetype>(bytes.size()) >
            maximum_body_bytes_)
        {
            error = http::error::body_limit;
            return 0;
        }
        request_.body.append(view_of(bytes));
        return bytes.size();
    }

    void on_response_impl(int, beast::string_view, int,
                          beast::error_code&) override
    {
    }

    void on_finish_impl(beast::error_code&) override {}

    http_limits const& limits_;
    /** That of requests of this kind. */
    qint64 maximum_body_bytes_ = limits_.maximum_body_bytes;
    qint64 used_header_bytes_ = 0;
    qint64 header_bytes_ = 0;
    int header_count_ = 0;
    int host_count_ = 0;
    int length_count_ = 0;
    bool is_header_done_ = false;
};

http_request_parser::http_request_parser(http_limits const& limits)
    : grammar_(std::make_unique<grammar>(limits))
{
}

http_request_parser::~http_request_parser() = default;

qsizetype http_request_parser::put(QByteArrayView bytes)
{
    qsizetype used = 0;
    while (used < bytes.size() && state() != progress::complete &&
           state() != progress::refused)
    {
        beast::error_code error;
        auto const rest = bytes.sliced(used);
        used += static_cast<qsizetype>(grammar_->put(
            {rest.data(), static_cast<std::size_t>(rest.size())}, error));
        if (error == http::error::need_more)
        {
            break;
        }
        if (error)
        {
            grammar_->refuse(error);
        }
    }
    if (state() == progress::header)
    {
        grammar_->check_unfinished_header(used, bytes.size() - used);
    }
    return used;
}

http_request_parser::progress http_request_parser::state() const
{
    return grammar_->state();
}

bool http_request_parser::expects_continue() const
{
    return grammar_->expects_continue_;
}

bool http_request_parser::is_http_1_1() const
{
    return grammar_->is_http_1_1_;
}

bool http_request_parser::keeps_alive() const
{
    return grammar_->keep_alive();
}

qint64 http_request_parser::body_bytes() const
{
    return grammar_->request_.body.size();
}

qint64 http_request_parser::held_bytes() const
{
    return body_bytes() + header_cost(grammar_->request_.headers);
}

http_request http_request_parser::take_request()
{
    return std::move(grammar_->request_);
}

http_response http_request_parser::refusal() const
{
    return *grammar_->refusal_;
}

} // namespace verbenacove
