#include "verbenacove/connection/http_request_parser.hpp"

#include <doctest/doctest.h>

#include <ostream>
#include <random>
#include <string_view>

using namespace verbenacove;

namespace
{

using random_source = std::mt19937;

constexpr int seed_count = 3000;
constexpr qsizetype longest_body = 64;

/** What became of bytes that were given to a parser. */
struct outcome
{
    http_request_parser::progress state;
    int refusal_status = 0;
    QByteArray request;

    friend bool operator==(outcome const&, outcome const&) = default;
};

std::ostream& operator<<(std::ostream& stream, outcome const& value)
{
    return stream << static_cast<int>(value.state) << ' '
                  << value.refusal_status << ' ' << value.request.toStdString();
}

qsizetype pick(random_source& source, qsizetype lowest, qsizetype highest)
{
    return std::uniform_int_distribution<qsizetype>(lowest, highest)(source);
}

QByteArray spell_out(http_request const& request)
{
    auto result = request.method + ' ' + request.path + '?' + request.query;
    for (auto const& header : request.headers)
    {
        result += '\n' + header.name + ':' + header.value;
    }
    return result + '\n' + request.body;
}

/** Parses bytes that come in pieces of at most this size. */
outcome parse(QByteArray const& bytes, http_limits const& limits,
              random_source& source, qsizetype largest_piece)
{
    using progress = http_request_parser::progress;
    http_request_parser parser(limits);
    QByteArray input;
    for (qsizetype at = 0; at < bytes.size();)
    {
        auto const piece = pick(source, 1, largest_piece);
        input += bytes.mid(at, piece);
        at += piece;
        input.remove(0, parser.put(input));
        CHECK(parser.body_bytes() <= limits.maximum_body_bytes);
        if (parser.state() == progress::complete ||
            parser.state() == progress::refused)
        {
            break;
        }
    }
    outcome result{parser.state(), 0, {}};
    if (result.state == progress::refused)
    {
        result.refusal_status = parser.refusal().status;
    }
    if (result.state == progress::complete)
    {
        result.request = spell_out(parser.take_request());
    }
    return result;
}

QByteArray random_request(random_source& source)
{
    auto const size = pick(source, 0, 2 * longest_body);
    QByteArray const body(size, 'b');
    auto const length = QByteArray::number(size);
    QByteArray result = "POST /a?b HTTP/1.1\r\nHost: a\r\nX-A: b\r\n";
    if (pick(source, 0, 1) == 0)
    {
        return result + "Content-Length: " + length + "\r\n\r\n" + body;
    }
    result += "Transfer-Encoding: chunked\r\n\r\n";
    if (size > 0)
    {
        result += QByteArray::number(size, 16) + "\r\n" + body + "\r\n";
    }
    return result + "0\r\nX-T: 1\r\n\r\n";
}

QByteArray damage(QByteArray bytes, random_source& source)
{
    static constexpr std::string_view characters("\r\n\0 :;,01afX\x7f\xff", 14);
    for (auto left = pick(source, 0, 3); left > 0; --left)
    {
        auto const at = pick(source, 0, bytes.size() - 1);
        auto const character = characters[static_cast<std::size_t>(
            pick(source, 0, static_cast<qsizetype>(characters.size()) - 1))];
        switch (pick(source, 0, 2))
        {
        case 0:
            bytes[at] = character;
            break;
        case 1:
            bytes.insert(at, character);
            break;
        default:
            bytes.remove(at, 1);
            break;
        }
    }
    return bytes;
}

/** In pieces, a fault in a header may be seen only at the header's end; until
    then the request is unfinished, which nobody takes for a request. */
void check_same(outcome const& a, outcome const& b)
{
    using progress = http_request_parser::progress;
    bool const is_seen_by_one =
        (a.state == progress::header && b.state == progress::refused) ||
        (a.state == progress::refused && b.state == progress::header);
    if (!is_seen_by_one)
    {
        CHECK(a == b);
    }
}

} // namespace

TEST_CASE("http request parser: damaged requests in any pieces: the same "
          "outcome as in one")
{
    http_limits limits;
    limits.maximum_body_bytes = longest_body;
    limits.maximum_header_bytes = 256;
    int complete = 0;
    int refused = 0;
    for (unsigned seed = 1; seed <= seed_count; ++seed)
    {
        CAPTURE(seed);
        random_source source(seed);
        auto const bytes = damage(random_request(source), source);
        auto const whole = parse(bytes, limits, source, bytes.size());
        auto const at_once = parse(bytes, limits, source, 1);
        auto const in_pieces = parse(bytes, limits, source, 20);
        check_same(whole, in_pieces);
        check_same(at_once, in_pieces);
        complete += whole.state == http_request_parser::progress::complete;
        refused += whole.state == http_request_parser::progress::refused;
    }
    // The seeds reach both ends.
    CHECK(complete > seed_count / 10);
    CHECK(refused > seed_count / 10);
}
