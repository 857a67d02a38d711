#include "support/child_process.hpp"
#include "support/http_caller.hpp"
#include "support/wait_until.hpp"

#include "verbenacove/connection/http_server.hpp"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QDateTime>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QMutex>
#include <QTemporaryDir>
#include <QThread>

#include <atomic>
#include <map>
#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

socket_address local(quint16 port)
{
    return {QHostAddress(QHostAddress::LocalHost), port};
}

http_answer get(socket_address const& address, QByteArray const& target)
{
    http_call call;
    call.address = address;
    call.target = target;
    return call_http(call);
}

/** An upstream that speaks the platform's protocol, on a thread of its own.
    It counts how often each request ran. */
class platform_upstream
{
public:
    explicit platform_upstream(QString id)
        : id_(std::move(id))
        , port_(free_port())
        , born_(QDateTime::currentMSecsSinceEpoch())
    {
        thread_.start();
        context_.moveToThread(&thread_);
        QMetaObject::invokeMethod(
            &context_,
            [this]
            {
                server_ = std::make_unique<http_server>(
                    http_limits{},
                    [this](std::shared_ptr<http_exchange> const& exchange)
                    { answer(exchange); });
                server_->listen(local(port_));
            },
            Qt::BlockingQueuedConnection);
    }

    ~platform_upstream()
    {
        QMetaObject::invokeMethod(
            &context_, [this] { server_.reset(); },
            Qt::BlockingQueuedConnection);
        thread_.quit();
        thread_.wait();
    }

    platform_upstream(platform_upstream const&) = delete;
    platform_upstream& operator=(platform_upstream const&) = delete;

    http_answer beat(socket_address const& replica, char const* state = "ready")
    {
        QJsonObject const body{
            {QStringLiteral("Service"), QStringLiteral("grades")},
            {QStringLiteral("Address"), local(port_).text()},
            {QStringLiteral("Zone"), QStringLiteral("wcape-a")},
            {QStringLiteral("Version"), QStringLiteral("v1")},
            {QStringLiteral("Slots"), 4},
            {QStringLiteral("State"), QLatin1String(state)},
            {QStringLiteral("ColdRemaining"), QStringLiteral("0ms")},
            {QStringLiteral("Sequence"), ++sequence_},
            {QStringLiteral("born"), born_}};
        return call_http({replica,
                          "PUT",
                          "/api/instances/" + id_.toUtf8(),
                          {"Content-Type: application/json"},
                          QJsonDocument(body).toJson(),
                          milliseconds(1500)});
    }

    int runs(QByteArray const& request) const
    {
        QMutexLocker const lock(&mutex_);
        auto const found = runs_.find(request);
        return found == runs_.end() ? 0 : found->second;
    }

    int all_runs() const
    {
        QMutexLocker const lock(&mutex_);
        int result = 0;
        for (auto const& [request, count] : runs_)
        {
            result += count;
        }
        return result;
    }

    /** Makes the next answers come without ending, and the connection break. */
    std::atomic<bool> loses_answers{false};

private:
    void answer(std::shared_ptr<http_exchange> const& exchange)
    {
        auto const& request = exchange->request();
        auto const id = request.header("Verbenacove-Request-Id");
        if (request.header("Verbenacove-Target-Instance") != id_.toUtf8())
        {
            exchange->respond(
                {421, {{"Verbenacove-Instance-Id", id_.toUtf8()}}, {}});
            return;
        }
        {
            QMutexLocker const lock(&mutex_);
            ++runs_[id];
        }
        if (loses_answers)
        {
            // The wrong id makes it another request's answer.
            exchange->respond({200, {{"Verbenacove-Request-Id", "x"}}, "?"});
            return;
        }
        exchange->respond({200,
                           {{"Verbenacove-Request-Id", id},
                            {"Verbenacove-Response-Signature", "s-" + id},
                            {"Verbenacove-Backend-Load", "1,0,4"}},
                           "graded " + request.path + ' ' + request.body});
    }

