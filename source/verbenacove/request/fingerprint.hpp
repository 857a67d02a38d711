#ifndef VERBENACOVE_REQUEST_FINGERPRINT_HPP
#define VERBENACOVE_REQUEST_FINGERPRINT_HPP

#include "verbenacove/core/strong_type.hpp"

#include <QByteArray>

namespace verbenacove
{

/** The SHA-256 digest of a request, 32 bytes; equal requests have equal
    fingerprints. */
using request_fingerprint =
    strong_type<struct request_fingerprint_tag, QByteArray>;

/** The length of a fingerprint, in bytes. */
constexpr qsizetype fingerprint_bytes = 32;

/** Returns the fingerprint of a request's method, path with query, and body.

    Headers are not included, because a retry has a different deadline and
    trace.
*/
request_fingerprint fingerprint_of(QByteArray const& method,
                                   QByteArray const& path,
                                   QByteArray const& body);

} // namespace verbenacove

#endif
