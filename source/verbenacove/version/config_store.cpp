#include "verbenacove/version/config_store.hpp"

#include <QCborArray>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace verbenacove
{

namespace
{

/** The version of the snapshot's own form. */
constexpr int snapshot_schema = 1;
constexpr qint64 most_in_an_answer = 1000;
constexpr qint64 usual_in_an_answer = 100;

record_error fault(char const* key, QString const& value,
                   QString const& allowed)
{
    return {QString::fromLatin1(key), value, allowed};
}

/** Returns the refusal of a question, in the words of a change_result. */
QCborMap refused(refusal reason, std::vector<record_error> errors,
                 config_version version)
{
    change_result result;
    result.outcome = change_outcome::refused;
    result.reason = reason;
    result.config = version;
    result.errors = std::move(errors);
    return change_result_to_cbor(result);
}

/** Reads a question's `schema`, and faults an unknown one. */
int read_schema(record_reader& reader)
{
    auto const schema = static_cast<int>(
        reader.number("schema", 0, highest_schema, newest_schema));
    if (schema < 1 || schema > newest_schema)
    {
        reader.report("schema", schema_unknown{schema, newest_schema}.text());
        return newest_schema;
    }
    return schema;
}

qint64 read_limit(record_reader& reader)
{
    return reader.number("limit", 1, most_in_an_answer, usual_in_an_answer);
}

QString read_optional_name(record_reader& reader, char const* key)
{
    return reader.has(key) ? reader.word(key, longest_key_name) : QString();
}

boost::leaf::result<void> check_members(QCborMap const& snapshot)
{
    static std::array<std::pair<char const*, QCborValue::Type>, 7> const
        members{{{"config_version", QCborValue::Integer},
                 {"applied_index", QCborValue::Integer},
                 {"absent_version", QCborValue::Integer},
                 {"oldest_delta", QCborValue::Integer},
                 {"records", QCborValue::Array},
                 {"history", QCborValue::Array},
                 {"change_ids", QCborValue::ByteArray}}};
    for (auto const& [key, type] : members)
    {
        if (snapshot.value(QLatin1String(key)).type() != type)
        {
            return boost::leaf::new_error(
                snapshot_invalid{QString::fromLatin1(key) +
                                 QStringLiteral(": missing or of a wrong "
                                                "type")});
        }
    }
    return {};
}

} // namespace

config_store::config_store(config_store_limits limits)
    : limits_(limits)
    , memory_(limits.change_ids)
    , history_(limits.history)
{
}

QCborMap config_store::apply(QCborMap const& change, log_index index)
{
    applied_index_ = index;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<QCborMap>
        {
            BOOST_LEAF_AUTO(parsed, parse_change(change));
            return change_result_to_cbor(apply_new(parsed, index));
        },
        [&](record_errors const& errors)
        { return refused(refusal::change_invalid, errors.errors, version_); },
        [&] { return refused(refusal::change_invalid, {}, version_); });
}

change_result config_store::apply_new(config_change const& change,
                                      log_index index)
{
    if (auto const known = memory_.find(change))
    {
        return known->is_same ? repeat(change, known->result)
                              : refuse_reused(change);
    }
    auto result = change.action == change_action::put ? put(change, index)
                                                      : remove(change, index);
    memory_.remember(change, result);
    return result;
}

change_result config_store::repeat(config_change const& change,
                                   change_result result)
{
    // Errors are not remembered; the same content has the same ones.
    if (result.outcome == change_outcome::refused &&
        change.action == change_action::put)
    {
        result.errors = check(change, nullptr).errors;
    }
    return result;
}

change_result config_store::refuse_reused(config_change const& change) const
{
    return refuse(refusal::change_id_reused,
                  {fault("change_id", change.id.value(),
                         QStringLiteral("came before with another content; "
                                        "take a new one"))});
}

change_result config_store::put(config_change const& change, log_index index)
{
    record_key const key{change.kind, change.name};
    auto const* current = find(key);
    auto const* content =
        current != nullptr && current->content ? &*current->content : nullptr;
    auto checked = check(change, content);
    if (!checked.record)
    {
        return refuse(checked.reason, std::move(checked.errors));
    }
    if (change.expected != version_of(key))
    {
        return conflict(change);
    }
    if (content == nullptr && standing_records() >= limits_.records)
    {
        return refuse(refusal::too_many_records, {});
    }
    return accept(change, std::move(checked.record), index);
}

change_result config_store::remove(config_change const& change, log_index index)
{
    record_key const key{change.kind, change.name};
    auto const* current = find(key);
    if (change.expected != version_of(key))
    {
        return conflict(change);
    }
    if (current == nullptr || !current->content)
    {
        return refuse(refusal::not_found, {});
    }
    auto result = accept(change, std::nullopt, index);
    if (tombstones_.size() > limits_.tombstones)
    {
        drop_oldest_tombstone();
    }
    return result;
}

