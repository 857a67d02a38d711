#include "verbenacove/core/ini_document.hpp"

#include <QFile>
#include <QSet>
#include <QStringList>

#include <utility>

namespace verbenacove
{

namespace
{

constexpr qint64 maximum_file_bytes = 1024 * 1024;

bool is_comment(QString const& line)
{
    return line.isEmpty() || line.startsWith(QLatin1Char(';')) ||
           line.startsWith(QLatin1Char('#'));
}

bool is_section(QString const& line)
{
    return line.startsWith(QLatin1Char('[')) &&
           line.endsWith(QLatin1Char(']')) && line.size() > 2;
}

} // namespace

QString setting_error::text() const
{
    auto place = QStringLiteral("%1:%2:").arg(file).arg(line);
    if (!section.isEmpty())
    {
        place += QStringLiteral(" [%1]").arg(section);
    }
    if (!key.isEmpty())
    {
        place += QStringLiteral(" %1 = %2:").arg(key, value);
    }
    return place + QLatin1Char(' ') + allowed;
}

QString setting_errors::text() const
{
    QStringList lines;
    for (auto const& error : errors)
    {
        lines += error.text();
    }
    return lines.join(QLatin1Char('\n'));
}

boost::leaf::result<ini_document> parse_ini(QString const& file,
                                            QString const& text)
{
    ini_document document{file, {}};
    setting_errors failures;
    QSet<QString> seen;
    QString section;
    int number = 0;
    for (auto const& raw_line : text.split(QLatin1Char('\n')))
    {
        ++number;
        auto const line = raw_line.trimmed();
        if (is_comment(line))
        {
            continue;
        }
        if (is_section(line))
        {
            section = line.mid(1, line.size() - 2).trimmed();
            continue;
        }
        auto const equals = line.indexOf(QLatin1Char('='));
        if (equals <= 0 || section.isEmpty())
        {
            failures.errors.push_back(
                {file,
                 number,
                 section,
                 {},
                 {},
                 QStringLiteral("\"%1\" must be [section] or, within a "
                                "section, key = value")
                     .arg(line.left(80))});
            continue;
        }
        ini_entry entry{number, section, line.left(equals).trimmed(),
                        line.mid(equals + 1).trimmed()};
        auto const place = section + QLatin1Char('\n') + entry.key;
        if (seen.contains(place))
        {
            failures.errors.push_back({file, number, section, entry.key,
                                       entry.value,
                                       QStringLiteral("given twice")});
            continue;
        }
        seen.insert(place);
        document.entries.push_back(std::move(entry));
    }
    if (!failures.errors.empty())
    {
        return boost::leaf::new_error(std::move(failures));
    }
    return document;
}

boost::leaf::result<ini_document> load_ini(QString const& file)
{
    QFile source(file);
    if (!source.open(QIODevice::ReadOnly))
    {
        return boost::leaf::new_error(setting_errors{
            {{file,
              0,
              {},
              {},
              {},
              QStringLiteral("cannot be read: ") + source.errorString()}}});
    }
    if (source.size() > maximum_file_bytes)
    {
        return boost::leaf::new_error(setting_errors{
            {{file, 0, {}, {}, {}, QStringLiteral("is larger than 1 MiB")}}});
    }
    return parse_ini(file, QString::fromUtf8(source.readAll()));
}

} // namespace verbenacove
