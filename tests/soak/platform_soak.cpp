#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/platform_cluster.hpp"
#include "support/fault_proxy.hpp"

#include <QCoreApplication>

#include <iostream>
#include <random>
#include <set>
#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

// A randomized run of the real programs under faults from outside: processes
// that are stopped, paused, killed and restarted, and connections to upstreams
// that are delayed, reset, cut or silenced, and operators who go on to another
// replica and order the opposite. It checks what callers and upstreams see.
// VERBENACOVE_SEED draws the faults; VERBENACOVE_SECONDS is their time.

namespace
{

constexpr int replica_count = 3;
constexpr int entry_count = 3;
constexpr int upstream_count = 4;
constexpr int caller_count = 4;
/** From the acknowledgement of a leaving upstream to its last request. */
constexpr milliseconds drain_bound{2500};
/** From the acknowledgement of an evacuation to the last request. */
constexpr milliseconds evacuation_bound{5000};
/** From the start of processes to their contact with the others. */
constexpr milliseconds contact_bound{4000};
/** Time for which an operator waits for a replica. */
constexpr milliseconds operator_patience{250};
constexpr milliseconds observation_time{700};

int number_from_environment(char const* name, int fallback)
{
    bool is_number = false;
    auto const value = qEnvironmentVariableIntValue(name, &is_number);
    return is_number ? value : fallback;
}

/** An upstream behind a proxy, with its heartbeats. */
struct proxied_upstream
{
    explicit proxied_upstream(int number)
        : upstream(QStringLiteral("i-%1").arg(number))
        , proxy(upstream.address(), static_cast<quint32>(number))
    {
        upstream.announce_at(proxy.address());
    }

    platform_upstream upstream;
    fault_proxy proxy;
    std::atomic<bool> is_leaving{false};
};

/** What a caller sent that runs once at most, and was told. */
struct sent_request
{
    QByteArray id;
    int status = 0;
};

class soak_fixture : public platform_cluster
{
public:
    soak_fixture()
        : platform_cluster(replica_count, entry_count)
        , seed_(number_from_environment("VERBENACOVE_SEED", 1))
        , random_(static_cast<quint32>(seed_))
    {
        for (int i = 0; i < upstream_count; ++i)
        {
            upstreams_.push_back(std::make_unique<proxied_upstream>(i));
        }
        beats_ = std::jthread([this](std::stop_token const& stop)
                              { send_heartbeats(stop); });
    }

    void run()
    {
        put_until_accepted(version_, "unsafe", "r0");
        note_accepted();
        for (int entry = 0; entry < entry_count; ++entry)
        {
            REQUIRE(serves(entry));
        }
        for (int caller = 0; caller < caller_count; ++caller)
        {
            callers_.emplace_back([this, caller](std::stop_token const& stop)
                                  { call_on(caller, stop); });
        }
        auto const end = std::chrono::steady_clock::now() +
                         std::chrono::seconds(number_from_environment(
                             "VERBENACOVE_SECONDS", 15));
        while (std::chrono::steady_clock::now() < end)
        {
            inject();
        }
        recover();
        callers_.clear();
        check();
    }

    int seed() const { return seed_; }

private:
    int draw(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(random_);
    }

    void pause(int longest_ms)
    {
        std::this_thread::sleep_for(milliseconds(50 + draw(longest_ms)));
    }

    /** Checks a condition; logs are kept when one does not hold. */
    void expect(bool holds)
    {
        CHECK(holds);
        is_sound_ = is_sound_ && holds;
    }

    // Faults.

    void inject()
    {
        using fault = void (soak_fixture::*)();
        static std::array<fault, 11> const faults{
            &soak_fixture::kill_entry,
            &soak_fixture::stop_entry,
            &soak_fixture::freeze_entry,
            &soak_fixture::kill_replica,
            &soak_fixture::freeze_replica,
            &soak_fixture::kill_all_replicas,
            &soak_fixture::harm_link,
            &soak_fixture::change_routes,
            &soak_fixture::drain_upstream,
            &soak_fixture::repeat_evacuation,
            &soak_fixture::depart_and_kill_replicas};
        (this->*faults[static_cast<std::size_t>(draw(int(faults.size())))])();
        pause(400);
    }

    void kill_entry()
    {
        int const entry = draw(entry_count);
        entry_process(entry).kill_now();
        pause(500);
        start_entry(entry);
    }

    void stop_entry()
    {
        int const entry = draw(entry_count);
        // Before its first instruction a process dies of the signal.
        bool const has_begun = answers(entry);
        constexpr int dies_of_signal = 128 + SIGTERM;
        entry_process(entry).stop_gracefully(milliseconds(6000));
        int const code = entry_process(entry).exit_code().value_or(-1);
        bool const ends_well =
            code == 0 || (!has_begun && code == dies_of_signal);
        CAPTURE(code);
        expect(ends_well);
        start_entry(entry);
    }

