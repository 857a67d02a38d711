#include "verbenacove/request/relay_headers.hpp"
#include "verbenacove/request/relay_selector.hpp"
#include "verbenacove/request/upstream_reachability.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace verbenacove;

namespace
{

/** An entry whose attempts to connect are reported one by one. */
struct reachability_fixture
{
    reachability_fixture() { clock.advance(milliseconds(10000)); }

    void fail(int upstream, milliseconds took = milliseconds(300))
    {
        attempt_result result;
        result.end = attempt_end::timed_out_before_send;
        result.duration = took;
        reachability.record_attempt(id(upstream), result);
    }

    void refuse(int upstream)
    {
        attempt_result result;
        result.end = attempt_end::connect_failed;
        result.duration = milliseconds(2);
        reachability.record_attempt(id(upstream), result);
    }

    void connect(monotonic_time opened)
    {
        attempt_result result;
        result.end = attempt_end::answered;
        result.connected = opened;
        reachability.record_attempt(id(0), result);
    }

    void answer_on_kept_connection()
    {
        attempt_result result;
        result.end = attempt_end::answered;
        reachability.record_attempt(id(0), result);
    }

    void cut_off()
    {
        clock.advance(milliseconds(500));
        for (int upstream = 1; upstream <= 3; ++upstream)
        {
            fail(upstream);
        }
    }

    static upstream_id id(int number)
    {
        return upstream_id(QString::number(number));
    }

    manual_clock_source clock;
    std::vector<bool> changes;
    upstream_reachability reachability{clock, [this](bool is_cut_off)
                                       {
                                           changes.push_back(is_cut_off);
                                       }};
};

entry_view entry_at(char const* name, char const* region)
{
    entry_view result;
    result.id = entry_id(QString::fromLatin1(name));
    result.region = region_name(QString::fromLatin1(region));
    return result;
}

/** An entry in casa that may relay to one in casa and one in fes. */
struct relay_fixture
{
    relay_fixture()
    {
        clock.advance(milliseconds(10000));
        relays.set_entries(near);
    }

    void add_remote(entry_view const& entry)
    {
        relays.set_entries(near, {entry});
    }

    /** Returns the names of the entries that are selected in many draws. */
    std::set<QString> chosen(std::vector<region_name> const& homes = {},
                             std::vector<entry_id> const& excluded = {})
    {
        std::set<QString> result;
        for (int draw = 0; draw < 100; ++draw)
        {
            auto const entry = relays.choose(homes, excluded);
            result.insert(entry ? entry->id.value() : QString());
        }
        return result;
    }

    std::vector<entry_view> const near{entry_at("near", "casa"),
                                       entry_at("far", "fes")};
    manual_clock_source clock;
    relay_selector relays{clock, 1};
};

} // namespace

TEST_CASE_FIXTURE(
    reachability_fixture,
    "upstream reachability: no connection to three upstreams: cut "
    "off")
{
    connect(clock.now());
    cut_off();
    CHECK(reachability.is_cut_off());
    CHECK(changes == std::vector<bool>{true});
}

TEST_CASE_FIXTURE(reachability_fixture,
                  "upstream reachability: one upstream fails again and again: "
                  "not cut off")
{
    clock.advance(milliseconds(500));
    for (int i = 0; i < 20; ++i)
    {
        fail(1);
    }
    CHECK_FALSE(reachability.is_cut_off());
}

TEST_CASE_FIXTURE(reachability_fixture,
                  "upstream reachability: a zone's upstreams fail while others "
                  "are connected to: not cut off")
{
    for (int i = 0; i < 30; ++i)
    {
        clock.advance(milliseconds(100));
        connect(clock.now());
        fail(1);
        fail(2);
        fail(3);
    }
    CHECK_FALSE(reachability.is_cut_off());
}

TEST_CASE_FIXTURE(reachability_fixture,
                  "upstream reachability: no new connection in time, but "
                  "responses: the link is full, not cut off")
{
    connect(clock.now());
    for (int i = 0; i < 20; ++i)
    {
        clock.advance(milliseconds(100));
        answer_on_kept_connection();
        fail(i);
    }
    CHECK_FALSE(reachability.is_cut_off());
    clock.advance(upstream_reachability::minimum_outage);
    fail(1);
    CHECK(reachability.is_cut_off());
}

TEST_CASE_FIXTURE(
    reachability_fixture,
    "upstream reachability: new connections are refused, kept ones "
    "work: cut off")
{
    connect(clock.now());
    clock.advance(milliseconds(500));
    for (int upstream = 1; upstream <= 6; ++upstream)
    {
        answer_on_kept_connection();
        refuse(upstream);
    }
    CHECK(reachability.is_cut_off());
}

TEST_CASE_FIXTURE(reachability_fixture,
                  "upstream reachability: a few full upstreams refuse: not cut "
                  "off")
{
    connect(clock.now());
    clock.advance(milliseconds(500));
    for (int upstream = 1; upstream <= 5; ++upstream)
    {
        refuse(upstream);
    }
    CHECK_FALSE(reachability.is_cut_off());
}

