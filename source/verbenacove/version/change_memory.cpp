#include "verbenacove/version/change_memory.hpp"

#include <QCborStreamReader>
#include <QCborStreamWriter>
#include <QCryptographicHash>

#include <algorithm>
#include <cstring>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr quint64 fields_without_winner = 6;
constexpr quint64 fields_with_winner = 8;

/** Reads the fields of one array, one after the other. */
class field_reader
{
public:
    explicit field_reader(QCborStreamReader& stream)
        : stream_(stream)
    {
    }

    qint64 number()
    {
        if (!stream_.isInteger())
        {
            is_valid_ = false;
            return 0;
        }
        auto const value = stream_.toInteger();
        is_valid_ = stream_.next() && is_valid_;
        return value;
    }

    int number_up_to(int highest)
    {
        auto const value = number();
        is_valid_ = is_valid_ && value >= 0 && value <= highest;
        return is_valid_ ? static_cast<int>(value) : 0;
    }

    QByteArray bytes()
    {
        if (!stream_.isByteArray())
        {
            is_valid_ = false;
            return {};
        }
        auto const part = stream_.readByteArray();
        // A string ends with the read that finds nothing more.
        is_valid_ = is_valid_ && stream_.readByteArray().status ==
                                     QCborStreamReader::EndOfString;
        return part.data;
    }

    QString text() { return QString::fromUtf8(bytes()); }

    bool is_valid() const { return is_valid_; }

private:
    QCborStreamReader& stream_;
    bool is_valid_ = true;
};

} // namespace

change_memory::change_memory(std::size_t most)
    : most_(most)
{
    Q_ASSERT(most > 0);
}

std::optional<change_memory::known_change>
change_memory::find(config_change const& change) const
{
    auto const found = entries_.find(id_digest(change.id));
    if (found == entries_.end())
    {
        return std::nullopt;
    }
    auto const& entry = found->second;
    known_change result;
    result.is_same = entry.content == shorten(change_digest(change));
    result.result.outcome = entry.outcome;
    result.result.reason = entry.reason;
    result.result.version = record_version(entry.version);
    result.result.config = config_version(entry.config);
    if (entry.winner)
    {
        result.result.winner = *entry.winner;
    }
    return result;
}

void change_memory::remember(config_change const& change,
                             change_result const& result)
{
    remembered entry;
    entry.content = shorten(change_digest(change));
    entry.outcome = result.outcome;
    entry.reason = result.reason;
    entry.version = result.version.value();
    entry.config = result.config.value();
    if (result.winner)
    {
        entry.winner = std::make_unique<change_winner const>(*result.winner);
    }
    insert(id_digest(change.id), std::move(entry));
}

QByteArray change_memory::snapshot() const
{
    QByteArray bytes;
    QCborStreamWriter writer(&bytes);
    writer.startArray(order_.size());
    for (auto const& id : order_)
    {
        auto const& entry = entries_.at(id);
        writer.startArray(entry.winner ? fields_with_winner
                                       : fields_without_winner);
        writer.appendByteString(id.data(), id.size());
        writer.appendByteString(entry.content.data(), entry.content.size());
        writer.append(static_cast<int>(entry.outcome));
        writer.append(static_cast<int>(entry.reason));
        writer.append(entry.version);
        writer.append(entry.config);
        if (entry.winner)
        {
            writer.append(entry.winner->id.value().toUtf8());
            writer.append(entry.winner->author.toUtf8());
        }
        writer.endArray();
    }
    writer.endArray();
    return bytes;
}

bool change_memory::restore(QByteArray const& bytes)
{
    entries_.clear();
    order_.clear();
    QCborStreamReader stream(bytes);
    if (!stream.isArray() || !stream.enterContainer())
    {
        return false;
    }
    while (stream.lastError() == QCborError::NoError && stream.hasNext())
    {
        if (!stream.isArray() || !stream.isLengthKnown())
        {
            return false;
        }
        auto const fields = stream.length();
        if (!stream.enterContainer())
        {
            return false;
        }
        field_reader reader(stream);
        auto const id = shorten(reader.bytes());
        remembered entry;
        entry.content = shorten(reader.bytes());
        entry.outcome = static_cast<change_outcome>(
            reader.number_up_to(static_cast<int>(change_outcome::refused)));
        entry.reason = static_cast<refusal>(
            reader.number_up_to(static_cast<int>(refusal::too_many_records)));
        entry.version = reader.number();
        entry.config = reader.number();
        if (fields == fields_with_winner)
        {
            change_winner winner;
            winner.id = change_id(reader.text());
            winner.author = reader.text();
            entry.winner =
                std::make_unique<change_winner const>(std::move(winner));
        }
        if (!reader.is_valid() || !stream.leaveContainer())
        {
            return false;
        }
        insert(id, std::move(entry));
    }
    return stream.lastError() == QCborError::NoError;
}

std::size_t change_memory::digest_hash::operator()(digest const& value) const
{
    std::size_t result = 0;
    std::memcpy(&result, value.data(), sizeof result);
    return result;
}

change_memory::digest change_memory::shorten(QByteArray const& bytes)
{
    digest result{};
    auto const length = std::min<std::size_t>(result.size(), bytes.size());
    std::copy_n(bytes.begin(), length, result.begin());
    return result;
}

change_memory::digest change_memory::id_digest(change_id const& id)
{
    return shorten(QCryptographicHash::hash(id.value().toUtf8(),
                                            QCryptographicHash::Sha256));
}

void change_memory::insert(digest const& id, remembered entry)
{
    if (!entries_.emplace(id, std::move(entry)).second)
    {
        return;
    }
    order_.push_back(id);
    if (order_.size() > most_)
    {
        entries_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace verbenacove
