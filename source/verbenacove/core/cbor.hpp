#ifndef VERBENACOVE_CORE_CBOR_HPP
#define VERBENACOVE_CORE_CBOR_HPP

#include "verbenacove/core/socket_address.hpp"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <QString>

namespace verbenacove
{

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
