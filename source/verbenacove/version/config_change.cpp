#include "verbenacove/version/config_change.hpp"

#include <QCborArray>
#include <QCryptographicHash>

#include <utility>

namespace verbenacove
{

namespace
{

constexpr qsizetype most_errors = 20;

QStringList const& outcome_words()
{
    static QStringList const words{QStringLiteral("accepted"),
                                   QStringLiteral("conflict"),
                                   QStringLiteral("refused")};
    return words;
}

QStringList const& refusal_words()
{
    static QStringList const words{QString(),
                                   QStringLiteral("change-invalid"),
                                   QStringLiteral("record-invalid"),
                                   QStringLiteral("schema-unknown"),
                                   QStringLiteral("change-id-reused"),
                                   QStringLiteral("not-found"),
                                   QStringLiteral("too-many-records")};
    return words;
}

/** Returns the word's position, or 0 when it is not among the words. */
int position_of(QStringList const& words, QCborValue const& word)
{
    return qMax(0, static_cast<int>(words.indexOf(word.toString())));
}

QCborArray errors_to_cbor(std::vector<record_error> const& errors)
{
    QCborArray result;
    for (auto const& error : errors)
    {
        if (result.size() == most_errors)
        {
            break;
        }
        result.append(QCborMap{{QStringLiteral("key"), error.key},
                               {QStringLiteral("value"), error.value},
                               {QStringLiteral("allowed"), error.allowed}});
    }
    return result;
}

std::vector<record_error> errors_from_cbor(QCborArray const& errors)
{
    std::vector<record_error> result;
    for (auto const& item : errors)
    {
        auto const error = item.toMap();
        result.push_back({error.value(QStringLiteral("key")).toString(),
                          error.value(QStringLiteral("value")).toString(),
                          error.value(QStringLiteral("allowed")).toString()});
    }
    return result;
}

} // namespace

QStringList const& change_action_words()
{
    static QStringList const words{QStringLiteral("put"),
                                   QStringLiteral("delete")};
    return words;
}

QString change_action_word(change_action action)
{
    return change_action_words().at(static_cast<int>(action));
}

boost::leaf::result<config_change> parse_change(QCborMap const& map)
{
    record_errors errors;
    record_reader reader(map.toJsonObject(), errors);
    config_change result;
    result.id = change_id(reader.name("change_id"));
    result.author = reader.word("author", longest_author);
    result.kind =
        static_cast<record_kind>(reader.choice("kind", record_kind_words()));
    result.name = reader.word("name", longest_key_name);
    result.action = static_cast<change_action>(
        reader.choice("action", change_action_words()));
    result.expected =
        record_version(reader.number("expected_version", 0, highest_count));
    result.schema = static_cast<int>(
        reader.number("schema", 0, highest_schema, newest_schema));
    if (result.action == change_action::put)
    {
        result.record = reader.object("record");
    }
    result.asked_at = reader.text("asked_at", longest_time);
    reader.finish();
    if (!errors.errors.empty())
    {
        return boost::leaf::new_error(std::move(errors));
    }
    return result;
}

QCborMap change_to_cbor(config_change const& change)
{
    QCborMap result{
        {QStringLiteral("change_id"), change.id.value()},
        {QStringLiteral("author"), change.author},
        {QStringLiteral("kind"), record_kind_word(change.kind)},
        {QStringLiteral("name"), change.name},
        {QStringLiteral("action"), change_action_word(change.action)},
        {QStringLiteral("expected_version"), change.expected.value()},
        {QStringLiteral("schema"), change.schema}};
    if (change.action == change_action::put)
    {
        result.insert(QStringLiteral("record"),
                      QCborMap::fromJsonObject(change.record));
    }
    if (!change.asked_at.isEmpty())
    {
        result.insert(QStringLiteral("asked_at"), change.asked_at);
    }
    return result;
}

QByteArray change_digest(config_change const& change)
{
    auto timeless = change;
    timeless.asked_at.clear();
    auto const bytes = change_to_cbor(timeless).toCborValue().toCbor();
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256);
}

QString change_outcome_word(change_outcome outcome)
{
    return outcome_words().at(static_cast<int>(outcome));
}

QString refusal_word(refusal reason)
{
    return refusal_words().at(static_cast<int>(reason));
}

QCborMap change_result_to_cbor(change_result const& result)
{
    QCborMap map{
        {QStringLiteral("outcome"), change_outcome_word(result.outcome)},
        {QStringLiteral("version"), result.version.value()},
        {QStringLiteral("config_version"), result.config.value()}};
    if (result.reason != refusal::none)
    {
        map.insert(QStringLiteral("reason"), refusal_word(result.reason));
    }
    if (result.winner)
    {
        map.insert(
            QStringLiteral("winner"),
            QCborMap{{QStringLiteral("change_id"), result.winner->id.value()},
                     {QStringLiteral("author"), result.winner->author}});
    }
    if (!result.errors.empty())
    {
        map.insert(QStringLiteral("errors"), errors_to_cbor(result.errors));
    }
    return map;
}

change_result change_result_from_cbor(QCborMap const& map)
{
    change_result result;
    result.outcome = static_cast<change_outcome>(
        position_of(outcome_words(), map.value(QStringLiteral("outcome"))));
    result.reason = static_cast<refusal>(
        position_of(refusal_words(), map.value(QStringLiteral("reason"))));
    result.version =
        record_version(map.value(QStringLiteral("version")).toInteger());
    result.config =
        config_version(map.value(QStringLiteral("config_version")).toInteger());
    if (map.contains(QStringLiteral("winner")))
    {
        auto const winner = map.value(QStringLiteral("winner")).toMap();
        result.winner = change_winner{
            change_id(winner.value(QStringLiteral("change_id")).toString()),
            winner.value(QStringLiteral("author")).toString()};
    }
    result.errors =
        errors_from_cbor(map.value(QStringLiteral("errors")).toArray());
    return result;
}

} // namespace verbenacove
