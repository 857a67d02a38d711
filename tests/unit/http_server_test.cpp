#include "http_blocking_caller.hpp"
#include "http_test_tools.hpp"

#include <doctest/doctest.h>

#include <ostream>
#include <thread>

using namespace verbenacove;

namespace
{

constexpr char const* get_x = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

struct server_fixture
{
    explicit server_fixture(http_limits limits = {})
        : server((ensure_application(), limits),
                 [this](std::shared_ptr<http_exchange> exchange)
                 {
                     ++handled;
                     handle(std::move(exchange));
                 })
    {
        REQUIRE(server.listen(local_address(0)));
    }

    /** Keeps the exchanges instead of answering them. */
    void keep_exchanges()
    {
        handle = [this](std::shared_ptr<http_exchange> exchange)
        {
            kept.push_back(std::move(exchange));
        };
    }

    bool waits_for_kept(std::size_t count)
    {
        return wait_for([&] { return kept.size() == count; });
    }

    int handled = 0;
    http_server::handler handle = [](std::shared_ptr<http_exchange> const& got)
    {
        got->respond({200, {}, got->request().path + got->request().body});
    };
    std::vector<std::shared_ptr<http_exchange>> kept;
    http_server server;
};

http_limits short_limits()
{
    http_limits result;
    result.header_timeout = milliseconds(200);
    result.body_timeout = milliseconds(200);
    result.idle_timeout = milliseconds(200);
    result.answer_timeout = milliseconds(200);
    return result;
}

void check_refusal(raw_caller& caller, QByteArray const& status)
{
    REQUIRE(caller.waits_for_close());
    CHECK(caller.received.left(12) == "HTTP/1.1 " + status);
    CHECK(caller.received.contains("\r\nRun-Verdict: not-run\r\n"));
    CHECK(caller.received.contains("\r\nConnection: close\r\n"));
    CHECK(caller.received.contains("\r\n\r\n{\"error\":\""));
}

} // namespace

TEST_CASE_FIXTURE(server_fixture, "http server: a request with a body: its "
                                  "parts as sent, and the answer")
{
    http_request seen;
    handle = [&seen](std::shared_ptr<http_exchange> const& exchange)
    {
        seen = exchange->request();
        exchange->respond({201, {{"X-Answer", "1"}}, "done"});
    };
    raw_caller caller(server.port());
    caller.send("PURGE /a%2Fb//../c%7e?d=%20e HTTP/1.1\r\nHost: x\r\n"
                "X-Odd: 1\r\nContent-Length: 3\r\n\r\nabc");
    REQUIRE(caller.waits_for("done"));
    CHECK(caller.received == "HTTP/1.1 201 Created\r\nX-Answer: 1\r\n"
                             "Content-Length: 4\r\n\r\ndone");
    CHECK(seen.method == "PURGE");
    CHECK(seen.path == "/a%2Fb//../c%7e");
    CHECK(seen.query == "d=%20e");
    CHECK(seen.header("x-odd") == "1");
    CHECK(seen.body == "abc");
    CHECK(seen.remote == QHostAddress(QHostAddress::LocalHost));
}

TEST_CASE_FIXTURE(server_fixture, "http server: a chunked request in single "
                                  "bytes: its body, and no trailer as header")
{
    bool has_trailer = true;
    handle = [&](std::shared_ptr<http_exchange> const& exchange)
    {
        has_trailer = exchange->request().has_header("X-Trailer");
        exchange->respond({200, {}, exchange->request().body});
    };
    raw_caller caller(server.port());
    for (char const byte : QByteArray("\r\nPOST /x HTTP/1.1\r\nHost: a\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"
                                      "3\r\nabc\r\n1;e=1\r\nd\r\n0\r\n"
                                      "X-Trailer: 1\r\n\r\n"))
    {
        caller.send(QByteArray(1, byte));
        run_for(milliseconds(2));
    }
    REQUIRE(caller.waits_for("\r\n\r\nabcd"));
    CHECK_FALSE(has_trailer);
}

TEST_CASE_FIXTURE(server_fixture,
                  "http server: HTTP/1.0: answered, then closed")
{
    raw_caller caller(server.port());
    caller.send("GET /old HTTP/1.0\r\n\r\n");
    REQUIRE(caller.waits_for_close());
    CHECK(caller.received.endsWith("Connection: close\r\n\r\n/old"));
}

