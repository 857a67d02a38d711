#ifndef VERBENACOVE_VERSION_CONFIG_CHANGE_HPP
#define VERBENACOVE_VERSION_CONFIG_CHANGE_HPP

#include "verbenacove/version/config_record.hpp"
#include "verbenacove/version/record_reader.hpp"

#include <QCborMap>
#include <QJsonObject>

#include <boost/leaf/result.hpp>

#include <optional>

namespace verbenacove
{

/** The longest author's name, in characters. */
constexpr int longest_author = 64;

/** The longest name of a record, a drain's with its scope. */
constexpr int longest_key_name = 80;

/** The longest time for people to read, in characters. */
constexpr int longest_time = 40;

/** The highest version or log index that is read. */
constexpr qint64 highest_count = 1'000'000'000'000;

/** The highest schema version that is read, to be refused by name. */
constexpr int highest_schema = 1'000'000;

/** What a change does to its record. */
enum class change_action
{
    /** Creates the record, or replaces what its schema can say. */
    put,
    /** Deletes the record; its version goes on counting. */
    remove
};

/** Returns the words of change_action: `put` and `delete`. */
QStringList const& change_action_words();

/** Returns the word for an action. */
QString change_action_word(change_action action);

/** A change of one record, as an operator asks for it. */
struct config_change
{
    change_id id;
    /** Who asks for it: 1 to 64 printable characters without spaces. */
    QString author;
    record_kind kind = record_kind::service;
    QString name;
    change_action action = change_action::put;
    /** The record's version that the author knows; 0 for a new record. */
    record_version expected;
    /** The schema version in which `record` is written. */
    int schema = newest_schema;
    /** The record itself; empty when it is deleted. */
    QJsonObject record;
    /** When it was asked for, for people to read; not part of what makes two
        changes the same. */
    QString asked_at;
};

/** Reads a change: `{change_id, author, kind, name, action: put|delete,
    expected_version, schema, record, asked_at}`. `schema` defaults to the
    newest, `asked_at` to nothing; a deletion has no `record`.

    @return the change, or record_errors
    @see change_to_cbor
*/
boost::leaf::result<config_change> parse_change(QCborMap const& map);

/** Returns a change in the form that parse_change reads. */
QCborMap change_to_cbor(config_change const& change);

/** Returns a digest of all that makes two changes the same. */
QByteArray change_digest(config_change const& change);

/** What became of a change. */
enum class change_outcome
{
    accepted,
    /** Another change holds the version that was expected. */
    conflict,
    /** It could not be accepted at any version. */
    refused
};

/** Why a change was refused. */
enum class refusal
{
    none,
    /** The change is malformed. */
    change_invalid,
    /** The record is malformed. */
    record_invalid,
    /** The schema version is not known. */
    schema_unknown,
    /** The change id came before with another content. */
    change_id_reused,
    /** There is no such record to delete. */
    not_found,
    /** There are as many records as can be kept. */
    too_many_records
};

/** Returns the word for an outcome: `accepted`, `conflict`, `refused`. */
QString change_outcome_word(change_outcome outcome);

/** Returns the word for a refusal, such as `schema-unknown`. */
QString refusal_word(refusal reason);

/** The change that holds a record's current version. */
struct change_winner
{
    change_id id;
    QString author;

    friend bool operator==(change_winner const&,
                           change_winner const&) = default;
};

/** What an operator is told about a change; a resend is told the same. */
struct change_result
{
    change_outcome outcome = change_outcome::accepted;
    refusal reason = refusal::none;
    /** The record's version after the change, or the one that stands. */
    record_version version;
    /** The configuration's version at that time. */
    config_version config;
    /** In a conflict: who holds the version; nobody when there never was
        such a record. */
    std::optional<change_winner> winner;
    std::vector<record_error> errors;

    friend bool operator==(change_result const&,
                           change_result const&) = default;
};

/** Returns `{outcome, reason, version, config_version, winner: {change_id,
    author}, errors: [{key, value, allowed}]}`, without what is empty. */
QCborMap change_result_to_cbor(change_result const& result);

/** Reads what change_result_to_cbor returns; what is missing is empty. */
change_result change_result_from_cbor(QCborMap const& map);

} // namespace verbenacove

#endif
