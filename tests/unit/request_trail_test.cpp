#include "verbenacove/process/request_trail.hpp"

#include <doctest/doctest.h>

#include <QBuffer>

using namespace verbenacove;

namespace
{

QByteArray const log_text =
    "core-1 {\"time\":900,\"event\":\"upstream.changed\",\"upstream\":\"i-1\","
    "\"silent\":true}\n"
    "no JSON\n"
    "{\"time\":1300,\"event\":\"request.ended\",\"request\":\"a\","
    "\"status\":502}\n"
    "{\"time\":1000,\"event\":\"request.attempt\",\"request\":\"a\","
    "\"upstream\":\"i-1\"}\n"
    "{\"time\":1000,\"event\":\"request.attempt\",\"request\":\"b\","
    "\"upstream\":\"i-1\"}\n"
    "{\"time\":99000,\"event\":\"upstream.changed\",\"upstream\":\"i-1\"}\n";

QString trail_of(char const* id)
{
    request_trail trail(QString::fromLatin1(id));
    QByteArray bytes = log_text;
    QBuffer log(&bytes);
    log.open(QIODevice::ReadOnly);
    trail.add(log);
    log.seek(0);
    trail.add_neighbours(log);
    return trail.text();
}

} // namespace

TEST_CASE("request trail: lines of several processes: told in order")
{
    auto const text = trail_of("a");
    auto const lines = text.split(QLatin1Char('\n'), Qt::SkipEmptyParts);
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].contains(QStringLiteral("upstream.changed")));
    CHECK(lines[1].contains(QStringLiteral("request.attempt")));
    CHECK(lines[2].contains(QStringLiteral("status=502")));
    CHECK_FALSE(text.contains(QStringLiteral("99000")));
}

TEST_CASE("request trail: an unknown request: nothing is told")
{
    CHECK(trail_of("c").isEmpty());
}
