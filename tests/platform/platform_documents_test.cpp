#include "platform_dialect.hpp"
#include "platform_documents.hpp"

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "verbenacove/core/cbor.hpp"
#include "verbenacove/process/control_state.hpp"
#include "verbenacove/process/raft_types.hpp"

#include <doctest/doctest.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <boost/leaf/handle_errors.hpp>

using namespace verbenacove;
using namespace verbenacove::platform;

namespace
{

QByteArray const whole_body = R"({"Version":"r7","Routes":{"r-1":{
    "Hostname":"jepu9.example","PathPrefix":"/lepu270/","Kind":"safe",
    "Timeout":"1500ms","TargetLatency":"0.4s","Priority":2,
    "TrafficSplit":[{"Service":"a","Weight":90},{"Service":"b","Weight":10}],
    "MaxAttempts":2,"SessionAffinity":true,"HomeRegions":["casa"],
    "Later":{"x":[1,2]}},
    "r-2":{"Hostname":"hulo84.example","PathPrefix":"/","Kind":"unsafe",
    "Timeout":"2000ms","TargetLatency":"500ms","Priority":1,"Service":"a",
    "MaxAttempts":1,"SessionAffinity":false,"HomeRegions":[]}},
    "Services":{"a":{"HealthPath":"/health","MaxConnections":390,
    "Protocol":"h1","Tls":false,"ColdStart":"3s","WarmupPerS":5.4},
    "b":{"HealthPath":"/health","MaxConnections":390}},
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,
    "HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";

/** Reads a change; the key that is wrong goes to `wrong_key`. */
std::optional<route_change> change_of(QByteArray const& body, change_form form,
                                      QString& wrong_key,
                                      QByteArray const& base = "r5")
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<route_change>>
        {
            BOOST_LEAF_AUTO(change, read_change(body, base, form));
            return std::optional<route_change>(std::move(change));
        },
        [&](document_error const& error) -> std::optional<route_change>
        {
            wrong_key = error.key;
            return std::nullopt;
        },
        [] { return std::optional<route_change>(); });
}

std::optional<upstream_member> heartbeat_of(QByteArray const& body)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<upstream_member>>
        {
            BOOST_LEAF_AUTO(record, read_heartbeat(body, QStringLiteral("i-1"),
                                                   monotonic_time{}));
            return std::optional<upstream_member>(std::move(record));
        },
        [] { return std::optional<upstream_member>(); });
}

QByteArray heartbeat_with(char const* key, QJsonValue const& value)
{
    QJsonObject object{
        {QStringLiteral("Service"), QStringLiteral("a")},
        {QStringLiteral("Address"), QStringLiteral("10.0.0.9:8080")},
        {QStringLiteral("Zone"), QStringLiteral("casa-port")},
        {QStringLiteral("Version"), QStringLiteral("v1")},
        {QStringLiteral("Slots"), 4},
        {QStringLiteral("State"), QStringLiteral("ready")},
        {QStringLiteral("ColdRemaining"), QStringLiteral("250ms")},
        {QStringLiteral("Sequence"), 4},
        {QStringLiteral("born"), 1767425050000.0}};
    if (value.isUndefined())
    {
        object.remove(QLatin1String(key));
    }
    else
    {
        object[QLatin1String(key)] = value;
    }
    return QJsonDocument(object).toJson();
}

} // namespace

TEST_CASE("platform documents: a whole configuration: decoded and kept")
{
    QString wrong;
    auto const change = change_of(whole_body, change_form::whole, wrong);
    REQUIRE(change);
    CHECK(change->version == route_version(7));
    CHECK(change->base == route_version(5));
    CHECK(change->is_whole);
    REQUIRE(change->routes.size() == 2);
    auto const& route = change->routes[0];
    CHECK(route.objective == milliseconds(400));
    CHECK(route.is_idempotent);
    CHECK(route.homes.size() == 1);
    CHECK(route.split.size() == 2);
    CHECK_FALSE(change->routes[1].is_idempotent);
    CHECK(change->routes[1].split.size() == 1);

    auto const written = write_configuration(changed({}, *change));
    CHECK(QJsonDocument::fromJson(written) ==
          QJsonDocument::fromJson(whole_body));
}

