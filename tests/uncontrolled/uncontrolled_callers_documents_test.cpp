#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "uncontrolled/caller_crowd.hpp"

#include <QCoreApplication>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

/** The largest body that the replica's doors take. */
constexpr qint64 largest_body = 8 * one_mebibyte;

/** Returns a JSON object of the largest size whose list holds a value very
    often. */
QByteArray very_many(QByteArray const& value)
{
    QByteArray const begin = "{\"Later\":[";
    QByteArray const end = "0]}";
    auto const count =
        (largest_body - begin.size() - end.size()) / (value.size() + 1);
    return begin + (value + ',').repeated(count) + end;
}

} // namespace

// Documents of very many short values took replicas over the memory of their
// machines.
TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: documents of very many values at each "
                  "call of control: the replica holds and answers")
{
    process_watch watch(replica_process(0));
    struct call
    {
        char const* method;
        char const* path;
    };
    for (auto const& each :
         {call{"PUT", "/api/instances/x-1"}, call{"PUT", "/api/config"},
          call{"PATCH", "/api/config"}})
    {
        for (QByteArray const value : {"{\"\":[0]}", "[[]]", "0"})
        {
            CAPTURE(std::string(each.path));
            auto const answer = call_http({control(0),
                                           each.method,
                                           each.path,
                                           {"If-Match: r3"},
                                           very_many(value),
                                           milliseconds(10000)});
            CHECK_FALSE(answer.is(200));
        }
    }
    check_replica(watch);
    CHECK(is_answered([&] { return upstream.beat(control(0)); }));
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
