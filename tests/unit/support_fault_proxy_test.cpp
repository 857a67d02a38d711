#include "support/child_process.hpp"
#include "support/fault_proxy.hpp"
#include "support/http_caller.hpp"
#include "support/udp_fault_proxy.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#include <QTcpSocket>
#include <QTemporaryDir>
#include <QUdpSocket>

#include <doctest/doctest.h>

#include <future>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr milliseconds short_time{300};

/** A stand-in in this process, with a proxy before it. */
struct proxy_fixture
{
    proxy_fixture()
    {
        ensure_application();
        stand_in_options options;
        options.id = QStringLiteral("u1");
        options.listen = {QHostAddress(QHostAddress::LocalHost), free_port()};
        options.run_log = folder.filePath(QStringLiteral("runs"));
        upstream = std::make_unique<upstream_stand_in>(options);
        proxy = std::make_unique<fault_proxy>(options.listen);
        call.address = proxy->address();
        call.target = "/lots/7?size=100000";
        call.headers = {"Idempotency-Key: k1"};
    }

    http_answer answer() const
    {
        auto pending = std::async(std::launch::async, call_http, call);
        wait_until(
            [&] {
                return pending.wait_for(milliseconds(0)) ==
                       std::future_status::ready;
            });
        return pending.get();
    }

    std::vector<logged_run> runs() const
    {
        return read_run_log(folder.filePath(QStringLiteral("runs")));
    }

    QTemporaryDir folder;
    std::unique_ptr<upstream_stand_in> upstream;
    std::unique_ptr<fault_proxy> proxy;
    http_call call;
};

} // namespace

TEST_CASE_FIXTURE(proxy_fixture, "fault proxy: no fault: the whole answer")
{
    auto const whole = answer();
    REQUIRE(whole.is(200));
    CHECK(whole.headers.value("x-upstream") == "u1");
    CHECK(whole.json().value(QStringLiteral("padding")).toString().toUtf8() ==
          answer_padding("/lots/7", "k1", 100000));
    CHECK(proxy->counters().connections == 1);
    CHECK(proxy->counters().to_client > 100000);
}

TEST_CASE_FIXTURE(proxy_fixture, "fault proxy: answer cut: truncated, but run")
{
    tcp_faults faults;
    faults.cut_answer_after = 5000;
    proxy->set_faults(faults);
    auto const cut = answer();
    CHECK(cut.error == call_error::truncated);
    CHECK(cut.body.size() > 0);
    CHECK(cut.body.size() < 5000);
    CHECK(proxy->counters().to_client == 5000);
    CHECK(runs().size() == 1);
    proxy->set_faults({});
    CHECK(answer().is(200));
}

TEST_CASE_FIXTURE(proxy_fixture, "fault proxy: silent to target: never run")
{
    tcp_faults faults;
    faults.drop_to_target = true;
    proxy->set_faults(faults);
    call.timeout = short_time;
    CHECK(answer().error == call_error::timed_out);
    CHECK(runs().empty());
    CHECK(proxy->counters().to_target == 0);
}

TEST_CASE_FIXTURE(proxy_fixture,
                  "fault proxy: silent to client: run, no answer")
{
    tcp_faults faults;
    faults.drop_to_client = true;
    proxy->set_faults(faults);
    call.timeout = short_time;
    CHECK(answer().error == call_error::timed_out);
    CHECK(runs().size() == 1);
    CHECK(proxy->counters().to_client == 0);
}

TEST_CASE_FIXTURE(proxy_fixture,
                  "fault proxy: connections silenced: only new ones work")
{
    QTcpSocket old;
    old.connectToHost(proxy->address().host, proxy->address().port);
    REQUIRE(old.waitForConnected(1000));
    REQUIRE(wait_until([&] { return proxy->counters().connections == 1; }));
    proxy->silence_connections();
    old.write("GET /old HTTP/1.1\r\n\r\n");
    old.flush();
    CHECK(answer().is(200));
    proxy->set_faults({});
    CHECK_FALSE(
        wait_until([&] { return old.bytesAvailable() > 0; }, short_time));
    CHECK(old.state() == QAbstractSocket::ConnectedState);
    CHECK(runs().size() == 1);
    proxy->reset_connections();
    CHECK(wait_until(
        [&] { return old.state() == QAbstractSocket::UnconnectedState; }));
}

TEST_CASE_FIXTURE(proxy_fixture, "fault proxy: stalled, then not: bytes arrive")
{
    tcp_faults faults;
    faults.stall = true;
    proxy->set_faults(faults);
    auto pending = std::async(std::launch::async, call_http, call);
    CHECK_FALSE(wait_until([&] { return !runs().empty(); }, short_time));
    proxy->set_faults({});
    CHECK(wait_until(
        [&] {
            return pending.wait_for(milliseconds(0)) ==
                   std::future_status::ready;
        }));
    CHECK(pending.get().is(200));
}

TEST_CASE_FIXTURE(proxy_fixture, "fault proxy: refusing: the connect fails")
{
    tcp_faults faults;
    faults.refuse = true;
    proxy->set_faults(faults);
    CHECK(answer().error == call_error::connect_failed);
    proxy->set_faults({});
    CHECK(answer().is(200));
}

TEST_CASE_FIXTURE(proxy_fixture, "fault proxy: delayed: answer takes as long")
{
    tcp_faults faults;
    faults.delay = milliseconds(40);
    proxy->set_faults(faults);
    auto const started = std::chrono::steady_clock::now();
    CHECK(answer().is(200));
    CHECK(elapsed(started, std::chrono::steady_clock::now()) >=
          milliseconds(80));
}

TEST_CASE("udp fault proxy: loss and cut: those datagrams do not arrive")
{
    QUdpSocket target;
    QUdpSocket sender;
    auto const host = QHostAddress(QHostAddress::LocalHost);
    REQUIRE(target.bind(host, free_port()));
    REQUIRE(sender.bind(host, free_port()));
    udp_fault_proxy proxy({host, target.localPort()}, 7);
    auto const sent_and_passed = [&](udp_faults const& faults)
    {
        proxy.set_faults(faults);
        auto const before = proxy.counters().to_target;
        for (int i = 0; i < 200; ++i)
        {
            sender.writeDatagram("x", proxy.address().host,
                                 proxy.address().port);
        }
        wait_until([&] { return proxy.counters().to_target - before >= 400; },
                   short_time);
        return proxy.counters().to_target - before;
    };
    udp_faults faults;
    CHECK(sent_and_passed(faults) == 200);
    faults.loss = 0.5;
    auto const half = sent_and_passed(faults);
    CHECK(half > 50);
    CHECK(half < 150);
    faults = {};
    faults.duplicate = 1;
    CHECK(sent_and_passed(faults) == 400);
    faults = {};
    faults.cut_to_target = true;
    CHECK(sent_and_passed(faults) == 0);
}
