#ifndef VERBENACOVE_INTEGRATION_DRAIN_FIXTURE_HPP
#define VERBENACOVE_INTEGRATION_DRAIN_FIXTURE_HPP

#include "steady_callers.hpp"
#include "support/cluster_fixture.hpp"
#include "support/http_caller.hpp"
#include "support/udp_fault_proxy.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#include <doctest/doctest.h>

#include <QCoreApplication>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace verbenacove::support
{

inline constexpr int entries_count = 3;
inline constexpr int upstreams_count = 10;
inline constexpr int drains = 8;
inline constexpr int callers_count = 16;
/** No request starts on an upstream that leaves later than this. */
inline constexpr milliseconds drain_bound{3000};
/** How long starts are watched for after a drain. */
inline constexpr milliseconds watch_time{4500};
inline constexpr milliseconds longest_gap{700};
/** Two upstreams that die with the same request aboard get it quarantined by
    design, so that kills come further apart than a request takes. */
inline constexpr milliseconds least_kill_gap{1500};

inline quint32 seed()
{
    auto const given = qEnvironmentVariableIntValue("VERBENACOVE_SEED");
    return given > 0 ? quint32(given) : 1;
}

inline QString numbered(char const* name, int number)
{
    return QStringLiteral("%1-%2").arg(QLatin1String(name)).arg(number);
}

/** Whether the first entry hears other entries, and they it. */
enum class mesh
{
    whole,
    first_entry_cut
};

/** Three entries that share ten upstreams of two zones. */
class drain_fixture : public cluster_fixture
{
public:
    explicit drain_fixture(mesh peers = mesh::whole)
        : cluster_fixture(QStringLiteral(VERBENACOVE_BINARIES))
        , zones_(peers == mesh::first_entry_cut ? 1 : 2)
    {
        for (int i = 1; i <= entries_count; ++i)
        {
            add_control(numbered("control", i), where(i));
            add_entry(numbered("entry", i), where(i));
        }
        for (int i = 1; i <= upstreams_count; ++i)
        {
            add_upstream(numbered("gradebook", i), QStringLiteral("gradebook"),
                         where(i),
                         {QStringLiteral("--service-ms"), QStringLiteral("5")});
        }
        if (peers == mesh::first_entry_cut)
        {
            cut_first_entry();
        }
        REQUIRE(start_all());
        auto const result = run_client(
            {QStringLiteral("create"), QStringLiteral("service"),
             QStringLiteral("gradebook"), QStringLiteral("--file"),
             QStringLiteral("-")},
            R"({"name":"gradebook","class":"interactive","timeout_ms":5000,"max_body_bytes":65536})");
        CAPTURE(result.errors.toStdString());
        REQUIRE(result.exit_code == 0);
        if (peers == mesh::first_entry_cut)
        {
            announce_to_first_entry();
        }
        for (int i = 1; i <= entries_count; ++i)
        {
            http_call call;
            call.address = address(numbered("entry", i), door::http);
            call.method = "POST";
            call.target = "/v1/call/gradebook/probe";
            REQUIRE(wait_until([&] { return call_http(call).is(200); }));
        }
    }

    std::vector<socket_address> entries() const
    {
        std::vector<socket_address> result;
        for (int i = 1; i <= entries_count; ++i)
        {
            result.push_back(address(numbered("entry", i), door::http));
        }
        return result;
    }

    std::vector<logged_run> runs(int upstream) const
    {
        return read_run_log(
            path(numbered("gradebook", upstream), QStringLiteral("runs")));
    }

    /** Waits until an upstream is in use: a drain of an idle one is none. */
    bool wait_in_use(int upstream)
    {
        auto const before = runs(upstream).size();
        return wait_until([&] { return runs(upstream).size() > before + 5; });
    }

    void announce_draining(int upstream)
    {
        http_call call;
        call.address = address(numbered("gradebook", upstream), door::http);
        call.method = "POST";
        call.target = "/control";
        call.body = R"({"state":"draining"})";
        REQUIRE(call_http(call).is(200));
    }

    void operate(QString const& verb, QString const& kind, QString const& name)
    {
        auto const result = run_client({verb, kind, name});
        CAPTURE(result.errors.toStdString());
        REQUIRE(result.exit_code == 0);
    }

    /** Returns how many entries a look-up at this one names. */
    qsizetype entries_named_by(int entry) const
    {
        http_call call;
        call.address = address(numbered("entry", entry), door::http);
        call.target = "/v1/lookup?service=gradebook";
        return call_http(call)
            .json()[QStringLiteral("entries")]
            .toArray()
            .size();
    }

    /** Returns from when until the last start on an upstream. */
    milliseconds drain_time(int upstream, monotonic_time from) const
    {
        auto const runs_of = runs(upstream);
        auto const last = runs_of.empty() ? 0 : runs_of.back().monotonic_ns;
        std::chrono::nanoseconds const taken(
            last - from.time_since_epoch() / std::chrono::nanoseconds(1));
        return std::max(milliseconds(0),
                        std::chrono::ceil<milliseconds>(taken));
    }

private:
    // An entry alone hardly uses another zone than its own, so that there is
    // but one then.
    place where(int number) const
    {
        return {QStringLiteral("wcape"), numbered("zone", number % zones_)};
    }

    // From the start, so that neither side learns the other's own address.
    void cut_first_entry()
    {
        auto const first = numbered("entry", 1);
        for (int i = 1; i <= entries_count; ++i)
        {
            auto const name = numbered("entry", i);
            auto& cut = cuts_.emplace_back(std::make_unique<udp_fault_proxy>(
                address(name, door::peer), seed()));
            udp_faults faults;
            faults.cut_to_target = true;
            faults.cut_to_client = true;
            cut->set_faults(faults);
            if (i == 1)
            {
                advertise(name, door::peer, cut->address());
                advertise(name, door::peer, address(name, door::peer), name);
            }
            else
            {
                advertise(name, door::peer, cut->address(), first);
            }
        }
        // The upstreams announce to the second entry alone.
        for (int i = 1; i <= upstreams_count; ++i)
        {
            advertise(first, door::http,
                      address(numbered("entry", 2), door::http),
                      numbered("gradebook", i));
        }
    }

    // Once: from then on it has to ask the upstreams itself.
    void announce_to_first_entry()
    {
        REQUIRE(wait_ready(numbered("entry", 1)));
        for (int i = 1; i <= upstreams_count; ++i)
        {
            auto const name = numbered("gradebook", i);
            REQUIRE(wait_ready(name));
            http_call call;
            call.address = address(numbered("entry", 1), door::http);
            call.method = "POST";
            call.target = "/v1/announce";
            call.body =
                QStringLiteral(
                    R"({"upstream":"%1","service":"gradebook","address":"%2","region":"%3","zone":"%4","slots":5,"connections":400,"load":0,"state":"serving","incarnation":1})")
                    .arg(name, address(name, door::http).text(),
                         where(i).region, where(i).zone)
                    .toUtf8();
            REQUIRE(call_http(call).is(200));
        }
    }

    int const zones_;
    std::vector<std::unique_ptr<udp_fault_proxy>> cuts_;
};

inline milliseconds percentile(std::vector<milliseconds> sorted, double share)
{
    std::sort(sorted.begin(), sorted.end());
    auto const rank = std::ceil(share * double(sorted.size()));
    return sorted[std::size_t(std::max(1.0, rank)) - 1];
}

inline void check_times(char const* what,
                        std::vector<milliseconds> const& times)
{
    QString all;
    for (auto const& time : times)
    {
        all += QStringLiteral(" %1").arg(time.count());
    }
    MESSAGE(std::string(what)
            << " seed " << seed() << ": " << times.size() << " drains, ms: p50 "
            << percentile(times, 0.5).count() << ", p99 "
            << percentile(times, 0.99).count() << ", all" << all.toStdString());
    CHECK(percentile(times, 1) <= drain_bound);
}

inline void check_callers(steady_callers& callers)
{
    callers.stop();
    auto const failures = callers.failures();
    MESSAGE("seed " << seed() << ": " << callers.done() << " requests done, "
                    << failures.size() << " failed");
    CAPTURE(seed());
    CAPTURE(failures.mid(0, 10).join(u'\n').toStdString());
    CHECK(failures.isEmpty());
    CHECK(callers.done() > 0);
}

/** Drains most upstreams, each a random time after the one before, and
    returns from when each was. */
template <class Drain>
std::map<int, monotonic_time> drain_most(drain_fixture& cluster, Drain drain,
                                         milliseconds least_gap = {},
                                         int count = drains)
{
    std::mt19937 random(seed());
    std::vector<int> order(upstreams_count);
    std::iota(order.begin(), order.end(), 1);
    std::shuffle(order.begin(), order.end(), random);
    order.resize(std::size_t(count));
    std::map<int, monotonic_time> from;
    for (int const upstream : order)
    {
        CHECK(cluster.wait_in_use(upstream));
        std::this_thread::sleep_for(
            least_gap + milliseconds(random() % quint32(longest_gap.count())));
        from[upstream] = now();
        drain(upstream);
    }
    auto const end = now() + watch_time;
    wait_until([&] { return now() >= end; }, watch_time * 2);
    return from;
}

inline std::vector<milliseconds>
times_of(drain_fixture const& cluster,
         std::map<int, monotonic_time> const& from)
{
    std::vector<milliseconds> result;
    for (auto const& [upstream, time] : from)
    {
        result.push_back(cluster.drain_time(upstream, time));
    }
    return result;
}

} // namespace verbenacove::support

#endif
