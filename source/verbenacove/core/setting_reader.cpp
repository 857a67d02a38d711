#include "verbenacove/core/setting_reader.hpp"

#include <QRegularExpression>
#include <QStringList>

#include <utility>

namespace verbenacove
{

namespace
{

QString place_of(QString const& section, QString const& key)
{
    return section + QLatin1Char('\n') + key;
}

} // namespace

setting_reader::setting_reader(ini_document const& document)
    : document_(document)
{
}

QString setting_reader::name(char const* section, char const* key)
{
    static QRegularExpression const pattern(
        QStringLiteral("^[A-Za-z0-9._-]{1,64}$"));
    auto const* entry = require(section, key);
    if (entry == nullptr)
    {
        return {};
    }
    if (!pattern.match(entry->value).hasMatch())
    {
        fail(*entry, QStringLiteral("must be 1 to 64 letters, digits, '-', "
                                    "'_' or '.'"));
    }
    return entry->value;
}

QString setting_reader::text(char const* section, char const* key,
                             QString const& fallback)
{
    auto const* entry = find(section, key);
    return entry == nullptr ? fallback : entry->value;
}

template <class Value, class Parse>
Value setting_reader::bounded(ini_entry const* entry, Value fallback,
                              Value lowest, Value highest, Parse parse,
                              QString const& allowed)
{
    if (entry == nullptr)
    {
        return fallback;
    }
    bool is_number = false;
    Value const value = parse(entry->value, is_number);
    if (!is_number || !(value >= lowest && value <= highest))
    {
        fail(*entry, allowed.arg(lowest).arg(highest));
        return fallback;
    }
    return value;
}

qint64 setting_reader::number(char const* section, char const* key,
                              qint64 fallback, qint64 lowest, qint64 highest)
{
    return bounded(
        find(section, key), fallback, lowest, highest,
        [](QString const& text, bool& is_number)
        { return qint64{text.toLongLong(&is_number)}; },
        QStringLiteral("must be a whole number from %1 to %2"));
}

milliseconds setting_reader::duration(char const* section, char const* key,
                                      milliseconds fallback,
                                      milliseconds lowest, milliseconds highest)
{
    auto const* entry = find(section, key);
    if (entry == nullptr)
    {
        return fallback;
    }
    auto const value = scaled(*entry, {{QStringLiteral("ms"), 1},
                                       {QStringLiteral("s"), 1000},
                                       {QStringLiteral("min"), 60000}});
    if (!value || *value < lowest.count() || *value > highest.count())
    {
        fail(*entry, QStringLiteral("must be a number with a unit of ms, s "
                                    "or min, from %1 ms to %2 ms")
                         .arg(lowest.count())
                         .arg(highest.count()));
        return fallback;
    }
    return milliseconds(*value);
}

qint64 setting_reader::size(char const* section, char const* key,
                            qint64 fallback, qint64 lowest, qint64 highest)
{
    auto const* entry = find(section, key);
    if (entry == nullptr)
    {
        return fallback;
    }
    auto const value = scaled(*entry, {{QStringLiteral("B"), 1},
                                       {QStringLiteral("KiB"), 1024},
                                       {QStringLiteral("MiB"), 1024 * 1024}});
    if (!value || *value < lowest || *value > highest)
    {
        fail(*entry, QStringLiteral("must be a number with a unit of B, KiB "
                                    "or MiB, from %1 B to %2 B")
                         .arg(lowest)
                         .arg(highest));
        return fallback;
    }
    return *value;
}

double setting_reader::fraction(char const* section, char const* key,
                                double fallback, double lowest, double highest)
{
    return bounded(
        find(section, key), fallback, lowest, highest,
        [](QString const& text, bool& is_number)
        { return text.toDouble(&is_number); },
        QStringLiteral("must be a number from %1 to %2"));
}

QHash<QString, QString> setting_reader::section(char const* section)
{
    QHash<QString, QString> result;
    auto const wanted = QString::fromLatin1(section);
    known_sections_.insert(wanted);
    for (auto const& entry : document_.entries)
    {
        if (entry.section == wanted)
        {
            known_keys_.insert(place_of(wanted, entry.key));
            result.insert(entry.key, entry.value);
        }
    }
    return result;
}

socket_address setting_reader::address(char const* section, char const* key)
{
    auto const* entry = require(section, key);
    if (entry == nullptr)
    {
        return {};
    }
    auto const parsed = parse_socket_address(entry->value);
    if (!parsed)
    {
        fail(*entry, QStringLiteral("must be an IP number and a port, such as "
                                    "10.0.0.1:7000"));
        return {};
    }
    return *parsed;
}

std::vector<socket_address> setting_reader::addresses(char const* section,
                                                      char const* key)
{
    std::vector<socket_address> result;
    auto const* entry = require(section, key);
    if (entry == nullptr)
    {
        return result;
    }
    QSet<socket_address> seen;
    for (auto const& part : entry->value.split(QLatin1Char(',')))
    {
        auto const parsed = parse_socket_address(part.trimmed());
        if (!parsed)
        {
            fail(*entry, QStringLiteral("\"%1\" must be an IP number and a "
                                        "port, such as 10.0.0.1:7000")
                             .arg(part.trimmed()));
            continue;
        }
        if (seen.contains(*parsed))
        {
            fail(*entry, QStringLiteral("names %1 twice").arg(parsed->text()));
            continue;
        }
        seen.insert(*parsed);
        result.push_back(*parsed);
    }
    return result;
}

log_level setting_reader::level(char const* section, char const* key)
{
    static QStringList const words{
        QStringLiteral("debug"), QStringLiteral("info"), QStringLiteral("warn"),
        QStringLiteral("error")};
    auto const* entry = find(section, key);
    if (entry == nullptr)
    {
        return log_level::info;
    }
    auto const position = words.indexOf(entry->value);
    if (position < 0)
    {
        fail(*entry, QStringLiteral("must be debug, info, warn or error"));
        return log_level::info;
    }
    return static_cast<log_level>(position);
}

void setting_reader::report(char const* section, char const* key,
                            QString const& allowed)
{
    auto const* entry = find(section, key);
    fail(entry == nullptr ? ini_entry{0,
                                      QString::fromLatin1(section),
                                      QString::fromLatin1(key),
                                      {}}
                          : *entry,
         allowed);
}

boost::leaf::result<void> setting_reader::finish()
{
    for (auto const& entry : document_.entries)
    {
        if (!known_sections_.contains(entry.section))
        {
            fail(entry, QStringLiteral("unknown section"));
        }
        else if (!known_keys_.contains(place_of(entry.section, entry.key)))
        {
            fail(entry, QStringLiteral("unknown key"));
        }
    }
    if (!failures_.errors.empty())
    {
        return boost::leaf::new_error(std::move(failures_));
    }
    return {};
}

ini_entry const* setting_reader::find(char const* section, char const* key)
{
    auto const wanted_section = QString::fromLatin1(section);
    auto const wanted_key = QString::fromLatin1(key);
    known_sections_.insert(wanted_section);
    known_keys_.insert(place_of(wanted_section, wanted_key));
    for (auto const& entry : document_.entries)
    {
        if (entry.section == wanted_section && entry.key == wanted_key)
        {
            return &entry;
        }
    }
    return nullptr;
}

ini_entry const* setting_reader::require(char const* section, char const* key)
{
    auto const* entry = find(section, key);
    if (entry == nullptr)
    {
        fail({0, QString::fromLatin1(section), QString::fromLatin1(key), {}},
             QStringLiteral("missing"));
    }
    return entry;
}

void setting_reader::fail(ini_entry const& entry, QString const& allowed)
{
    failures_.errors.push_back({document_.file, entry.line, entry.section,
                                entry.key, entry.value, allowed});
}

std::optional<qint64>
setting_reader::scaled(ini_entry const& entry,
                       std::vector<std::pair<QString, qint64>> const& units)
{
    static QRegularExpression const pattern(
        QStringLiteral("^([0-9]{1,9}(?:\\.[0-9]{1,20})?) ?([A-Za-z]+)$"));
    auto const match = pattern.match(entry.value);
    for (auto const& [unit, factor] : units)
    {
        if (match.hasMatch() && match.captured(2) == unit)
        {
            return qRound64(match.captured(1).toDouble() *
                            static_cast<double>(factor));
        }
    }
    return std::nullopt;
}

} // namespace verbenacove
