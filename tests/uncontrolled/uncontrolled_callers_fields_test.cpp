#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "uncontrolled/caller_crowd.hpp"

#include <QCoreApplication>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int field_count = 56;

QByteArray short_fields()
{
    QByteArray result;
    for (int i = 0; i < field_count; ++i)
    {
        result += "a:b\r\n";
    }
    return result;
}

QByteArray ahead(QByteArray const& request, int count)
{
    QByteArray result;
    for (int i = 0; i < count; ++i)
    {
        result += request;
    }
    return result;
}

} // namespace

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: very many short fields: the entry "
                  "holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    auto const whole =
        head("/grades/7", short_fields() + "Content-Length: 10\r\n");
    for (auto const& door : entry_doors())
    {
        crowd.add(60, {door, whole});
        crowd.add(60, {door, head("/nowhere", short_fields()).chopped(2)});
    }
    crowd.send();
    check_entry(watch);
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: requests of many short fields sent "
                  "ahead to a slow upstream: the entry holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    upstream.work_ms = 300;
    auto const request =
        head("/grades/7", short_fields() + "Content-Length: 0\r\n");
    crowd.add(100, {callers(0), ahead(request, 64)});
    crowd.send();
    upstream.work_ms = 0;
    check_entry(watch);
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: requests sent ahead whose large "
                  "answers nobody reads: the entry holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    // The upstream's answer repeats the body.
    auto const request =
        head("/grades/7",
             "Content-Length: " + QByteArray::number(crowd_body) + "\r\n") +
        QByteArray(crowd_body, 'b');
    crowd.add(60, {callers(0), ahead(request, 48)});
    crowd.send();
    check_entry(watch);
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: requests sent ahead without reading "
                  "at each door: the entry holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    for (auto const& door : entry_doors())
    {
        for (auto const* path : {"/nowhere", "/api/ready", "/metrics"})
        {
            auto const request = head(path, "Content-Length: 0\r\n");
            crowd.add(30, {door, ahead(request, 1000)});
        }
    }
    crowd.send();
    check_entry(watch);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
