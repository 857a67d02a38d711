#include "documented_answer.hpp"

#include "support/cluster_fixture.hpp"
#include "support/fault_proxy.hpp"
#include "support/http_caller.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QJsonArray>
#include <QRegularExpression>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <set>
#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int replica_count = 3;
constexpr int entry_count = 3;
constexpr int upstream_count = 6;
constexpr milliseconds send_deadline{1200};

QString numbered(char const* name, int number)
{
    return QLatin1String(name) + u'-' + QString::number(number);
}

qint64 nanoseconds_now()
{
    return std::chrono::steady_clock::now().time_since_epoch().count();
}

int draw(std::mt19937& random, int lowest, int highest)
{
    return std::uniform_int_distribution<>(lowest, highest)(random);
}

/** One send of a release, and what its caller was told. */
struct send_record
{
    int entry = 0;
    QByteArray trace_id;
    qint64 started_ns = 0;
    qint64 ended_ns = 0;
    http_answer answer;

    QByteArray verdict() const { return answer.headers.value("run-verdict"); }
    bool is_answered() const { return answer.error == call_error::none; }
    bool is_told(char const* word) const
    {
        return is_answered() && verdict() == word;
    }
};

/** A release with a key of its own, and all its sends. */
struct release_record
{
    quint32 seed = 0;
    QByteArray key;
    std::vector<send_record> sends;
    std::mutex mutex;

    void add(send_record sent)
    {
        std::lock_guard const lock(mutex);
        sends.push_back(std::move(sent));
    }

    std::string story() const
    {
        QByteArray text = "key " + key + " seed " + QByteArray::number(seed);
        for (auto const& sent : sends)
        {
            text += "\n  entry-" + QByteArray::number(sent.entry) + " from " +
                    QByteArray::number(sent.started_ns) + " to " +
                    QByteArray::number(sent.ended_ns) + ": " +
                    QByteArray::number(sent.answer.status) + ' ' +
                    sent.verdict() + ' ' + sent.answer.message.toUtf8() + ' ' +
                    sent.answer.body.left(160);
        }
        return text.toStdString();
    }
};

using release_ptr = std::shared_ptr<release_record>;

/** Three control replicas behind proxies, three entries, six upstreams of
    `dispatch`; one cluster serves all cases. */
class dispatch_cluster : public cluster_fixture
{
public:
    dispatch_cluster()
        : cluster_fixture(QStringLiteral(VERBENACOVE_BINARIES))
    {
        std::array const regions{QStringLiteral("wcape"),
                                 QStringLiteral("gauteng"),
                                 QStringLiteral("ecape")};
        for (int i = 1; i <= replica_count; ++i)
        {
            auto const& region = regions.at(std::size_t(i - 1));
            place const where{region, region + QStringLiteral("-a")};
            add_control(numbered("control", i), where);
            add_entry(numbered("entry", i), where);
        }
        for (int i = 1; i <= upstream_count; ++i)
        {
            auto const& region = regions.at(std::size_t(i % 3));
            add_upstream(numbered("dispatch", i), QStringLiteral("dispatch"),
                         {region, region + QStringLiteral("-a")},
                         {QStringLiteral("--slots"), QStringLiteral("40")});
        }
        put_proxies_between_replicas();
        put_proxies_before_first_entry();
    }