    void freeze_entry()
    {
        auto& process = entry_process(draw(entry_count));
        process.freeze();
        pause(1500);
        process.thaw();
        last_entry_fault_ = std::chrono::steady_clock::now();
    }

    void kill_replica()
    {
        int const replica = draw(replica_count);
        replica_process(replica).kill_now();
        pause(800);
        start_replica(replica, false);
    }

    void freeze_replica()
    {
        auto& process = replica_process(draw(replica_count));
        process.freeze();
        pause(1500);
        process.thaw();
    }

    void kill_all_replicas()
    {
        for (int replica = 0; replica < replica_count; ++replica)
        {
            replica_process(replica).kill_now();
        }
        pause(300);
        for (int replica = 0; replica < replica_count; ++replica)
        {
            start_replica(replica, false);
        }
    }

    void harm_link()
    {
        auto& proxy =
            upstreams_[static_cast<std::size_t>(draw(upstream_count))]->proxy;
        tcp_faults faults;
        switch (draw(5))
        {
        case 0:
            faults.delay = milliseconds(30);
            faults.jitter = milliseconds(60);
            break;
        case 1:
            faults.cut_answer_after = 40 + draw(200);
            break;
        case 2:
            faults.drop_to_client = true;
            break;
        case 3:
            faults.refuse = true;
            break;
        default:
            proxy.reset_connections();
            break;
        }
        proxy.set_faults(faults);
        pause(800);
        proxy.set_faults({});
    }

    // Operators: two race on the same version, at different replicas.
    void change_routes()
    {
        auto const base = "r" + QByteArray::number(version_);
        auto const body = configuration(version_ + 1, "unsafe");
        auto other = body;
        other.replace("2000ms", "1900ms");
        int const replica = draw(replica_count);
        auto const first = order(replica, "PUT", body, base);
        auto const second =
            order((replica + 1) % replica_count, "PUT", other, base);
        CHECK_FALSE((first.is(200) && second.is(200)));
        // One of them is sent again until it is decided.
        REQUIRE(wait_until(
            [&]
            {
                auto const mine = order(draw(replica_count), "PUT", body, base);
                auto const theirs =
                    order(draw(replica_count), "PUT", other, base);
                accepted_ = mine.is(200) ? body : other;
                return mine.is(200) != theirs.is(200) &&
                       (mine.is(412) || theirs.is(412));
            },
            milliseconds(20000)));
        ++version_;
    }

    void drain_upstream()
    {
        auto& chosen =
            *upstreams_[static_cast<std::size_t>(draw(upstream_count))];
        chosen.is_leaving = true;
        bool const is_known = wait_until(
            [&]
            {
                return chosen.upstream
                    .beat(control(draw(replica_count)), "draining")
                    .is(200);
            });
        REQUIRE(is_known);
        std::this_thread::sleep_for(drain_bound);
        auto const before = chosen.upstream.all_runs();
        pause(600);
        // An entry that stood still is not held to the bound.
        bool const is_judged =
            std::chrono::steady_clock::now() - last_entry_fault_ >
            std::chrono::seconds(4);
        if (is_judged)
        {
            CHECK(chosen.upstream.all_runs() == before);
        }
        chosen.upstream.restart();
        chosen.is_leaving = false;
    }

    // An operator leaves a replica that does not answer, and gives the opposite
    // order elsewhere, more than once; the replica reads all of it late.
    void repeat_evacuation()
    {
        int const silent = draw(replica_count);
        replica_process(silent).freeze();
        for (int round = draw(3); round >= 0; --round)
        {
            for (auto const* method : {"POST", "DELETE"})
            {
                order_evacuation(silent, method, operator_patience);
                order_evacuation_elsewhere(silent, method);
            }
        }
        bool const is_evacuated = draw(2) == 0;
        if (is_evacuated)
        {
            order_evacuation_elsewhere(silent, "POST");
            expect(wait_until([&] { return !is_served_for(observation_time); },
                              evacuation_bound));
        }
        replica_process(silent).thaw();
        std::this_thread::sleep_for(observation_time);
        if (is_evacuated)
        {
            expect(!is_served_for(observation_time));
            order_evacuation_elsewhere(silent, "DELETE");
        }
        expect(serves(0));
    }

