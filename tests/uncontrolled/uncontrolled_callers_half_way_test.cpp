#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "uncontrolled/caller_crowd.hpp"

#include <QCoreApplication>

using namespace verbenacove;
using namespace verbenacove::support;

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: more half requests than descriptors "
                  "at each door: the entry holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    for (auto const& door : entry_doors())
    {
        crowd.add(40, {door, head("/grades/7", "a:b\r\n").chopped(2)});
        crowd.add(40, {door, short_of_end("/grades/7", 4 * one_kibibyte)});
        crowd.add(40, {door, head("/nowhere", "").chopped(2)});
    }
    crowd.send();
    check_entry(watch);
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: more silent connections than "
                  "descriptors: the entry holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    for (auto const& door : entry_doors())
    {
        crowd.add(120, {door, {}});
    }
    crowd.send();
    check_entry(watch);
}

TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: senders of a byte at a time: the "
                  "entry holds and serves")
{
    process_watch watch(entry_process(0));
    caller_crowd crowd;
    for (auto const& door : entry_doors())
    {
        crowd.add(120, {door, short_of_end("/grades/7", one_kibibyte), 1});
    }
    crowd.send();
    check_entry(watch);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
