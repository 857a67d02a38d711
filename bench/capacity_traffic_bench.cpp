#include "capacity_cluster.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <string_view>
#include <thread>

// Usage: capacity_traffic_bench BINARIES
// Look-ups over kept connections at one real entry, whose traffic thread is
// kept busy. Prints the rate and the entry's processor time for one look-up,
// against the number of other entries that it knows.

namespace
{

using namespace verbenacove;
using namespace verbenacove::bench;

constexpr int threads = 2;
constexpr int connections_of_thread = 16;
constexpr int answer_timeout_s = 2;
constexpr milliseconds settling_time{1500};
constexpr milliseconds measured_time{3000};

/** One kept connection that blocks for each answer. */
class lookup_connection
{
public:
    explicit lookup_connection(quint16 port)
        : handle_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int const on = 1;
        timeval const bound{answer_timeout_s, 0};
        ::setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ::setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
        is_open_ = ::connect(handle_, reinterpret_cast<sockaddr*>(&address),
                             sizeof address) == 0;
    }

    ~lookup_connection() { ::close(handle_); }
    lookup_connection(lookup_connection const&) = delete;
    lookup_connection& operator=(lookup_connection const&) = delete;

    bool ask() const
    {
        static constexpr std::string_view request =
            "GET /v1/lookup?service=gradebook&region=wcape&zone=wcape-a "
            "HTTP/1.1\r\nHost: entry\r\n\r\n";
        return is_open_ && ::send(handle_, request.data(), request.size(),
                                  MSG_NOSIGNAL) == ssize_t(request.size());
    }

    /** Returns true for a whole answer with status 200. */
    bool take_answer()
    {
        received_.clear();
        std::array<char, 16384> buffer{};
        while (!is_whole())
        {
            auto const count = ::recv(handle_, buffer.data(), buffer.size(), 0);
            if (count <= 0)
            {
                return false;
            }
            received_.append(buffer.data(), count);
        }
        return received_.startsWith("HTTP/1.1 200");
    }

private:
    bool is_whole() const
    {
        auto const end = received_.indexOf("\r\n\r\n");
        if (end < 0)
        {
            return false;
        }
        static QByteArray const header = "content-length:";
        auto const at = received_.left(end).toLower().indexOf(header);
        auto const line_end = received_.indexOf("\r\n", at);
        auto const from = at + header.size();
        auto const length =
            received_.mid(from, line_end - from).trimmed().toLongLong();
        return at >= 0 && received_.size() >= end + 4 + length;
    }

    int handle_;
    bool is_open_ = false;
    QByteArray received_;
};

struct lookup_count
{
    std::atomic<bool> is_stopping = false;
    std::atomic<qint64> answered = 0;
    std::atomic<qint64> failed = 0;
};

void ask_for_long(quint16 port, lookup_count& count)
{
    std::vector<std::unique_ptr<lookup_connection>> connections;
    for (int i = 0; i < connections_of_thread; ++i)
    {
        connections.push_back(std::make_unique<lookup_connection>(port));
    }
    while (!count.is_stopping && count.failed == 0)
    {
        for (auto const& connection : connections)
        {
            count.failed += connection->ask() ? 0 : 1;
        }
        for (auto const& connection : connections)
        {
            (connection->take_answer() ? count.answered : count.failed) += 1;
        }
    }
}

struct lookup_cost
{
    double per_second = 0;
    double microseconds = 0;
    double idle_percent = 0;
    qint64 failed = 0;
};

lookup_cost measure(QString const& binaries, int peers)
{
    capacity_cluster cluster(binaries, 1, true);
    auto const name = QStringLiteral("entry-1");
    auto const target = cluster.address(name, support::door::peer);
    timer_service timers;
    // One socket for all: only what the entry hears matters here.
    auto const socket = std::make_shared<counting_socket>();
    std::vector<std::unique_ptr<fake_entry>> fakes;
    for (int i = 0; i < peers; ++i)
    {
        fakes.push_back(std::make_unique<fake_entry>(i, 0, target, socket));
        fakes.back()->start(timers, i * fake_entry::round_interval / peers);
    }
    run_for(settling_time);
    auto const pid = cluster.process(name).pid();
    auto cpu = process_cpu_seconds(pid);
    stopwatch const idle_watch;
    run_for(settling_time);
    auto const idle = (process_cpu_seconds(pid) - cpu) / idle_watch.seconds();

    lookup_count count;
    auto const port = cluster.address(name, support::door::http).port;
    cpu = process_cpu_seconds(pid);
    stopwatch const watch;
    std::vector<std::thread> callers;
    for (int i = 0; i < threads; ++i)
    {
        callers.emplace_back([port, &count] { ask_for_long(port, count); });
    }
    run_for(measured_time);
    count.is_stopping = true;
    for (auto& caller : callers)
    {
        caller.join();
    }
    auto const span = watch.seconds();
    auto const spent = process_cpu_seconds(pid) - cpu - idle * span;
    auto const answered = double(count.answered);
    return {answered / span, 1e6 * spent / answered, 100 * idle, count.failed};
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
    std::printf("Look-ups on one traffic thread, %d kept connections\n"
                "%9s %9s %9s %9s %9s\n",
                threads * connections_of_thread, "entries", "1/s", "us CPU",
                "idle %", "failed");
    line_fit fit;
    for (int const peers : {12, 100, 250, 500, 1000})
    {
        auto const at = measure(binaries, peers);
        std::printf("%9d %9.0f %9.1f %9.2f %9lld\n", peers, at.per_second,
                    at.microseconds, at.idle_percent,
                    static_cast<long long>(at.failed));
        std::fflush(stdout);
        fit.add(peers, at.microseconds);
    }
    fit.print("CPU", "us", "entry known");
    return 0;
}