    bool serve()
    {
        if (!start_all() || !wait_ready(numbered("entry", 1)))
        {
            return false;
        }
        auto const created =
            run_client({QStringLiteral("create"), QStringLiteral("service"),
                        QStringLiteral("dispatch"), QStringLiteral("--file"),
                        QStringLiteral("-")},
                       R"({"name":"dispatch","class":"non-idempotent",
                           "timeout_ms":5000,"max_body_bytes":65536})");
        return created.exit_code == 0 && wait_all_serve();
    }

    /** Waits until each entry gets a release run. */
    bool wait_all_serve()
    {
        for (int entry = 1; entry <= entry_count; ++entry)
        {
            bool const serves = wait_until(
                [&]
                {
                    auto const probe = std::make_shared<release_record>();
                    probe->key = next_key("probe");
                    send(probe, entry, {}, milliseconds(1000));
                    return probe->sends.front().is_told("ran");
                });
            if (!serves)
            {
                return false;
            }
        }
        return true;
    }

    /** Starts what has died, and waits for entries. */
    bool mend()
    {
        if (!start_all())
        {
            return false;
        }
        for (int entry = 1; entry <= entry_count; ++entry)
        {
            if (!wait_ready(numbered("entry", entry)))
            {
                return false;
            }
        }
        return true;
    }

    QByteArray next_key(QByteArray const& prefix)
    {
        return prefix + '-' + QByteArray::number(++last_key_);
    }

    /** Sends a release once and notes what came of it; thread-safe. */
    void send(release_ptr const& of, int entry, QByteArray const& behaviour,
              milliseconds patience, milliseconds deadline = send_deadline)
    {
        send_record sent;
        sent.entry = entry;
        sent.trace_id = QCryptographicHash::hash(
                            of->key + '/' + QByteArray::number(++last_send_),
                            QCryptographicHash::Md5)
                            .toHex();
        http_call call;
        call.address = address(numbered("entry", entry), door::http);
        call.method = "POST";
        call.target = "/v1/call/dispatch/bales/" + of->key + "/release";
        call.headers = {
            "Idempotency-Key: " + of->key,
            "Deadline-Ms: " + QByteArray::number(qint64(deadline.count())),
            "traceparent: 00-" + sent.trace_id + "-00f067aa0ba902b7-01"};
        if (!behaviour.isEmpty())
        {
            call.headers.push_back("X-Stand-In: " + behaviour);
        }
        call.body = "{\"bale\":\"" + of->key + "\"}";
        call.timeout = patience;
        sent.started_ns = nanoseconds_now();
        sent.answer = call_http(call);
        sent.ended_ns = nanoseconds_now();
        of->add(std::move(sent));
    }

    /** Sends a release again, to one entry after another, until its run is
        confirmed or the sends are used up. */
    void send_until_told(release_ptr const& of, int first_entry,
                         QByteArray const& behaviour, milliseconds patience,
                         int sends)
    {
        for (int i = 0; i < sends; ++i)
        {
            int const entry = (first_entry - 1 + i) % entry_count + 1;
            // Only the first send meets the upstream's fault.
            send(of, entry, i == 0 ? behaviour : QByteArray(),
                 i == 0 ? patience : send_deadline * 2);
            if (of->sends.back().is_told("ran"))
            {
                return;
            }
        }
    }

    /** Returns the leader's number, or 0. */
    int leader() const
    {
        auto const result =
            run_client({QStringLiteral("--output"), QStringLiteral("json"),
                        QStringLiteral("status")});
        static QRegularExpression const pattern(
            QStringLiteral("\"leader\"\\s*:\\s*\"control-(\\d)\""));
        auto const found =
            pattern.match(QString::fromUtf8(result.output + result.errors));
        return found.captured(1).toInt();
    }

    /** Holds back all bytes between a replica and the others, or lets them
        go on. */
    void isolate(int replica, bool is_isolated)
    {
        tcp_faults faults;
        faults.stall = is_isolated;
        for (auto const& [pair, proxy] : proxies_)
        {
            if (pair.first == replica || pair.second == replica)
            {
                proxy->set_faults(faults);
            }
        }
    }

    /** Delays what the first entry sends to a replica from now on. */
    void delay_first_entry(int replica, milliseconds delay)
    {
        tcp_faults faults;
        faults.delay = delay;
        entry_proxies_.at(std::size_t(replica - 1))->set_faults(faults);
    }

    /** Checks what was promised for some releases, once all is quiet.

        A verdict tells of the send that it answers. So a send that was told
        `not-run` has run nowhere, now or later; other sends of its key may
        have. A key runs at most once, whatever its sends were told, and each
        `ran` carries the answer of that run.
    */
    void check(std::vector<release_ptr> const& releases)
    {
        auto const runs = all_runs();
        auto const traces = run_trace_ids();
        int ran = 0;
        int told_ran = 0;
        int told_not_run = 0;
        for (auto const& each : releases)
        {
            INFO(each->story());
            std::vector<logged_run> own;
            std::copy_if(runs.begin(), runs.end(), std::back_inserter(own),
                         [&](logged_run const& run)
                         { return run.key == each->key; });
            CHECK(own.size() <= 1);
            ran += own.empty() ? 0 : 1;
            check_answers(*each, own, traces);
            for (auto const& sent : each->sends)
            {
                told_ran += sent.is_told("ran") ? 1 : 0;
                told_not_run += sent.is_told("not-run") ? 1 : 0;
            }
        }
        MESSAGE(releases.size()
                << " releases, " << ran << " run, " << told_ran
                << " answers ran, " << told_not_run << " answers not-run");
        // Else nothing is shown.
        CHECK(ran * 2 >= int(releases.size()));
        CHECK(std::any_of(releases.begin(), releases.end(),
                          [&](release_ptr const& each)
                          { return has_trace(*each, traces); }));
    }