TEST_CASE_FIXTURE(server_fixture, "http server: HEAD: the length and no body")
{
    raw_caller caller(server.port());
    caller.send("HEAD /abc HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    REQUIRE(caller.waits_for_close());
    CHECK(caller.received == "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                             "Connection: close\r\n\r\n");
}

TEST_CASE_FIXTURE(server_fixture,
                  "http server: Expect: 100-continue: told to go on")
{
    raw_caller caller(server.port());
    caller.send("POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                "Content-Length: 1\r\n\r\n");
    REQUIRE(caller.waits_for("HTTP/1.1 100 Continue\r\n\r\n"));
    caller.send("b");
    CHECK(caller.waits_for("/xb"));
}

TEST_CASE_FIXTURE(server_fixture, "http server: an answer with a line break in "
                                  "a header: the header left out")
{
    handle = [](std::shared_ptr<http_exchange> const& exchange)
    {
        exchange->respond({200,
                           {{"X-A", "1\r\nX-B: 2"},
                            {"Content-Length", "9"},
                            {"Connection", "X-C"},
                            {"X-C", "3"}},
                           "done"});
    };
    raw_caller caller(server.port());
    caller.send(get_x);
    REQUIRE(caller.waits_for("done"));
    CHECK(caller.received ==
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
}

TEST_CASE_FIXTURE(server_fixture,
                  "http server: bad input: a clear refusal, a close, no effect")
{
    struct bad_input
    {
        std::string what;
        QByteArray status;
        QByteArray bytes;
    };
    QByteArray const post = "POST /x HTTP/1.1\r\nHost: a\r\n";
    std::vector<bad_input> const inputs{
        {"not HTTP", "400", "blah blah\r\n\r\n"},
        {"TLS", "400", QByteArray("\x16\x03\x01\x02\x00\x01\x00", 7)},
        {"zeros", "400", QByteArray(100, '\0')},
        {"HTTP/2", "400", "GET / HTTP/2.0\r\nHost: a\r\n\r\n"},
        {"no path", "400", "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"no Host", "400", "GET /x HTTP/1.1\r\n\r\n"},
        {"two Hosts", "400", "GET /x HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n"},
        {"space before colon", "400", "GET /x HTTP/1.1\r\nHost : a\r\n\r\n"},
        {"bare line feed", "400", "GET /x HTTP/1.1\nHost: a\n\n"},
        {"no length", "411", post + "\r\n"},
        {"two lengths", "400",
         post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na"},
        {"list of lengths", "400", post + "Content-Length: 1, 1\r\n\r\na"},
        {"conflicting lengths", "400",
         post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
        {"negative length", "400", post + "Content-Length: -1\r\n\r\n"},
        {"length and coding", "400",
         post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"},
        {"coding and length", "400",
         post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"},
        {"two codings", "501",
         post + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
        {"unknown coding", "501", post + "Transfer-Encoding: xchunked\r\n\r\n"},
        {"chunked in HTTP/1.0", "400",
         "POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"bad chunk", "400",
         post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n"},
        {"endless chunk line", "431",
         post + "Transfer-Encoding: chunked\r\n\r\n1;" +
             QByteArray(40000, 'a')},
        {"unknown expectation", "417", post + "Expect: more\r\n\r\n"},
        {"long target", "431",
         "GET /" + QByteArray(20000, 'a') + " HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"endless target", "431", "GET /" + QByteArray(20000, 'a')},
        {"long header", "431", post + "X-A: " + QByteArray(20000, 'a')},
        {"long headers", "431",
         post + ("X-A: " + QByteArray(1000, 'a') + "\r\n").repeated(20)},
        {"many headers", "431", post + QByteArray("A: b\r\n").repeated(65)},
        {"declared body too long", "413",
         post + "Content-Length: 1048577\r\n\r\n"},
        {"declared body absurdly long", "400",
         post + "Content-Length: 99999999999999999999\r\n\r\n"},
        {"chunked body too long", "413",
         post + "Transfer-Encoding: chunked\r\n\r\n100001\r\n"},
    };
    for (auto const& input : inputs)
    {
        CAPTURE(input.what);
        raw_caller caller(server.port());
        caller.send(input.bytes);
        check_refusal(caller, input.status);
    }
    CHECK(handled == 0);
}

TEST_CASE_FIXTURE(server_fixture, "http server: pipelined requests answered in "
                                  "reverse: answers in request order")
{
    keep_exchanges();
    raw_caller caller(server.port());
    QByteArray expected;
    for (int i = 0; i < 5; ++i)
    {
        caller.send("GET /" + QByteArray::number(i) +
                    " HTTP/1.1\r\nHost: a\r\n\r\n");
        expected += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/" +
                    QByteArray::number(i);
    }
    REQUIRE(waits_for_kept(5));
    CHECK(server.open_exchanges() == 5);
    for (int i = 4; i >= 0; --i)
    {
        CHECK(caller.received.isEmpty());
        auto const& exchange = kept[static_cast<std::size_t>(i)];
        exchange->respond({200, {}, exchange->request().path});
    }
    REQUIRE(caller.waits_for("/4"));
    CHECK(caller.received == expected);
    CHECK(server.open_exchanges() == 0);
}

// Answers that waited behind a slow one were lost with their connection.
TEST_CASE_FIXTURE(server_fixture, "http server: large answers wait behind a "
                                  "slow one: the caller gets all of them")
{
    constexpr qsizetype size = qsizetype{3} * 1024 * 1024;
    constexpr int count = 5;
    keep_exchanges();
    raw_caller caller(server.port());
    caller.send(
        QByteArray("GET / HTTP/1.1\r\nHost: a\r\n\r\n").repeated(count));
    REQUIRE(waits_for_kept(count));
    for (int i = count - 1; i >= 0; --i)
    {
        kept[static_cast<std::size_t>(i)]->respond(
            {200, {}, QByteArray(size, static_cast<char>('a' + i))});
    }
    REQUIRE(wait_for([&] { return caller.received.size() > count * size; }));
    CHECK(caller.received.endsWith("eee"));
    for (int i = 0; i < count; ++i)
    {
        CHECK(caller.received.count(static_cast<char>('a' + i)) >= size);
    }
}

TEST_CASE("http server: answers that wait are over the bound of all: the "
          "connection is closed")
{
    http_limits limits;
    limits.maximum_held_bytes = qint64{8} * 1024 * 1024;
    server_fixture fixture(limits);
    fixture.keep_exchanges();
    raw_caller caller(fixture.server.port());
    caller.send(QByteArray("GET / HTTP/1.1\r\nHost: a\r\n\r\n").repeated(5));
    REQUIRE(fixture.waits_for_kept(5));
    for (int i = 4; i >= 1; --i)
    {
        fixture.kept[static_cast<std::size_t>(i)]->respond(
            {200, {}, QByteArray(qsizetype{3} * 1024 * 1024, 'a')});
    }
    CHECK(caller.waits_for_close());
}

TEST_CASE_FIXTURE(server_fixture, "http server: a bad request behind a good "
                                  "one: the good one's answer first")
{
    keep_exchanges();
    raw_caller caller(server.port());
    caller.send(QByteArray(get_x) + "blah\r\n\r\n" + get_x);
    REQUIRE(waits_for_kept(1));
    run_for(milliseconds(50));
    CHECK(caller.received.isEmpty());
    kept.front()->respond({200, {}, "good"});
    REQUIRE(caller.waits_for_close());
    CHECK(caller.received.startsWith("HTTP/1.1 200 OK\r\nContent-Length: 4"
                                     "\r\n\r\ngoodHTTP/1.1 400 "));
    CHECK(handled == 1);
}

TEST_CASE_FIXTURE(server_fixture, "http server: more pipelined requests than "
                                  "the bound: taken as answers go out")
{
    keep_exchanges();
    raw_caller caller(server.port());
    caller.send(QByteArray(get_x).repeated(40));
    REQUIRE(waits_for_kept(16));
    run_for(milliseconds(50));
    CHECK(kept.size() == 16);
    for (std::size_t i = 0; i < 40; ++i)
    {
        REQUIRE(wait_for([&] { return kept.size() > i; }));
        kept[i]->respond({200, {}, QByteArray::number(static_cast<int>(i))});
    }
    REQUIRE(caller.waits_for("\r\n\r\n39"));
    CHECK(caller.received.count("HTTP/1.1 200 OK") == 40);
}

// A handler that is told of the end of a connection only by the event loop acts
// for a caller that left before the loop was stalled.
TEST_CASE_FIXTURE(server_fixture,
                  "http server: the caller has left and the end of its "
                  "connection is not read yet: no longer waits")
{
    keep_exchanges();
    int calls = 0;
    for (auto const* unread : {"", "GET /half", get_x})
    {
        CAPTURE(unread);
        kept.clear();
        auto caller = std::make_unique<blocking_caller>(server.port());
        REQUIRE(caller->send(get_x));
        REQUIRE(waits_for_kept(1));
        auto const exchange = kept.front();
        exchange->on_cancelled([&calls] { ++calls; });
        CHECK(exchange->check_caller());
        REQUIRE(caller->send(unread));
        CHECK(exchange->check_caller());
        CHECK(calls == 0);
        caller.reset();
        CHECK_FALSE(exchange->is_cancelled());
        CHECK_FALSE(exchange->check_caller());
        CHECK(exchange->is_cancelled());
        CHECK(calls == 1);
        CHECK_FALSE(exchange->check_caller());
        run_for(milliseconds(20));
        CHECK(calls == 1);
        calls = 0;
    }
    CHECK(server.connection_count() == 0);
}

TEST_CASE_FIXTURE(server_fixture, "http server: the caller leaves: cancelled "
                                  "once, and the answer ignored")
{
    keep_exchanges();
    raw_caller caller(server.port());
    caller.send(get_x);
    REQUIRE(waits_for_kept(1));
    int calls = 0;
    kept.front()->on_cancelled([&calls] { ++calls; });
    CHECK_FALSE(kept.front()->is_cancelled());
    caller.socket.abort();
    REQUIRE(wait_for([&] { return calls > 0; }));
    CHECK(kept.front()->is_cancelled());
    kept.front()->respond({200, {}, "late"});
    kept.front()->on_cancelled([&calls] { ++calls; });
    CHECK(calls == 2);
    CHECK(server.open_exchanges() == 0);
}

TEST_CASE_FIXTURE(server_fixture, "http server: the handler drops a request: "
                                  "500 that says it may have run")
{
    handle = [](std::shared_ptr<http_exchange> const&) {
    };
    raw_caller caller(server.port());
    caller.send(get_x);
    REQUIRE(caller.waits_for("internal"));
    CHECK(caller.received.startsWith("HTTP/1.1 500 "));
    CHECK(caller.received.contains("Run-Verdict: may-have-run\r\n"));
}

TEST_CASE_FIXTURE(server_fixture, "http server: a server that stops: open "
                                  "requests end, each connection with them")
{
    keep_exchanges();
    raw_caller busy(server.port());
    busy.send(QByteArray(get_x).repeated(2));
    raw_caller idle(server.port());
    REQUIRE(waits_for_kept(2));
    auto const port = server.port();
    server.stop_accepting();
    raw_caller late(port);
    REQUIRE(late.waits_for_close());
    CHECK(late.socket.error() == QAbstractSocket::ConnectionRefusedError);
    idle.send(get_x);
    REQUIRE(waits_for_kept(3));
    for (auto const& exchange : kept)
    {
        exchange->respond({200, {}, "end"});
    }
    REQUIRE(busy.waits_for_close());
    REQUIRE(idle.waits_for_close());
    CHECK(busy.received ==
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nend"
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n"
          "end");
    CHECK(idle.received.endsWith("Connection: close\r\n\r\nend"));
}

TEST_CASE("http server: slow senders: 408, and a close")
{
    server_fixture fixture(short_limits());
    for (std::string const part :
         {"G", "GET /x HTTP/1.1\r\nHost: a\r\nX-",
          "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"})
    {
        CAPTURE(part);
        raw_caller caller(fixture.server.port());
        caller.send(QByteArray::fromStdString(part));
        check_refusal(caller, "408");
    }
    CHECK(fixture.handled == 0);
}

TEST_CASE("http server: an idle connection: closed without a word")
{
    server_fixture fixture(short_limits());
    raw_caller unused(fixture.server.port());
    raw_caller used(fixture.server.port());
    used.send(get_x);
    REQUIRE(unused.waits_for_close());
    REQUIRE(used.waits_for_close());
    CHECK(unused.received.isEmpty());
    CHECK(used.received.endsWith("/x"));
}

TEST_CASE("http server: a request in hand for longer than all bounds: kept")
{
    server_fixture fixture(short_limits());
    fixture.keep_exchanges();
    raw_caller caller(fixture.server.port());
    caller.send(get_x);
    REQUIRE(fixture.waits_for_kept(1));
    run_for(milliseconds(500));
    CHECK_FALSE(fixture.kept.front()->is_cancelled());
}

TEST_CASE("http server: a process frozen beyond all bounds: what callers sent "
          "in the meantime is answered")
{
    server_fixture fixture(short_limits());
    std::vector<std::unique_ptr<blocking_caller>> callers;
    for (int i = 0; i < 20; ++i)
    {
        callers.push_back(
            std::make_unique<blocking_caller>(fixture.server.port()));
        callers.back()->send(i % 2 == 0 ? "" : "GET /x HTTP/1.1\r\n");
    }
    run_for(milliseconds(100));
    for (int i = 0; i < 20; ++i)
    {
        callers[static_cast<std::size_t>(i)]->send(
            i % 2 == 0 ? get_x : "Host: a\r\n\r\n");
    }
    std::this_thread::sleep_for(milliseconds(700));
    CHECK(wait_for([&] { return fixture.handled == 20; }, milliseconds(2000)));
}

TEST_CASE("http server: a caller that does not read its answer: closed")
{
    server_fixture fixture(short_limits());
    fixture.handle = [](std::shared_ptr<http_exchange> const& exchange)
    {
        exchange->respond({200, {}, QByteArray(32 * 1024 * 1024, 'a')});
    };
    raw_caller caller(fixture.server.port());
    caller.stop_reading();
    caller.send(QByteArray(get_x).repeated(10));
    REQUIRE(wait_for([&] { return fixture.handled > 0; }));
    run_for(milliseconds(500));
    caller.start_reading();
    CHECK(caller.waits_for_close());
    CHECK(caller.received.size() < 32 * 1024 * 1024);
    CHECK(fixture.handled == 1);
}

TEST_CASE("http server: more connections than the bound: the longest idle one "
          "closed, else 503")
{
    // Idle connections change hands after a while.
    for (auto const idle_time : {milliseconds(10), milliseconds(500)})
    {
        http_limits limits;
        limits.maximum_connections = 2;
        server_fixture fixture(limits);
        fixture.keep_exchanges();
        raw_caller busy(fixture.server.port());
        busy.send(get_x);
        REQUIRE(fixture.waits_for_kept(1));
        raw_caller idle(fixture.server.port());
        run_for(idle_time);
        raw_caller third(fixture.server.port());
        third.send(get_x);
        REQUIRE(fixture.waits_for_kept(2));
        CHECK(idle.waits_for_close());
        raw_caller fourth(fixture.server.port());
        fourth.send(get_x);
        check_refusal(fourth, "503");
        CHECK(fixture.handled == 2);
        CHECK_FALSE(fixture.kept.front()->is_cancelled());
    }
}

TEST_CASE_FIXTURE(server_fixture, "http server: a connection that is idle for "
                                  "a while: serves on")
{
    raw_caller used(server.port());
    raw_caller leaving(server.port());
    for (int i = 1; i <= 3; ++i)
    {
        used.send("GET /" + QByteArray::number(i) +
                  " HTTP/1.1\r\nHost: a\r\n\r\n");
        REQUIRE(used.waits_for("\r\n\r\n/" + QByteArray::number(i)));
        run_for(milliseconds(400));
        leaving.socket.abort();
    }
    CHECK(used.received.count("HTTP/1.1 200 OK") == 3);
}

TEST_CASE("http server: an idle connection beyond its time: closed, however "
          "long the time")
{
    http_limits limits;
    limits.idle_timeout = milliseconds(1500);
    server_fixture fixture(limits);
    raw_caller caller(fixture.server.port());
    run_for(milliseconds(500));
    CHECK(caller.socket.state() == QAbstractSocket::ConnectedState);
    CHECK(caller.waits_for_close());
}

TEST_CASE("http server: more bytes of bodies than the bound: 503 until they "
          "are answered")
{
    http_limits limits;
    limits.maximum_held_bytes = 100;
    server_fixture fixture(limits);
    fixture.keep_exchanges();
    auto const post = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 80\r\n"
                      "\r\n" +
                      QByteArray(80, 'a');
    raw_caller first(fixture.server.port());
    first.send(post);
    REQUIRE(fixture.waits_for_kept(1));
    raw_caller second(fixture.server.port());
    second.send(post.chopped(1));
    check_refusal(second, "503");
    fixture.kept.front()->respond({});
    raw_caller third(fixture.server.port());
    third.send(post);
    CHECK(fixture.waits_for_kept(2));
}
