#include "verbenacove/core/json_bounds.hpp"

#include <QJsonDocument>

#include <algorithm>

namespace verbenacove
{

namespace
{

/** Calls a function with each character of a JSON text that is not part of a
    string. */
template <class Function>
void visit_structure(QByteArray const& text, Function visit)
{
    bool is_in_string = false;
    bool is_escaped = false;
    for (char const character : text)
    {
        if (is_in_string)
        {
            is_in_string = is_escaped || character != '"';
            is_escaped = !is_escaped && character == '\\';
            continue;
        }
        is_in_string = character == '"';
        visit(character);
    }
}

bool is_start(char character)
{
    return character == '{' || character == '[';
}

bool is_end(char character)
{
    return character == '}' || character == ']';
}

} // namespace

int json_nesting(QByteArray const& text)
{
    int depth = 0;
    int deepest = 0;
    visit_structure(
        text,
        [&](char character)
        {
            depth += is_start(character) ? 1 : is_end(character) ? -1 : 0;
            deepest = std::max(deepest, depth);
        });
    return deepest;
}

// Each array and object is a value, and has one more than commas unless it is
// empty.
qint64 json_value_count(QByteArray const& text)
{
    qint64 count = 1;
    visit_structure(text, [&](char character)
                    { count += is_start(character) || character == ','; });
    return count;
}

json_object_result parse_json_object(QByteArray const& text,
                                     json_bounds const& bounds)
{
    if (json_nesting(text) > bounds.nesting)
    {
        return {{}, QStringLiteral("The body is nested too deeply.")};
    }
    if (json_value_count(text) > bounds.values)
    {
        return {{},
                QStringLiteral("The body has more than %1 values.")
                    .arg(bounds.values)};
    }
    QJsonParseError error;
    auto const document = QJsonDocument::fromJson(text, &error);
    if (error.error != QJsonParseError::NoError || !document.isObject())
    {
        return {{},
                QStringLiteral("The body is no JSON object: ") +
                    error.errorString()};
    }
    return {document.object(), {}};
}

} // namespace verbenacove
