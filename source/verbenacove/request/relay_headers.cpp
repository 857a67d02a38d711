#include "verbenacove/request/relay_headers.hpp"

#include <algorithm>
#include <array>

namespace verbenacove
{

namespace
{

constexpr char attempts_header[] = "Relay-Attempts";
constexpr char routes_header[] = "Relay-Routes";
constexpr char verdict_header[] = "Relay-Verdict";
constexpr char upstream_header[] = "Relay-Upstream";

constexpr std::array<run_verdict, 3> verdicts{
    run_verdict::not_run, run_verdict::ran, run_verdict::may_have_run};

bool is_relay_header(http_header const& header)
{
    static constexpr std::array<char const*, 4> names{
        attempts_header, routes_header, verdict_header, upstream_header};
    return std::any_of(
        names.begin(), names.end(),
        [&header](char const* name)
        { return header.name.compare(name, Qt::CaseInsensitive) == 0; });
}

} // namespace

std::optional<relay_request> read_relay_request(http_request const& request)
{
    bool is_number = false;
    auto const attempts = request.header(attempts_header).toInt(&is_number);
    if (!is_number || attempts <= 0)
    {
        return std::nullopt;
    }
    return relay_request{
        attempts, route_version(request.header(routes_header).toLongLong())};
}

std::optional<relay_response>
read_relay_response(std::vector<http_header> const& headers)
{
    auto const word = find_http_header(headers, verdict_header);
    auto const verdict = std::find_if(verdicts.begin(), verdicts.end(),
                                      [&word](run_verdict each)
                                      { return verdict_word(each) == word; });
    if (verdict == verdicts.end())
    {
        return std::nullopt;
    }
    return relay_response{*verdict,
                          upstream_id(QString::fromUtf8(
                              find_http_header(headers, upstream_header)))};
}

void set_relay_headers(std::vector<http_header>& headers,
                       relay_request const& information)
{
    remove_relay_headers(headers);
    headers.push_back(
        {attempts_header, QByteArray::number(information.maximum_attempts)});
    headers.push_back(
        {routes_header, QByteArray::number(information.version.value())});
}

void set_relay_headers(std::vector<http_header>& headers,
                       relay_response const& information)
{
    remove_relay_headers(headers);
    headers.push_back({verdict_header, verdict_word(information.verdict)});
    if (!information.upstream.value().isEmpty())
    {
        headers.push_back(
            {upstream_header, information.upstream.value().toUtf8()});
    }
}

void remove_relay_headers(std::vector<http_header>& headers)
{
    std::erase_if(headers, is_relay_header);
}

} // namespace verbenacove
