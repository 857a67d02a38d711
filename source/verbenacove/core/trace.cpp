#include "verbenacove/core/trace.hpp"

#include "verbenacove/core/log.hpp"

#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>

#include <algorithm>
#include <chrono>
#include <utility>

namespace verbenacove
{

namespace
{

log_part const trace_log{"trace"};

constexpr int trace_id_words = 4;
constexpr int span_id_words = 2;
constexpr qsizetype traceparent_size = 55;

QByteArray random_id(int words)
{
    QByteArray id;
    for (int i = 0; i < words; ++i)
    {
        auto const word = QRandomGenerator::global()->generate();
        id += QByteArray::number(word, 16).rightJustified(8, '0');
    }
    return id;
}

bool is_id(QByteArray const& text)
{
    bool const is_hexadecimal =
        std::all_of(text.begin(), text.end(),
                    [](char digit) {
                        return (digit >= '0' && digit <= '9') ||
                               (digit >= 'a' && digit <= 'f');
                    });
    return is_hexadecimal && text.count('0') != text.size();
}

qint64 unix_time_ns()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

} // namespace

QByteArray trace_context::text() const
{
    return "00-" + trace_id + '-' + span_id + (is_sampled ? "-01" : "-00");
}

std::optional<trace_context> parse_traceparent(QByteArray const& text)
{
    auto const parts = text.split('-');
    bool const is_formed = text.size() >= traceparent_size &&
                           parts.size() >= 4 && parts[0].size() == 2 &&
                           parts[0] != "ff" && parts[1].size() == 32 &&
                           parts[2].size() == 16 && parts[3].size() == 2;
    if (!is_formed || !is_id(parts[1]) || !is_id(parts[2]))
    {
        return std::nullopt;
    }
    bool is_number = false;
    auto const flags = parts[3].toInt(&is_number, 16);
    if (!is_number)
    {
        return std::nullopt;
    }
    return trace_context{parts[1], parts[2], (flags & 1) != 0};
}

trace_span trace_span::begin(QString name,
                             std::optional<trace_context> const& received,
                             int sample_one_in)
{
    if (received)
    {
        return begin_child(std::move(name), span_kind::server, *received);
    }
    trace_context fresh;
    fresh.trace_id = random_id(trace_id_words);
    fresh.is_sampled = sample_one_in > 0 &&
                       QRandomGenerator::global()->bounded(sample_one_in) == 0;
    auto span = begin_child(std::move(name), span_kind::server, fresh);
    span.parent_span_id_.clear();
    return span;
}

trace_span trace_span::begin_child(QString name, span_kind kind,
                                   trace_context const& parent)
{
    trace_span span;
    span.context_ = parent;
    span.context_.span_id = random_id(span_id_words);
    span.parent_span_id_ = parent.span_id;
    span.name_ = std::move(name);
    span.kind_ = kind;
    span.start_ns_ = unix_time_ns();
    return span;
}

void trace_span::note(char const* key, QString const& value)
{
    if (!context_.is_sampled)
    {
        return;
    }
    attributes_.append(
        QJsonObject{{QStringLiteral("key"), QString::fromLatin1(key)},
                    {QStringLiteral("value"),
                     QJsonObject{{QStringLiteral("stringValue"), value}}}});
}

void trace_span::end()
{
    if (!std::exchange(context_.is_sampled, false))
    {
        return;
    }
    QJsonObject const line{
        {QStringLiteral("traceId"), QString::fromLatin1(context_.trace_id)},
        {QStringLiteral("spanId"), QString::fromLatin1(context_.span_id)},
        {QStringLiteral("parentSpanId"), QString::fromLatin1(parent_span_id_)},
        {QStringLiteral("name"), name_},
        {QStringLiteral("kind"), static_cast<int>(kind_)},
        {QStringLiteral("startTimeUnixNano"), QString::number(start_ns_)},
        {QStringLiteral("endTimeUnixNano"), QString::number(unix_time_ns())},
        {QStringLiteral("attributes"), attributes_}};
    trace_log.info(
        QString::fromUtf8(QJsonDocument(line).toJson(QJsonDocument::Compact)));
}

} // namespace verbenacove
