#ifndef VERBENACOVE_CORE_JSON_NESTING_HPP
#define VERBENACOVE_CORE_JSON_NESTING_HPP

#include <QByteArray>

namespace verbenacove
{

/** Returns how deeply arrays and objects are nested in a JSON text, without
    parsing it; 1 for an object of plain values.

    Use it to bound what is stored: Qt reads CBOR only up to 1024 levels, with
    what encloses the value, so a value that it could still parse as JSON might
    never be read again.
*/
int json_nesting(QByteArray const& text);

} // namespace verbenacove

#endif
