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

} // namespace

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: largest bodies that stop short at "
                  "control and look-ups: the replica holds and answers")
{
    process_watch watch(replica_process(0));
    caller_crowd crowd;
    for (auto const& door : {control(0), directory(0)})
    {
        crowd.add(12, {door, short_of_end("/api/config", largest_body)});
    }
    crowd.send();
    check_replica(watch);
    CHECK(is_answered([&] { return upstream.beat(control(0)); }));
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: bodies in small chunks at control "
                  "and look-ups: the replica holds and answers")
{
    process_watch watch(replica_process(0));
    caller_crowd crowd;
    for (auto const& door : {control(0), directory(0)})
    {
        crowd.add(24, {door, chunks("/api/instances/x", 4 * one_mebibyte, 64)});
    }
    crowd.send();
    check_replica(watch);
    CHECK(is_answered([&] { return upstream.beat(control(0)); }));
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: more half requests than descriptors "
                  "at control and look-ups: the replica holds and answers")
{
    process_watch watch(replica_process(0));
    caller_crowd crowd;
    for (auto const& door : {control(0), directory(0)})
    {
        crowd.add(90, {door, head("/api/config", "a:b\r\n").chopped(2)});
        crowd.add(90, {door, {}});
    }
    crowd.send();
    check_replica(watch);
    CHECK(is_answered([&] { return upstream.beat(control(0)); }));
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: requests sent ahead without reading "
                  "at control and look-ups: the replica holds and answers")
{
    process_watch watch(replica_process(0));
    caller_crowd crowd;
    for (auto const& door : {control(0), directory(0)})
    {
        for (auto const* path : {"/api/config", "/nowhere"})
        {
            QByteArray const request =
                QByteArray("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
            crowd.add(40, {door, request.repeated(1000)});
        }
    }
    crowd.send();
    check_replica(watch);
    CHECK(is_answered([&] { return upstream.beat(control(0)); }));
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