private:
    void put_proxies_between_replicas()
    {
        for (int target = 1; target <= replica_count; ++target)
        {
            for (int viewer = 1; viewer <= replica_count; ++viewer)
            {
                if (viewer == target)
                {
                    continue;
                }
                auto const name = numbered("control", target);
                auto& proxy = proxies_[{target, viewer}];
                proxy = std::make_unique<fault_proxy>(
                    address(name, door::internal));
                advertise(name, door::internal, proxy->address(),
                          numbered("control", viewer));
            }
        }
    }

    std::vector<logged_run> all_runs() const
    {
        std::vector<logged_run> result;
        for (int i = 1; i <= upstream_count; ++i)
        {
            auto const runs = read_run_log(
                path(numbered("dispatch", i), QStringLiteral("runs")));
            result.insert(result.end(), runs.begin(), runs.end());
        }
        return result;
    }

    /** Returns the trace ids that reached upstreams which live still. */
    std::set<QByteArray> run_trace_ids() const
    {
        std::set<QByteArray> result;
        for (int i = 1; i <= upstream_count; ++i)
        {
            http_call call;
            call.address = address(numbered("dispatch", i), door::http);
            call.target = "/control/counts";
            auto const requests = call_http(call)
                                      .json()
                                      .value(QStringLiteral("requests"))
                                      .toArray();
            for (auto const& request : requests)
            {
                auto const parent = request.toObject()
                                        .value(QStringLiteral("traceparent"))
                                        .toString()
                                        .toLatin1();
                result.insert(parent.split('-').value(1));
            }
        }
        return result;
    }

    static void check_answers(release_record const& of,
                              std::vector<logged_run> const& runs,
                              std::set<QByteArray> const& run_traces)
    {
        send_record const* first_ran = nullptr;
        bool is_never_run = true;
        for (auto const& sent : of.sends)
        {
            is_never_run = is_never_run && sent.is_told("not-run");
            if (sent.is_answered())
            {
                CHECK(is_documented(sent.answer));
            }
            if (sent.is_told("ran"))
            {
                first_ran = first_ran == nullptr ? &sent : first_ran;
                CHECK(sent.answer.status == first_ran->answer.status);
                CHECK(sent.answer.body == first_ran->answer.body);
            }
            if (sent.is_told("not-run"))
            {
                CHECK(run_traces.count(sent.trace_id) == 0);
                CHECK(!is_sole_cause(of, sent, runs));
            }
        }
        if (first_ran != nullptr)
        {
            CHECK(runs.size() == 1);
        }
        if (is_never_run)
        {
            CHECK(runs.empty());
        }
    }

    static bool has_trace(release_record const& of,
                          std::set<QByteArray> const& run_traces)
    {
        return std::any_of(of.sends.begin(), of.sends.end(),
                           [&](send_record const& sent)
                           { return run_traces.count(sent.trace_id) > 0; });
    }

    /** Returns true when a run fell into this send, and no other send of the
        key could have caused it. */
    static bool is_sole_cause(release_record const& of, send_record const& sent,
                              std::vector<logged_run> const& runs)
    {
        return std::any_of(runs.begin(), runs.end(),
                           [&](logged_run const& run)
                           {
                               return run.monotonic_ns >= sent.started_ns &&
                                      std::none_of(
                                          of.sends.begin(), of.sends.end(),
                                          [&](send_record const& other)
                                          {
                                              return &other != &sent &&
                                                     other.started_ns <
                                                         run.monotonic_ns &&
                                                     !other.is_told("not-run");
                                          });
                           });
    }

    void put_proxies_before_first_entry()
    {
        for (int i = 1; i <= replica_count; ++i)
        {
            auto const name = numbered("control", i);
            entry_proxies_.push_back(
                std::make_unique<fault_proxy>(address(name, door::internal)));
            advertise(name, door::internal, entry_proxies_.back()->address(),
                      numbered("entry", 1));
        }
    }

    /** Between the first entry and each replica. */
    std::vector<std::unique_ptr<fault_proxy>> entry_proxies_;
    /** By target and viewer. */
    std::map<std::pair<int, int>, std::unique_ptr<fault_proxy>> proxies_;
    std::atomic<int> last_key_ = 0;
    std::atomic<int> last_send_ = 0;
};

