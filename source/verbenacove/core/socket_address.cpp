#include "verbenacove/core/socket_address.hpp"

#include <QHash>

namespace verbenacove
{

QString socket_address::text() const
{
    auto const pattern = host.protocol() == QAbstractSocket::IPv6Protocol
                             ? QStringLiteral("[%1]:%2")
                             : QStringLiteral("%1:%2");
    return pattern.arg(host.toString()).arg(port);
}

size_t qHash(socket_address const& address, size_t seed)
{
    return qHashMulti(seed, address.host, address.port);
}

std::optional<socket_address> parse_socket_address(QString const& text)
{
    auto const colon = text.lastIndexOf(QLatin1Char(':'));
    if (colon <= 0)
    {
        return std::nullopt;
    }
    auto host = text.left(colon);
    bool const has_brackets =
        host.startsWith(QLatin1Char('[')) && host.endsWith(QLatin1Char(']'));
    if (has_brackets)
    {
        host = host.mid(1, host.size() - 2);
    }
    bool is_number = false;
    auto const port = text.mid(colon + 1).toUShort(&is_number);
    socket_address result{QHostAddress(host), port};
    bool const is_ipv6 =
        result.host.protocol() == QAbstractSocket::IPv6Protocol;
    if (!is_number || port == 0 || result.host.isNull() ||
        is_ipv6 != has_brackets)
    {
        return std::nullopt;
    }
    return result;
}

} // namespace verbenacove
