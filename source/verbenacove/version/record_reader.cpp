#include "verbenacove/version/record_reader.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QRegularExpression>

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr qsizetype longest_value_shown = 80;

QString shown(QJsonValue const& value)
{
    if (value.isUndefined())
    {
        return {};
    }
    auto const json =
        QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    return QString::fromUtf8(json.mid(1, json.size() - 2))
        .left(longest_value_shown);
}

QString name_rule()
{
    return QStringLiteral("must be 1 to 64 letters, digits, '-', '_' or '.'");
}

bool is_printable(QString const& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](QChar c) { return c.isPrint() && !c.isSpace(); });
}

} // namespace

QString record_error::text() const
{
    if (value.isEmpty())
    {
        return QStringLiteral("%1: %2").arg(key, allowed);
    }
    return QStringLiteral("%1 = %2: %3").arg(key, value, allowed);
}

QString record_errors::text() const
{
    QStringList lines;
    for (auto const& error : errors)
    {
        lines += error.text();
    }
    return lines.join(QLatin1Char('\n'));
}

QString schema_unknown::text() const
{
    return QStringLiteral("schema version %1 is not known; known are 1 to %2")
        .arg(schema)
        .arg(newest);
}

bool is_record_name(QString const& text)
{
    static QRegularExpression const pattern(
        QStringLiteral("\\A[A-Za-z0-9._-]{1,64}\\z"));
    return pattern.match(text).hasMatch();
}

record_reader::record_reader(QJsonObject object, record_errors& errors,
                             QString prefix)
    : object_(std::move(object))
    , errors_(errors)
    , prefix_(std::move(prefix))
{
}

QString record_reader::name(char const* key)
{
    auto const value = require(key);
    if (!value)
    {
        return {};
    }
    if (!value->isString() || !is_record_name(value->toString()))
    {
        fail(QString::fromLatin1(key), *value, name_rule());
        return {};
    }
    return value->toString();
}

QStringList record_reader::names(char const* key, int most)
{
    QStringList result;
    auto const value = require(key);
    if (!value)
    {
        return result;
    }
    auto const list = value->toArray();
    if (!value->isArray() || list.isEmpty() || list.size() > most)
    {
        fail(QString::fromLatin1(key), *value,
             QStringLiteral("must be a list of 1 to %1 names").arg(most));
        return result;
    }
    QSet<QString> seen;
    for (auto const& item : list)
    {
        auto const text = item.toString();
        if (!is_record_name(text))
        {
            fail(QString::fromLatin1(key), item, name_rule());
        }
        else if (seen.contains(text))
        {
            fail(QString::fromLatin1(key), item, QStringLiteral("given twice"));
        }
        seen.insert(text);
        result += text;
    }
    return result;
}

QString record_reader::word(char const* key, int longest)
{
    auto const value = require(key);
    if (!value)
    {
        return {};
    }
    auto text = value->toString();
    if (!value->isString() || text.isEmpty() || text.size() > longest ||
        !is_printable(text))
    {
        fail(QString::fromLatin1(key), *value,
             QStringLiteral("must be 1 to %1 printable characters without "
                            "spaces")
                 .arg(longest));
        return {};
    }
    return text;
}

QString record_reader::text(char const* key, int longest)
{
    if (!has(key))
    {
        known_keys_.insert(QString::fromLatin1(key));
        return {};
    }
    auto const value = require(key);
    if (!value->isString() || value->toString().size() > longest)
    {
        fail(QString::fromLatin1(key), *value,
             QStringLiteral("must be text of at most %1 characters")
                 .arg(longest));
        return {};
    }
    return value->toString();
}

