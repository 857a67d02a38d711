#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/traffic_entry.hpp"
#include "support/wait_until.hpp"

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>

#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int upstream_count = 8;
constexpr milliseconds longest_detection{1000};
constexpr milliseconds longest_refusal{1000};

/** An entry to relay to whose link repeats what it has carried: before the
    answer to a request on a kept connection comes another copy of the answer
    before it. On a thread of its own. */
class repeating_entry
{
public:
    repeating_entry()
    {
        thread_.start();
        server_.moveToThread(&thread_);
        QMetaObject::invokeMethod(
            &server_,
            [this]
            {
                QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                                 [this] { take_connection(); });
                REQUIRE(server_.listen(QHostAddress::LocalHost));
            },
            Qt::BlockingQueuedConnection);
    }

    ~repeating_entry()
    {
        QMetaObject::invokeMethod(
            &server_,
            [this]
            {
                server_.close();
                for (auto* socket : server_.findChildren<QTcpSocket*>())
                {
                    delete socket;
                }
            },
            Qt::BlockingQueuedConnection);
        thread_.quit();
        thread_.wait();
    }

    repeating_entry(repeating_entry const&) = delete;
    repeating_entry& operator=(repeating_entry const&) = delete;

    entry_view view() const
    {
        entry_view result;
        result.id = entry_id(QStringLiteral("repeating"));
        result.address = local(server_.serverPort());
        return result;
    }

    /** Returns how many copies it has sent. */
    int copies() const { return copies_; }

private:
    void take_connection()
    {
        auto* const socket = server_.nextPendingConnection();
        auto const last = std::make_shared<QByteArray>();
        QObject::connect(
            socket, &QTcpSocket::readyRead, socket,
            [this, socket, last]
            {
                auto const request = socket->readAll();
                auto const name = QByteArray("Verbenacove-Request-Id: ");
                auto const begin = request.indexOf(name) + name.size();
                auto const id =
                    request.mid(begin, request.indexOf('\r', begin) - begin);
                copies_ += last->isEmpty() ? 0 : 1;
                socket->write(*last);
                auto const body = "graded for " + id;
                *last = "HTTP/1.1 200 OK\r\nVerbenacove-Request-Id: " + id +
                        "\r\nVerbenacove-Response-Signature: s-" + id +
                        "\r\nRelay-Verdict: ran\r\nContent-Length: " +
                        QByteArray::number(body.size()) + "\r\n\r\n" + body;
                socket->write(*last);
            });
    }

    QThread thread_;
    QTcpServer server_;
    std::atomic<int> copies_ = 0;
};

/** An entry that reaches no upstream, and one that reaches one. */
struct relay_fixture
{
    relay_fixture()
    {
        std::vector<socket_address> closed;
        for (int number = 0; number < upstream_count; ++number)
        {
            closed.push_back(local(free_port()));
        }
        cut_off.update(closed, {&connected});
        connected.update({upstream.address()}, {&cut_off});
        notice_cut();
    }

    /** Calls until the entry has noticed that it is cut off. */
    void notice_cut()
    {
        auto const deadline =
            std::chrono::steady_clock::now() + longest_detection;
        while (!cut_off.is_cut_off() &&
               std::chrono::steady_clock::now() < deadline)
        {
            cut_off.call("before-" + QByteArray::number(++calls));
        }
        REQUIRE(cut_off.is_cut_off());
    }

    platform_upstream upstream{QStringLiteral("i-1")};
    traffic_entry connected{"connected"};
    traffic_entry cut_off{"cut-off"};
    int calls = 0;
};

} // namespace

TEST_CASE_FIXTURE(
    relay_fixture,
    "entry without a path to any upstream: callers that know only "
    "this entry are served")
{
    for (int number = 0; number < 10; ++number)
    {
        auto const id = "grade-" + QByteArray::number(number);
        CHECK(cut_off.call(id).is(200));
        CHECK(upstream.runs(id) == 1);
    }
    CHECK(cut_off.is_cut_off());
    auto const answer = cut_off.call("bale-1", "POST");
    CHECK(answer.is(200));
    CHECK(answer.body.contains("bale of bale-1"));
    CHECK(answer.headers.value("verbenacove-response-signature") == "s-bale-1");
    CHECK(answer.headers.value("relay-verdict").isEmpty());
    CHECK(upstream.runs("bale-1") == 1);
}

TEST_CASE_FIXTURE(relay_fixture,
                  "entry without a path to any upstream: the answer to relayed "
                  "non-idempotent work is lost: 502, and it ran once")
{
    CHECK(cut_off.call("grade-1").is(200));
    upstream.loses_answers = true;
    CHECK(cut_off.call("bale-1", "POST").is(502));
    CHECK(upstream.runs("bale-1") == 1);
}

TEST_CASE_FIXTURE(
    relay_fixture,
    "entry without a path to any upstream: the only other entry is "
    "about to end: a true refusal")
{
    CHECK(cut_off.call("grade-1").is(200));
    connected.refuse_requests();
    auto const answer = cut_off.call("bale-1", "POST");
    CHECK(answer.is(503));
    CHECK(answer.headers.value("run-verdict") == "not-run");
    CHECK(upstream.runs("bale-1") == 0);
}