TEST_CASE("platform documents: white space differs: the same signature")
{
    QString wrong;
    auto const a = change_of(whole_body, change_form::whole, wrong);
    auto const compact =
        QJsonDocument::fromJson(whole_body).toJson(QJsonDocument::Compact);
    auto const b = change_of(compact, change_form::whole, wrong);
    auto const other = change_of(compact, change_form::whole, wrong, "r6");
    REQUIRE((a && b && other));
    CHECK(a->signature == b->signature);
    CHECK(a->signature != other->signature);
}

TEST_CASE("platform documents: a document cut short: refused")
{
    QString wrong;
    for (auto length = 0; length < whole_body.size(); length += 7)
    {
        CHECK_FALSE(
            change_of(whole_body.left(length), change_form::whole, wrong));
    }
}

TEST_CASE("platform documents: values of other types: the key is named")
{
    struct wrong_value
    {
        char const* before;
        char const* after;
        char const* key;
    };
    std::vector<wrong_value> const values{
        {R"("Version":"r7")", R"("Version":7)", "Version"},
        {R"("Version":"r7")", R"("Version":"x7")", "Version"},
        {R"("Hostname":"jepu9.example",)", "", "r-1.Hostname"},
        {R"("Timeout":"1500ms")", R"("Timeout":1500)", "r-1.Timeout"},
        {R"("Priority":2)", R"("Priority":-2)", "r-1.Priority"},
        {R"("SessionAffinity":true)", R"("SessionAffinity":1)",
         "r-1.SessionAffinity"},
        {R"("HomeRegions":["casa"])", R"("HomeRegions":[7])",
         "r-1.HomeRegions"},
        {R"("WarmupPerS":5.4)", R"("WarmupPerS":"5")", "a.WarmupPerS"},
        {R"("MaxHeaderBytes":16384)", R"("MaxHeaderBytes":0)",
         "Limits.MaxHeaderBytes"}};
    for (auto const& value : values)
    {
        auto body = whole_body;
        body.replace(value.before, value.after);
        QString wrong;
        CHECK_FALSE(change_of(body, change_form::whole, wrong));
        CHECK(wrong == QLatin1String(value.key));
    }
}

TEST_CASE("platform documents: named items: read from tables and lists")
{
    QString wrong;
    QByteArray const route =
        R"("Hostname":"h","PathPrefix":"/","Kind":"safe","Service":"a")";
    auto const table =
        change_of(R"({"Version":"r9","Upsert":{"Routes":{"r-3":{)" + route +
                      R"(}}},"Remove":{"Routes":["r-1"],"Services":["b"]}})",
                  change_form::items, wrong);
    REQUIRE(table);
    CHECK_FALSE(table->is_whole);
    CHECK(table->routes[0].name == QStringLiteral("r-3"));
    CHECK(table->removed_routes.size() == 1);
    CHECK(table->removed_services.size() == 1);
    CHECK_FALSE(table->limits);
    auto const list =
        change_of(R"({"Version":"r9","Upsert":{"Routes":[{"Name":"r-3",)" +
                      route + R"(}]}})",
                  change_form::items, wrong);
    REQUIRE(list);
    CHECK(list->routes[0].name == QStringLiteral("r-3"));
}

TEST_CASE("platform documents: a deeply nested value: refused, or replicas can "
          "read it back")
{
    for (int const depth : {10, 60, 1000, 1010, 1015, 1018, 1020, 2000})
    {
        QByteArray const nested =
            QByteArray(depth, '[') + QByteArray(depth, ']');
        auto const body = QByteArray(whole_body)
                              .replace(R"("Kind":"safe")",
                                       R"("Kind":"safe","Note":)" + nested);
        REQUIRE(body.contains(nested));
        QString wrong;
        auto const change = change_of(body, change_form::whole, wrong);
        if (!change)
        {
            continue;
        }
        raft_entry const entry{
            log_index(1), log_term(1), raft_entry_kind::command,
            control_state::route_command(*change, control_state::form::latest)};
        QCborMap const record{
            {QLatin1String("append"), QCborArray{to_cbor(entry)}}};
        CHECK_MESSAGE(parse_cbor_map(record.toCborValue().toCbor()), "nested ",
                      depth, " deep");
    }
}

TEST_CASE("platform documents: a heartbeat: decoded")
{
    auto const record = heartbeat_of(heartbeat_with("Slots", 6));
    REQUIRE(record);
    CHECK(record->content.slots == slot_count(6));
    CHECK(record->started == incarnation(1767425050000));
    CHECK(record->content.cold_until == monotonic_time{} + milliseconds(250));
    CHECK(record->phase == member_phase::serving);
    CHECK(heartbeat_of(heartbeat_with("State", QStringLiteral("draining")))
              ->phase == member_phase::draining);
}

