#include "support/cluster_fixture.hpp"
#include "support/http_caller.hpp"
#include "support/wait_until.hpp"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QJsonArray>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

/** Karoo's places with one entry and one control replica in each region, and
    two upstreams of each of two services. */
class karoo_fixture : public cluster_fixture
{
public:
    karoo_fixture()
        : cluster_fixture(QStringLiteral(VERBENACOVE_BINARIES))
    {
        int number = 0;
        for (auto const& region :
             {QStringLiteral("wcape"), QStringLiteral("gauteng"),
              QStringLiteral("ecape")})
        {
            ++number;
            place const where{region, region + QStringLiteral("-a")};
            add_control(QStringLiteral("control-%1").arg(number), where);
            add_entry(QStringLiteral("entry-%1").arg(number), where);
            add_upstream(QStringLiteral("gradebook-%1").arg(number),
                         QStringLiteral("gradebook"), where);
            add_upstream(QStringLiteral("dispatch-%1").arg(number),
                         QStringLiteral("dispatch"), where);
        }
        REQUIRE(start_all());
        for (int i = 1; i <= 3; ++i)
        {
            REQUIRE(wait_ready(QStringLiteral("entry-%1").arg(i)));
        }
    }

    void create_service(QString const& name, QString const& kind)
    {
        auto const record =
            QStringLiteral(
                R"({"name":"%1","class":"%2","timeout_ms":5000,"max_body_bytes":65536})")
                .arg(name, kind);
        auto const result =
            run_client({QStringLiteral("create"), QStringLiteral("service"),
                        name, QStringLiteral("--file"), QStringLiteral("-")},
                       record.toUtf8());
        CAPTURE(result.errors.toStdString());
        CAPTURE(result.output.toStdString());
        REQUIRE(result.exit_code == 0);
    }

    http_answer call(QString const& entry, QByteArray const& method,
                     QByteArray const& target,
                     QList<QByteArray> const& headers = {},
                     QByteArray const& body = {}) const
    {
        http_call call;
        call.address = address(entry, door::http);
        call.method = method;
        call.target = target;
        call.headers = headers;
        call.body = body;
        return call_http(call);
    }

    /** Waits until an entry answers a look-up for a service. */
    bool wait_service(QString const& entry, QByteArray const& service)
    {
        return wait_until(
            [&] {
                return call(entry, "GET", "/v1/lookup?service=" + service)
                    .is(200);
            },
            milliseconds(7000));
    }
};

} // namespace

TEST_CASE("whole path: a look-up, requests, a release sent twice, a stop")
{
    karoo_fixture karoo;
    karoo.create_service(QStringLiteral("gradebook"),
                         QStringLiteral("interactive"));
    karoo.create_service(QStringLiteral("dispatch"),
                         QStringLiteral("non-idempotent"));
    for (int i = 1; i <= 3; ++i)
    {
        auto const entry = QStringLiteral("entry-%1").arg(i);
        CHECK(karoo.wait_service(entry, "gradebook"));
        CHECK(karoo.wait_service(entry, "dispatch"));
    }
    auto const entry = QStringLiteral("entry-1");
    CHECK(wait_until(
        [&]
        {
            auto const answer = karoo.call(
                entry, "GET",
                "/v1/lookup?service=gradebook&region=wcape&zone=wcape-a");
            return answer.json()
                       .value(QStringLiteral("entries"))
                       .toArray()
                       .size() == 3;
        }));

    CHECK(wait_until(
        [&]
        {
            auto const answer =
                karoo.call(entry, "GET", "/v1/call/gradebook/lots/7");
            return answer.is(200) && answer.headers["run-verdict"] == "ran";
        }));

    auto const without_key =
        karoo.call(entry, "POST", "/v1/call/dispatch/bales/1/release");
    CHECK(without_key.status == 400);
    CHECK(without_key.headers["run-verdict"] == "not-run");

    auto const first =
        karoo.call(entry, "POST", "/v1/call/dispatch/bales/1/release",
                   {"Idempotency-Key: bale-1"}, "{}");
    CAPTURE(first.body.toStdString());
    CAPTURE(karoo.log_tails().toStdString());
    REQUIRE(first.is(200));
    CHECK(first.headers["run-verdict"] == "ran");
    auto const again = karoo.call(QStringLiteral("entry-2"), "POST",
                                  "/v1/call/dispatch/bales/1/release",
                                  {"Idempotency-Key: bale-1"}, "{}");
    CHECK(again.is(200));
    CHECK(again.headers["run-replayed"] == "true");
    CHECK(again.body == first.body);
    auto const other = karoo.call(QStringLiteral("entry-3"), "POST",
                                  "/v1/call/dispatch/bales/1/release",
                                  {"Idempotency-Key: bale-1"}, "{\"x\":1}");
    CHECK(other.status == 409);
    CHECK(other.headers["run-verdict"] == "not-run");

    CHECK(karoo.process(QStringLiteral("entry-1"))
              .stop_gracefully(milliseconds(10000)) == 0);
    CHECK(karoo.process(QStringLiteral("control-1"))
              .stop_gracefully(milliseconds(10000)) == 0);
    CHECK(karoo.process(QStringLiteral("dispatch-1"))
              .stop_gracefully(milliseconds(10000)) == 0);
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
