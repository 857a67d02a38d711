#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/platform_cluster.hpp"

#include <QCoreApplication>

#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

/** The rules bind this long after the first response with a signal. */
constexpr milliseconds drain_bound{2500};
constexpr milliseconds pause_bound{500};
constexpr int pause_s = 3;
/** Requests that may still arrive during a pause. */
constexpr int allowed_in_pause = 2;
constexpr milliseconds call_interval{50};

/** One entry that cannot read any replica while the signals come. */
class signals_fixture : public platform_cluster
{
public:
    signals_fixture()
        : platform_cluster(1, 1)
    {
        put_until_accepted(3, "safe", "r0");
        first.beat(control(0));
        second.beat(control(0));
        REQUIRE(serves(0));
        replica_process(0).freeze();
    }

    ~signals_fixture() { replica_process(0).thaw(); }
    signals_fixture(signals_fixture const&) = delete;
    signals_fixture& operator=(signals_fixture const&) = delete;

    void call_for(milliseconds time)
    {
        auto const end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
        {
            call(0, "signal-" + QByteArray::number(++number_));
            std::this_thread::sleep_for(call_interval);
        }
    }

    platform_upstream first{QStringLiteral("i-first")};
    platform_upstream second{QStringLiteral("i-second")};

private:
    int number_ = 0;
};

} // namespace

TEST_CASE_FIXTURE(signals_fixture,
                  "upstream signals: both say that they leave: a cut-off entry "
                  "sends nothing more")
{
    first.says_leaving = true;
    second.says_leaving = true;
    call_for(drain_bound);
    auto const before = first.all_runs() + second.all_runs();
    call_for(milliseconds(1000));
    CHECK(first.all_runs() + second.all_runs() == before);
}

TEST_CASE_FIXTURE(signals_fixture,
                  "upstream signals: refusals ask for a pause: it is kept, "
                  "then requests are sent again")
{
    first.refusal_pause_s = pause_s;
    second.refusal_pause_s = pause_s;
    call_for(pause_bound);
    auto const before = first.all_runs() + second.all_runs();
    call_for(std::chrono::seconds(pause_s) - 2 * pause_bound);
    auto const after = first.all_runs() + second.all_runs();
    CHECK(after - before <= allowed_in_pause);
    first.refusal_pause_s = 0;
    second.refusal_pause_s = 0;
    CHECK(serves(0));
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