TEST_CASE("platform documents: heartbeats of another writer: refused")
{
    CHECK_FALSE(heartbeat_of("no JSON"));
    CHECK_FALSE(heartbeat_of("[1]"));
    CHECK_FALSE(heartbeat_of(heartbeat_with("State", QStringLiteral("odd"))));
    CHECK_FALSE(heartbeat_of(heartbeat_with("Address", QStringLiteral("x"))));
    CHECK_FALSE(heartbeat_of(heartbeat_with("born", 1.5)));
    for (auto const* key : {"Slots", "Sequence", "born", "ColdRemaining"})
    {
        CHECK_FALSE(heartbeat_of(heartbeat_with(key, true)));
        CHECK_FALSE(heartbeat_of(heartbeat_with(key, -3)));
    }
}

// Under the id of an upstream in use, one without Slots, ColdRemaining or
// Version moved it to another service.
TEST_CASE("platform documents: a heartbeat that lacks a field, or has one of "
          "another type: refused")
{
    auto const texts = {"Service", "Address", "Zone",
                        "Version", "State",   "ColdRemaining"};
    auto const numbers = {"Slots", "Sequence", "born"};
    auto const check_refused = [](char const* key, QJsonValue const& other)
    {
        CAPTURE(std::string(key));
        for (auto const& value :
             {QJsonValue(QJsonValue::Undefined), QJsonValue(), QJsonValue(true),
              QJsonValue(QJsonArray()), QJsonValue(QJsonArray{1}),
              QJsonValue(QJsonObject()), other})
        {
            CHECK_FALSE(heartbeat_of(heartbeat_with(key, value)));
        }
    };
    for (auto const* key : texts)
    {
        check_refused(key, 4);
    }
    for (auto const* key : numbers)
    {
        check_refused(key, QStringLiteral("4"));
    }
}

// A body of 8 MiB of short values took a replica over its VM's memory.
TEST_CASE("platform documents: very many values: refused before a document is "
          "built; many routes are not")
{
    auto const many = [](QByteArray const& value, int count)
    {
        return "{\"Later\":[" + (value + ',').repeated(count) + value + "]}";
    };
    CHECK_FALSE(heartbeat_of(many("0", 256)));
    QString wrong;
    for (QByteArray const value : {"{\"\":[0]}", "[[]]", "0"})
    {
        for (auto const form : {change_form::whole, change_form::items})
        {
            CHECK_FALSE(change_of(many(value, 200000), form, wrong));
        }
    }
    QByteArray routes;
    constexpr int route_count = 1400;
    for (int number = 0; number < route_count; ++number)
    {
        routes += ",\"r-" + QByteArray::number(number + 10) +
                  R"(":{"Hostname":"h.example","PathPrefix":"/p/",
                  "Kind":"safe","Timeout":"1500ms","TargetLatency":"400ms",
                  "Priority":2,"TrafficSplit":[{"Service":"a","Weight":90},
                  {"Service":"b","Weight":10}],"MaxAttempts":2,"Public":false,
                  "SessionAffinity":true,"HomeRegions":["casa","fes"]})";
    }
    auto body = whole_body;
    body.replace("}},\n    \"Services\"", "}" + routes + "},\n \"Services\"");
    auto const change = change_of(body, change_form::whole, wrong);
    REQUIRE(change);
    CHECK(change->routes.size() == route_count + 2);
}

// Replicas kept texts of any length and sent them to all entries.
TEST_CASE("platform documents: heartbeats with long texts: refused")
{
    QString const longest(128, QLatin1Char('a'));
    CHECK(heartbeat_of(heartbeat_with("Service", longest)));
    for (auto const* key : {"Service", "Zone", "Address", "State"})
    {
        CAPTURE(std::string(key));
        CHECK_FALSE(
            heartbeat_of(heartbeat_with(key, longest + QLatin1Char('a'))));
    }
}

