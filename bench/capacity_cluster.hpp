#ifndef VERBENACOVE_BENCH_CAPACITY_CLUSTER_HPP
#define VERBENACOVE_BENCH_CAPACITY_CLUSTER_HPP

#include "capacity_measure.hpp"

#include "support/cluster_fixture.hpp"
#include "support/wait_until.hpp"

#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/process/upstream_directory.hpp"

#include <QCborArray>
#include <QCborMap>
#include <QDateTime>
#include <QEventLoop>
#include <QTimer>
#include <QUdpSocket>

#include <cstdlib>
#include <memory>
#include <vector>

/** Real processes and stand-ins for the capacity benchmarks. */
namespace verbenacove::bench
{

/** Of the IP and UDP headers, in bytes. */
constexpr int packet_header_bytes = 28;

/** Handles events for a span of time. */
inline void run_for(milliseconds span)
{
    QEventLoop loop;
    QTimer::singleShot(span, &loop, &QEventLoop::quit);
    loop.exec();
}

/** Ends the program when a step of its set-up fails. */
inline void require(bool is_done, char const* step)
{
    if (!is_done)
    {
        std::printf("Failed: %s\n", step);
        std::exit(1);
    }
}

/** A UDP socket that counts what goes through it. */
class counting_socket
{
public:
    counting_socket()
    {
        require(socket_.bind(QHostAddress::LocalHost, 0), "a socket");
        QObject::connect(&socket_, &QUdpSocket::readyRead, [this] { drain(); });
    }

    socket_address address() const
    {
        return {QHostAddress(QHostAddress::LocalHost), socket_.localPort()};
    }

    void send(QByteArray const& payload, socket_address const& target)
    {
        socket_.writeDatagram(payload, target.host, target.port);
        count(payload.size());
    }

    qint64 bytes = 0;
    qint64 datagrams = 0;

private:
    void drain()
    {
        while (socket_.hasPendingDatagrams())
        {
            count(socket_.pendingDatagramSize());
            char rest = 0;
            socket_.readDatagram(&rest, 1);
        }
    }

    void count(qint64 payload_bytes)
    {
        bytes += payload_bytes + packet_header_bytes;
        ++datagrams;
    }

    QUdpSocket socket_;
};

/** Another entry, as far as peer_mesh's datagrams go; also the upstreams that
    announce to it. */
class fake_entry
{
public:
    static constexpr milliseconds round_interval{500};

    fake_entry(int number, int upstreams, socket_address target,
               std::shared_ptr<counting_socket> socket)
        : number_(number)
        , upstreams_(upstreams)
        , target_(std::move(target))
        , socket_(std::move(socket))
    {
    }

    /** Sends a round after a delay, and then again and again. */
    void start(timer_service& timers, milliseconds offset)
    {
        first_ = timers.call_after(offset,
                                   [this, &timers]
                                   {
                                       send();
                                       round_ = timers.call_every(
                                           round_interval, [this] { send(); });
                                   });
    }

private:
    static constexpr int upstreams_per_datagram = 7;

    void send()
    {
        int next = 0;
        do
        {
            QCborArray news;
            for (; next < upstreams_ && news.size() < upstreams_per_datagram;
                 ++next)
            {
                news.append(to_cbor(upstream(next), clock_.now()));
            }
            send(news);
        } while (next < upstreams_);
    }

    void send(QCborArray const& news)
    {
        auto const own = socket_->address().text();
        QCborMap const message{
            {QLatin1String("e"), QStringLiteral("fake-%1").arg(number_)},
            {QLatin1String("i"), started_},
            {QLatin1String("n"), ++sequence_},
            {QLatin1String("a"), own},
            {QLatin1String("p"), own},
            {QLatin1String("r"), QStringLiteral("wcape")},
            {QLatin1String("z"), QStringLiteral("wcape-a")},
            {QLatin1String("on"), true},
            {QLatin1String("h"), 1000},
            {QLatin1String("v"), 1},
            {QLatin1String("more"), QCborMap()},
            {QLatin1String("ups"), news}};
        socket_->send(message.toCborValue().toCbor(), target_);
    }

    upstream_view upstream(int index) const
    {
        upstream_view view;
        view.id = upstream_id(
            QStringLiteral("gradebook-%1-%2").arg(number_).arg(index));
        view.service = service_name(QStringLiteral("gradebook"));
        view.address = target_;
        view.region = region_name(QStringLiteral("wcape"));
        view.zone = zone_name(QStringLiteral("wcape-a"));
        view.slots = slot_count(6);
        view.connections = 400;
        view.load = 0.5;
        view.state = upstream_state::serving;
        view.incarnation = incarnation(started_);
        view.reported_at = clock_.now();
        return view;
    }

    steady_clock_source clock_;
    int number_;
    int upstreams_;
    socket_address target_;
    std::shared_ptr<counting_socket> socket_;
    qint64 started_ = QDateTime::currentMSecsSinceEpoch();
    qint64 sequence_ = 0;
    timer_service::subscription first_;
    timer_service::subscription round_;
};

/** Real control replicas, at most one real entry, and upstream stand-ins that
    announce to it; with one service. */
class capacity_cluster : public support::cluster_fixture
{
public:
    capacity_cluster(QString const& binaries, int replicas, bool has_entry,
                     int upstreams = 0)
        : cluster_fixture(binaries)
    {
        support::place const where{QStringLiteral("wcape"),
                                   QStringLiteral("wcape-a")};
        for (int i = 1; i <= replicas; ++i)
        {
            add_control(QStringLiteral("control-%1").arg(i), where);
        }
        if (has_entry)
        {
            add_entry(QStringLiteral("entry-1"), where);
        }
        for (int i = 1; i <= upstreams; ++i)
        {
            add_upstream(QStringLiteral("upstream-%1").arg(i),
                         QStringLiteral("gradebook"), where);
        }
        require(start_all(), "to start the processes");
        for (int i = 1; i <= replicas; ++i)
        {
            require(wait_ready(QStringLiteral("control-%1").arg(i)),
                    "a control replica's readiness");
        }
        auto const created =
            run_client({QStringLiteral("create"), QStringLiteral("service"),
                        QStringLiteral("gradebook"), QStringLiteral("--file"),
                        QStringLiteral("-")},
                       R"({"name":"gradebook","class":"interactive",)"
                       R"("timeout_ms":5000,"max_body_bytes":65536})");
        require(created.exit_code == 0, "to create a service");
        require(!has_entry || wait_ready(QStringLiteral("entry-1")),
                "the entry's readiness");
    }
};

} // namespace verbenacove::bench

#endif
