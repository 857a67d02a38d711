#include "verbenacove/core/packed_cbor.hpp"

#include "verbenacove/core/cbor.hpp"

#include <QtEndian>

namespace verbenacove
{

namespace
{

/** Fast, and small enough: the items of a configuration are much alike. */
constexpr int compression_level = 1;
/** qCompress begins with the unpacked size. */
constexpr qsizetype size_bytes = 4;

} // namespace

QByteArray pack_cbor(QCborMap const& map)
{
    return qCompress(map.toCborValue().toCbor(), compression_level);
}

std::optional<QCborMap> unpack_cbor(QByteArray const& bytes)
{
    bool const is_bounded =
        bytes.size() > size_bytes &&
        qFromBigEndian<quint32>(bytes.constData()) <= maximum_unpacked_bytes;
    return is_bounded ? parse_cbor_map(qUncompress(bytes)) : std::nullopt;
}

} // namespace verbenacove
