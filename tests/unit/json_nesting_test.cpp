#include "verbenacove/core/json_nesting.hpp"

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