    QString id_;
    quint16 port_;
    qint64 born_;
    int sequence_ = 0;
    mutable QMutex mutex_;
    std::map<QByteArray, int> runs_;
    QThread thread_;
    QObject context_;
    std::unique_ptr<http_server> server_;
};

/** Three replicas that find each other, two entries, and upstreams that send
    heartbeats from another thread. */
class platform_fixture
{
public:
    platform_fixture()
    {
        for (int i = 0; i < 3; ++i)
        {
            replicas_.push_back({free_port(), free_port(), free_port()});
        }
        for (int i = 0; i < 3; ++i)
        {
            start_replica(i, true);
        }
        for (int i = 0; i < 2; ++i)
        {
            entries_.push_back({free_port(), free_port()});
            start_entry(i);
        }
        beats_ = std::jthread([this](std::stop_token const& stop)
                              { send_heartbeats(stop); });
    }

    ~platform_fixture()
    {
        beats_.request_stop();
        beats_.join();
    }

    platform_fixture(platform_fixture const&) = delete;
    platform_fixture& operator=(platform_fixture const&) = delete;

    void start_replica(int number, bool is_first)
    {
        auto const& ports = replicas_[static_cast<std::size_t>(number)];
        auto const text =
            QStringLiteral("[replica]\nregion = wcape\nzone = wcape-a\n"
                           "data_folder = %1/replica-%2\nlisten = %3\n"
                           "control = %4\ndirectory = %5\nfirst_start = %6\n"
                           "[discovery]\nreplicas = %7\n")
                .arg(folder_.path())
                .arg(number)
                .arg(local(ports.internal).text(), local(ports.control).text(),
                     local(ports.directory).text(),
                     is_first ? QStringLiteral("true")
                              : QStringLiteral("false"),
                     seeds());
        start(replica_processes_[number], QStringLiteral("replica"), number,
              text);
    }

    void wipe_replica(int number)
    {
        replica_processes_[number].kill_now();
        QDir(folder_.path() + QStringLiteral("/replica-%1").arg(number))
            .removeRecursively();
        start_replica(number, false);
    }

    void start_entry(int number)
    {
        auto const& ports = entries_[static_cast<std::size_t>(number)];
        auto const text =
            QStringLiteral("[entry]\nname = entry-%1\nregion = wcape\n"
                           "zone = wcape-a\ncallers = %2\nreadiness = %3\n"
                           "[discovery]\nreplicas = %4\n"
                           "[zones]\nwcape-a = wcape\n")
                .arg(number)
                .arg(local(ports.callers).text(), local(ports.readiness).text(),
                     seeds());
        start(entry_processes_[number], QStringLiteral("entry"), number, text);
    }

    QString seeds() const
    {
        QStringList result;
        for (auto const& ports : replicas_)
        {
            result += local(ports.internal).text();
        }
        return result.join(QLatin1Char(','));
    }

    socket_address control(int number) const
    {
        return local(replicas_[static_cast<std::size_t>(number)].control);
    }

    http_answer order(int replica, char const* method, QByteArray const& body,
                      QByteArray const& base)
    {
        return call_http({control(replica),
                          method,
                          "/api/config",
                          {"If-Match: " + base},
                          body});
    }

