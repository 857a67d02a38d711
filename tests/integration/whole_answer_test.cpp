#include "documented_answer.hpp"

#include "support/cluster_fixture.hpp"
#include "support/fault_proxy.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QJsonArray>

#include <algorithm>
#include <atomic>
#include <map>
#include <random>
#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int entry_count = 3;
constexpr int upstream_count = 6;
/** What a busy machine may add to a deadline. */
constexpr milliseconds lateness{800};
constexpr double retry_share = 0.1;
constexpr int retry_floor = 3;

QString numbered(char const* name, int number)
{
    return QLatin1String(name) + u'-' + QString::number(number);
}

/** One request that differs from all others, and its answer. */
struct own_request
{
    int number = 0;
    qsizetype size = 0;
    QByteArray path;
    QByteArray body;
    QByteArray behaviour;
    milliseconds deadline{4000};
    milliseconds patience{8000};
    http_answer answer;
    milliseconds took{0};

    bool is_right() const
    {
        auto const hash =
            QCryptographicHash::hash(body, QCryptographicHash::Sha256).toHex();
        auto const json = answer.json();
        return answer.is(200) && answer.headers.value("run-verdict") == "ran" &&
               json.value(QStringLiteral("path")).toString().toLatin1() ==
                   path &&
               json.value(QStringLiteral("body_sha256"))
                       .toString()
                       .toLatin1() == hash &&
               json.value(QStringLiteral("padding")).toString().toLatin1() ==
                   answer_padding(path, {}, size).left(size);
    }

    bool is_honest_error() const
    {
        return answer.error == call_error::none &&
               answer.headers.value("run-verdict") != "ran" &&
               is_documented(answer);
    }

    QByteArray code() const
    {
        return answer.json()
            .value(QStringLiteral("error"))
            .toString()
            .toLatin1();
    }

    std::string story() const
    {
        auto const text = "request " + QByteArray::number(number) + " took " +
                          QByteArray::number(qint64(took.count())) +
                          " ms: " + QByteArray::number(answer.status) + ' ' +
                          answer.headers.value("run-verdict") + ' ' +
                          answer.message.toUtf8() + ' ' + answer.body.left(200);
        return text.toStdString();
    }
};

/** Three entries; upstreams of an interactive and of a batch service, each
    behind a proxy of its own. One cluster serves all cases. */
class gradebook_cluster : public cluster_fixture
{
public:
    gradebook_cluster()
        : cluster_fixture(QStringLiteral(VERBENACOVE_BINARIES))
    {
        std::array const regions{QStringLiteral("wcape"),
                                 QStringLiteral("gauteng"),
                                 QStringLiteral("ecape")};
        for (int i = 1; i <= entry_count; ++i)
        {
            auto const& region = regions.at(std::size_t(i - 1));
            place const where{region, region + QStringLiteral("-a")};
            add_control(numbered("control", i), where);
            add_entry(numbered("entry", i), where);
            add_upstream(numbered("ledger", i), QStringLiteral("ledger"), where,
                         {QStringLiteral("--slots"), QStringLiteral("2")});
        }
        for (int i = 1; i <= upstream_count; ++i)
        {
            auto const& region = regions.at(std::size_t(i % 3));
            auto const name = numbered("gradebook", i);
            add_upstream(name, QStringLiteral("gradebook"),
                         {region, region + QStringLiteral("-a")},
                         {QStringLiteral("--slots"), QStringLiteral("100"),
                          QStringLiteral("--queue"), QStringLiteral("1000")});
            proxies.push_back(std::make_unique<fault_proxy>(
                address(name, door::http), quint32(i)));
            advertise(name, door::http, proxies.back()->address());
        }
    }

    bool serve()
    {
        if (!start_all() || !wait_ready(numbered("entry", 1)) ||
            !create("gradebook", "interactive") || !create("ledger", "batch"))
        {
            return false;
        }
        // The cold upstreams ramp up before the requests come at once.
        return wait_until([this] { return serve_all("gradebook"); }) &&
               wait_until([this] { return serve_all("ledger"); });
    }

