#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/traffic_entry.hpp"
#include "support/wait_until.hpp"
#include "unit/http_blocking_caller.hpp"

#include <QCoreApplication>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr milliseconds stall_time{100};
/** Pause between two looks at the sockets. */
constexpr milliseconds round_pause{30};
constexpr int caller_count = 20;
constexpr int rounds = 5;

/** An entry that is behind with its work, as when its VM has too little
    processor time. */
struct stalled_entry_fixture
{
    stalled_entry_fixture()
    {
        entry.update({upstream.address()}, {});
        REQUIRE(entry.call("before").is(200));
        entry.slow_down(round_pause);
    }

    static QByteArray request(QByteArray const& id, QByteArray const& method)
    {
        return method + (method == "POST" ? " /bales/7" : " /grades/7") +
               " HTTP/1.1\r\nHost: g.example\r\nVerbenacove-Request-Id: " + id +
               "\r\nVerbenacove-Deadline-Ms: 2500\r\n"
               "Content-Length: 0\r\n\r\n";
    }

    /** Lets callers send a request each and leave, before the entry reads any
        of them. */
    void send_and_leave(QByteArray const& method)
    {
        entry.stall(stall_time);
        for (int number = 0; number < caller_count; ++number)
        {
            blocking_caller const caller(entry.address().port);
            REQUIRE(caller.is_connected());
            REQUIRE(caller.send(
                request("left-" + QByteArray::number(number), method)));
        }
    }

    platform_upstream upstream{QStringLiteral("i-1")};
    traffic_entry entry{"entry"};
};

} // namespace

// Entries read the end of a connection after the request before it, and sent on
// what was no longer waited for.
TEST_CASE_FIXTURE(stalled_entry_fixture,
                  "entry that is behind: callers have left before their "
                  "requests are read: no upstream gets one")
{
    for (int round = 0; round < rounds; ++round)
    {
        auto const* method = round % 2 == 0 ? "GET" : "POST";
        auto const runs = upstream.all_runs();
        send_and_leave(method);
        auto const after = "after-" + QByteArray::number(round);
        CHECK(wait_until([&] { return entry.call(after).is(200); }));
        CHECK(upstream.all_runs() == runs + 1);
    }
}

TEST_CASE_FIXTURE(stalled_entry_fixture,
                  "entry that is behind: the caller waits: it is served")
{
    entry.stall(stall_time);
    CHECK(entry.call("patient").is(200));
    CHECK(upstream.runs("patient") == 1);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
