#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "uncontrolled/caller_crowd.hpp"

#include <QCoreApplication>

#include <deque>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int upstream_count = 5;
/** More objects than are remembered for all upstreams. */
constexpr int object_count = 3000;
/** Below the 16 KiB of all headers of a request. */
constexpr int key_bytes = 15500;

} // namespace

// An entry kept the affinity keys of 512 objects an upstream as they were sent.
TEST_CASE_FIXTURE(uncontrolled_fixture,
                  "uncontrolled callers: an affinity key of 15 KiB for each "
                  "request: the entry holds and answers")
{
    std::deque<platform_upstream> others;
    for (int number = 1; number < upstream_count; ++number)
    {
        auto& added = others.emplace_back(QStringLiteral("i-%1").arg(number));
        REQUIRE(added.beat(control(0)).is(200));
    }
    process_watch watch(entry_process(0));
    for (int number = 0; number < object_count; ++number)
    {
        auto const id = QByteArray::number(number);
        call(0, "key-" + id, "GET", "/grades/7",
             id + QByteArray(key_bytes, 'k'));
        if (number % 100 == 0)
        {
            upstream.beat(control(0));
            for (auto& each : others)
            {
                each.beat(control(0));
            }
        }
    }
    check_entry(watch);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