    /** Sends a request to an entry and notes the answer; thread-safe. */
    void send(own_request& request, QByteArray const& service = "gradebook")
    {
        http_call call;
        call.address = address(
            numbered("entry", request.number % entry_count + 1), door::http);
        call.method = "POST";
        call.target = "/v1/call/" + service + request.path +
                      "?size=" + QByteArray::number(request.size);
        call.headers = {"Deadline-Ms: " +
                        QByteArray::number(qint64(request.deadline.count()))};
        if (!request.behaviour.isEmpty())
        {
            call.headers.push_back("X-Stand-In: " + request.behaviour);
        }
        call.body = request.body;
        call.timeout = request.patience;
        auto const started = std::chrono::steady_clock::now();
        request.answer = call_http(call);
        request.took = elapsed(started, std::chrono::steady_clock::now());
    }

    /** Returns one count of all upstreams of a service together. */
    int count(char const* service, int upstreams, QString const& name) const
    {
        int sum = 0;
        for (int i = 1; i <= upstreams; ++i)
        {
            sum += counts(numbered(service, i)).value(name).toInt();
        }
        return sum;
    }

    /** Returns the deadlines that came with requests for a path, the longest
        first. */
    std::vector<int> deadlines_of(QByteArray const& path) const
    {
        std::vector<int> result;
        for (int i = 1; i <= upstream_count; ++i)
        {
            auto const requests = counts(numbered("gradebook", i))
                                      .value(QStringLiteral("requests"))
                                      .toArray();
            for (auto const& request : requests)
            {
                auto const fields = request.toObject();
                if (fields.value(QStringLiteral("path")).toString() ==
                    QString::fromLatin1(path))
                {
                    result.push_back(
                        fields.value(QStringLiteral("deadline_ms")).toInt());
                }
            }
        }
        std::sort(result.rbegin(), result.rend());
        return result;
    }

    void clear_faults()
    {
        for (auto const& proxy : proxies)
        {
            proxy->set_faults({});
            proxy->reset_connections();
        }
    }

    std::vector<std::unique_ptr<fault_proxy>> proxies;

private:
    bool create(char const* name, char const* kind) const
    {
        auto const record =
            QStringLiteral(R"({"name":"%1","class":"%2","timeout_ms":5000,)"
                           R"("max_body_bytes":65536})")
                .arg(QLatin1String(name), QLatin1String(kind));
        return run_client({QStringLiteral("create"), QStringLiteral("service"),
                           QLatin1String(name), QStringLiteral("--file"),
                           QStringLiteral("-")},
                          record.toUtf8())
                   .exit_code == 0;
    }

    bool serve_all(QByteArray const& service)
    {
        for (int i = 0; i < entry_count; ++i)
        {
            own_request probe;
            probe.number = i;
            probe.path = "/probe";
            send(probe, service);
            if (!probe.is_right())
            {
                return false;
            }
        }
        return true;
    }

    QJsonObject counts(QString const& upstream) const
    {
        http_call call;
        call.address = address(upstream, door::http);
        call.target = "/control/counts";
        return call_http(call).json();
    }
};

/** The cluster, without faults, and one case's requests. */
struct gradebook_fixture
{
    gradebook_fixture()
        : cluster(shared_cluster())
    {
        cluster.clear_faults();
        REQUIRE(wait_until(
            [this]
            {
                auto probe = make(0);
                cluster.send(probe);
                return probe.is_right();
            }));
    }

    ~gradebook_fixture() { cluster.clear_faults(); }
    gradebook_fixture(gradebook_fixture const&) = delete;
    gradebook_fixture& operator=(gradebook_fixture const&) = delete;