    // An upstream leaves without a heartbeat, and all replicas are killed right
    // after the acknowledgement.
    void depart_and_kill_replicas()
    {
        auto& chosen =
            *upstreams_[static_cast<std::size_t>(draw(upstream_count))];
        chosen.is_leaving = true;
        REQUIRE(wait_until(
            [&] {
                return depart(draw(replica_count), chosen.upstream.id())
                    .is(200);
            }));
        kill_all_replicas();
        std::this_thread::sleep_for(contact_bound);
        auto const before = chosen.upstream.all_runs();
        std::this_thread::sleep_for(observation_time);
        expect(chosen.upstream.all_runs() == before);
        chosen.upstream.restart();
        chosen.is_leaving = false;
    }

    void order_evacuation_elsewhere(int except, char const* method)
    {
        REQUIRE(wait_until(
            [&]
            {
                int const replica =
                    (except + 1 + draw(replica_count - 1)) % replica_count;
                return order_evacuation(replica, method, milliseconds(1000))
                    .is(200);
            },
            milliseconds(20000)));
    }

    int all_runs() const
    {
        int result = 0;
        for (auto const& each : upstreams_)
        {
            result += each->upstream.all_runs();
        }
        return result;
    }

    /** Returns whether upstreams get requests within a span of time. */
    bool is_served_for(milliseconds span)
    {
        auto const before = all_runs();
        std::this_thread::sleep_for(span);
        return all_runs() != before;
    }

    void recover()
    {
        for (int entry = 0; entry < entry_count; ++entry)
        {
            expect(serves(entry));
        }
    }

    // Callers and upstreams.

    void call_on(int caller, std::stop_token const& stop)
    {
        for (int number = 0; !stop.stop_requested(); ++number)
        {
            auto const id = "c" + QByteArray::number(caller) + '-' +
                            QByteArray::number(number);
            auto const answer =
                call((caller + number) % entry_count, id, "POST");
            QMutexLocker const lock(&mutex_);
            sent_.push_back({id, answer.status});
            bool const is_whole =
                answer.error == call_error::none && answer.status == 200;
            if (is_whole && answer.headers.value(
                                "verbenacove-response-signature") != "s-" + id)
            {
                wrong_answers_.push_back(id);
            }
            served_ += is_whole ? 1 : 0;
        }
    }

    void send_heartbeats(std::stop_token const& stop)
    {
        for (int round = 0; !stop.stop_requested(); ++round)
        {
            for (auto const& each : upstreams_)
            {
                if (!each->is_leaving)
                {
                    each->upstream.beat(control(round % replica_count));
                }
            }
            std::this_thread::sleep_for(milliseconds(300));
        }
    }

    void note_accepted() { accepted_ = configuration(version_, "unsafe"); }

    int runs(QByteArray const& id) const
    {
        int result = 0;
        for (auto const& each : upstreams_)
        {
            result += each->upstream.runs(id);
        }
        return result;
    }

    void check()
    {
        int doubled = 0;
        int untrue = 0;
        for (auto const& request : sent_)
        {
            int const count = runs(request.id);
            bool const was_refused =
                request.status == 503 || request.status == 429;
            doubled += count > 1 ? 1 : 0;
            untrue += was_refused && count > 0 ? 1 : 0;
        }
        CHECK(doubled == 0);
        CHECK(untrue == 0);
        CHECK(wrong_answers_.empty());
        CHECK(served_ > 0);
        http_answer read;
        REQUIRE(wait_until(
            [&]
            {
                read = get(control(draw(replica_count)), "/api/config");
                return read.is(200);
            }));
        CHECK(QJsonDocument(read.json()) == QJsonDocument::fromJson(accepted_));
        bool const holds = doubled == 0 && untrue == 0 &&
                           wrong_answers_.empty() && served_ > 0 && is_sound_;
        if (!holds)
        {
            keep_folder();
            std::cout << "logs are kept in " << folder().toStdString() << '\n';
        }
        std::cout << "seed " << seed_ << ": " << sent_.size() << " requests, "
                  << served_ << " served, routes at version " << version_
                  << '\n';
    }

    int seed_;
    std::mt19937 random_;
    int version_ = 1;
    QByteArray accepted_;
    std::vector<std::unique_ptr<proxied_upstream>> upstreams_;
    std::chrono::steady_clock::time_point last_entry_fault_{};
    QMutex mutex_;
    std::vector<sent_request> sent_;
    std::vector<QByteArray> wrong_answers_;
    int served_ = 0;
    /** Whether all that was expected so far has held. */
    bool is_sound_ = true;
    std::jthread beats_;
    std::vector<std::jthread> callers_;
};

} // namespace

TEST_CASE_FIXTURE(soak_fixture, "soak: faults in series: the promises hold")
{
    CAPTURE(seed());
    run();
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
