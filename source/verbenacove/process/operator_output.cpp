#include "verbenacove/process/operator_output.hpp"

#include <QJsonDocument>
#include <QStringList>

#include <algorithm>
#include <vector>

namespace verbenacove
{

namespace
{

QString cell(QJsonValue const& value)
{
    bool const is_empty =
        value.isNull() || value.isUndefined() || value == QString();
    if (value.isString() && !is_empty)
    {
        return value.toString();
    }
    if (is_empty)
    {
        return QStringLiteral("-");
    }
    auto const text =
        QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    return QString::fromUtf8(text.mid(1, text.size() - 2));
}

bool is_table(QJsonValue const& value)
{
    auto const rows = value.toArray();
    return !rows.isEmpty() &&
           std::all_of(rows.begin(), rows.end(),
                       [](QJsonValue const& row) { return row.isObject(); });
}

QStringList columns_of(QJsonArray const& rows)
{
    QStringList columns;
    for (auto const& row : rows)
    {
        for (auto const& key : row.toObject().keys())
        {
            if (!columns.contains(key))
            {
                columns += key;
            }
        }
    }
    return columns;
}

QString aligned(std::vector<QStringList> const& lines)
{
    std::vector<qsizetype> widths(static_cast<std::size_t>(lines[0].size()));
    for (auto const& line : lines)
    {
        for (std::size_t i = 0; i < widths.size(); ++i)
        {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    QString text;
    for (auto const& line : lines)
    {
        QString row;
        for (std::size_t i = 0; i < widths.size(); ++i)
        {
            row += line[i].leftJustified(widths[i] + 2);
        }
        text += row.trimmed() + QLatin1Char('\n');
    }
    return text;
}

QString rows_output(QJsonArray const& rows)
{
    auto const columns = columns_of(rows);
    std::vector<QStringList> lines{columns};
    for (auto const& row : rows)
    {
        QStringList line;
        for (auto const& column : columns)
        {
            line += cell(row.toObject().value(column));
        }
        lines.push_back(line);
    }
    return aligned(lines);
}

} // namespace

QString json_output(QJsonObject const& object)
{
    return QString::fromUtf8(QJsonDocument(object).toJson());
}

QString table_output(QJsonObject const& object)
{
    std::vector<QStringList> lines;
    QString tables;
    for (auto member = object.begin(); member != object.end(); ++member)
    {
        if (is_table(member.value()))
        {
            tables += QLatin1Char('\n') + member.key() + QStringLiteral(":\n") +
                      rows_output(member.value().toArray());
        }
        else if (member.value().isObject())
        {
            tables += QLatin1Char('\n') + member.key() + QStringLiteral(":\n") +
                      table_output(member.value().toObject());
        }
        else
        {
            lines.push_back({member.key(), cell(member.value())});
        }
    }
    return (lines.empty() ? QString() : aligned(lines)) + tables;
}

} // namespace verbenacove
