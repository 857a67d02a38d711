#include "verbenacove/request/fingerprint.hpp"

#include <QCryptographicHash>

namespace verbenacove
{

request_fingerprint fingerprint_of(QByteArray const& method,
                                   QByteArray const& path,
                                   QByteArray const& body)
{
    // Neither a method nor a path can hold a line feed, so no two requests
    // give the same bytes.
    QCryptographicHash hash(QCryptographicHash::Sha256);
    hash.addData(method);
    hash.addData("\n");
    hash.addData(path);
    hash.addData("\n");
    hash.addData(body);
    return request_fingerprint(hash.result());
}

} // namespace verbenacove
