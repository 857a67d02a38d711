#include "support/wait_until.hpp"
#include "verbenacove/core/epoll_event_dispatcher.hpp"
#include "verbenacove/core/timer_service.hpp"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QThread>

#include <sys/socket.h>
#include <unistd.h>

#include <array>

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
