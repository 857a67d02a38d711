#include "verbenacove/core/json_nesting.hpp"

#include <algorithm>

namespace verbenacove
{

int json_nesting(QByteArray const& text)
{
    int depth = 0;
    int deepest = 0;
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
        bool const is_start = character == '{' || character == '[';
        bool const is_end = character == '}' || character == ']';
        depth += is_start ? 1 : is_end ? -1 : 0;
        deepest = std::max(deepest, depth);
    }
    return deepest;
}

} // namespace verbenacove
