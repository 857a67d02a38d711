#include "verbenacove/connection/http_message.hpp"

#include "verbenacove/core/verdict.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>

namespace verbenacove
{

namespace
{

constexpr std::array<char const*, 10> hop_by_hop_names{"connection",
                                                       "content-length",
                                                       "keep-alive",
                                                       "proxy-connection",
                                                       "proxy-authenticate",
                                                       "proxy-authorization",
                                                       "te",
                                                       "trailer",
                                                       "transfer-encoding",
                                                       "upgrade"};

bool equal_names(QByteArrayView a, QByteArrayView b)
{
    return a.compare(b, Qt::CaseInsensitive) == 0;
}

bool is_hop_by_hop(QByteArrayView name)
{
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                       [name](char const* other)
                       { return equal_names(name, other); });
}

std::vector<QByteArray>
names_in_connection(std::vector<http_header> const& headers)
{
    std::vector<QByteArray> result;
    for (auto const& header : headers)
    {
        if (!equal_names(header.name, "connection"))
        {
            continue;
        }
        for (auto const& name : header.value.split(','))
        {
            result.push_back(name.trimmed());
        }
    }
    return result;
}

std::vector<http_header>::const_iterator
find_header(std::vector<http_header> const& headers, QByteArrayView name)
{
    return std::find_if(headers.begin(), headers.end(),
                        [name](http_header const& header)
                        { return equal_names(header.name, name); });
}

} // namespace

QByteArray find_http_header(std::vector<http_header> const& headers,
                            QByteArrayView name)
{
    auto const found = find_header(headers, name);
    return found == headers.end() ? QByteArray() : found->value;
}

bool has_http_header(std::vector<http_header> const& headers,
                     QByteArrayView name)
{
    return find_header(headers, name) != headers.end();
}

std::vector<http_header>
end_to_end_headers(std::vector<http_header> const& headers)
{
    auto const named = names_in_connection(headers);
    auto const is_named = [&named](QByteArray const& name)
    {
        return std::any_of(named.begin(), named.end(),
                           [&name](QByteArray const& other)
                           { return equal_names(name, other); });
    };
    std::vector<http_header> result;
    result.reserve(headers.size());
    for (auto const& header : headers)
    {
        if (!is_hop_by_hop(header.name) && !is_named(header.name))
        {
            result.push_back(header);
        }
    }
    return result;
}

bool is_header_text(QByteArrayView text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character)
                       {
                           auto const code =
                               static_cast<unsigned char>(character);
                           return code == '\t' || (code >= 32 && code != 127);
                       });
}

bool is_header_token(QByteArrayView text)
{
    static constexpr QByteArrayView marks = "!#$%&'*+-.^_`|~";
    auto const is_token_character = [](char character)
    {
        return (character >= 'a' && character <= 'z') ||
               (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') ||
               (character != '\0' && marks.contains(character));
    };
    return !text.isEmpty() &&
           std::all_of(text.begin(), text.end(), is_token_character);
}

QByteArray http_request::header(QByteArrayView name) const
{
    return find_http_header(headers, name);
}

bool http_request::has_header(QByteArrayView name) const
{
    return has_http_header(headers, name);
}

http_response not_run_response(int status, QByteArray const& code,
                               QByteArray const& message)
{
    QJsonObject const body{
        {QStringLiteral("error"), QString::fromUtf8(code)},
        {QStringLiteral("message"), QString::fromUtf8(message)}};
    http_response result;
    result.status = status;
    result.headers = {{"Content-Type", "application/json"},
                      {"Run-Verdict", verdict_word(run_verdict::not_run)}};
    result.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    return result;
}

} // namespace verbenacove
