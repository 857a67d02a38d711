#include "verbenacove/connection/upstream_answer.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr qint64 maximum_header_bytes = qint64{64} * 1024;
constexpr int lowest_status = 100;
constexpr int switching_protocols_status = 101;
constexpr int lowest_final_status = 200;
constexpr int highest_status = 599;
constexpr int no_content_status = 204;
constexpr int not_modified_status = 304;

std::vector<QByteArray> values_of(std::vector<http_header> const& headers,
                                  QByteArrayView name)
{
    std::vector<QByteArray> result;
    for (auto const& header : headers)
    {
        if (QByteArrayView(header.name).compare(name, Qt::CaseInsensitive) == 0)
        {
            result.push_back(header.value);
        }
    }
    return result;
}

bool is_number(QByteArray const& text)
{
    return !text.isEmpty() &&
           std::all_of(text.begin(), text.end(),
                       [](char digit) { return digit >= '0' && digit <= '9'; });
}

} // namespace

upstream_answer::upstream_answer(bool is_head, qint64 maximum_bytes)
    : is_head_(is_head)
    , maximum_bytes_(maximum_bytes)
{
    response_.status = 0;
}

bool upstream_answer::take_header_line(QByteArrayView line)
{
    header_bytes_ += line.size();
    if (header_bytes_ > maximum_header_bytes)
    {
        is_oversized_ = true;
        return false;
    }
    auto const text = line.trimmed();
    if (is_header_done_)
    {
        // A trailer, which must not pass for a header.
        return true;
    }
    if (text.isEmpty())
    {
        is_header_done_ = response_.status >= lowest_final_status;
        return true;
    }
    if (response_.status < lowest_final_status && text.startsWith("HTTP/"))
    {
        return take_status_line(text);
    }
    take_field(line);
    return true;
}

bool upstream_answer::take_status_line(QByteArrayView line)
{
    constexpr qsizetype status_digits = 3;
    response_.headers.clear();
    auto const parts = line.toByteArray().split(' ');
    bool const is_version =
        parts.front() == "HTTP/1.1" || parts.front() == "HTTP/1.0";
    bool const has_status = parts.size() > 1 &&
                            parts[1].size() == status_digits &&
                            is_number(parts[1]);
    response_.status = has_status ? parts[1].toInt() : 0;
    // No request asks for another protocol.
    has_invalid_status_ = !is_version || response_.status < lowest_status ||
                          response_.status > highest_status ||
                          response_.status == switching_protocols_status;
    return !has_invalid_status_;
}

void upstream_answer::take_field(QByteArrayView line)
{
    bool const is_folded = line.startsWith(' ') || line.startsWith('\t');
    auto const colon = line.indexOf(':');
    if (is_folded || colon <= 0)
    {
        is_malformed_ = true;
        return;
    }
    http_header header{line.first(colon).toByteArray(),
                       line.sliced(colon + 1).trimmed().toByteArray()};
    is_malformed_ = is_malformed_ || !is_header_token(header.name) ||
                    !is_header_text(header.value);
    response_.headers.push_back(std::move(header));
}

bool upstream_answer::take_body(QByteArrayView bytes)
{
    if (response_.body.size() + bytes.size() > maximum_bytes_)
    {
        is_oversized_ = true;
        return false;
    }
    response_.body.append(bytes);
    return true;
}

bool upstream_answer::has_begun() const
{
    return header_bytes_ > 0;
}

bool upstream_answer::is_oversized() const
{
    return is_oversized_;
}

QString upstream_answer::fault() const
{
    if (has_invalid_status_)
    {
        return QStringLiteral("The answer has an invalid status line.");
    }
    if (!is_header_done_)
    {
        return QStringLiteral("The answer has no whole header.");
    }
    if (is_malformed_)
    {
        return QStringLiteral("The answer has a malformed header.");
    }
    return length_fault();
}

QString upstream_answer::length_fault() const
{
    auto const lengths = values_of(response_.headers, "Content-Length");
    auto const codings = values_of(response_.headers, "Transfer-Encoding");
    if (lengths.size() + codings.size() > 1)
    {
        return QStringLiteral("The answer gives its length twice.");
    }
    if (!lengths.empty() && !is_number(lengths.front()))
    {
        return QStringLiteral("The answer's length is not a number.");
    }
    if (!codings.empty() &&
        codings.front().compare("chunked", Qt::CaseInsensitive) != 0)
    {
        return QStringLiteral("The answer has an unknown transfer coding.");
    }
    if (has_no_body())
    {
        return {};
    }
    if (lengths.empty() && codings.empty())
    {
        return QStringLiteral("The answer does not give its length.");
    }
    if (!lengths.empty() &&
        lengths.front().toLongLong() != response_.body.size())
    {
        return QStringLiteral("The answer is not as long as it says.");
    }
    return {};
}

bool upstream_answer::has_no_body() const
{
    return is_head_ || response_.status == no_content_status ||
           response_.status == not_modified_status;
}

http_response upstream_answer::take_response()
{
    auto const length = find_http_header(response_.headers, "Content-Length");
    response_.headers = end_to_end_headers(response_.headers);
    if (is_head_ && !length.isEmpty())
    {
        // It tells the length of GET's answer, which nobody else knows.
        response_.headers.push_back({"Content-Length", length});
    }
    return std::move(response_);
}

} // namespace verbenacove
