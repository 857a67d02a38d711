#ifndef VERBENACOVE_CORE_CBOR_HPP
#define VERBENACOVE_CORE_CBOR_HPP

#include "verbenacove/core/socket_address.hpp"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <QString>

#include <optional>

namespace verbenacove
{

/** Reads bytes as one whole CBOR map; nothing when they are cut, followed by
    more, or something else.

    Use it for all bytes from outside: Qt 6.4 hands out a map for bytes that
    are cut, and reads beyond its end when it is asked for a key.
*/
inline std::optional<QCborMap> parse_cbor_map(QByteArray const& bytes)
{
    QCborParserError error;
    auto const value = QCborValue::fromCbor(bytes, &error);
    if (error.error != QCborError::NoError || error.offset != bytes.size() ||
        !value.isMap())
    {
        return std::nullopt;
    }
    return value.toMap();
}

/** Returns the whole number under a key, or the fallback. */
inline qint64 cbor_number(QCborMap const& map, char const* key,
                          qint64 fallback = 0)
{
    return map.value(QLatin1String(key)).toInteger(fallback);
}

/** Returns the text under a key, or an empty one. */
inline QString cbor_text(QCborMap const& map, char const* key)
{
    return map.value(QLatin1String(key)).toString();
}

/** Returns the bytes under a key, or none. */
inline QByteArray cbor_bytes(QCborMap const& map, char const* key)
{
    return map.value(QLatin1String(key)).toByteArray();
}

/** Returns whether the value under a key is true. */
inline bool cbor_flag(QCborMap const& map, char const* key)
{
    return map.value(QLatin1String(key)).toBool();
}

/** Returns the fraction under a key, or the fallback. */
inline double cbor_fraction(QCborMap const& map, char const* key,
                            double fallback = 0)
{
    return map.value(QLatin1String(key)).toDouble(fallback);
}

/** Returns the map under a key, or an empty one. */
inline QCborMap cbor_map(QCborMap const& map, char const* key)
{
    return map.value(QLatin1String(key)).toMap();
}

/** Returns the array under a key, or an empty one. */
inline QCborArray cbor_array(QCborMap const& map, char const* key)
{
    return map.value(QLatin1String(key)).toArray();
}

} // namespace verbenacove

#endif
