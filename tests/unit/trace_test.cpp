#include "verbenacove/core/trace.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

TEST_CASE("traceparent: a well-formed one: read and written alike")
{
    QByteArray const text =
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    auto const context = parse_traceparent(text);
    REQUIRE(context);
    CHECK(context->is_sampled);
    CHECK(context->text() == text);
}

TEST_CASE("traceparent: broken ones: not read")
{
    for (char const* text :
         {"", "00", "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
          "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
          "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
          "00-4bf92f3577b34da6a3ce929d0e0e473G-00f067aa0ba902b7-01",
          "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_traceparent(text));
    }
}

TEST_CASE("span: a received trace: the child keeps its id and its sampling")
{
    auto const received = parse_traceparent(
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00");
    auto const span = trace_span::begin(QStringLiteral("request"), received, 1);
    CHECK(span.context().trace_id == received->trace_id);
    CHECK(span.context().span_id != received->span_id);
    CHECK_FALSE(span.context().is_sampled);
    auto const fresh =
        trace_span::begin(QStringLiteral("request"), std::nullopt, 1);
    CHECK(fresh.context().is_sampled);
    CHECK(parse_traceparent(fresh.context().text()));
}