TEST_CASE("platform documents: heartbeats with numbers that are too large: "
          "refused")
{
    CHECK_FALSE(heartbeat_of(heartbeat_with("born", 9007199254740992.0)));
    CHECK_FALSE(heartbeat_of(heartbeat_with("Slots", 1000000)));
    for (char const* const key : {"Slots", "Sequence", "born"})
    {
        CHECK_FALSE(heartbeat_of(heartbeat_with(key, 1e300)));
        CHECK_FALSE(heartbeat_of(heartbeat_with(key, -1e300)));
    }
    for (char const* const address :
         {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:1e3",
          "10.0.0.999:80", "10.0.0.9:99999999999999999999"})
    {
        CHECK_FALSE(heartbeat_of(
            heartbeat_with("Address", QString::fromLatin1(address))));
    }
}

TEST_CASE("platform documents: heartbeats with fractions: rounded down, and "
          "slots never to none")
{
    CHECK(heartbeat_of(heartbeat_with("Slots", 3.7))->content.slots ==
          slot_count(3));
    CHECK(heartbeat_of(heartbeat_with("Slots", 0.5))->content.slots ==
          slot_count(1));
    CHECK(heartbeat_of(heartbeat_with("Sequence", 4.5))->sequence == 4);
}

TEST_CASE("platform documents: limits with fractions: rounded down")
{
    QString wrong_key;
    auto body = whole_body;
    body.replace("\"MaxAttempts\":2", "\"MaxAttempts\":2.9")
        .replace("\"Priority\":2", "\"Priority\":2.5")
        .replace("\"MaxConnections\":390", "\"MaxConnections\":0.4")
        .replace("16384", "16384.5")
        .replace("67108864", "67108864.25");
    auto const change = change_of(body, change_form::whole, wrong_key);
    REQUIRE(change);
    CHECK(change->routes.front().maximum_attempts == 2);
    CHECK(change->services.front().connection_limit == 1);
    CHECK(change->limits->header_bytes == 16384);
    CHECK(change->limits->body_bytes == 67108864);
}

TEST_CASE("platform documents: weights with fractions: their shares are kept")
{
    QString wrong_key;
    auto body = whole_body;
    body.replace("\"Weight\":90", "\"Weight\":0.3")
        .replace("\"Weight\":10", "\"Weight\":0.7");
    auto const change = change_of(body, change_form::whole, wrong_key);
    REQUIRE(change);
    auto const& split = change->routes.front().split;
    REQUIRE(split.size() == 2);
    double const total = split[0].weight + split[1].weight;
    CHECK(split[0].weight / total == doctest::Approx(0.3).epsilon(1e-5));
    body.replace("\"Weight\":0.3", "\"Weight\":-0.3");
    CHECK_FALSE(change_of(body, change_form::whole, wrong_key));
    CHECK(wrong_key.contains(QStringLiteral("Weight")));
}

TEST_CASE("platform dialect: numbers with fractions: rounded to the safe side")
{
    platform_dialect const dialect;
    http_request request;
    request.headers = {{"Verbenacove-Deadline-Ms", "1500.9"}};
    CHECK(dialect.read_request(request).time_left == milliseconds(1500));
    http_response response;
    response.headers = {{"Verbenacove-Backend-Load", "2.2,0.1,4.9"},
                        {"Verbenacove-Cold-Ms", "900.2"}};
    auto const metadata = dialect.read_response(response);
    REQUIRE(metadata.load);
    CHECK(metadata.load->running == 3);
    CHECK(metadata.load->waiting == 1);
    CHECK(metadata.load->slots == 4);
    CHECK(metadata.cold_start_remaining == milliseconds(901));
}

TEST_CASE("platform dialect: a load that cannot be: left out and marked")
{
    platform_dialect const dialect;
    for (char const* const load :
         {"-1,0,4", "2147483647,2147483647,4", "1,2", "1,2,x",
          "99999999999,0,4", "1,0,4,x", "1,0,4,", "1,0,4,-5", "1,0,4,0",
          "1,0,4,nan", "1,0,4,1e9", "1,0,4,100,7"})
    {
        http_response const response{
            200, {{"Verbenacove-Backend-Load", load}}, {}};
        CHECK_FALSE(dialect.read_response(response).load);
        CHECK(dialect.read_response(response).is_load_unreadable);
    }
    CHECK_FALSE(dialect.read_response({}).is_load_unreadable);
}

