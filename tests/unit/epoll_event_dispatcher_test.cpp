#include "support/wait_until.hpp"
#include "verbenacove/core/epoll_event_dispatcher.hpp"
#include "verbenacove/core/timer_service.hpp"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QThread>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <vector>

using namespace verbenacove;

namespace
{

/** A thread whose event loop is driven by the dispatcher. */
struct dispatcher_fixture
{
    dispatcher_fixture()
    {
        support::ensure_application();
        thread.setEventDispatcher(
            std::make_unique<epoll_event_dispatcher>().release());
        thread.start();
        context.moveToThread(&thread);
    }

    ~dispatcher_fixture()
    {
        thread.quit();
        thread.wait();
    }

    dispatcher_fixture(dispatcher_fixture const&) = delete;
    dispatcher_fixture& operator=(dispatcher_fixture const&) = delete;

    template <class Function>
    void run(Function function)
    {
        QMetaObject::invokeMethod(&context, function,
                                  Qt::BlockingQueuedConnection);
    }

    QThread thread;
    QObject context;
};

} // namespace

TEST_CASE_FIXTURE(dispatcher_fixture,
                  "epoll dispatcher: calls from another thread: each wakes the "
                  "loop")
{
    int calls = 0;
    for (int i = 0; i < 2000; ++i)
    {
        run([&calls] { ++calls; });
    }
    CHECK(calls == 2000);
}

TEST_CASE_FIXTURE(
    dispatcher_fixture,
    "epoll dispatcher: timers: periodic, single and zero fire, and "
    "one that is cancelled does not")
{
    timer_service timers;
    timer_service::subscription periodic;
    timer_service::subscription single;
    timer_service::subscription zero;
    timer_service::subscription cancelled;
    int periods = 0;
    int zeros = 0;
    int singles = 0;
    int wrong = 0;
    run(
        [&]
        {
            periodic = timers.call_every(milliseconds(10), [&] { ++periods; });
            zero = timers.call_every(milliseconds(0), [&] { ++zeros; });
            cancelled = timers.call_after(milliseconds(20), [&] { ++wrong; });
            single = timers.call_after(milliseconds(10),
                                       [&]
                                       {
                                           ++singles;
                                           cancelled.cancel();
                                       });
        });
    QThread::msleep(300);
    run(
        [&]
        {
            periodic.cancel();
            zero.cancel();
            single.cancel();
        });
    CHECK(periods >= 5);
    CHECK(periods <= 31);
    CHECK(zeros > 10);
    CHECK(singles == 1);
    CHECK(wrong == 0);
}

TEST_CASE_FIXTURE(dispatcher_fixture,
                  "epoll dispatcher: a connection: opened, carries bytes both "
                  "ways, its end is noticed")
{
    std::unique_ptr<QTcpServer> server;
    std::unique_ptr<QTcpSocket> caller;
    std::atomic<int> echoed = 0;
    std::atomic<bool> has_ended = false;
    QByteArray const text(200000, 'x');
    run(
        [&]
        {
            server = std::make_unique<QTcpServer>();
            QObject::connect(
                server.get(), &QTcpServer::newConnection,
                [&]
                {
                    auto* const socket = server->nextPendingConnection();
                    QObject::connect(socket, &QTcpSocket::readyRead, socket,
                                     [socket]
                                     { socket->write(socket->readAll()); });
                    QObject::connect(socket, &QTcpSocket::disconnected, socket,
                                     [&has_ended] { has_ended = true; });
                });
            REQUIRE(server->listen(QHostAddress::LocalHost));
            caller = std::make_unique<QTcpSocket>();
            QObject::connect(
                caller.get(), &QTcpSocket::readyRead,
                [&] { echoed += static_cast<int>(caller->readAll().size()); });
            caller->connectToHost(QHostAddress::LocalHost,
                                  server->serverPort());
            caller->write(text);
        });
    for (int i = 0; i < 200 && echoed < text.size(); ++i)
    {
        QThread::msleep(10);
    }
    CHECK(echoed == text.size());
    run([&] { caller->abort(); });
    for (int i = 0; i < 200 && !has_ended; ++i)
    {
        QThread::msleep(10);
    }
    CHECK(has_ended);
    run(
        [&]
        {
            caller.reset();
            server.reset();
        });
}

