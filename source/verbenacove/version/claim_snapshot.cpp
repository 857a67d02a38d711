#include "verbenacove/version/claim_table.hpp"

#include <QCborStreamReader>
#include <QCborStreamWriter>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace leaf = boost::leaf;

namespace
{

constexpr qint64 snapshot_format = 1;
// The elements of one record, fence and gone entry in a snapshot.
constexpr quint64 record_fields = 9;
constexpr quint64 fence_fields = 4;
constexpr quint64 gone_fields = 3;

/** Takes typed elements out of an array, one after another. */
class element_reader
{
public:
    explicit element_reader(QCborArray const& elements)
        : elements_(elements)
    {
    }

    qint64 number()
    {
        auto const value = next();
        auto const result = value.toInteger(-1);
        is_right_ = is_right_ && result >= 0;
        return result;
    }

    QString text(qsizetype longest)
    {
        auto result = next().toString();
        is_right_ = is_right_ && !result.isEmpty() && result.size() <= longest;
        return result;
    }

    QByteArray bytes()
    {
        auto const value = next();
        is_right_ = is_right_ && value.isByteArray();
        return value.toByteArray();
    }

    bool flag()
    {
        auto const value = next();
        is_right_ = is_right_ && value.isBool();
        return value.toBool();
    }

    claim_holder holder()
    {
        entry_id entry(text(longest_claim_name));
        incarnation const process(number());
        return {std::move(entry), process, attempt_nonce(number())};
    }

    leaf::result<void> finish() const
    {
        if (is_right_ && index_ == elements_.size())
        {
            return {};
        }
        return leaf::new_error(
            claim_format_error{QStringLiteral("a list's element is wrong")});
    }

private:
    QCborValue next() { return elements_.at(index_++); }

    QCborArray const& elements_;
    qsizetype index_ = 0;
    bool is_right_ = true;
};

/** Reads an array of arrays, and hands each to a function. */
template <class Take>
leaf::result<void> read_all(QCborStreamReader& reader, Take take)
{
    if (!reader.isArray() || !reader.enterContainer())
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("a list is missing")});
    }
    while (reader.lastError() == QCborError::NoError && reader.hasNext())
    {
        auto const value = QCborValue::fromCbor(reader);
        if (!value.isArray())
        {
            break;
        }
        BOOST_LEAF_CHECK(take(value.toArray()));
    }
    if (reader.lastError() != QCborError::NoError || reader.hasNext() ||
        !reader.leaveContainer())
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("a list is cut short")});
    }
    return {};
}

leaf::result<qint64> read_number(QCborStreamReader& reader)
{
    if (!reader.isInteger())
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("a number is missing")});
    }
    auto const value = reader.toInteger();
    reader.next();
    return value;
}

} // namespace

// A snapshot is the CBOR array [format, now, open, closed, fences, gone], with
// an array of arrays for each of the last four, in the order of the lists.

QByteArray claim_table::snapshot() const
{
    QByteArray bytes;
    QCborStreamWriter writer(&bytes);
    auto const write_all =
        [&](auto const& items, quint64 fields, auto const& write)
    {
        writer.startArray(quint64(items.size()));
        for (auto const& item : items)
        {
            writer.startArray(fields);
            writer.append(item.since.value());
            write(item);
            writer.endArray();
        }
        writer.endArray();
    };
    auto const write_holder = [&](claim_holder const& holder)
    {
        writer.append(QStringView(holder.entry.value()));
        writer.append(holder.entry_incarnation.value());
        writer.append(holder.nonce.value());
    };
    auto const write_record = [&](record const& item)
    {
        write_holder(item.holder);
        writer.append(QStringView(item.key.service.value()));
        writer.append(QStringView(item.key.key.value()));
        writer.appendByteString(item.fingerprint.data(), fingerprint_bytes);
        writer.append(item.is_abandoned);
        writer.append(item.outcome);
    };
    writer.startArray(6);
    writer.append(snapshot_format);
    writer.append(now_.value());
    write_all(open_, record_fields, write_record);
    write_all(closed_, record_fields, write_record);
    write_all(fences_, fence_fields,
              [&](fence const& item) { write_holder(item.holder); });
    write_all(gone_, gone_fields,
              [&](gone_entry const& item)
              {
                  writer.append(QStringView(item.entry.value()));
                  writer.append(item.last_gone.value());
              });
    writer.endArray();
    return bytes;
}

leaf::result<claim_table> claim_table::restore(QByteArray const& bytes,
                                               claim_limits const& limits)
{
    QCborStreamReader reader(bytes);
    if (!reader.isArray() || !reader.enterContainer())
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("not a snapshot")});
    }
    BOOST_LEAF_AUTO(format, read_number(reader));
    if (format != snapshot_format)
    {
        return leaf::new_error(claim_format_error{
            QStringLiteral("unknown snapshot format %1").arg(format)});
    }
    BOOST_LEAF_AUTO(now, read_number(reader));
    claim_table table(limits);
    table.now_ = log_time(now);
    BOOST_LEAF_CHECK(read_all(reader, [&](QCborArray const& fields)
                              { return table.restore_record(fields, true); }));
    BOOST_LEAF_CHECK(read_all(reader, [&](QCborArray const& fields)
                              { return table.restore_record(fields, false); }));
    BOOST_LEAF_CHECK(read_all(reader, [&](QCborArray const& fields)
                              { return table.restore_fence(fields); }));
    BOOST_LEAF_CHECK(read_all(reader, [&](QCborArray const& fields)
                              { return table.restore_gone(fields); }));
    return table;
}

leaf::result<void> claim_table::restore_record(QCborArray const& fields,
                                               bool is_open)
{
    element_reader elements(fields);
    record added;
    added.since = log_time(elements.number());
    added.holder = elements.holder();
    added.key.service = service_name(elements.text(longest_claim_name));
    added.key.key = request_key(elements.text(longest_claim_key));
    auto const digest = elements.bytes();
    added.is_abandoned = elements.flag();
    added.outcome = elements.bytes();
    BOOST_LEAF_CHECK(elements.finish());
    if (digest.size() != fingerprint_bytes || claims_.contains({&added.key}))
    {
        return leaf::new_error(
            claim_format_error{QStringLiteral("a claim is wrong")});
    }
    std::copy(digest.begin(), digest.end(), added.fingerprint.begin());
    if (!added.outcome.isEmpty())
    {
        BOOST_LEAF_AUTO(outcome, decode_outcome(added.outcome));
        added.stored = content_size(outcome);
    }
    add_record(std::move(added), is_open);
    return {};
}

leaf::result<void> claim_table::restore_fence(QCborArray const& fields)
{
    element_reader elements(fields);
    fence added;
    added.since = log_time(elements.number());
    added.holder = elements.holder();
    BOOST_LEAF_CHECK(elements.finish());
    fenced_.insert(added.holder);
    fences_.push_back(std::move(added));
    return {};
}

leaf::result<void> claim_table::restore_gone(QCborArray const& fields)
{
    element_reader elements(fields);
    gone_entry added;
    added.since = log_time(elements.number());
    added.entry = entry_id(elements.text(longest_claim_name));
    added.last_gone = incarnation(elements.number());
    BOOST_LEAF_CHECK(elements.finish());
    gone_.push_back(std::move(added));
    gone_entries_.insert(gone_.back().entry, std::prev(gone_.end()));
    return {};
}

} // namespace verbenacove
