#include "verbenacove/connection/http_response_writer.hpp"

#include <boost/beast/http/status.hpp>

namespace verbenacove
{

namespace
{

constexpr int lowest_status = 200;
constexpr int highest_status = 599;
constexpr int no_content_status = 204;
constexpr int not_modified_status = 304;
constexpr qsizetype status_line_size = 128;

QByteArray reason_of(int status)
{
    auto const text = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), static_cast<qsizetype>(text.size())};
}

void append_header(QByteArray& bytes, QByteArrayView name, QByteArrayView value)
{
    bytes.append(name).append(": ").append(value).append("\r\n");
}

// The answer to HEAD tells the length that GET would have had.
QByteArray length_text(http_response const& response,
                       http_response_form const& form)
{
    auto told = find_http_header(response.headers, "Content-Length");
    if (form.is_head && response.body.isEmpty() && is_header_text(told))
    {
        return told;
    }
    return QByteArray::number(response.body.size());
}

void append_length(QByteArray& bytes, http_response const& response,
                   http_response_form const& form)
{
    if (response.status == no_content_status ||
        response.status == not_modified_status)
    {
        return;
    }
    auto const length = length_text(response, form);
    if (!length.isEmpty())
    {
        append_header(bytes, "Content-Length", length);
    }
}

void append_connection(QByteArray& bytes, http_response_form const& form)
{
    if (form.closes)
    {
        append_header(bytes, "Connection", "close");
    }
    else if (!form.is_http_1_1)
    {
        append_header(bytes, "Connection", "keep-alive");
    }
}

bool has_body(http_response const& response, http_response_form const& form)
{
    return !form.is_head && response.status != no_content_status &&
           response.status != not_modified_status;
}

} // namespace

QByteArray write_http_response(http_response const& response,
                               http_response_form const& form)
{
    bool const is_status =
        response.status >= lowest_status && response.status <= highest_status;
    auto const status = is_status ? response.status : 500;
    QByteArray result;
    result.reserve(status_line_size + response.body.size());
    result.append("HTTP/1.1 ").append(QByteArray::number(status));
    result.append(' ').append(reason_of(status)).append("\r\n");
    for (auto const& header : end_to_end_headers(response.headers))
    {
        if (is_header_token(header.name) && is_header_text(header.value))
        {
            append_header(result, header.name, header.value);
        }
    }
    append_length(result, response, form);
    append_connection(result, form);
    result.append("\r\n");
    if (has_body(response, form))
    {
        result.append(response.body);
    }
    return result;
}

} // namespace verbenacove