TEST_CASE(
    "upstream reachability: the entry has just started, upstreams refuse: "
    "not cut off")
{
    reachability_fixture entry;
    upstream_reachability fresh(entry.clock, [](bool) {});
    attempt_result refused;
    refused.end = attempt_end::connect_failed;
    for (int upstream = 1; upstream <= 10; ++upstream)
    {
        fresh.record_attempt(reachability_fixture::id(upstream), refused);
    }
    CHECK_FALSE(fresh.is_cut_off());
}

TEST_CASE_FIXTURE(reachability_fixture,
                  "upstream reachability: attempts with hardly any time: not "
                  "cut off")
{
    clock.advance(milliseconds(500));
    for (int upstream = 1; upstream <= 5; ++upstream)
    {
        fail(upstream, milliseconds(20));
    }
    CHECK_FALSE(reachability.is_cut_off());
}

TEST_CASE_FIXTURE(reachability_fixture,
                  "upstream reachability: kept connections still work: cut off "
                  "until a new one is opened")
{
    cut_off();
    answer_on_kept_connection();
    CHECK(reachability.is_cut_off());
    clock.advance(milliseconds(10));
    connect(clock.now());
    CHECK_FALSE(reachability.is_cut_off());
    CHECK(changes == std::vector<bool>{true, false});
}

TEST_CASE_FIXTURE(reachability_fixture,
                  "upstream reachability: an attempt ends whose connection was "
                  "opened before: still cut off")
{
    auto const before = clock.now();
    cut_off();
    connect(before);
    CHECK(reachability.is_cut_off());
}

TEST_CASE_FIXTURE(reachability_fixture,
                  "upstream reachability: cut off: waiting requests are told "
                  "once, and probes are rare")
{
    int calls = 0;
    reachability.call_when_cut_off([&] { ++calls; });
    reachability.remove(reachability.call_when_cut_off([&] { ++calls; }));
    CHECK_FALSE(reachability.start_due_probe());
    cut_off();
    CHECK(calls == 1);
    CHECK(reachability.start_due_probe());
    CHECK_FALSE(reachability.start_due_probe());
    clock.advance(upstream_reachability::probe_interval);
    CHECK(reachability.start_due_probe());
}

TEST_CASE_FIXTURE(relay_fixture,
                  "relay selection: no homes: all entries, but for tried ones")
{
    CHECK(chosen() ==
          std::set<QString>{QStringLiteral("near"), QStringLiteral("far")});
    CHECK(chosen({}, {entry_id(QStringLiteral("near"))}) ==
          std::set<QString>{QStringLiteral("far")});
}

// The caller may be of another region than the entry that relays.
TEST_CASE_FIXTURE(
    relay_fixture,
    "relay selection: homes elsewhere: none of this entry's or of "
    "a third region")
{
    region_name const home(QStringLiteral("agadir"));
    CHECK(chosen({home}) == std::set<QString>{QString()});
    auto const remote = entry_at("remote", "agadir");
    add_remote(remote);
    CHECK(chosen({home}) == std::set<QString>{QStringLiteral("remote")});
    CHECK(chosen({home}, {remote.id}) == std::set<QString>{QString()});
    CHECK(chosen().size() == 2);
}

TEST_CASE_FIXTURE(relay_fixture,
                  "relay selection: an entry failed: the other one, until none "
                  "is left")
{
    relays.record_failure(entry_id(QStringLiteral("near")));
    CHECK(chosen() == std::set<QString>{QStringLiteral("far")});
    CHECK(chosen({}, {entry_id(QStringLiteral("far"))}) ==
          std::set<QString>{QStringLiteral("near")});
    clock.advance(relay_selector::failure_retention + milliseconds(1));
    CHECK(chosen().size() == 2);
}

TEST_CASE("relay headers: set and read: the same, and removed without a trace")
{
    http_request request;
    request.headers = {{"Host", "g.example"}};
    set_relay_headers(request.headers, relay_request{2, route_version(7)});
    REQUIRE(read_relay_request(request));
    CHECK(read_relay_request(request)->maximum_attempts == 2);
    CHECK(read_relay_request(request)->version == route_version(7));
    remove_relay_headers(request.headers);
    CHECK(request.headers.size() == 1);

    std::vector<http_header> headers;
    set_relay_headers(
        headers,
        relay_response{run_verdict::ran, upstream_id(QStringLiteral("i-1"))});
    auto const read = read_relay_response(headers);
    REQUIRE(read);
    CHECK(read->verdict == run_verdict::ran);
    CHECK(read->upstream == upstream_id(QStringLiteral("i-1")));
}

TEST_CASE("relay headers: unreadable: as if there were none")
{
    for (char const* const value : {"", "0", "-1", "two", "99999999999999"})
    {
        http_request request;
        request.headers = {{"Relay-Attempts", value}};
        CHECK_FALSE(read_relay_request(request));
    }
    CHECK_FALSE(read_relay_response({{"Relay-Verdict", "perhaps"}}));
}