config_store::checked_record config_store::check(config_change const& change,
                                                 config_record const* current)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<checked_record>
        {
            BOOST_LEAF_AUTO(record, parse_record(change.kind, change.record,
                                                 change.schema, current));
            if (name_of(record) != change.name)
            {
                return boost::leaf::new_error(record_errors{
                    {fault("name", change.name,
                           QStringLiteral("must be the record's own name, ") +
                               name_of(record))}});
            }
            return checked_record{std::move(record), refusal::none, {}};
        },
        [](record_errors const& errors)
        {
            return checked_record{std::nullopt, refusal::record_invalid,
                                  errors.errors};
        },
        [](schema_unknown const& error)
        {
            return checked_record{
                std::nullopt,
                refusal::schema_unknown,
                {fault("schema", QString::number(error.schema), error.text())}};
        },
        [] {
            return checked_record{std::nullopt, refusal::record_invalid, {}};
        });
}

change_result config_store::accept(config_change const& change,
                                   std::optional<config_record> content,
                                   log_index index)
{
    record_key const key{change.kind, change.name};
    version_ = config_version(version_.value() + 1);
    stored_record record;
    record.key = key;
    record.content = std::move(content);
    record.version = record_version(version_of(key).value() + 1);
    record.changed_in = version_;
    record.changed_by = {change.id, change.author};
    record.changed_at = change.asked_at;
    history_.add({version_, key, change.action, record.version,
                  record.changed_by, record.changed_at, index});
    change_result result;
    result.version = record.version;
    result.config = version_;
    store(std::move(record));
    return result;
}

change_result config_store::conflict(config_change const& change) const
{
    record_key const key{change.kind, change.name};
    change_result result;
    result.outcome = change_outcome::conflict;
    result.version = version_of(key);
    result.config = version_;
    if (auto const* current = find(key))
    {
        result.winner = current->changed_by;
    }
    return result;
}

change_result config_store::refuse(refusal reason,
                                   std::vector<record_error> errors) const
{
    change_result result;
    result.outcome = change_outcome::refused;
    result.reason = reason;
    result.config = version_;
    result.errors = std::move(errors);
    return result;
}

void config_store::store(stored_record record)
{
    auto const key = record.key;
    if (auto const* former = find(key))
    {
        by_change_.erase(former->changed_in);
        tombstones_.erase(former->changed_in);
    }
    by_change_.emplace(record.changed_in, key);
    if (!record.content)
    {
        tombstones_.emplace(record.changed_in, key);
    }
    records_.insert_or_assign(key, std::move(record));
}

void config_store::drop_oldest_tombstone()
{
    auto const oldest = tombstones_.begin();
    auto const key = oldest->second;
    // A new record of this name must not reach a version that was used.
    absent_version_ = std::max(absent_version_, version_of(key));
    oldest_delta_ = std::max(oldest_delta_, oldest->first);
    by_change_.erase(oldest->first);
    records_.erase(key);
    tombstones_.erase(oldest);
}

std::size_t config_store::standing_records() const
{
    return records_.size() - tombstones_.size();
}

