#include "http_blocking_caller.hpp"
#include "http_test_tools.hpp"

#include <doctest/doctest.h>

#include <QFile>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace verbenacove;

namespace
{

constexpr qint64 mebibyte = qint64{1024} * 1024;

// The sanitizers keep freed memory, so that growth says nothing under them.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool can_measure = false;
#else
constexpr bool can_measure = true;
#endif

/** Returns the memory that this process has resident, in bytes. */
qint64 resident_bytes()
{
    QFile file(QStringLiteral("/proc/self/statm"));
    REQUIRE(file.open(QIODevice::ReadOnly));
    return file.readAll().split(' ').at(1).toLongLong() * 4096;
}

struct memory_fixture
{
    explicit memory_fixture(http_limits limits = {})
        : server((ensure_application(), limits),
                 [this](std::shared_ptr<http_exchange> const& exchange)
                 {
                     ++handled;
                     exchange->respond({});
                 })
    {
        REQUIRE(server.listen(local_address(0)));
        start_bytes = resident_bytes();
    }

    void note_memory()
    {
        highest_growth =
            std::max(highest_growth, resident_bytes() - start_bytes);
    }

    int handled = 0;
    qint64 start_bytes = 0;
    qint64 highest_growth = 0;
    http_server server;
};

} // namespace

TEST_CASE_FIXTURE(memory_fixture, "http server: a POST of 200 MB by a caller "
                                  "that reads nothing: memory stays bounded")
{
    for (auto const& framing :
         {QByteArray("Content-Length: 209715200\r\n\r\n"),
          QByteArray("Transfer-Encoding: chunked\r\n\r\nC800000\r\n")})
    {
        blocking_caller caller(server.port());
        std::atomic<bool> is_done = false;
        std::thread sender(
            [&]
            {
                caller.send("POST /x HTTP/1.1\r\nHost: a\r\n" + framing);
                QByteArray const block(mebibyte, 'a');
                for (int i = 0; i < 200 && caller.send(block); ++i)
                {
                }
                is_done = true;
            });
        CHECK(wait_for(
            [&]
            {
                note_memory();
                return is_done.load();
            }));
        sender.join();
        CHECK(caller.receive(MSG_DONTWAIT).startsWith("HTTP/1.1 413 "));
    }
    CHECK(handled == 0);
    MESSAGE("memory grew by at most ", highest_growth / 1024, " KiB");
    if (can_measure)
    {
        CHECK(highest_growth < 16 * mebibyte);
    }
}

TEST_CASE_FIXTURE(memory_fixture, "http server: 3,000 idle connections, each "
                                  "used once: memory stays bounded")
{
    constexpr int count = 3000;
    std::vector<std::unique_ptr<blocking_caller>> callers;
    for (int i = 1; i <= count; ++i)
    {
        callers.push_back(std::make_unique<blocking_caller>(server.port()));
        callers.back()->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        REQUIRE(wait_for([&] { return handled == i; }));
    }
    note_memory();
    MESSAGE("memory grew by ", highest_growth / count, " bytes a connection");
    if (can_measure)
    {
        CHECK(highest_growth < 48 * mebibyte);
    }
}

TEST_CASE_FIXTURE(memory_fixture, "http server: a refused caller that goes on "
                                  "sending: sends it all, then reads why")
{
    blocking_caller const caller(server.port());
    bool is_all_sent = false;
    std::atomic<bool> is_done = false;
    std::thread sender(
        [&]
        {
            caller.send("POST /x HTTP/1.1\r\nHost: a\r\n"
                        "Content-Length: 8388608\r\n\r\n");
            is_all_sent = caller.send(QByteArray(8 * mebibyte, 'a'));
            is_done = true;
        });
    CHECK(wait_for([&] { return is_done.load(); }));
    sender.join();
    CHECK(is_all_sent);
    CHECK(caller.receive(MSG_DONTWAIT).startsWith("HTTP/1.1 413 "));
    CHECK(handled == 0);
}

TEST_CASE_FIXTURE(memory_fixture, "http server: no file descriptors left: it "
                                  "accepts again once there are some")
{
    rlimit saved{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &saved) == 0);
    blocking_caller const caller(server.port());
    // The caller has its descriptor; the server is to get none.
    auto const lowest_free = ::dup(0);
    ::close(lowest_free);
    rlimit tight = saved;
    tight.rlim_cur = static_cast<rlim_t>(lowest_free);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &tight) == 0);
    caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    run_for(milliseconds(200));
    CHECK(handled == 0);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &saved) == 0);
    CHECK(wait_for([&] { return handled == 1; }));
}
