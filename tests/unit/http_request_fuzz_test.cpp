#include "verbenacove/connection/http_request_parser.hpp"

#include <doctest/doctest.h>

#include <QtGlobal>

#include <random>

using namespace verbenacove;

namespace
{

using progress = http_request_parser::progress;
using random_source = std::mt19937;

constexpr qint64 longest_body = 64;
constexpr qint64 longest_header = 512;
constexpr int most_headers = 12;
constexpr qsizetype most_changes = 5;

/** Seeds of a run; VERBENACOVE_SEEDS sets more for a run by hand. */
unsigned seed_count()
{
    constexpr unsigned in_ci = 20000;
    auto const text = qgetenv("VERBENACOVE_SEEDS");
    return text.isEmpty() ? in_ci : text.toUInt();
}

/** Requests of each kind that a caller may send, or that two hops might read in
    two ways. */
std::vector<QByteArray> const requests{
    "GET /a/b?c=d&e HTTP/1.1\r\nHost: g.example\r\nX-A: b\r\n\r\n",
    "GET /a HTTP/1.0\r\n\r\n",
    QByteArray("HEAD /%2f//../a?? HTTP/1.1\r\nhost: g.example\r\nConnection: "
               "close\r\n\r\n"),
    "OPTIONS * HTTP/1.1\r\nHost: g.example\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: g.example\r\nContent-Length: 5\r\n\r\nabcde",
    QByteArray("PUT /a HTTP/1.1\r\nHost: g.example\r\nExpect: 100-continue\r\n"
               "Content-Length: 3\r\n\r\nabc"),
    QByteArray("POST /a HTTP/1.1\r\nHost: g.example\r\nTransfer-Encoding: "
               "chunked\r\n\r\n"
               "3\r\nabc\r\n2;e=\"1\"\r\nde\r\n0\r\nX-T: 1\r\n\r\n"),
    QByteArray(
        "POST /a HTTP/1.1\r\nHost: g.example\r\nTransfer-Encoding: chunked\r\n"
        "Content-Length: 5\r\n\r\n0\r\n\r\n"),
    QByteArray("POST /a HTTP/1.1\r\nHost: g.example\r\nContent-Length: 1\r\n"
               "Content-Length: 1\r\n\r\na"),
    "GET /a HTTP/1.1\r\nHost: g.example\r\nX-A: b\r\n folded\r\n\r\n",
    QByteArray("DELETE /a HTTP/1.1\r\nHost: g.example\r\nConnection: X-A, "
               "keep-alive\r\n"
               "X-A:\t b \r\nX-B:\r\n\r\n")};

std::vector<QByteArray> const pieces{"\r\n",
                                     "\n",
                                     "\r",
                                     "\r\n\r\n",
                                     QByteArray(1, '\0'),
                                     " ",
                                     "\t",
                                     ":",
                                     ",",
                                     ";",
                                     "\"",
                                     "\x7f",
                                     "\xff",
                                     "-1",
                                     "+5",
                                     "0x3",
                                     "ffffffffffffffff",
                                     "18446744073709551617",
                                     "HTTP/1.2",
                                     "HTTP/2.0",
                                     "http://a/",
                                     "#",
                                     "Host: b\r\n",
                                     "Content-Length: 2\r\n",
                                     "Content-Length : 2\r\n",
                                     "Transfer-Encoding: chunked\r\n",
                                     "Transfer-Encoding: identity, chunked\r\n",
                                     QByteArray("transfer-encoding:\x0b") +
                                         "chunked\r\n",
                                     "Expect: a\r\n",
                                     " folded: 1\r\n",
                                     "0\r\n\r\n",
                                     "GET /b HTTP/1.1\r\nHost: b\r\n\r\n"};

qsizetype below(random_source& source, qsizetype bound)
{
    return static_cast<qsizetype>(
        source() % static_cast<unsigned>(std::max<qsizetype>(1, bound)));
}

QByteArray const& any_of(std::vector<QByteArray> const& choices,
                         random_source& source)
{
    return choices[static_cast<std::size_t>(
        below(source, static_cast<qsizetype>(choices.size())))];
}

QByteArray damage(QByteArray bytes, random_source& source)
{
    for (auto left = below(source, most_changes + 1); left > 0; --left)
    {
        auto const at = below(source, bytes.size());
        switch (below(source, 4))
        {
        case 0:
            bytes.remove(at, 1 + below(source, 12));
            break;
        case 1:
            bytes.insert(at, any_of(pieces, source));
            break;
        case 2:
            bytes.insert(
                at, bytes.mid(below(source, bytes.size()), below(source, 30)));
            break;
        default:
            bytes.replace(at, 1,
                          QByteArray(1, static_cast<char>(below(source, 256))));
            break;
        }
    }
    return bytes;
}

http_limits small_limits()
{
    http_limits result;
    result.maximum_body_bytes = longest_body;
    result.maximum_header_bytes = longest_header;
    result.maximum_headers = most_headers;
    return result;
}

/** Limits under which the headers that a hop adds are within the bounds. */
http_limits wide_limits()
{
    auto result = small_limits();
    result.maximum_header_bytes = 2 * longest_header;
    result.maximum_headers = most_headers + 2;
    return result;
}

/** Returns the request that bytes begin with, if it is whole; checks that a
    parser keeps to its bounds and refuses with a status for callers. */
std::optional<http_request> parse(QByteArray const& bytes,
                                  http_limits const& limits = small_limits())
{
    http_request_parser parser(limits);
    auto const used = parser.put(bytes);
    CHECK(used >= 0);
    CHECK(used <= bytes.size());
    CHECK(parser.body_bytes() <= limits.maximum_body_bytes);
    CHECK(parser.held_bytes() <=
          limits.maximum_body_bytes + 8 * limits.maximum_header_bytes);
    if (parser.state() == progress::refused)
    {
        auto const status = parser.refusal().status;
        CHECK(status >= 400);
        CHECK(status < 600);
    }
    return parser.state() == progress::complete
               ? std::optional(parser.take_request())
               : std::nullopt;
}

bool is_target_text(QByteArrayView text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) {
                           return static_cast<unsigned char>(character) > ' ' &&
                                  character != '\x7f';
                       });
}

