#ifndef VERBENACOVE_CORE_SOCKET_ADDRESS_HPP
#define VERBENACOVE_CORE_SOCKET_ADDRESS_HPP

#include <QHostAddress>
#include <QString>

#include <compare>
#include <optional>

namespace verbenacove
{

/** An IP number and a port. */
struct socket_address
{
    QHostAddress host;
    quint16 port = 0;

    friend bool operator==(socket_address const&,
                           socket_address const&) = default;

    /** Returns it as `10.0.0.1:7000` or `[::1]:7000`. */
    QString text() const;
};

/** Hashes an address, for QHash. */
size_t qHash(socket_address const& address, size_t seed = 0);

/** Reads `10.0.0.1:7000` or `[::1]:7000`; nothing when it is neither, or when
    the port is not within 1 to 65535. Names are not looked up. */
std::optional<socket_address> parse_socket_address(QString const& text);

} // namespace verbenacove

#endif
