#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "uncontrolled/caller_crowd.hpp"

#include <QCoreApplication>

using namespace verbenacove;
using namespace verbenacove::support;

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: whole bodies that stop short of "
                  "their end: the entry holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    for (auto const& door : entry_doors())
    {
        crowd.add(24, {door, short_of_end("/grades/7", one_mebibyte)});
        crowd.add(24, {door, short_of_end("/nowhere", crowd_body)});
    }
    crowd.send();
    check_entry(watch);
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: bodies in small pieces that stop "
                  "short of their end: the entry holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    for (auto const& door : entry_doors())
    {
        crowd.add(48, {door, short_of_end("/grades/7", crowd_body), 2000});
    }
    crowd.send();
    check_entry(watch);
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: bodies in small chunks without the "
                  "last one: the entry holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    for (auto const& door : entry_doors())
    {
        crowd.add(48, {door, chunks("/grades/7", crowd_body, 16)});
    }
    crowd.send();
    check_entry(watch);
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: bodies far over the limit: the entry "
                  "holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    for (auto const& door : entry_doors())
    {
        crowd.add(12, {door, short_of_end("/grades/7", 16 * one_mebibyte)});
        crowd.add(12, {door, chunks("/grades/7", 4 * one_mebibyte, 1024)});
    }
    crowd.send();
    check_entry(watch);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