/** The cluster and the callers' threads of one case. */
struct dispatch_fixture
{
    dispatch_fixture()
        : cluster(shared_cluster())
    {
    }

    ~dispatch_fixture() { join(); }
    dispatch_fixture(dispatch_fixture const&) = delete;
    dispatch_fixture& operator=(dispatch_fixture const&) = delete;

    static dispatch_cluster& shared_cluster()
    {
        static std::unique_ptr<dispatch_cluster> made;
        if (!made)
        {
            made = std::make_unique<dispatch_cluster>();
            REQUIRE(made->serve());
        }
        return *made;
    }

    release_ptr new_release(quint32 seed)
    {
        auto made = std::make_shared<release_record>();
        made->seed = seed;
        made->key = cluster.next_key("bale");
        releases.push_back(made);
        return made;
    }

    /** Starts a caller of a new release. */
    void start_caller(quint32 seed, int first_entry,
                      QByteArray const& behaviour, milliseconds patience,
                      int sends = 4)
    {
        auto const release = new_release(seed);
        threads.emplace_back(
            [this, release, first_entry, behaviour, patience, sends]
            {
                cluster.send_until_told(release, first_entry, behaviour,
                                        patience, sends);
                // Told again after it ended, from elsewhere.
                cluster.send(release, first_entry % entry_count + 1, {},
                             send_deadline * 2);
            });
    }

    void join()
    {
        for (auto& thread : threads)
        {
            thread.join();
        }
        threads.clear();
    }

    dispatch_cluster& cluster;
    std::vector<release_ptr> releases;
    std::vector<std::thread> threads;
};

void pause(int duration_ms)
{
    std::this_thread::sleep_for(milliseconds(duration_ms));
}

QByteArray slow_words(std::mt19937& random)
{
    return "slow=" + QByteArray::number(draw(random, 0, 300));
}

} // namespace

TEST_CASE_FIXTURE(dispatch_fixture,
                  "release: upstream reads it and dies: runs at most once")
{
    std::array<QByteArray, 8> const endings{"close",      "reset", "silence",
                                            "half",       "fail",  "answer",
                                            "crash=bale", "close"};
    for (quint32 seed = 1; seed <= 64; ++seed)
    {
        std::mt19937 random(seed);
        auto const behaviour =
            endings.at(seed % endings.size()) + ',' + slow_words(random);
        start_caller(seed, draw(random, 1, entry_count), behaviour,
                     milliseconds(draw(random, 100, 2000)));
        if (seed % 16 == 0)
        {
            join();
            REQUIRE(cluster.mend());
        }
    }
    cluster.check(releases);
}