TEST_CASE_FIXTURE(
    dispatcher_fixture,
    "epoll dispatcher: a descriptor is closed while it is watched "
    "and its number used again: the new one is watched")
{
    std::array<int, 2> first{};
    std::array<int, 2> second{};
    std::unique_ptr<QSocketNotifier> former;
    std::unique_ptr<QSocketNotifier> current;
    std::atomic<int> activations = 0;
    run(
        [&]
        {
            REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, first.data()) == 0);
            former = std::make_unique<QSocketNotifier>(first[0],
                                                       QSocketNotifier::Read);
            ::close(first[0]);
            REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, second.data()) == 0);
            REQUIRE(second[0] == first[0]);
            former->setEnabled(false);
            former.reset();
            current = std::make_unique<QSocketNotifier>(second[0],
                                                        QSocketNotifier::Read);
            QObject::connect(current.get(), &QSocketNotifier::activated,
                             [&]
                             {
                                 ++activations;
                                 current->setEnabled(false);
                             });
            REQUIRE(::write(second[1], "x", 1) == 1);
        });
    for (int i = 0; i < 100 && activations == 0; ++i)
    {
        QThread::msleep(10);
    }
    CHECK(activations == 1);
    run([&] { current.reset(); });
    for (int const descriptor : {first[1], second[0], second[1]})
    {
        ::close(descriptor);
    }
}

namespace
{

/** Descriptors with something to read, each of which takes a while to
    handle. */
struct busy_fixture : dispatcher_fixture
{
    static constexpr int descriptor_count = 60;
    static constexpr int handling_ms = 2;

    ~busy_fixture()
    {
        run(
            [this]
            {
                tick.cancel();
                notifiers.clear();
            });
        for (auto const& pair : pairs)
        {
            ::close(pair[0]);
            ::close(pair[1]);
        }
    }

    /** Makes all descriptors ready at once.

        @param urgent      the index of an urgent one; the last one is handled
                           last
        @param first_high  the index of the first one of high priority
    */
    void make_ready(int urgent, int first_high = descriptor_count)
    {
        run(
            [this, urgent, first_high]
            {
                for (int index = 0; index < descriptor_count; ++index)
                {
                    auto& pair = pairs.at(static_cast<std::size_t>(index));
                    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0,
                                         pair.data()) == 0);
                    notifiers.push_back(std::make_unique<QSocketNotifier>(
                        pair[0], QSocketNotifier::Read));
                    QObject::connect(notifiers.back().get(),
                                     &QSocketNotifier::activated,
                                     [this, index] { handle(index); });
                    if (index >= first_high)
                    {
                        epoll_event_dispatcher::set_priority(
                            pair[0], epoll_event_dispatcher::priority::high);
                    }
                    if (index == urgent)
                    {
                        epoll_event_dispatcher::set_priority(
                            pair[0], epoll_event_dispatcher::priority::urgent);
                    }
                }
                tick = timers.call_every(milliseconds(handling_ms),
                                         [this] { ++ticks; });
                for (auto const& pair : pairs)
                {
                    REQUIRE(::write(pair[1], "x", 1) == 1);
                }
            });
        for (int i = 0; i < 500 && handled_count < descriptor_count; ++i)
        {
            QThread::msleep(10);
        }
        REQUIRE(handled_count == descriptor_count);
    }

    void handle(int index)
    {
        QThread::msleep(handling_ms);
        notifiers.at(static_cast<std::size_t>(index))->setEnabled(false);
        order.push_back(index);
        ticks_before_last =
            order.size() == descriptor_count ? ticks : ticks_before_last;
        ++handled_count;
    }

    std::array<std::array<int, 2>, descriptor_count> pairs{};
    std::vector<std::unique_ptr<QSocketNotifier>> notifiers;
    timer_service timers;
    timer_service::subscription tick;
    std::vector<int> order;
    int ticks = 0;
    int ticks_before_last = 0;
    std::atomic<int> handled_count = 0;
};

} // namespace

// Replicas elected leaders over and over, as votes and heartbeats waited behind
// the reads of a whole fleet.
TEST_CASE_FIXTURE(busy_fixture,
                  "epoll dispatcher: many descriptors are ready: an urgent one "
                  "goes first")
{
    make_ready(descriptor_count - 1);
    CHECK(order.front() == descriptor_count - 1);
}

TEST_CASE_FIXTURE(busy_fixture,
                  "epoll dispatcher: many descriptors are ready: timers fire "
                  "meanwhile, and each descriptor has its turn")
{
    make_ready(0);
    CHECK(ticks_before_last >= descriptor_count / 6);
    CHECK(std::is_sorted(order.begin(), order.end()));
}

// An order waited for seconds behind the reads of all entries.
TEST_CASE_FIXTURE(busy_fixture,
                  "epoll dispatcher: descriptors of high and normal priority "
                  "are ready: three high ones go before each normal one")
{
    constexpr int high_count = 9;
    make_ready(-1, descriptor_count - high_count);
    auto const is_high = [](int index)
    {
        return index >= descriptor_count - high_count;
    };
    CHECK(std::count_if(order.begin(), order.begin() + 12, is_high) ==
          high_count);
    CHECK(std::count_if(order.begin(), order.begin() + 4, is_high) == 3);
}
