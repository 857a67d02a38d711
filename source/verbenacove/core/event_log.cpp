#include "verbenacove/core/event_log.hpp"

#include "verbenacove/core/log.hpp"

#include <QDateTime>
#include <QHash>
#include <QJsonDocument>
#include <QJsonObject>
#include <QMutex>

#include <chrono>

namespace verbenacove
{

namespace
{

/** How many lines of one event's name were written in its second. */
struct line_count
{
    qint64 second = 0;
    int written = 0;
    int missing = 0;
};

QMutex counts_mutex;
QHash<QByteArray, line_count> counts;

qint64 steady_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/** Returns how many lines are missing before this one; -1 when it is not to
    be written. */
int take_line(QByteArray const& event, qint64 second)
{
    QMutexLocker const lock(&counts_mutex);
    auto& count = counts[event];
    if (count.second != second)
    {
        count.second = second;
        count.written = 0;
    }
    if (count.written >= event_log::lines_per_second)
    {
        ++count.missing;
        return -1;
    }
    ++count.written;
    return std::exchange(count.missing, 0);
}

} // namespace

event_log::event_log(char const* part)
    : part_(part)
{
}

void event_log::note(char const* event,
                     std::initializer_list<event_field> fields) const
{
    if (!is_logging_structured())
    {
        return;
    }
    auto const now = steady_milliseconds();
    auto const missing =
        take_line(QByteArray::fromRawData(event, qstrlen(event)), now / 1000);
    if (missing < 0)
    {
        return;
    }
    QJsonObject line{
        {QStringLiteral("time"), QDateTime::currentMSecsSinceEpoch()},
        {QStringLiteral("steady_ms"), now},
        {QStringLiteral("part"), QString::fromStdString(part_)},
        {QStringLiteral("event"), QString::fromLatin1(event)}};
    for (auto const& [name, value] : fields)
    {
        line[QLatin1String(name)] = value;
    }
    if (missing > 0)
    {
        line[QStringLiteral("lines_missing")] = missing;
    }
    write_structured_line(QJsonDocument(line).toJson(QJsonDocument::Compact));
}

} // namespace verbenacove
