#include "verbenacove/process/discovery/departure_log.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/event_log.hpp"
#include "verbenacove/process/durable_file.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <tuple>

namespace verbenacove
{

namespace
{

event_log const departures_log{"departures"};

auto const departures_key = QLatin1String("departures");

QByteArray encode(std::vector<upstream_member> const& records,
                  monotonic_time now)
{
    QCborArray list;
    for (auto const& record : records)
    {
        list.append(to_cbor(record, now));
    }
    return QCborMap{{departures_key, list}}.toCborValue().toCbor();
}

void decode(QByteArray const& payload, monotonic_time now,
            std::vector<upstream_member>& records)
{
    auto const map = parse_cbor_map(payload);
    if (!map)
    {
        return;
    }
    for (auto const& item : cbor_array(*map, "departures"))
    {
        upstream_member record;
        if (from_cbor(item.toMap(), now, record) &&
            record.phase > member_phase::serving)
        {
            records.push_back(std::move(record));
        }
    }
}

} // namespace

departure_log::departure_log(QString const& folder)
    : file_(folder + QStringLiteral("/departures"))
{
}

std::vector<upstream_member> departure_log::open(monotonic_time now)
{
    std::vector<upstream_member> records;
    QFile former(file_.fileName());
    if (former.open(QIODevice::ReadOnly))
    {
        auto const bytes = former.readAll();
        qint64 offset = 0;
        while (auto const record = read_record(bytes, offset))
        {
            decode(record->payload, now, records);
            offset = record->end;
        }
        if (offset < bytes.size())
        {
            departures_log.note("departures.torn",
                                {{"bytes", bytes.size() - offset}});
        }
    }
    rewrite(records, now);
    departures_log.note("departures.read",
                        {{"departures", qint64(records.size())}});
    return records;
}

bool departure_log::has(upstream_member const& record) const
{
    auto const known = stored_.constFind(record.id);
    // The start of a stored departure says nothing of an unknown one.
    return known != stored_.cend() &&
           known->is_of_unknown_start == record.is_of_unknown_start &&
           std::tie(known->started, known->phase) >=
               std::tie(record.started, record.phase);
}

bool departure_log::store(std::vector<upstream_member> const& records,
                          monotonic_time now)
{
    std::vector<upstream_member> added;
    for (auto const& record : records)
    {
        if (!has(record))
        {
            added.push_back(record);
        }
    }
    if (added.empty())
    {
        return true;
    }
    auto const record = checksummed_record(encode(added, now));
    if (!file_.isOpen())
    {
        reopen();
    }
    bool const is_written = cut_failed_write() && file_.isOpen() &&
                            write_synced(file_, size_, record);
    if (!is_written)
    {
        has_failed_write_ = true;
        departures_log.note("departures.not_stored",
                            {{"departures", qint64(added.size())}});
        return false;
    }
    size_ += record.size();
    for (auto const& each : added)
    {
        remember(each);
    }
    return true;
}

void departure_log::rewrite(std::vector<upstream_member> const& records,
                            monotonic_time now)
{
    auto const replaced = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool>
        {
            BOOST_LEAF_CHECK(
                replace_file(file_.fileName(), encode(records, now)));
            return true;
        },
        [] { return false; });
    if (replaced)
    {
        stored_.clear();
        for (auto const& each : records)
        {
            remember(each);
        }
        file_.close();
    }
    reopen();
}

bool departure_log::cut_failed_write()
{
    if (has_failed_write_)
    {
        has_failed_write_ = !file_.resize(size_) || !sync_file(file_);
    }
    return !has_failed_write_;
}

// A failed rename may leave the open file without its name.
void departure_log::reopen()
{
    file_.close();
    has_failed_write_ = false;
    if (file_.open(QIODevice::ReadWrite | QIODevice::Unbuffered))
    {
        auto const bytes = file_.readAll();
        size_ = 0;
        while (auto const record = read_record(bytes, size_))
        {
            size_ = record->end;
        }
        has_failed_write_ = size_ < bytes.size();
    }
}

void departure_log::remember(upstream_member const& record)
{
    stored_[record.id] = {record.started, record.phase,
                          record.is_of_unknown_start};
}

} // namespace verbenacove