stored_record const* config_store::find(record_key const& key) const
{
    auto const found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

record_version config_store::version_of(record_key const& key) const
{
    auto const* current = find(key);
    return current == nullptr ? absent_version_ : current->version;
}

QCborMap config_store::query(QCborMap const& question) const
{
    using answerer = QCborMap (config_store::*)(record_reader&) const;
    static std::array<std::pair<char const*, answerer>, 3> const answerers{
        {{"read", &config_store::read},
         {"list", &config_store::list},
         {"history", &config_store::history}}};
    QStringList words;
    for (auto const& [word, answer] : answerers)
    {
        words += QString::fromLatin1(word);
    }
    record_errors errors;
    record_reader reader(question.toJsonObject(), errors);
    auto const chosen = static_cast<std::size_t>(reader.choice("what", words));
    if (!errors.errors.empty())
    {
        return refused(refusal::change_invalid, errors.errors, version_);
    }
    auto answer = (this->*answerers.at(chosen).second)(reader);
    reader.finish();
    if (!errors.errors.empty())
    {
        return refused(refusal::change_invalid, errors.errors, version_);
    }
    answer.insert(QStringLiteral("config_version"), version_.value());
    return answer;
}

QCborMap config_store::read(record_reader& reader) const
{
    record_key key;
    key.kind =
        static_cast<record_kind>(reader.choice("kind", record_kind_words()));
    key.name = reader.word("name", longest_key_name);
    auto const schema = read_schema(reader);
    auto const* found = find(key);
    if (found == nullptr)
    {
        return {{QStringLiteral("outcome"), QStringLiteral("absent")},
                {QStringLiteral("version"), absent_version_.value()}};
    }
    auto answer = stored_record_to_cbor(*found, schema);
    answer.insert(QStringLiteral("outcome"), found->content
                                                 ? QStringLiteral("found")
                                                 : QStringLiteral("absent"));
    return answer;
}

QCborMap config_store::list(record_reader& reader) const
{
    auto const kind =
        static_cast<record_kind>(reader.choice("kind", record_kind_words()));
    auto const schema = read_schema(reader);
    auto const limit = read_limit(reader);
    auto const after = read_optional_name(reader, "after");
    QCborArray found;
    bool is_more = false;
    for (auto entry = records_.upper_bound({kind, after});
         entry != records_.end() && entry->first.kind == kind && !is_more;
         ++entry)
    {
        if (!entry->second.content)
        {
            continue;
        }
        is_more = found.size() == limit;
        if (!is_more)
        {
            found.append(stored_record_to_cbor(entry->second, schema));
        }
    }
    return {{QStringLiteral("outcome"), QStringLiteral("found")},
            {QStringLiteral("records"), found},
            {QStringLiteral("more"), is_more}};
}

QCborMap config_store::history(record_reader& reader) const
{
    std::optional<record_kind> kind;
    if (reader.has("kind"))
    {
        kind = static_cast<record_kind>(
            reader.choice("kind", record_kind_words()));
    }
    auto const name = read_optional_name(reader, "name");
    auto const limit = read_limit(reader);
    return {{QStringLiteral("outcome"), QStringLiteral("found")},
            {QStringLiteral("changes"), history_.latest(kind, name, limit)}};
}

QCborMap config_store::delta_since(config_version since, int schema) const
{
    auto const form = std::clamp(schema, 1, newest_schema);
    bool const is_whole = since < oldest_delta_;
    auto const first =
        is_whole ? by_change_.begin() : by_change_.upper_bound(since);
    QCborArray changed;
    for (auto entry = first; entry != by_change_.end(); ++entry)
    {
        auto const& record = records_.at(entry->second);
        if (record.content || !is_whole)
        {
            changed.append(stored_record_to_cbor(record, form));
        }
    }
    return {{QStringLiteral("schema"), form},
            {QStringLiteral("config_version"), version_.value()},
            {QStringLiteral("since"), since.value()},
            {QStringLiteral("whole"), is_whole},
            {QStringLiteral("records"), changed}};
}

QCborMap config_store::snapshot() const
{
    QCborArray records;
    for (auto const& [key, record] : records_)
    {
        records.append(stored_record_to_cbor(record, newest_schema));
    }
    return {{QStringLiteral("snapshot_schema"), snapshot_schema},
            {QStringLiteral("schema"), newest_schema},
            {QStringLiteral("config_version"), version_.value()},
            {QStringLiteral("applied_index"), applied_index_.value()},
            {QStringLiteral("absent_version"), absent_version_.value()},
            {QStringLiteral("oldest_delta"), oldest_delta_.value()},
            {QStringLiteral("records"), records},
            {QStringLiteral("history"), history_.snapshot()},
            {QStringLiteral("change_ids"), memory_.snapshot()}};
}

boost::leaf::result<config_store>
config_store::restore(QCborMap const& snapshot, config_store_limits limits)
{
    auto const form =
        snapshot.value(QStringLiteral("snapshot_schema")).toInteger(-1);
    if (form != snapshot_schema)
    {
        return boost::leaf::new_error(
            snapshot_invalid{QStringLiteral("snapshot_schema = %1: must be %2")
                                 .arg(form)
                                 .arg(snapshot_schema)});
    }
    auto const schema = snapshot.value(QStringLiteral("schema")).toInteger(0);
    if (schema < 1 || schema > newest_schema)
    {
        return boost::leaf::new_error(
            schema_unknown{static_cast<int>(schema), newest_schema});
    }
    BOOST_LEAF_CHECK(check_members(snapshot));
    config_store result(limits);
    BOOST_LEAF_CHECK(result.restore_parts(snapshot));
    return result;
}

boost::leaf::result<void> config_store::restore_parts(QCborMap const& snapshot)
{
    auto const number = [&](char const* key)
    {
        return snapshot.value(QLatin1String(key)).toInteger(0);
    };
    version_ = config_version(number("config_version"));
    applied_index_ = log_index(number("applied_index"));
    absent_version_ = record_version(number("absent_version"));
    oldest_delta_ = config_version(number("oldest_delta"));
    for (auto const& item : snapshot.value(QStringLiteral("records")).toArray())
    {
        BOOST_LEAF_AUTO(record, parse_stored_record(item.toMap()));
        store(std::move(record));
    }
    BOOST_LEAF_CHECK(
        history_.restore(snapshot.value(QStringLiteral("history")).toArray()));
    if (!memory_.restore(
            snapshot.value(QStringLiteral("change_ids")).toByteArray()))
    {
        return boost::leaf::new_error(snapshot_invalid{
            QStringLiteral("change_ids: must be the encoded change ids")});
    }
    return {};
}

} // namespace verbenacove
