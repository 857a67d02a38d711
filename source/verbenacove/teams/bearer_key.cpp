#include "verbenacove/teams/bearer_key.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

constexpr QByteArrayView header_name = "Authorization";
constexpr QByteArrayView scheme = "Bearer";

bool is_space_or_control(char character)
{
    auto const code = static_cast<unsigned char>(character);
    return code <= 32 || code == 127;
}

bool is_authorization(http_header const& header)
{
    return header.name.compare(header_name, Qt::CaseInsensitive) == 0;
}

QByteArrayView without_leading_spaces(QByteArrayView text)
{
    while (text.startsWith(' '))
    {
        text = text.sliced(1);
    }
    return text;
}

} // namespace

bool is_usable_key(QByteArrayView key)
{
    return !key.isEmpty() && key.size() <= longest_key &&
           std::none_of(key.begin(), key.end(), is_space_or_control);
}

bearer_key read_bearer_key(std::vector<http_header> const& headers)
{
    using state = bearer_key::state;
    auto const first =
        std::find_if(headers.begin(), headers.end(), is_authorization);
    if (first == headers.end())
    {
        return {state::missing, {}};
    }
    // Which of several an upstream or another entry would take is open.
    if (std::any_of(first + 1, headers.end(), is_authorization))
    {
        return {state::unreadable, {}};
    }
    auto const value = QByteArrayView(first->value).trimmed();
    bool const is_bearer =
        value.size() > scheme.size() && value[scheme.size()] == ' ' &&
        value.first(scheme.size()).compare(scheme, Qt::CaseInsensitive) == 0;
    if (!is_bearer)
    {
        return {state::unreadable, {}};
    }
    auto const key = without_leading_spaces(value.sliced(scheme.size()));
    if (!is_usable_key(key))
    {
        return {state::unreadable, {}};
    }
    return {state::present, key.toByteArray()};
}

} // namespace verbenacove
