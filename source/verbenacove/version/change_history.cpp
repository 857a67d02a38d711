#include "verbenacove/version/change_history.hpp"

#include <utility>

namespace verbenacove
{

namespace
{

QCborMap to_cbor(change_history::entry const& entry)
{
    return {{QStringLiteral("config_version"), entry.config.value()},
            {QStringLiteral("kind"), record_kind_word(entry.key.kind)},
            {QStringLiteral("name"), entry.key.name},
            {QStringLiteral("action"), change_action_word(entry.action)},
            {QStringLiteral("version"), entry.version.value()},
            {QStringLiteral("change_id"), entry.changed_by.id.value()},
            {QStringLiteral("author"), entry.changed_by.author},
            {QStringLiteral("asked_at"), entry.changed_at},
            {QStringLiteral("log_index"), entry.index.value()}};
}

change_history::entry read_entry(QJsonObject const& object,
                                 record_errors& errors)
{
    record_reader reader(object, errors, QStringLiteral("history."));
    change_history::entry result;
    result.config =
        config_version(reader.number("config_version", 1, highest_count));
    result.key.kind =
        static_cast<record_kind>(reader.choice("kind", record_kind_words()));
    result.key.name = reader.word("name", longest_key_name);
    result.action = static_cast<change_action>(
        reader.choice("action", change_action_words()));
    result.version = record_version(reader.number("version", 1, highest_count));
    result.changed_by.id = change_id(reader.name("change_id"));
    result.changed_by.author = reader.word("author", longest_author);
    result.changed_at = reader.text("asked_at", longest_time);
    result.index = log_index(reader.number("log_index", 0, highest_count));
    reader.finish();
    return result;
}

} // namespace

change_history::change_history(std::size_t most)
    : most_(most)
{
}

void change_history::add(entry change)
{
    entries_.push_back(std::move(change));
    if (entries_.size() > most_)
    {
        entries_.pop_front();
    }
}

QCborArray change_history::latest(std::optional<record_kind> kind,
                                  QString const& name, qsizetype most) const
{
    QCborArray found;
    for (auto entry = entries_.rbegin();
         entry != entries_.rend() && found.size() < most; ++entry)
    {
        bool const is_asked_for = (!kind || *kind == entry->key.kind) &&
                                  (name.isEmpty() || name == entry->key.name);
        if (is_asked_for)
        {
            found.append(to_cbor(*entry));
        }
    }
    return found;
}

QCborArray change_history::snapshot() const
{
    QCborArray result;
    for (auto const& entry : entries_)
    {
        result.append(to_cbor(entry));
    }
    return result;
}

boost::leaf::result<void> change_history::restore(QCborArray const& snapshot)
{
    record_errors errors;
    entries_.clear();
    for (auto const& item : snapshot)
    {
        add(read_entry(item.toMap().toJsonObject(), errors));
    }
    if (!errors.errors.empty())
    {
        return boost::leaf::new_error(std::move(errors));
    }
    return {};
}

} // namespace verbenacove
