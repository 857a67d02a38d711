#ifndef VERBENACOVE_CORE_PACKED_CBOR_HPP
#define VERBENACOVE_CORE_PACKED_CBOR_HPP

#include <QByteArray>
#include <QCborMap>

#include <optional>

namespace verbenacove
{

/** Maximum size of a packed map once it is unpacked, in bytes. */
inline constexpr qint64 maximum_unpacked_bytes = qint64{64} * 1024 * 1024;

/** Returns the CBOR form of a map, compressed.

    A large map that is sent to many processes is encoded only once that way:
    the bytes are copied as they are.
*/
QByteArray pack_cbor(QCborMap const& map);

/** Returns the map in bytes from `pack_cbor`; nothing when they hold none, or
    one of more than `maximum_unpacked_bytes`. */
std::optional<QCborMap> unpack_cbor(QByteArray const& bytes);

} // namespace verbenacove

#endif