    static QByteArray configuration(int version, char const* kind)
    {
        return R"({"Version":"r)" + QByteArray::number(version) +
               R"(","Routes":{"r-1":{"Hostname":"g.example",)"
               R"("PathPrefix":"/grades/","Kind":")" +
               kind +
               R"(","Timeout":"2000ms","TargetLatency":"500ms",)"
               R"("Priority":1,"Service":"grades","MaxAttempts":2,)"
               R"("SessionAffinity":true,"HomeRegions":[]}},)"
               R"("Services":{"grades":{"HealthPath":"/health",)"
               R"("MaxConnections":390,"ColdStart":"3s","WarmupPerS":5}},)"
               R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,)"
               R"("HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";
    }

    void put_until_accepted(int version, char const* kind,
                            QByteArray const& base)
    {
        REQUIRE(wait_until(
            [&]
            {
                return order(version % 3, "PUT", configuration(version, kind),
                             base)
                    .is(200);
            }));
    }

    http_answer call(int entry, QByteArray const& id,
                     QByteArray const& method = "GET")
    {
        return call_http(
            {local(entries_[static_cast<std::size_t>(entry)].callers),
             method,
             "/grades/7",
             {"Host: g.example", "Verbenacove-Request-Id: " + id,
              "Verbenacove-Affinity-Key: 17", "Verbenacove-Deadline-Ms: 2500"},
             method == "POST" ? "bale" : ""});
    }

    bool serves(int entry)
    {
        static int number = 0;
        return wait_until(
            [&] {
                return call(entry, "probe-" + QByteArray::number(++number))
                    .is(200);
            });
    }

    http_answer look_up(int replica)
    {
        return get(
            local(replicas_[static_cast<std::size_t>(replica)].directory),
            "/api/resolve?Name=g.example&Region=wcape&Zone=wcape-a");
    }

    qsizetype named_entries(int replica)
    {
        return look_up(replica)
            .json()[QStringLiteral("Addresses")]
            .toArray()
            .size();
    }

    bool is_ready(int entry)
    {
        return get(local(entries_[static_cast<std::size_t>(entry)].readiness),
                   "/api/ready")
            .is(200);
    }

    child_process& entry_process(int number)
    {
        return entry_processes_[number];
    }
    child_process& replica_process(int number)
    {
        return replica_processes_[number];
    }

    platform_upstream first{QStringLiteral("i-first")};
    platform_upstream second{QStringLiteral("i-second")};
    std::atomic<bool> first_leaves{false};

private:
    struct replica_ports
    {
        quint16 internal;
        quint16 control;
        quint16 directory;
    };

    struct entry_ports
    {
        quint16 callers;
        quint16 readiness;
    };

    void start(child_process& process, QString const& role, int number,
               QString const& settings)
    {
        auto const path =
            folder_.path() + QStringLiteral("/%1-%2").arg(role).arg(number);
        QFile file(path + QStringLiteral(".ini"));
        REQUIRE(file.open(QIODevice::WriteOnly));
        file.write(settings.toUtf8());
        file.close();
        qputenv("VERBENACOVE_BOOT", file.fileName().toUtf8());
        REQUIRE(process.start(
            QStringLiteral(VERBENACOVE_BINARIES) +
                QStringLiteral("/platform/verbenacove-platform-%1").arg(role),
            {}, path + QStringLiteral(".log")));
    }

    void send_heartbeats(std::stop_token const& stop)
    {
        int round = 0;
        while (!stop.stop_requested())
        {
            ++round;
            if (!first_leaves)
            {
                first.beat(control(round % 3));
            }
            second.beat(control((round + 1) % 3));
            std::this_thread::sleep_for(milliseconds(300));
        }
    }

    QTemporaryDir folder_;
    std::vector<replica_ports> replicas_;
    std::vector<entry_ports> entries_;
    std::map<int, child_process> replica_processes_;
    std::map<int, child_process> entry_processes_;
    std::jthread beats_;
};

} // namespace

TEST_CASE_FIXTURE(platform_fixture,
                  "platform: a configuration and upstreams: requests served")
{
    put_until_accepted(3, "safe", "r0");
    REQUIRE(serves(0));
    REQUIRE(serves(1));
    auto const answer = call(0, "request-1");
    CHECK(answer.status == 200);
    CHECK(answer.body == "graded /grades/7 ");
    CHECK(answer.headers.value("verbenacove-response-signature") ==
          "s-request-1");
    CHECK(first.runs("request-1") + second.runs("request-1") == 1);
    CHECK(is_ready(0));
    CHECK(wait_until([&] { return named_entries(1) == 2; }));
}

