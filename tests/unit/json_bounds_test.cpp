#include "verbenacove/core/json_bounds.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

TEST_CASE("JSON nesting: arrays and objects: the deepest level")
{
    CHECK(json_nesting("7") == 0);
    CHECK(json_nesting("{}") == 1);
    CHECK(json_nesting(R"({"a":[1,[2]],"b":{}})") == 3);
}

TEST_CASE("JSON nesting: brackets in strings: not counted")
{
    CHECK(json_nesting(R"({"a":"[[[{","b":"\\"})") == 1);
    CHECK(json_nesting(R"({"a\"[":"]"})") == 1);
}

TEST_CASE("JSON values: counted without those in strings, never too few")
{
    CHECK(json_value_count("7") == 1);
    CHECK(json_value_count(R"({"a":1,"b":"x,[{"})") == 3);
    CHECK(json_value_count(R"([{"":[0]},{"":[0]}])") == 7);
    CHECK(json_value_count("{}") >= 1);
    CHECK(json_value_count("[,,,[[[") >= 4);
}

// A text of 8 MiB with very many short values took 364 MiB as a document.
TEST_CASE("JSON objects: bounds of nesting and values: no document beyond")
{
    json_bounds const bounds{3, 10};
    CHECK(parse_json_object(R"({"a":[1,[2]]})", bounds).error.isEmpty());
    CHECK(parse_json_object(R"({"a":[1,[2]]})", bounds)
              .object.contains(QStringLiteral("a")));
    CHECK_FALSE(parse_json_object(R"({"a":[[[2]]]})", bounds).error.isEmpty());
    CHECK(parse_json_object("{\"a\":[" + QByteArray("1,").repeated(6) + "1]}",
                            bounds)
              .error.isEmpty());
    auto const many = parse_json_object(
        "{\"a\":[" + QByteArray("1,").repeated(8) + "1]}", bounds);
    CHECK_FALSE(many.error.isEmpty());
    CHECK(many.object.isEmpty());
    for (char const* const text : {"", "[]", "7", "{", "{\"a\":}"})
    {
        CHECK_FALSE(parse_json_object(text, bounds).error.isEmpty());
    }
}
