#include "steady_callers.hpp"
#include "support/cluster_fixture.hpp"
#include "support/http_caller.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int places = 3;
constexpr int callers_count = 8;
constexpr milliseconds stop_bound{20000};
/** How long an upstream serves on after it announced that it drains. */
constexpr int linger_ms = 3200;

QString numbered(char const* name, int number)
{
    return QStringLiteral("%1-%2").arg(QLatin1String(name)).arg(number);
}

/** Three regions, each with a control replica, an entry and an upstream of
    each service. */
class rolling_fixture : public cluster_fixture
{
public:
    rolling_fixture()
        : cluster_fixture(QStringLiteral(VERBENACOVE_BINARIES))
    {
        for (int i = 1; i <= places; ++i)
        {
            place const where{numbered("region", i), numbered("zone", i)};
            add_control(numbered("control", i), where);
            add_entry(numbered("entry", i), where);
            for (auto const* service : {"gradebook", "dispatch"})
            {
                add_upstream(
                    numbered(service, i), QString::fromLatin1(service), where,
                    {QStringLiteral("--linger-ms"), QString::number(linger_ms),
                     QStringLiteral("--slots"), QStringLiteral("20")});
            }
        }
        REQUIRE(start_all());
        create_service("gradebook", "interactive");
        create_service("dispatch", "non-idempotent");
        for (int i = 1; i <= places; ++i)
        {
            REQUIRE(wait_ready(numbered("entry", i)));
            REQUIRE(wait_serving(i));
        }
    }

    /** Waits until an entry names all entries and sees each service run. */
    bool wait_serving(int number)
    {
        http_call lookup;
        lookup.address = address(numbered("entry", number), door::http);
        lookup.target = "/v1/lookup?service=gradebook";
        auto call = lookup;
        call.method = "POST";
        call.target = "/v1/call/gradebook/probe";
        return wait_until(
            [&]
            {
                return call_http(lookup)
                               .json()[QStringLiteral("entries")]
                               .toArray()
                               .size() == places &&
                       call_http(call).is(200);
            });
    }

    std::vector<socket_address> entries() const
    {
        std::vector<socket_address> result;
        for (int i = 1; i <= places; ++i)
        {
            result.push_back(address(numbered("entry", i), door::http));
        }
        return result;
    }

    /** Starts an upstream that has ended as a later one of the same id. */
    bool start_again(char const* service, int number)
    {
        auto const name = numbered(service, number);
        QStringList addresses;
        for (auto const& entry : entries())
        {
            addresses += entry.text();
        }
        auto made = std::make_unique<child_process>();
        bool const is_started = made->start(
            QStringLiteral(VERBENACOVE_BINARIES "/tests/upstream_stand_in"),
            QStringLiteral("--id %1 --service %2 --region %3 --zone %4 "
                           "--listen %5 --run-log %6 --entries %7 "
                           "--incarnation 2 --slots 20 --linger-ms %8")
                .arg(name, QLatin1String(service), numbered("region", number),
                     numbered("zone", number), address(name, door::http).text(),
                     path(name, QStringLiteral("runs")), addresses.join(u','),
                     QString::number(linger_ms))
                .split(u' '),
            path(name, QStringLiteral("log")));
        restarted_.push_back(std::move(made));
        return is_started && wait_ready(name);
    }

    /** Returns how often each key has run. */
    std::map<QByteArray, int> runs_by_key() const
    {
        std::map<QByteArray, int> result;
        for (int i = 1; i <= places; ++i)
        {
            for (auto const& run : read_run_log(
                     path(numbered("dispatch", i), QStringLiteral("runs"))))
            {
                ++result[run.key];
            }
        }
        return result;
    }

private:
    void create_service(char const* name, char const* kind)
    {
        auto const record =
            QStringLiteral(
                R"({"name":"%1","class":"%2","timeout_ms":5000,"max_body_bytes":65536})")
                .arg(QLatin1String(name), QLatin1String(kind));
        auto const result =
            run_client({QStringLiteral("create"), QStringLiteral("service"),
                        QString::fromLatin1(name), QStringLiteral("--file"),
                        QStringLiteral("-")},
                       record.toUtf8());
        CAPTURE(result.errors.toStdString());
        REQUIRE(result.exit_code == 0);
    }

    std::vector<std::unique_ptr<child_process>> restarted_;
};

quint32 seed()
{
    auto const given = qEnvironmentVariableIntValue("VERBENACOVE_SEED");
    return given > 0 ? quint32(given) : 1;
}

void check_callers(steady_callers& callers, rolling_fixture const& cluster)
{
    callers.stop();
    auto const failures = callers.failures();
    MESSAGE("seed " << seed() << ": " << callers.done() << " requests done, "
                    << failures.size() << " failed");
    CAPTURE(seed());
    CAPTURE(failures.mid(0, 10).join(u'\n').toStdString());
    CHECK(failures.isEmpty());
    CHECK(callers.done() > 0);
    auto const runs = cluster.runs_by_key();
    int wrong = 0;
    for (auto const& key : callers.keys())
    {
        auto const found = runs.find(key);
        wrong += found == runs.end() || found->second != 1 ? 1 : 0;
    }
    CHECK(wrong == 0);
}

} // namespace

TEST_CASE("rolling restart: entries under load, no request fails")
{
    rolling_fixture cluster;
    steady_callers callers(cluster.entries(), callers_count, seed());
    for (int i = 1; i <= places; ++i)
    {
        auto const name = numbered("entry", i);
        CHECK(cluster.process(name).stop_gracefully(stop_bound) == 0);
        REQUIRE(cluster.start(name));
        CHECK(cluster.wait_ready(name));
        CHECK(cluster.wait_serving(i));
    }
    check_callers(callers, cluster);
}

TEST_CASE("rolling restart: control and upstreams under load, none fails")
{
    rolling_fixture cluster;
    steady_callers callers(cluster.entries(), callers_count, seed() + 1);
    for (int i = 1; i <= places; ++i)
    {
        auto const name = numbered("control", i);
        CHECK(cluster.process(name).stop_gracefully(stop_bound) == 0);
        REQUIRE(cluster.start(name));
        CHECK(cluster.wait_ready(name));
    }
    CHECK(callers.failures().isEmpty());
    for (int i = 1; i <= places; ++i)
    {
        for (auto const* service : {"gradebook", "dispatch"})
        {
            auto const name = numbered(service, i);
            CHECK(cluster.process(name).stop_gracefully(stop_bound) == 0);
            REQUIRE(cluster.start_again(service, i));
        }
        // Each entry uses it again, before the next one goes.
        CHECK(cluster.wait_serving(i));
    }
    check_callers(callers, cluster);
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
