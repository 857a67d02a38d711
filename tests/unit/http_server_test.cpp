#include "http_test_tools.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

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

    int handled = 0;
    http_server::handler handle = [](std::shared_ptr<http_exchange> const& got)
    {
        got->respond({200, {}, got->request().path + got->request().body});
    };
    http_server server;
};

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
    caller.send("PURGE /a%2Fb//c?d=%20e HTTP/1.1\r\nHost: x\r\nX-Odd: 1\r\n"
                "Content-Length: 3\r\n\r\nabc");
    REQUIRE(caller.waits_for("done"));
    CHECK(caller.received == "HTTP/1.1 201 Created\r\nX-Answer: 1\r\n"
                             "Content-Length: 4\r\n\r\ndone");
    CHECK(seen.method == "PURGE");
    CHECK(seen.path == "/a%2Fb//c");
    CHECK(seen.query == "d=%20e");
    CHECK(seen.header("x-odd") == "1");
    CHECK(seen.body == "abc");
    CHECK(seen.remote == QHostAddress(QHostAddress::LocalHost));
}