TEST_CASE_FIXTURE(dispatch_fixture,
                  "release: sent to several entries at once: runs at most once")
{
    for (quint32 seed = 1; seed <= 60; ++seed)
    {
        std::mt19937 random(seed);
        auto const release = new_release(seed);
        auto const behaviour = slow_words(random);
        for (int entry = 1; entry <= entry_count; ++entry)
        {
            auto const delay = draw(random, 0, 20);
            threads.emplace_back(
                [this, release, entry, behaviour, delay]
                {
                    pause(delay);
                    cluster.send(release, entry, behaviour, send_deadline * 2);
                });
        }
        if (seed % 10 == 0)
        {
            join();
        }
    }
    cluster.check(releases);
}

TEST_CASE_FIXTURE(
    dispatch_fixture,
    "release: entry killed or frozen at any moment: runs at most once")
{
    for (quint32 seed = 1; seed <= 24; ++seed)
    {
        std::mt19937 random(seed);
        int const victim = draw(random, 1, entry_count);
        auto& process = cluster.process(numbered("entry", victim));
        for (int i = 0; i < 5; ++i)
        {
            start_caller(seed, victim, slow_words(random),
                         milliseconds(draw(random, 100, 1500)));
            pause(draw(random, 0, 15));
        }
        pause(draw(random, 0, 250));
        if (seed % 2 == 0)
        {
            process.kill_now();
        }
        else
        {
            process.freeze();
            pause(draw(random, 50, 1200));
            process.thaw();
        }
        pause(draw(random, 0, 200));
        REQUIRE(cluster.mend());
        join();
    }
    cluster.check(releases);
}

TEST_CASE_FIXTURE(
    dispatch_fixture,
    "release: leader killed, frozen or cut off: runs at most once")
{
    for (quint32 seed = 1; seed <= 9; ++seed)
    {
        std::mt19937 random(seed);
        int leader = 0;
        REQUIRE(wait_until([&] { return (leader = cluster.leader()) > 0; }));
        auto& process = cluster.process(numbered("control", leader));
        for (int i = 0; i < 6; ++i)
        {
            start_caller(seed, draw(random, 1, entry_count), slow_words(random),
                         milliseconds(1500));
            pause(draw(random, 0, 10));
        }
        auto const outage = draw(random, 300, 1500);
        switch (seed % 3)
        {
        case 0:
            process.kill_now();
            pause(outage);
            break;
        case 1:
            process.freeze();
            pause(outage);
            process.thaw();
            break;
        default:
            cluster.isolate(leader, true);
            pause(outage);
            cluster.isolate(leader, false);
        }
        REQUIRE(cluster.mend());
        join();
    }
    cluster.check(releases);
}

TEST_CASE_FIXTURE(dispatch_fixture,
                  "release: claim commits after its entry gave up: not run "
                  "by that send")
{
    for (quint32 seed = 1; seed <= 8; ++seed)
    {
        std::mt19937 random(seed);
        int leader = 0;
        REQUIRE(wait_until([&] { return (leader = cluster.leader()) > 0; }));
        cluster.isolate(leader, true);
        std::vector<release_ptr> given_up;
        for (int i = 0; i < 4; ++i)
        {
            auto const release = new_release(seed);
            given_up.push_back(release);
            auto const deadline = milliseconds(draw(random, 50, 350));
            threads.emplace_back(
                [this, release, i, deadline] {
                    cluster.send(release, i % entry_count + 1, {},
                                 send_deadline, deadline);
                });
        }
        pause(draw(random, 300, 420));
        cluster.isolate(leader, false);
        join();
        pause(draw(random, 0, 100));
        for (auto const& release : given_up)
        {
            threads.emplace_back(
                [this, release] {
                    cluster.send_until_told(release, 2, {}, send_deadline * 2,
                                            5);
                });
        }
        join();
    }
    cluster.check(releases);
    for (auto const& release : releases)
    {
        INFO(release->story());
        // A late claim must not keep the key from later sends.
        CHECK(release->sends.back().is_told("ran"));
    }
}