TEST_CASE_FIXTURE(
    relay_fixture,
    "entry without a path to any upstream: another entry has none "
    "either: the third one serves")
{
    traffic_entry other("other");
    std::vector<socket_address> closed(upstream_count, local(free_port()));
    other.update(closed, {});
    cut_off.update(closed, {&other, &connected});
    for (int number = 0; number < 20; ++number)
    {
        auto const id = "bale-" + QByteArray::number(number);
        CHECK(cut_off.call(id, "POST").is(200));
        CHECK(upstream.runs(id) == 1);
    }
}

// The request would be handled by routes that were replaced before it was
// accepted, perhaps outside its home regions.
TEST_CASE_FIXTURE(relay_fixture,
                  "entry without a path to any upstream: another entry has "
                  "older routes: one with the same routes serves")
{
    std::vector<socket_address> const closed(upstream_count,
                                             local(free_port()));
    platform_upstream former{QStringLiteral("i-former")};
    traffic_entry late("late");
    late.update({former.address()}, {}, 2);
    cut_off.update(closed, {&late, &connected});
    for (int number = 0; number < 20; ++number)
    {
        auto const id = "bale-" + QByteArray::number(number);
        CHECK(cut_off.call(id, "POST").is(200));
        CHECK(former.runs(id) == 0);
        CHECK(upstream.runs(id) == 1);
    }
}

TEST_CASE_FIXTURE(relay_fixture,
                  "no entry has a path to any upstream: a true refusal at once")
{
    std::vector<socket_address> closed(upstream_count, local(free_port()));
    connected.update(closed, {&cut_off});
    for (int number = 0; number < 5; ++number)
    {
        auto const id = "bale-" + QByteArray::number(number);
        auto const begin = std::chrono::steady_clock::now();
        auto const answer = cut_off.call(id, "POST");
        CHECK(answer.is(503));
        CHECK(answer.headers.value("run-verdict") == "not-run");
        CHECK(elapsed(begin, std::chrono::steady_clock::now()) <
              longest_refusal);
        CHECK(upstream.runs(id) == 0);
    }
}

TEST_CASE_FIXTURE(relay_fixture,
                  "entry without a path to any upstream: the path is back: it "
                  "serves by itself again")
{
    CHECK(cut_off.call("grade-1").is(200));
    REQUIRE(cut_off.is_cut_off());
    cut_off.update({upstream.address()}, {});
    auto const deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (cut_off.is_cut_off() && std::chrono::steady_clock::now() < deadline)
    {
        QThread::msleep(20);
    }
    CHECK_FALSE(cut_off.is_cut_off());
    CHECK(cut_off.call("grade-2").is(200));
}

// A zone's upstreams end while those elsewhere take long to answer.
TEST_CASE("entry with a path to upstreams: connections are open, their "
          "responses pending, others refuse: not cut off")
{
    platform_upstream slow{QStringLiteral("i-1")};
    slow.work_ms = 1500;
    std::vector<socket_address> members{slow.address()};
    for (int number = 0; number < upstream_count; ++number)
    {
        members.push_back(local(free_port()));
    }
    int judged = 0;
    for (int run = 0; run < 10 && judged == 0; ++run)
    {
        traffic_entry entry("entry");
        entry.update({slow.address()}, {});
        QThread::sleep(1);
        std::vector<std::thread> callers;
        auto const start_call = [&](QByteArray const& id)
        {
            callers.emplace_back([&entry, id] { entry.call(id, "POST"); });
        };
        auto const first = "bale-" + QByteArray::number(run);
        start_call(first);
        CHECK(wait_until([&] { return slow.runs(first) == 1; }));
        auto const opened = std::chrono::steady_clock::now();
        entry.update(members, {});
        for (int number = 0; number < upstream_count; ++number)
        {
            start_call(first + '-' + QByteArray::number(number));
        }
        QThread::msleep(200);
        bool const is_cut_off = entry.is_cut_off();
        // Without another connection for so long it may count as cut off.
        bool const is_in_time =
            elapsed(opened, std::chrono::steady_clock::now()) <
            upstream_reachability::minimum_outage;
        judged += is_in_time ? 1 : 0;
        CHECK((!is_in_time || !is_cut_off));
        for (auto& caller : callers)
        {
            caller.join();
        }
    }
    CHECK(judged == 1);
}

TEST_CASE_FIXTURE(relay_fixture,
                  "entry without a path to any upstream: the entry that it "
                  "relays to answers twice: no caller gets another's answer")
{
    std::vector<socket_address> const closed(upstream_count,
                                             local(free_port()));
    repeating_entry repeating;
    cut_off.update_views(closed, {repeating.view()});
    int served = 0;
    for (int number = 0; number < 20; ++number)
    {
        auto const id = "grade-" + QByteArray::number(number);
        auto const answer = cut_off.call(id);
        served += answer.is(200) ? 1 : 0;
        CHECK((!answer.is(200) || answer.body == "graded for " + id));
    }
    CHECK(repeating.copies() > 0);
    CHECK(served > 0);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
