#include "verbenacove/request/fingerprint.hpp"

#include <QCryptographicHash>

namespace verbenacove
{

request_fingerprint fingerprint_of(QByteArray const& method,
                                   QByteArray const& path,
                                   QByteArray const& body)
{
    // A method or path cannot contain a line feed, so different requests give
    // different input to the hash.
    QCryptographicHash hash(QCryptographicHash::Sha256);
    hash.addData(method);
    hash.addData("\n");
    hash.addData(path);
    hash.addData("\n");
    hash.addData(body);
    return request_fingerprint(hash.result());
}

} // namespace verbenacove
