#include "verbenacove/request/quarantine.hpp"

#include <QCborArray>

#include <algorithm>

namespace verbenacove
{

namespace leaf = boost::leaf;

namespace
{

constexpr qsizetype maximum_name_length = 64;

leaf::error_id fail(char const* reason)
{
    return leaf::new_error(
        quarantine_format_error{QString::fromLatin1(reason)});
}

QCborArray to_cbor(crash_record const& crash)
{
    return {crash.upstream.value(), crash.upstream_incarnation.value(),
            qint64(crash.age.count()), crash.is_cleared, crash.is_isolated};
}

leaf::result<crash_record> parse_crash(QCborArray const& fields)
{
    bool const is_valid = fields.size() == 5 && fields.at(0).isString() &&
                          fields.at(1).isInteger() &&
                          fields.at(2).isInteger() && fields.at(3).isBool() &&
                          fields.at(4).isBool();
    if (!is_valid)
    {
        return fail("crash: missing field or wrong type");
    }
    auto const upstream = fields.at(0).toString();
    auto const age = fields.at(2).toInteger();
    if (upstream.isEmpty() || upstream.size() > maximum_name_length || age < 0)
    {
        return fail("crash: upstream name or age out of range");
    }
    return crash_record{
        upstream_id(upstream), incarnation(fields.at(1).toInteger()),
        milliseconds(age),     fields.at(3).toBool(),
        fields.at(4).toBool(), fields.at(4).toBool()};
}

leaf::result<request_crashes> parse_record(QCborArray const& fields)
{
    request_crashes record{request_fingerprint(fields.at(0).toByteArray()), {}};
    auto const crashes = fields.at(1).toArray();
    if (record.fingerprint.value().size() != fingerprint_bytes ||
        crashes.size() > qsizetype(quarantine::maximum_crashes))
    {
        return fail("record: wrong fingerprint length or too many crashes");
    }
    for (auto const& crash : crashes)
    {
        BOOST_LEAF_AUTO(parsed, parse_crash(crash.toArray()));
        record.crashes.push_back(parsed);
    }
    return record;
}

QCborArray repeated_to_cbor(request_crashes const& record)
{
    QCborArray result;
    for (auto const& crash : record.crashes)
    {
        result.append(crash.is_repeated);
    }
    return result;
}

leaf::result<void> parse_repeated(QCborArray const& flags,
                                  request_crashes& record)
{
    if (flags.size() != qsizetype(record.crashes.size()))
    {
        return fail("update: \"repeated\" does not fit its record");
    }
    for (qsizetype i = 0; i < flags.size(); ++i)
    {
        if (!flags.at(i).isBool())
        {
            return fail("update: \"repeated\" has the wrong type");
        }
        record.crashes[std::size_t(i)].is_repeated = flags.at(i).toBool();
    }
    return {};
}

} // namespace

QCborMap to_cbor(quarantine_update const& update)
{
    QCborArray records;
    QCborArray repeated;
    for (auto const& record : update.records)
    {
        repeated.append(repeated_to_cbor(record));
        QCborArray crashes;
        for (auto const& crash : record.crashes)
        {
            crashes.append(to_cbor(crash));
        }
        records.append(QCborArray{record.fingerprint.value(), crashes});
    }
    QCborMap map;
    map.insert(QLatin1String("next"), update.next.value());
    map.insert(QLatin1String("records"), records);
    map.insert(QLatin1String("repeated"), repeated);
    return map;
}

leaf::result<quarantine_update> parse_quarantine_update(QCborMap const& map)
{
    auto const next = map.value(QLatin1String("next"));
    auto const records = map.value(QLatin1String("records"));
    if (next.toInteger(-1) < 0 || !records.isArray() ||
        records.toArray().size() >
            qsizetype(quarantine::maximum_update_records))
    {
        return fail(
            "update: \"next\" or \"records\" is missing, invalid or too long");
    }
    quarantine_update update{quarantine_cursor(next.toInteger()), {}};
    for (auto const& record : records.toArray())
    {
        BOOST_LEAF_AUTO(parsed, parse_record(record.toArray()));
        update.records.push_back(std::move(parsed));
    }
    auto const repeated = map.value(QLatin1String("repeated"));
    if (repeated.isUndefined())
    {
        return update;
    }
    if (repeated.toArray().size() != qsizetype(update.records.size()))
    {
        return fail("update: \"repeated\" is invalid or has the wrong length");
    }
    for (std::size_t i = 0; i < update.records.size(); ++i)
    {
        BOOST_LEAF_CHECK(parse_repeated(
            repeated.toArray().at(qsizetype(i)).toArray(), update.records[i]));
    }
    return update;
}

} // namespace verbenacove