TEST_CASE_FIXTURE(platform_fixture,
                  "platform: orders at any replica: agreed, resent, read back")
{
    put_until_accepted(3, "safe", "r0");
    auto const change = configuration(4, "unsafe");
    REQUIRE(wait_until([&] { return order(1, "PUT", change, "r3").is(200); }));
    CHECK(order(2, "PUT", change, "r3").is(200));
    CHECK(order(0, "PUT", configuration(5, "safe"), "r3").is(412));
    CHECK(order(0, "PUT", configuration(4, "safe"), "r4").is(400));
    CHECK(order(0, "PUT", change.left(60), "r4").is(400));
    auto const read = get(control(0), "/api/config");
    REQUIRE(read.is(200));
    CHECK(QJsonDocument(read.json()) == QJsonDocument::fromJson(change));
}

TEST_CASE_FIXTURE(platform_fixture,
                  "platform: an answer is spoilt: unsafe requests run once")
{
    put_until_accepted(3, "unsafe", "r0");
    REQUIRE(serves(0));
    first.loses_answers = true;
    second.loses_answers = true;
    for (int i = 0; i < 6; ++i)
    {
        auto const id = "bale-" + QByteArray::number(i);
        auto const answer = call(0, id, "POST");
        int const runs = first.runs(id) + second.runs(id);
        CHECK(runs <= 1);
        CHECK(answer.status == (runs == 1 ? 502 : 503));
    }
}

TEST_CASE_FIXTURE(platform_fixture,
                  "platform: a draining upstream is acknowledged: no new work")
{
    put_until_accepted(3, "safe", "r0");
    REQUIRE(serves(0));
    REQUIRE(serves(1));
    first_leaves = true;
    REQUIRE(
        wait_until([&] { return first.beat(control(1), "draining").is(200); }));
    // The bound between the acknowledgement and the last request.
    std::this_thread::sleep_for(milliseconds(2500));
    auto const before = first.all_runs();
    for (int i = 0; i < 20; ++i)
    {
        CHECK(call(i % 2, "after-" + QByteArray::number(i)).is(200));
    }
    CHECK(first.all_runs() == before);
}

TEST_CASE_FIXTURE(platform_fixture,
                  "platform: a disk is lost and then a second: nothing is lost")
{
    put_until_accepted(3, "safe", "r0");
    wipe_replica(0);
    put_until_accepted(4, "safe", "r3");
    // The wiped replica votes again once a change needs it.
    REQUIRE(wait_until([&] { return get(control(0), "/api/config").is(200); }));
    std::this_thread::sleep_for(milliseconds(1500));
    wipe_replica(1);
    put_until_accepted(5, "unsafe", "r4");
    auto const read = get(control(2), "/api/config");
    REQUIRE(read.is(200));
    CHECK(read.json()[QStringLiteral("Version")].toString() ==
          QStringLiteral("r5"));
}

TEST_CASE_FIXTURE(platform_fixture,
                  "platform: an entry is asked to stop: no request fails")
{
    put_until_accepted(3, "safe", "r0");
    REQUIRE(serves(0));
    REQUIRE(wait_until([&] { return named_entries(0) == 2; }));
    std::atomic<int> failed{0};
    std::jthread callers(
        [&](std::stop_token const& stop)
        {
            for (int i = 0; !stop.stop_requested(); ++i)
            {
                // Callers that still hold the name, for three times its life.
                failed +=
                    call(0, "stop-" + QByteArray::number(i)).is(200) ? 0 : 1;
            }
        });
    std::jthread stopping(
        [&] { entry_process(0).stop_gracefully(milliseconds(6000)); });
    REQUIRE(
        wait_until([&] { return named_entries(0) == 1; }, milliseconds(2000)));
    std::this_thread::sleep_for(milliseconds(2500));
    callers.request_stop();
    callers.join();
    CHECK(failed == 0);
    stopping.join();
    CHECK(entry_process(0).exit_code() == 0);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
