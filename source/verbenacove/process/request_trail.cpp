#include "verbenacove/process/request_trail.hpp"

#include <QIODevice>
#include <QJsonDocument>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

/** How long before and after the request its upstreams are of interest. */
constexpr double neighbourhood_ms = 5000;

auto const time_key = QLatin1String("time");
auto const request_key = QLatin1String("request");
auto const upstream_key = QLatin1String("upstream");

double time_of(QJsonObject const& line)
{
    return line.value(time_key).toDouble();
}

QString sentence(QJsonObject const& line, double start)
{
    static QSet<QString> const left_out{
        QStringLiteral("time"), QStringLiteral("steady_ms"),
        QStringLiteral("event"), QStringLiteral("part"),
        QStringLiteral("request")};
    auto result = QStringLiteral("%1 ms  %2")
                      .arg(time_of(line) - start, 8, 'f', 0)
                      .arg(line.value(QLatin1String("event")).toString());
    for (auto value = line.begin(); value != line.end(); ++value)
    {
        if (!left_out.contains(value.key()))
        {
            result += QStringLiteral("  %1=%2").arg(
                value.key(), value.value().toVariant().toString());
        }
    }
    return result + QLatin1Char('\n');
}

} // namespace

request_trail::request_trail(QString id)
    : id_(std::move(id))
{
}

template <class Wanted>
void request_trail::take(QIODevice& log, Wanted is_wanted)
{
    while (!log.atEnd() && lines_.size() < maximum_lines)
    {
        auto const bytes = log.readLine();
        // A collector may have put its own words before the line.
        auto const object =
            QJsonDocument::fromJson(
                bytes.mid(std::max<qsizetype>(0, bytes.indexOf('{'))))
                .object();
        if (is_wanted(object))
        {
            lines_.push_back(object);
        }
    }
}

void request_trail::add(QIODevice& log)
{
    take(log, [this](QJsonObject const& line)
         { return line.value(request_key).toString() == id_; });
    for (auto const& line : lines_)
    {
        auto const upstream = line.value(upstream_key).toString();
        if (!upstream.isEmpty())
        {
            upstreams_.insert(upstream);
        }
    }
}

void request_trail::add_neighbours(QIODevice& log)
{
    if (lines_.empty())
    {
        return;
    }
    auto const [first, last] =
        std::minmax_element(lines_.begin(), lines_.end(),
                            [](QJsonObject const& a, QJsonObject const& b)
                            { return time_of(a) < time_of(b); });
    double const from = time_of(*first) - neighbourhood_ms;
    double const to = time_of(*last) + neighbourhood_ms;
    take(log,
         [this, from, to](QJsonObject const& line)
         {
             bool const is_near = time_of(line) >= from && time_of(line) <= to;
             return is_near && !line.contains(request_key) &&
                    upstreams_.contains(line.value(upstream_key).toString());
         });
}

QString request_trail::text() const
{
    auto lines = lines_;
    std::stable_sort(lines.begin(), lines.end(),
                     [](QJsonObject const& a, QJsonObject const& b)
                     { return time_of(a) < time_of(b); });
    QString result;
    for (auto const& line : lines)
    {
        result += sentence(line, time_of(lines.front()));
    }
    return result;
}

} // namespace verbenacove