TEST_CASE_FIXTURE(dispatch_fixture,
                  "release: claim reaches the leader after it was given up: "
                  "does not hold the key")
{
    constexpr milliseconds link_delay{1200};
    for (quint32 seed = 1; seed <= 3; ++seed)
    {
        std::mt19937 random(seed);
        // The entry has found the leader, and an open connection to it.
        auto const probe = new_release(seed);
        cluster.send_until_told(probe, 1, {}, send_deadline * 2, 4);
        int const leader = cluster.leader();
        REQUIRE(leader > 0);
        cluster.delay_first_entry(leader, link_delay);
        auto const release = new_release(seed);
        auto const deadline = milliseconds(draw(random, 150, 350));
        threads.emplace_back(
            [this, release, deadline]
            { cluster.send(release, 1, {}, send_deadline, deadline); });
        pause(100);
        // The claim is on its way; what follows on new connections is faster.
        cluster.delay_first_entry(leader, milliseconds(0));
        join();
        INFO(release->story());
        CHECK(release->sends.front().is_told("not-run"));
        pause(int(link_delay.count()) + 300);
        cluster.send_until_told(release, 2, {}, send_deadline * 2, 2);
        CHECK(release->sends.back().is_told("ran"));
    }
    cluster.check(releases);
}

TEST_CASE_FIXTURE(dispatch_fixture,
                  "release: sent again after a thousand others: is not run "
                  "again")
{
    constexpr int others = 1000;
    constexpr int callers = 20;
    auto const first = new_release(1);
    cluster.send_until_told(first, 1, {}, send_deadline * 2, 4);
    REQUIRE(first->sends.back().is_told("ran"));
    std::atomic<int> ran = 0;
    for (int caller = 0; caller < callers; ++caller)
    {
        threads.emplace_back(
            [this, caller, &ran]
            {
                for (int i = 0; i < others / callers; ++i)
                {
                    auto const other = std::make_shared<release_record>();
                    other->key = cluster.next_key("other");
                    cluster.send(other, (caller + i) % entry_count + 1, {},
                                 send_deadline * 2);
                    ran += other->sends.back().is_told("ran") ? 1 : 0;
                }
            });
    }
    join();
    CHECK(ran >= others * 9 / 10);
    for (int entry = 1; entry <= entry_count; ++entry)
    {
        cluster.send(first, entry, {}, send_deadline * 2);
        CHECK(first->sends.back().is_told("ran"));
    }
    cluster.check(releases);
}

TEST_CASE_FIXTURE(dispatch_fixture,
                  "release: resend waits for the first copy, quorum lost: is "
                  "not told not-run")
{
    for (quint32 seed = 1; seed <= 3; ++seed)
    {
        std::mt19937 random(seed);
        int leader = 0;
        REQUIRE(wait_until([&] { return (leader = cluster.leader()) > 0; }));
        auto const release = new_release(seed);
        int const first = draw(random, 1, entry_count);
        threads.emplace_back(
            [this, release, first]
            {
                cluster.send(release, first, "slow=1500", milliseconds(4000),
                             milliseconds(4000));
            });
        pause(150);
        threads.emplace_back(
            [this, release, first]
            {
                cluster.send(release, first % entry_count + 1, {},
                             send_deadline, milliseconds(800));
            });
        pause(draw(random, 200, 350));
        cluster.isolate(leader, true);
        pause(900);
        cluster.isolate(leader, false);
        join();
        for (auto const& sent : release->sends)
        {
            INFO(release->story());
            CHECK(!sent.is_told("not-run"));
        }
    }
    cluster.check(releases);
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