qint64 record_reader::number(char const* key, qint64 lowest, qint64 highest,
                             std::optional<qint64> fallback)
{
    if (fallback && !has(key))
    {
        known_keys_.insert(QString::fromLatin1(key));
        return *fallback;
    }
    auto const value = require(key);
    if (!value)
    {
        return lowest;
    }
    auto const given = value->toDouble();
    if (!value->isDouble() || given != std::floor(given) ||
        given < static_cast<double>(lowest) ||
        given > static_cast<double>(highest))
    {
        fail(QString::fromLatin1(key), *value,
             QStringLiteral("must be a whole number from %1 to %2")
                 .arg(lowest)
                 .arg(highest));
        return lowest;
    }
    return static_cast<qint64>(given);
}

double record_reader::real(char const* key, double lowest, double highest)
{
    auto const value = require(key);
    if (!value)
    {
        return lowest;
    }
    if (!value->isDouble() || value->toDouble() < lowest ||
        value->toDouble() > highest)
    {
        fail(QString::fromLatin1(key), *value,
             QStringLiteral("must be a number from %1 to %2")
                 .arg(lowest)
                 .arg(highest));
        return lowest;
    }
    return value->toDouble();
}

bool record_reader::flag(char const* key, bool fallback)
{
    if (!has(key))
    {
        known_keys_.insert(QString::fromLatin1(key));
        return fallback;
    }
    auto const value = require(key);
    if (!value->isBool())
    {
        fail(QString::fromLatin1(key), *value,
             QStringLiteral("must be true or false"));
        return fallback;
    }
    return value->toBool();
}

int record_reader::choice(char const* key, QStringList const& allowed)
{
    auto const value = require(key);
    if (!value)
    {
        return 0;
    }
    auto const position =
        value->isString() ? allowed.indexOf(value->toString()) : -1;
    if (position < 0)
    {
        fail(QString::fromLatin1(key), *value,
             QStringLiteral("must be one of ") +
                 allowed.join(QStringLiteral(", ")));
        return 0;
    }
    return static_cast<int>(position);
}

bool record_reader::has(char const* key) const
{
    return object_.contains(QLatin1String(key));
}

QJsonObject record_reader::object(char const* key)
{
    auto const value = require(key);
    if (value && !value->isObject())
    {
        fail(QString::fromLatin1(key), *value,
             QStringLiteral("must be an object"));
    }
    return value ? value->toObject() : QJsonObject();
}

std::vector<QJsonObject> record_reader::objects(char const* key, int most)
{
    std::vector<QJsonObject> result;
    if (!has(key))
    {
        known_keys_.insert(QString::fromLatin1(key));
        return result;
    }
    auto const value = require(key);
    auto const list = value->toArray();
    if (!value->isArray() || list.size() > most ||
        !std::all_of(list.begin(), list.end(),
                     [](QJsonValue const& item) { return item.isObject(); }))
    {
        fail(QString::fromLatin1(key), *value,
             QStringLiteral("must be a list of at most %1 objects").arg(most));
        return result;
    }
    for (auto const& item : list)
    {
        result.push_back(item.toObject());
    }
    return result;
}

void record_reader::report(char const* key, QString const& allowed)
{
    fail(QString::fromLatin1(key), object_.value(QLatin1String(key)), allowed);
}

void record_reader::finish()
{
    for (auto entry = object_.begin(); entry != object_.end(); ++entry)
    {
        if (!known_keys_.contains(entry.key()))
        {
            fail(entry.key(), entry.value(), QStringLiteral("unknown key"));
        }
    }
}

std::optional<QJsonValue> record_reader::require(char const* key)
{
    auto const wanted = QString::fromLatin1(key);
    known_keys_.insert(wanted);
    auto const found = object_.find(wanted);
    if (found == object_.end())
    {
        fail(wanted, QJsonValue(QJsonValue::Undefined),
             QStringLiteral("missing"));
        return std::nullopt;
    }
    return found.value();
}

void record_reader::fail(QString const& key, QJsonValue const& value,
                         QString const& allowed)
{
    errors_.errors.push_back(
        {prefix_ + key.left(longest_value_shown), shown(value), allowed});
}

} // namespace verbenacove
