#include "capacity_cluster.hpp"

// Usage: capacity_mesh_bench BINARIES
// One real entry among fake ones that send it datagrams twice a second, as
// peer_mesh does. Prints the entry's control traffic and processor time
// against the number of peers, and against the upstreams that they carry.

namespace
{

using namespace verbenacove;
using namespace verbenacove::bench;

constexpr milliseconds settling_time{1500};
constexpr milliseconds measured_time{3000};
constexpr int peers_with_upstreams = 16;

struct cost
{
    double kilobytes_per_second = 0;
    double datagrams_per_second = 0;
    double core_percent = 0;
    double megabytes = 0;
};

/** Measures an entry that starts afresh among this many fake ones, and to
    which some upstreams announce themselves. */
cost measure(QString const& binaries, int peers, int upstreams_of_each,
             int own_upstreams = 0)
{
    capacity_cluster cluster(binaries, 1, true, own_upstreams);
    auto const target =
        cluster.address(QStringLiteral("entry-1"), support::door::peer);
    timer_service timers;
    std::vector<std::shared_ptr<counting_socket>> sockets;
    std::vector<std::unique_ptr<fake_entry>> fakes;
    for (int i = 0; i < peers; ++i)
    {
        sockets.push_back(std::make_shared<counting_socket>());
        fakes.push_back(std::make_unique<fake_entry>(i, upstreams_of_each,
                                                     target, sockets.back()));
        fakes.back()->start(timers, i * fake_entry::round_interval / peers);
    }
    auto const pid = cluster.process(QStringLiteral("entry-1")).pid();
    run_for(settling_time);
    for (auto const& socket : sockets)
    {
        socket->bytes = 0;
        socket->datagrams = 0;
    }
    auto const cpu = process_cpu_seconds(pid);
    stopwatch const watch;
    run_for(measured_time);
    auto const span = watch.seconds();
    cost result;
    result.core_percent = 100 * (process_cpu_seconds(pid) - cpu) / span;
    result.megabytes = process_megabytes(pid);
    for (auto const& socket : sockets)
    {
        result.kilobytes_per_second += double(socket->bytes) / 1000 / span;
        result.datagrams_per_second += double(socket->datagrams) / span;
    }
    return result;
}

void print_heading()
{
    std::printf("%9s %9s %9s %9s %9s %9s\n", "peers", "upstreams", "KB/s",
                "packets/s", "% core", "RSS MB");
}

void print_row(int peers, int upstreams, cost const& at)
{
    std::printf("%9d %9d %9.2f %9.1f %9.2f %9.1f\n", peers, upstreams,
                at.kilobytes_per_second, at.datagrams_per_second,
                at.core_percent, at.megabytes);
    std::fflush(stdout);
}

void measure_peers(QString const& binaries)
{
    std::printf("An entry's mesh, both ways, against the other entries\n");
    print_heading();
    line_fit bytes;
    line_fit cpu;
    for (int const peers : {4, 16, 64, 128, 256})
    {
        auto const at = measure(binaries, peers, 0);
        print_row(peers, 0, at);
        bytes.add(peers, at.kilobytes_per_second);
        cpu.add(peers, at.core_percent);
    }
    bytes.print("traffic", "KB/s", "peer");
    cpu.print("CPU", "% of a core", "peer");
}

void measure_upstreams(QString const& binaries)
{
    std::printf("The same with %d peers, against the upstreams they carry\n",
                peers_with_upstreams);
    print_heading();
    line_fit bytes;
    line_fit cpu;
    for (int const each : {1, 4, 8, 16, 32})
    {
        int const upstreams = peers_with_upstreams * each;
        auto const at = measure(binaries, peers_with_upstreams, each);
        print_row(peers_with_upstreams, upstreams, at);
        bytes.add(upstreams, at.kilobytes_per_second);
        cpu.add(upstreams, at.core_percent);
    }
    bytes.print("traffic", "KB/s", "upstream");
    cpu.print("CPU", "% of a core", "upstream");
}

/** Measures about what Karoo and Benjelloun have: 12 entries and 37 upstreams,
    4 of which announce to the entry itself. */
void measure_present_size(QString const& binaries)
{
    constexpr int peers = 11;
    constexpr int upstreams_of_each = 3;
    constexpr int own_upstreams = 4;
    std::printf("The size of today\n");
    print_heading();
    auto const at = measure(binaries, peers, upstreams_of_each, own_upstreams);
    print_row(peers, peers * upstreams_of_each + own_upstreams, at);
}

} // namespace

int main(int argc, char** argv)
{
    support::ensure_application();
    if (argc != 2)
    {
        return 2;
    }
    auto const binaries = QString::fromLocal8Bit(argv[1]);
    measure_peers(binaries);
    measure_upstreams(binaries);
    measure_present_size(binaries);
    return 0;
}
