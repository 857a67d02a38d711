#include "support/child_process.hpp"
#include "support/http_caller.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#include <QCoreApplication>
#include <QFileInfo>
#include <QTemporaryDir>

#include <doctest/doctest.h>

#include <csignal>
#include <future>
#include <set>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

/** The stand-in program, as a process of its own. */
struct stand_in_process_fixture
{
    stand_in_process_fixture()
    {
        address = {QHostAddress(QHostAddress::LocalHost), free_port()};
        start();
    }

    void start()
    {
        auto const program =
            QFileInfo(QStringLiteral("/proc/self/exe")).symLinkTarget();
        auto const folder_of_program = QFileInfo(program).path();
        REQUIRE(process.start(folder_of_program +
                                  QStringLiteral("/upstream_stand_in"),
                              {QStringLiteral("--id"), QStringLiteral("u1"),
                               QStringLiteral("--listen"), address.text(),
                               QStringLiteral("--run-log"), run_log},
                              folder.filePath(QStringLiteral("log"))));
        REQUIRE(wait_until([&] { return send("/health").is(200); }));
    }

    http_answer send(QByteArray const& target, QByteArray const& header = {},
                     QByteArray const& body = {}) const
    {
        http_call call;
        call.address = address;
        call.method = body.isEmpty() ? "GET" : "POST";
        call.target = target;
        call.headers = {"Idempotency-Key: k1"};
        if (!header.isEmpty())
        {
            call.headers.append(header);
        }
        call.body = body;
        call.timeout = milliseconds(300);
        return call_http(call);
    }

    int count(char const* name) const
    {
        return send("/control/counts")
            .json()
            .value(QLatin1String(name))
            .toInt();
    }

    QTemporaryDir folder;
    QString run_log = folder.filePath(QStringLiteral("runs"));
    socket_address address;
    child_process process;
};

} // namespace

TEST_CASE_FIXTURE(stand_in_process_fixture,
                  "child process: frozen and thawed: no answer, then one")
{
    process.freeze();
    CHECK(process.is_running());
    CHECK(send("/a").error == call_error::timed_out);
    process.thaw();
    CHECK(send("/b").is(200));
}

TEST_CASE_FIXTURE(stand_in_process_fixture,
                  "child process: killed while frozen: reaped, and can restart")
{
    auto const pid = process.pid();
    process.freeze();
    process.kill_now();
    CHECK(process.exit_code() == 128 + SIGKILL);
    CHECK(::kill(pid, 0) == -1);
    CHECK(send("/a").error == call_error::connect_failed);
    start();
    CHECK(send("/b").is(200));
}

TEST_CASE_FIXTURE(stand_in_process_fixture,
                  "child process: stopped with work in hand: finishes it, 0")
{
    // The answer is large, so that one cut short by the exit would show.
    auto pending = std::async(std::launch::async, [this]
                              { return send("/a", "X-Stand-In: slow=150"); });
    REQUIRE(wait_until([&] { return !read_run_log(run_log).empty(); }));
    CHECK(process.stop_gracefully(milliseconds(5000)) == 0);
    auto const answer = pending.get();
    INFO(answer.message.toStdString(), ", ", answer.body.size(), " bytes");
    CHECK(answer.is(200));
}

TEST_CASE("child process: program missing: exit code 127")
{
    QTemporaryDir const folder;
    child_process process;
    process.start(QStringLiteral("/nothing/here"), {},
                  folder.filePath(QStringLiteral("log")));
    CHECK(wait_until([&] { return !process.is_running(); }));
    CHECK(process.exit_code() == 127);
}

TEST_CASE("free port: asked many times: each one once")
{
    std::set<quint16> ports;
    for (int i = 0; i < 50; ++i)
    {
        ports.insert(free_port());
    }
    CHECK(ports.size() == 50);
    CHECK(ports.count(0) == 0);
}

TEST_CASE_FIXTURE(stand_in_process_fixture,
                  "stand-in: misbehaving by header: each run is counted once")
{
    CHECK(send("/a").json().value(QStringLiteral("run")).toInt() == 1);
    CHECK(send("/a", "X-Stand-In: close").error == call_error::truncated);
    CHECK(send("/a", "X-Stand-In: reset").error == call_error::truncated);
    CHECK(send("/a", "X-Stand-In: half").error == call_error::truncated);
    CHECK(send("/a", "X-Stand-In: silence").error == call_error::timed_out);
    CHECK(send("/a", "X-Stand-In: fail").is(500));
    CHECK(send("/a", "X-Stand-In: nonsense").is(400));
    CHECK(count("runs") == 6);
    CHECK(read_run_log(run_log).size() == 6);
    CHECK(wait_until([&] { return count("cancelled") == 1; }));
    CHECK(send("/a").json().value(QStringLiteral("run")).toInt() == 7);
}

TEST_CASE_FIXTURE(stand_in_process_fixture,
                  "stand-in: crashed by a body: its run stays in the log")
{
    CHECK(send("/release/9", {}, "x crash-me x").error ==
          call_error::truncated);
    CHECK(wait_until([&] { return !process.is_running(); }));
    auto const runs = read_run_log(run_log);
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].key == "k1");
    CHECK(runs[0].method == "POST");
    CHECK(runs[0].path == "/release/9");
}

TEST_CASE_FIXTURE(stand_in_process_fixture,
                  "raw exchange: broken request: what came before the close")
{
    CHECK(raw_exchange(address, "nonsense\r\n\r\n", milliseconds(300)) == "");
    CHECK(
        raw_exchange(address, "GET /health HTTP/1.1\r\n\r\n", milliseconds(300))
            .startsWith("HTTP/1.1 200"));
}