    static gradebook_cluster& shared_cluster()
    {
        static std::unique_ptr<gradebook_cluster> made;
        if (!made)
        {
            made = std::make_unique<gradebook_cluster>();
            REQUIRE(made->serve());
        }
        return *made;
    }

    static own_request make(int number)
    {
        static std::atomic<int> last = 0;
        own_request made;
        made.number = number;
        made.size = qsizetype(number) * 37 % 20000;
        made.path = "/lots/" + QByteArray::number(++last);
        made.body = "{\"lot\":" + QByteArray::number(last * 7919) + "}";
        return made;
    }

    static std::vector<own_request>
    make_all(int amount, QByteArray const& behaviour, milliseconds deadline)
    {
        std::vector<own_request> result;
        for (int i = 0; i < amount; ++i)
        {
            result.push_back(make(i));
            result.back().behaviour = behaviour;
            result.back().deadline = deadline;
        }
        return result;
    }

    /** Sends requests, all at once; `meanwhile` runs again and again until
        they have ended. */
    void send_at_once(
        std::vector<own_request>& requests,
        std::function<void()> const& meanwhile = [] {},
        QByteArray const& service = "gradebook")
    {
        std::atomic<std::size_t> ended = 0;
        std::vector<std::thread> threads;
        threads.reserve(requests.size());
        for (auto& request : requests)
        {
            threads.emplace_back(
                [this, &request, &ended, &service]
                {
                    cluster.send(request, service);
                    ++ended;
                });
        }
        while (ended < requests.size())
        {
            meanwhile();
            std::this_thread::sleep_for(milliseconds(20));
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
    }

    /** Checks that each answer is right or an honest error, and in time;
        returns how many are right. */
    static int check(std::vector<own_request> const& requests)
    {
        int right = 0;
        for (auto const& request : requests)
        {
            INFO(request.story());
            CHECK((request.is_right() || request.is_honest_error()));
            CHECK(request.took <= request.deadline + lateness);
            right += request.is_right() ? 1 : 0;
        }
        return right;
    }

    /** Returns the error codes that came, with their counts. */
    static std::string errors_of(std::vector<own_request> const& requests)
    {
        std::map<QByteArray, int> counts;
        for (auto const& request : requests)
        {
            counts[request.code()] += request.is_right() ? 0 : 1;
        }
        QByteArray text;
        for (auto const& [code, count] : counts)
        {
            text += code + ' ' + QByteArray::number(count) + ' ';
        }
        return text.toStdString();
    }

    /** Gives one link a fault that the seed picks. */
    void worsen(std::mt19937& random)
    {
        auto& proxy = *cluster.proxies.at(random() % cluster.proxies.size());
        tcp_faults faults;
        switch (random() % 10)
        {
        case 0:
            faults.delay = milliseconds(random() % 100);
            faults.jitter = milliseconds(random() % 100);
            proxy.set_faults(faults);
            break;
        case 1:
            proxy.silence_connections();
            break;
        case 2:
            proxy.reset_connections();
            break;
        case 3:
            faults.cut_answer_after = qint64(random() % 20000);
            proxy.set_faults(faults);
            break;
        case 4:
            faults.drop_to_client = true;
            proxy.set_faults(faults);
            break;
        default:
            proxy.set_faults(faults);
        }
    }

    gradebook_cluster& cluster;
};

} // namespace

// The first case: later on the budget may be spent, since its window holds
// retries for some seconds longer than the requests that earned them.
TEST_CASE_FIXTURE(gradebook_fixture,
                  "request: sent again after a silent attempt: the deadline "
                  "is less what was used")
{
    auto request = make(1);
    request.behaviour = "silence";
    request.deadline = milliseconds(2000);
    cluster.send(request);
    CHECK(request.is_honest_error());
    CHECK(request.took <= request.deadline + lateness);
    auto const deadlines = cluster.deadlines_of(request.path);
    REQUIRE(deadlines.size() >= 2);
    CHECK(deadlines.front() <= 2000);
    CHECK(deadlines.front() > 1000);
    CHECK(deadlines.at(1) <= 1000);
    CHECK(deadlines.at(1) > 0);
}

