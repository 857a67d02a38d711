#ifndef VERBENACOVE_VERSION_STORED_RECORD_HPP
#define VERBENACOVE_VERSION_STORED_RECORD_HPP

#include "verbenacove/version/config_change.hpp"

#include <QCborMap>

#include <boost/leaf/result.hpp>

#include <optional>

namespace verbenacove
{

/** What identifies a record in the configuration. */
struct record_key
{
    record_kind kind = record_kind::service;
    QString name;

    friend bool operator==(record_key const&, record_key const&) = default;
    friend bool operator<(record_key const& a, record_key const& b)
    {
        return a.kind == b.kind ? a.name < b.name : a.kind < b.kind;
    }
};

/** A record with its version or, without content, a deleted one. */
struct stored_record
{
    record_key key;
    std::optional<config_record> content;
    record_version version;
    /** The configuration's version that its latest change made. */
    config_version changed_in;
    change_winner changed_by;
    /** When that change was asked for, for people to read. */
    QString changed_at;

    friend bool operator==(stored_record const&,
                           stored_record const&) = default;
};

/** Returns `{kind, name, version, changed_in, change_id, author, asked_at,
    schema, record}`, or `deleted: true` in place of the last two.

    @param schema  the form of the content; must be known
    @see parse_stored_record
*/
QCborMap stored_record_to_cbor(stored_record const& record, int schema);

/** Reads what stored_record_to_cbor returns.

    @return the record, or record_errors or schema_unknown
*/
boost::leaf::result<stored_record> parse_stored_record(QCborMap const& map);

} // namespace verbenacove

#endif
