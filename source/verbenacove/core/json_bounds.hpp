#ifndef VERBENACOVE_CORE_JSON_BOUNDS_HPP
#define VERBENACOVE_CORE_JSON_BOUNDS_HPP

#include <QByteArray>
#include <QJsonObject>
#include <QString>

namespace verbenacove
{

/** What a JSON text may hold. Memory grows with the number of values: one of
    few bytes takes up to 200 bytes as a document. */
struct json_bounds
{
    /** Deepest nesting of arrays and objects; 1 for an object of plain
        values. */
    int nesting = 64;
    /** Maximum number of values: texts, numbers, arrays, objects and so on. */
    qint64 values = 256;
};

/** Returns how deeply arrays and objects are nested in a JSON text, without
    parsing it; 1 for an object of plain values.

    Use it to bound what is stored: Qt reads CBOR only up to 1024 levels, with
    what encloses the value, so a value that it could still parse as JSON might
    never be read again.
*/
int json_nesting(QByteArray const& text);

/** Returns the number of values in a JSON text, without parsing it; too many
    rather than too few where the text is no JSON. */
qint64 json_value_count(QByteArray const& text);

/** A JSON object, or why there is none. */
struct json_object_result
{
    QJsonObject object;
    /** Empty if there is an object. */
    QString error;
};

/** Reads a JSON text that holds an object; the document is not built for a text
    beyond the bounds. */
json_object_result parse_json_object(QByteArray const& text,
                                     json_bounds const& bounds);

} // namespace verbenacove

#endif