TEST_CASE_FIXTURE(gradebook_fixture,
                  "requests: all upstreams fail: retries stay in their budget")
{
    auto const runs = QStringLiteral("runs");
    auto const before = cluster.count("gradebook", upstream_count, runs);
    int sent = 0;
    for (int i = 0; i < 10; ++i)
    {
        auto requests = make_all(30, "fail", milliseconds(2000));
        send_at_once(requests);
        for (auto const& request : requests)
        {
            INFO(request.story());
            CHECK(request.answer.error == call_error::none);
            CHECK(is_documented(request.answer));
        }
        sent += int(requests.size());
    }
    auto const made = cluster.count("gradebook", upstream_count, runs) - before;
    MESSAGE(sent << " requests, " << made << " runs");
    // The few requests before it count for the budget, too.
    CHECK(made <=
          sent + int((sent + 20) * retry_share) + entry_count * retry_floor);
    CHECK(made > 0);
}

TEST_CASE_FIXTURE(gradebook_fixture,
                  "requests: answers take most of the deadline, retries spent: "
                  "are awaited")
{
    auto requests = make_all(60, "slow=600", milliseconds(1000));
    send_at_once(requests);
    // The case before has spent the budget but for what these requests earn;
    // those that are tried again have too little time left.
    CHECK(check(requests) >= 45);
}

TEST_CASE_FIXTURE(gradebook_fixture,
                  "requests: a thousand at once, links at fault: each answer "
                  "is right or an honest error")
{
    int all_right = 0;
    for (quint32 seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        auto requests = make_all(1000, "slow=50", milliseconds(4000));
        send_at_once(requests, [&] { worsen(random); });
        auto const right = check(requests);
        MESSAGE("seed " << seed << ": " << right << " of 1000 right, "
                        << errors_of(requests));
        all_right += right;
        cluster.clear_faults();
    }
    // Else nothing is shown of answers, or of errors.
    CHECK(all_right >= 900);
    CHECK(all_right < 3000);
}

TEST_CASE_FIXTURE(gradebook_fixture,
                  "requests: answers after the deadline: told in time, and no "
                  "later request gets them")
{
    auto late = make_all(60, "slow=500", milliseconds(300));
    send_at_once(late);
    CHECK(check(late) == 0);
    for (auto const& request : late)
    {
        INFO(request.story());
        CHECK(request.answer.status == 504);
        CHECK(request.answer.headers.value("run-verdict") == "may-have-run");
    }
    auto next = make_all(200, {}, milliseconds(4000));
    send_at_once(next);
    CHECK(check(next) >= 190);
}

TEST_CASE_FIXTURE(gradebook_fixture,
                  "requests: callers leave: the upstreams' work is cancelled")
{
    auto const cancelled = QStringLiteral("cancelled");
    auto const before = cluster.count("gradebook", upstream_count, cancelled);
    auto requests = make_all(20, "silence", milliseconds(20000));
    for (auto& request : requests)
    {
        request.patience = milliseconds(500);
    }
    send_at_once(requests);
    CHECK(wait_until(
        [&]
        {
            return cluster.count("gradebook", upstream_count, cancelled) >=
                   before + 20;
        },
        milliseconds(3000)));
}

TEST_CASE_FIXTURE(gradebook_fixture,
                  "batch requests: more than slots: each is answered or told "
                  "within its deadline")
{
    auto requests = make_all(120, "slow=100", milliseconds(5000));
    send_at_once(
        requests, [] {}, "ledger");
    auto const right = check(requests);
    MESSAGE(right << " of 120 batch requests right");
    CHECK(right > 0);
}

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    doctest::Context context(argc, argv);
    return context.run();
}
