#ifndef VERBENACOVE_HTTP_TEST_TOOLS_HPP
#define VERBENACOVE_HTTP_TEST_TOOLS_HPP

#include "verbenacove/connection/http_server.hpp"
#include "verbenacove/connection/upstream_client.hpp"

#include <QByteArray>
#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <memory>
#include <vector>

namespace verbenacove
{

/** Gives the test program its event loop. */
inline void ensure_application()
{
    static int count = 1;
    static char name[] = "unit_tests";
    static char* arguments[] = {name, nullptr};
    if (QCoreApplication::instance() == nullptr)
    {
        static QCoreApplication const application(count, arguments);
    }
}

/** The base of fixtures whose members need the event loop. */
struct application_fixture
{
    application_fixture() { ensure_application(); }
};

/** Runs the event loop until the condition holds; false after the time. */
inline bool wait_for(std::function<bool()> const& condition,
                     milliseconds limit = milliseconds(10000))
{
    ensure_application();
    QElapsedTimer clock;
    clock.start();
    while (!condition())
    {
        if (clock.elapsed() > limit.count())
        {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        // Objects that delete themselves later are bound to a running loop.
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

/** Runs the event loop for a while, to see that nothing happens. */
inline void run_for(milliseconds span)
{
    wait_for([] { return false; }, span);
}

inline socket_address local_address(quint16 port)
{
    return {QHostAddress(QHostAddress::LocalHost), port};
}

/** A caller that writes raw bytes and keeps what comes back. */
class raw_caller
{
public:
    explicit raw_caller(quint16 port)
    {
        start_reading();
        socket.connectToHost(QHostAddress::LocalHost, port);
    }

    void start_reading()
    {
        socket.setReadBufferSize(0);
        QObject::connect(&socket, &QTcpSocket::readyRead, &socket,
                         [this] { received += socket.readAll(); });
        if (socket.isReadable())
        {
            received += socket.readAll();
        }
    }

    void stop_reading()
    {
        socket.setReadBufferSize(1);
        socket.disconnect();
    }

    void send(QByteArray const& bytes) { socket.write(bytes); }

    bool waits_for(QByteArray const& text)
    {
        return wait_for([&] { return received.contains(text); });
    }

    bool waits_for_close()
    {
        return wait_for(
            [this]
            { return socket.state() == QAbstractSocket::UnconnectedState; });
    }

    QTcpSocket socket;
    QByteArray received;
};

/** An upstream that answers, or does not, as each test says. */
class raw_upstream
{
public:
    using script = std::function<void(QTcpSocket&, QByteArray const& received)>;

    /** Calls the script with each request; `received` ends with its body. */
    explicit raw_upstream(script const& run)
    {
        server.listen(QHostAddress::LocalHost);
        QObject::connect(&server, &QTcpServer::newConnection, &server,
                         [this, run]
                         {
                             ++connections;
                             take(server.nextPendingConnection(), run);
                         });
    }

    socket_address address() const
    {
        return local_address(server.serverPort());
    }

    QTcpServer server;
    int connections = 0;
    int requests = 0;
    QByteArray last_request;

private:
    void take(QTcpSocket* socket, script const& run)
    {
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, socket, run, bytes = QByteArray()]() mutable
                         {
                             bytes += socket->readAll();
                             if (!is_whole(bytes))
                             {
                                 return;
                             }
                             ++requests;
                             last_request = std::exchange(bytes, {});
                             run(*socket, last_request);
                         });
    }

    static bool is_whole(QByteArray const& bytes)
    {
        auto const end = bytes.indexOf("\r\n\r\n");
        if (end < 0)
        {
            return false;
        }
        auto const field = bytes.indexOf("Content-Length: ");
        auto const length =
            field < 0
                ? 0
                : bytes.mid(field + 16, bytes.indexOf('\r', field) - field - 16)
                      .toInt();
        return bytes.size() >= end + 4 + length;
    }
};

/** Starts an attempt and waits for its result. */
inline attempt_result run_attempt(upstream_client& client,
                                  attempt_request request)
{
    std::vector<attempt_result> results;
    client.start(std::move(request), [&results](attempt_result result)
                 { results.push_back(std::move(result)); });
    wait_for([&results] { return !results.empty(); });
    return results.empty() ? attempt_result() : results.front();
}

} // namespace verbenacove

#endif
