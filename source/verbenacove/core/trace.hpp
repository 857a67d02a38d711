#ifndef VERBENACOVE_CORE_TRACE_HPP
#define VERBENACOVE_CORE_TRACE_HPP

#include <QByteArray>
#include <QJsonArray>
#include <QString>

#include <optional>

namespace verbenacove
{

/** Where a span belongs, as W3C Trace Context says it. */
struct trace_context
{
    /** 32 hexadecimal digits, not all zero. */
    QByteArray trace_id;
    /** 16 hexadecimal digits, not all zero. */
    QByteArray span_id;
    /** Whether the spans of this trace are written. */
    bool is_sampled = false;

    /** Returns it as a `traceparent` header's value. */
    QByteArray text() const;
};

/** Reads a `traceparent` header's value; nothing when it is none. */
std::optional<trace_context> parse_traceparent(QByteArray const& text);

/** What a span's side of a hop is, with OTLP's numbers. */
enum class span_kind
{
    internal = 1,
    server = 2,
    client = 3
};

/** One hop of a request: it begins when it is created and is written when it
    ends, as one line of JSON with the field names of OTLP.

    Nothing is written for a trace that is not sampled. A span that is moved
    from, or destroyed without `end`, writes nothing.
*/
class trace_span
{
public:
    /** Creates a span that is never written. */
    trace_span() = default;

    /** Begins a span of a trace that came with a request; or of a new trace,
        when none came.

        @param sample_one_in  a new trace is sampled once in so many; 0 never
    */
    static trace_span begin(QString name,
                            std::optional<trace_context> const& received,
                            int sample_one_in);

    /** Begins a span under another one. */
    static trace_span begin_child(QString name, span_kind kind,
                                  trace_context const& parent);

    /** Adds an attribute; does nothing for a trace that is not sampled. */
    void note(char const* key, QString const& value);

    /** Ends the span and writes it; a second call does nothing. */
    void end();

    /** Returns the context to hand to the next hop. */
    trace_context const& context() const { return context_; }

private:
    trace_context context_;
    QByteArray parent_span_id_;
    QString name_;
    span_kind kind_ = span_kind::internal;
    qint64 start_ns_ = 0;
    QJsonArray attributes_;
};

} // namespace verbenacove

#endif
