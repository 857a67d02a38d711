#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "platform/platform_cluster.hpp"

#include <QCoreApplication>

#include <thread>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

constexpr int replica_count = 3;
constexpr int entry_count = 4;
/** Time for which only one entry can report to the restarted replicas. */
constexpr milliseconds single_entry_time{400};

/** Replicas that know all entries. */
class restart_fixture : public platform_cluster
{
public:
    restart_fixture()
        : platform_cluster(replica_count, entry_count)
    {
        put_until_accepted(3, "safe", "r0");
        REQUIRE(wait_until([&] { return all_replicas_return(entry_count); }));
    }

    bool all_replicas_return(qsizetype entries)
    {
        for (int replica = 0; replica < replica_count; ++replica)
        {
            if (named_entries(replica) != entries)
            {
                return false;
            }
        }
        return true;
    }

    void restart_replicas()
    {
        for (int replica = 0; replica < replica_count; ++replica)
        {
            replica_process(replica).kill_now();
        }
        for (int replica = 0; replica < replica_count; ++replica)
        {
            start_replica(replica, false);
        }
    }

    /** Looks up at each replica and notes the smallest response with
        entries. */
    void look_up_everywhere()
    {
        for (int replica = 0; replica < replica_count; ++replica)
        {
            auto const returned = named_entries(replica);
            fewest_ = returned > 0 ? std::min(fewest_, returned) : fewest_;
        }
    }

    qsizetype fewest() const { return fewest_; }

private:
    qsizetype fewest_ = entry_count;
};

} // namespace

TEST_CASE_FIXTURE(restart_fixture,
                  "replica restart: entries report one after another: no "
                  "look-up sends all callers to the first one")
{
    for (int entry = 1; entry < entry_count; ++entry)
    {
        entry_process(entry).freeze();
    }
    restart_replicas();
    REQUIRE(wait_until([&] { return look_up(0).error == call_error::none; }));
    wait_until(
        [&]
        {
            look_up_everywhere();
            return false;
        },
        single_entry_time);
    for (int entry = 1; entry < entry_count; ++entry)
    {
        entry_process(entry).thaw();
    }
    CHECK(wait_until(
        [&]
        {
            look_up_everywhere();
            return all_replicas_return(entry_count);
        }));
    CHECK(fewest() == entry_count);
}

int main(int argc, char** argv)
{
    QCoreApplication const application(argc, argv);
    return doctest::Context(argc, argv).run();
}