TEST_CASE("platform dialect: a load of four figures: the time work takes read")
{
    platform_dialect const dialect;
    http_response response;
    response.headers = {{"Verbenacove-Backend-Load", "3, 1, 6, 250"}};
    auto const four = dialect.read_response(response);
    REQUIRE(four.load);
    CHECK(four.load->running == 3);
    CHECK(four.load->waiting == 1);
    CHECK(four.load->slots == 6);
    REQUIRE(four.load->work_factor);
    CHECK(*four.load->work_factor == doctest::Approx(2.5));
    CHECK_FALSE(four.is_load_unreadable);
    response.headers = {{"Verbenacove-Backend-Load", "3,1,6"}};
    auto const three = dialect.read_response(response);
    REQUIRE(three.load);
    CHECK_FALSE(three.load->work_factor);
}

TEST_CASE("platform dialect: outgoing headers: replaced, not added twice")
{
    platform_dialect const dialect;
    std::vector<http_header> headers{{"verbenacove-deadline-ms", "9000"},
                                     {"X-Other", "1"}};
    dialect.set_request_headers(headers, milliseconds(120),
                                upstream_id(QStringLiteral("i-7")));
    CHECK(headers.size() == 3);
    CHECK(find_http_header(headers, "Verbenacove-Deadline-Ms") == "120");
    CHECK(find_http_header(headers, "Verbenacove-Target-Instance") == "i-7");
}

TEST_CASE("platform dialect: an answer's marks: decoded or left out")
{
    platform_dialect const dialect;
    http_response answer;
    answer.headers = {{"Verbenacove-Backend-Load", "3,1,8"},
                      {"Verbenacove-Not-Executed", "1"},
                      {"Verbenacove-Instance-Id", "i-7"},
                      {"Verbenacove-Cold-Ms", "900"}};
    auto const marks = dialect.read_response(answer);
    REQUIRE(marks.load);
    CHECK(marks.load->running == 3);
    CHECK(marks.load->waiting == 1);
    CHECK(marks.load->slots == 8);
    CHECK(marks.is_not_executed);
    CHECK(marks.cold_start_remaining == milliseconds(900));
    answer.headers = {{"Verbenacove-Backend-Load", "3,x"}};
    CHECK_FALSE(dialect.read_response(answer).load);
    CHECK_FALSE(dialect.read_response(answer).is_not_executed);
}

TEST_CASE("platform dialect: rate limit: decoded, absent or unreadable")
{
    platform_dialect const dialect;
    http_response answer;
    CHECK_FALSE(dialect.read_response(answer).rate_limit);
    CHECK_FALSE(dialect.read_response(answer).is_rate_limit_unreadable);
    for (char const* const value : {"2.5", " 2.5 ", "25e-1"})
    {
        answer.headers = {{"server-limit", value}};
        CHECK(dialect.read_response(answer).rate_limit ==
              requests_per_second(2.5));
    }
    answer.headers = {{"Server-Limit", "0"}};
    CHECK(dialect.read_response(answer).rate_limit == requests_per_second(0));
    answer.headers = {{"Server-Limit", "1e300"}};
    CHECK(dialect.read_response(answer).rate_limit->value() <= 1e6);
    for (char const* const value : {"", "-1", "nan", "ten", "1,5", "2 per s"})
    {
        answer.headers = {{"Server-Limit", value}};
        CHECK_FALSE(dialect.read_response(answer).rate_limit);
        CHECK(dialect.read_response(answer).is_rate_limit_unreadable);
    }
}

TEST_CASE("platform dialect: an upstream that leaves: decoded")
{
    platform_dialect const dialect;
    http_response answer;
    CHECK_FALSE(dialect.read_response(answer).is_leaving);
    answer.headers = {{"Server-Leaving", "0"}};
    CHECK_FALSE(dialect.read_response(answer).is_leaving);
    answer.headers = {{"server-leaving", " 1 "}};
    CHECK(dialect.read_response(answer).is_leaving);
}

TEST_CASE("platform dialect: pause of an upstream: decoded, bounded or ignored")
{
    platform_dialect const dialect;
    auto const pause_of = [&dialect](char const* value)
    {
        http_response answer;
        answer.headers = {{"Retry-After", value}};
        return dialect.read_response(answer).pause;
    };
    CHECK(pause_of("2") == milliseconds(2000));
    CHECK(pause_of("0.25") == milliseconds(250));
    CHECK(pause_of("0") == milliseconds(0));
    CHECK(pause_of("1e9") == milliseconds(60000));
    for (char const* const value :
         {"", "-1", "nan", "soon", "1;2", "Sat, 05 Dec 2026 00:00:00 GMT"})
    {
        CHECK_FALSE(pause_of(value));
    }
}
