#include "http_blocking_caller.hpp"
#include "http_test_tools.hpp"

#include "verbenacove/core/epoll_event_dispatcher.hpp"

#include <doctest/doctest.h>

#include <QThread>

#include <atomic>
#include <memory>
#include <thread>

using namespace verbenacove;

namespace
{

constexpr milliseconds slow_handling{60};
/** Longer than the time after which an idle connection leaves the event
    loop. */
constexpr milliseconds idle_time{600};

/** A server on an event loop of its own, which each request keeps busy for
    longer than the interval of the server's checks. */
class busy_server
{
public:
    busy_server()
    {
        ensure_application();
        thread_.setEventDispatcher(
            std::make_unique<epoll_event_dispatcher>().release());
        context_.moveToThread(&thread_);
        thread_.start();
        run(
            [this]
            {
                server_ = std::make_unique<http_server>(
                    http_limits{},
                    [this](std::shared_ptr<http_exchange> const& exchange)
                    {
                        std::this_thread::sleep_for(slow_handling);
                        ++handled_;
                        exchange->respond({});
                    });
                REQUIRE(server_->listen(local_address(0)));
            });
    }

    ~busy_server()
    {
        run([this] { server_.reset(); });
        thread_.quit();
        thread_.wait();
    }

    busy_server(busy_server const&) = delete;
    busy_server& operator=(busy_server const&) = delete;

    quint16 port() const { return server_->port(); }
    int handled() const { return handled_; }

    qint64 woken_connections()
    {
        qint64 result = 0;
        run([&] { result = server_->woken_connections(); });
        return result;
    }

    /** Keeps the event loop from doing anything for a while. */
    void block(milliseconds span)
    {
        QMetaObject::invokeMethod(
            &context_, [span] { std::this_thread::sleep_for(span); },
            Qt::QueuedConnection);
    }

private:
    template <class Function>
    void run(Function function)
    {
        QMetaObject::invokeMethod(&context_, function,
                                  Qt::BlockingQueuedConnection);
    }

    QThread thread_;
    QObject context_;
    std::unique_ptr<http_server> server_;
    std::atomic<int> handled_ = 0;
};

struct parking_fixture
{
    void send_on_all()
    {
        for (auto const& caller : callers)
        {
            REQUIRE(caller->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
        }
    }

    bool are_handled(int count)
    {
        return wait_for([&] { return server.handled() == count; });
    }

    void connect(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            callers.push_back(std::make_unique<blocking_caller>(server.port()));
            REQUIRE(callers.back()->is_connected());
        }
    }

    busy_server server;
    std::vector<std::unique_ptr<blocking_caller>> callers;
};

} // namespace

// Load pattern: idle connections get requests at a moment when the event loop
// is behind. Parked again before their request is read, they keep the loop busy
// and are never served.
TEST_CASE_FIXTURE(parking_fixture,
                  "http server: idle connections wake while it is busy: each "
                  "wakes once")
{
    constexpr int count = 8;
    connect(count);
    std::this_thread::sleep_for(idle_time);
    send_on_all();
    CHECK(are_handled(count));
    CHECK(server.woken_connections() == count);
}

TEST_CASE_FIXTURE(parking_fixture,
                  "http server: a request comes on a new connection while it "
                  "is busy: read without parking the connection")
{
    connect(4);
    std::this_thread::sleep_for(milliseconds(100));
    server.block(idle_time);
    send_on_all();
    CHECK(are_handled(4));
    CHECK(server.woken_connections() == 0);
}