/** Checks that no further hop can read the request's parts in another way. */
void check_parts(http_request const& request)
{
    CHECK(is_header_token(request.method));
    CHECK((request.path == "*" || request.path.startsWith('/')));
    CHECK(is_target_text(request.path));
    CHECK(is_target_text(request.query));
    CHECK(request.headers.size() <= std::size_t(most_headers));
    int lengths = 0;
    int hosts = 0;
    for (auto const& header : request.headers)
    {
        CHECK(is_header_token(header.name));
        CHECK(is_header_text(header.value));
        lengths +=
            header.name.compare("content-length", Qt::CaseInsensitive) == 0 ||
                    header.name.compare("transfer-encoding",
                                        Qt::CaseInsensitive) == 0
                ? 1
                : 0;
        hosts += header.name.compare("host", Qt::CaseInsensitive) == 0 ? 1 : 0;
    }
    CHECK(lengths <= 1);
    CHECK(hosts <= 1);
}

/** Returns the request as it is passed on. */
QByteArray write(http_request const& request)
{
    auto result = request.method + ' ' + request.path +
                  (request.query.isEmpty() ? "" : "?") + request.query +
                  " HTTP/1.1\r\n";
    if (!request.has_header("Host"))
    {
        result += "Host: none\r\n";
    }
    for (auto const& header : end_to_end_headers(request.headers))
    {
        result += header.name + ": " + header.value + "\r\n";
    }
    return result +
           "Content-Length: " + QByteArray::number(request.body.size()) +
           "\r\n\r\n" + request.body;
}

} // namespace

TEST_CASE("http requests: damaged ones of each kind: refused, or read as the "
          "next hop reads them")
{
    unsigned complete = 0;
    auto const seeds = seed_count();
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        random_source source(seed);
        auto const bytes = damage(any_of(requests, source), source);
        CAPTURE(bytes.toPercentEncoding(" /:?=&*\"").toStdString());
        auto const request = parse(bytes);
        if (!request)
        {
            continue;
        }
        ++complete;
        check_parts(*request);
        auto const again = parse(write(*request), wide_limits());
        REQUIRE(again);
        CHECK(again->method == request->method);
        CHECK(again->path == request->path);
        CHECK(again->query == request->query);
        CHECK(again->body == request->body);
        auto const sent = end_to_end_headers(request->headers);
        auto const read = end_to_end_headers(again->headers);
        bool const adds_host = !request->has_header("Host");
        REQUIRE(read.size() == sent.size() + (adds_host ? 1 : 0));
        for (std::size_t i = 0; i < sent.size(); ++i)
        {
            auto const& same = read[i + (adds_host ? 1 : 0)];
            CHECK(same.name == sent[i].name);
            CHECK(same.value == sent[i].value);
        }
    }
    // The seeds reach both ends.
    CHECK(complete > seeds / 20);
    CHECK(complete < seeds - seeds / 20);
}

TEST_CASE("http requests: bytes behind a whole request: not read as part of it")
{
    for (unsigned seed = 1; seed <= seed_count() / 10; ++seed)
    {
        CAPTURE(seed);
        random_source source(seed);
        auto const bytes = damage(any_of(requests, source), source);
        auto const limits = small_limits();
        http_request_parser parser(limits);
        auto const used = parser.put(bytes);
        if (parser.state() != progress::complete)
        {
            continue;
        }
        http_request_parser shorter(limits);
        CHECK(shorter.put(bytes.left(used)) == used);
        REQUIRE(shorter.state() == progress::complete);
        CHECK(shorter.take_request().body == parser.take_request().body);
    }
}
