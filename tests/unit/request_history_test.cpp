#include "verbenacove/request/request_history.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

// The keys of 512 objects an upstream, each of up to 16 KiB, took entries over
// the memory of their machines.
TEST_CASE("object history: a long key: not kept, and its object is known")
{
    object_history history;
    QByteArray const key(15500, 'k');
    history.record(key);
    CHECK(key.isDetached());
    CHECK(history.classify(key) == recency_class(0));
    CHECK(history.classify(key.chopped(1)) == never_handled);
}

TEST_CASE("object history: requests for other objects: the class rises with "
          "their number")
{
    object_history history;
    history.record("a");
    for (int number = 0; number < 20; ++number)
    {
        history.record("b" + QByteArray::number(number));
    }
    CHECK(history.classify("a") == recency_class(2));
    CHECK(history.classify("b19") == recency_class(0));
    CHECK(history.classify({}) == never_handled);
}
