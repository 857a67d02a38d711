#include "http_test_tools.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

constexpr char const* whole_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n\r\ndone";

struct client_fixture
{
    client_fixture() { ensure_application(); }

    static attempt_request post_to(socket_address const& address)
    {
        attempt_request result;
        result.address = address;
        result.method = "POST";
        result.target = "/release?bale=7";
        result.body = "{}";
        return result;
    }

    upstream_client client;
};

} // namespace

TEST_CASE_FIXTURE(client_fixture, "upstream client: a whole answer: answered, "
                                  "and the request as given")
{
    raw_upstream upstream([](QTcpSocket& socket, QByteArray const&)
                          { socket.write(whole_answer); });
    auto request = post_to(upstream.address());
    request.headers = {
        {"X-Empty", ""}, {"Connection", "x-hop"}, {"X-Hop", "1"}};
    auto const result = run_attempt(client, request);
    CHECK(result.end == attempt_end::answered);
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "done");
    REQUIRE(result.response.headers.size() == 1);
    CHECK(result.response.headers.front().name == "X-A");
    CHECK(upstream.last_request ==
          "POST /release?bale=7 HTTP/1.1\r\nHost: 127.0.0.1:" +
              QByteArray::number(upstream.address().port) +
              "\r\nX-Empty:\r\nContent-Length: 2\r\n\r\n{}");
    CHECK(client.attempts_in_flight() == 0);
}
