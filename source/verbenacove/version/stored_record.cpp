#include "verbenacove/version/stored_record.hpp"

#include <utility>

namespace verbenacove
{

QCborMap stored_record_to_cbor(stored_record const& record, int schema)
{
    QCborMap map{{QStringLiteral("kind"), record_kind_word(record.key.kind)},
                 {QStringLiteral("name"), record.key.name},
                 {QStringLiteral("version"), record.version.value()},
                 {QStringLiteral("changed_in"), record.changed_in.value()},
                 {QStringLiteral("change_id"), record.changed_by.id.value()},
                 {QStringLiteral("author"), record.changed_by.author},
                 {QStringLiteral("asked_at"), record.changed_at}};
    if (!record.content)
    {
        map.insert(QStringLiteral("deleted"), true);
        return map;
    }
    map.insert(QStringLiteral("schema"), schema);
    map.insert(
        QStringLiteral("record"),
        QCborMap::fromJsonObject(record_to_json(*record.content, schema)));
    return map;
}

boost::leaf::result<stored_record> parse_stored_record(QCborMap const& map)
{
    record_errors errors;
    record_reader reader(map.toJsonObject(), errors);
    stored_record result;
    result.key.kind =
        static_cast<record_kind>(reader.choice("kind", record_kind_words()));
    result.key.name = reader.word("name", longest_key_name);
    result.version = record_version(reader.number("version", 1, highest_count));
    result.changed_in =
        config_version(reader.number("changed_in", 1, highest_count));
    result.changed_by.id = change_id(reader.name("change_id"));
    result.changed_by.author = reader.word("author", longest_author);
    result.changed_at = reader.text("asked_at", longest_time);
    bool const is_deleted = reader.flag("deleted", false);
    auto const schema = static_cast<int>(
        reader.number("schema", 0, highest_schema, newest_schema));
    auto const content = is_deleted ? QJsonObject() : reader.object("record");
    reader.finish();
    if (!errors.errors.empty())
    {
        return boost::leaf::new_error(std::move(errors));
    }
    if (!is_deleted)
    {
        BOOST_LEAF_ASSIGN(result.content,
                          parse_record(result.key.kind, content, schema));
    }
    return result;
}

} // namespace verbenacove
