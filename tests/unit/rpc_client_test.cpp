#include "support/wait_until.hpp"
#include "verbenacove/connection/rpc_client.hpp"
#include "verbenacove/core/cbor.hpp"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QtEndian>

using namespace verbenacove;
using verbenacove::support::ensure_application;
using verbenacove::support::wait_until;

namespace
{

constexpr int pieces = 6;
constexpr milliseconds piece_interval{60};

/** Answers the first call in pieces, one each interval. */
struct slow_server_fixture
{
    slow_server_fixture()
    {
        ensure_application();
        REQUIRE(server.listen(QHostAddress::LocalHost));
        QObject::connect(&server, &QTcpServer::newConnection, &context,
                         [this] { accept(); });
    }

    void accept()
    {
        socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, &context,
                         [this] { begin(); });
    }

    void begin()
    {
        // The first call of a client has the id 1.
        QCborMap const reply{{QLatin1String("id"), 1},
                             {QLatin1String("tables"), QByteArray(6000, 'x')}};
        auto const payload = reply.toCborValue().toCbor();
        frame = QByteArray(4, Qt::Uninitialized);
        qToBigEndian(static_cast<quint32>(payload.size()), frame.data());
        frame += payload;
        piece = timers.call_every(piece_interval, [this] { send_piece(); });
    }

    void send_piece()
    {
        auto const size = frame.size() / pieces + 1;
        socket->write(frame.mid(sent, size));
        sent += size;
        if (sent >= frame.size())
        {
            piece.cancel();
        }
    }

    /** Returns whether the whole reply came. */
    bool call(rpc_client::patience limits)
    {
        rpc_client client(*parse_socket_address(
            QStringLiteral("127.0.0.1:%1").arg(server.serverPort())));
        bool has_ended = false;
        bool has_reply = false;
        client.call({}, limits,
                    [&](std::optional<QCborMap> const& reply)
                    {
                        has_ended = true;
                        has_reply = reply.has_value();
                    });
        REQUIRE(wait_until([&] { return has_ended; }));
        return has_reply;
    }

    QTcpServer server;
    QTcpSocket* socket = nullptr;
    QByteArray frame;
    qsizetype sent = 0;
    QObject context;
    timer_service timers;
    timer_service::subscription piece;
};

} // namespace

TEST_CASE_FIXTURE(slow_server_fixture,
                  "rpc client: a long reply arrives in pieces: it is awaited")
{
    CHECK(call({piece_interval * 3, std::chrono::seconds(8)}));
}

TEST_CASE_FIXTURE(slow_server_fixture,
                  "rpc client: a reply takes longer than allowed in all: given "
                  "up while bytes arrive")
{
    CHECK(!call({piece_interval * 2, piece_interval * 2}));
}
