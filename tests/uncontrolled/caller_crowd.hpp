#ifndef VERBENACOVE_TESTS_UNCONTROLLED_CALLER_CROWD_HPP
#define VERBENACOVE_TESTS_UNCONTROLLED_CALLER_CROWD_HPP

#include "platform/platform_cluster.hpp"

#include <QDir>

#include <algorithm>
#include <functional>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace verbenacove::support
{

inline constexpr qint64 one_kibibyte = 1024;
inline constexpr qint64 one_mebibyte = 1024 * one_kibibyte;

/** What one client of the crowd does: it sends its bytes, never reads, and
    stays open. */
struct crowd_script
{
    socket_address door;
    QByteArray bytes;
    /** The most bytes of one write. */
    qsizetype piece = 64 * one_kibibyte;
};

/** Clients that nobody controls: non-blocking sockets on 127.0.0.1 that send
    what a script says and never read. */
class caller_crowd
{
public:
    caller_crowd() = default;
    ~caller_crowd() { leave(); }
    caller_crowd(caller_crowd const&) = delete;
    caller_crowd& operator=(caller_crowd const&) = delete;

    void add(int count, crowd_script const& script)
    {
        for (int i = 0; i < count; ++i)
        {
            clients_.push_back({connect_to(script.door), 0, script});
        }
    }

    /** Sends until no client has made progress for a while, or all are done;
        bounded. */
    void send()
    {
        constexpr int maximum_rounds = 3000;
        constexpr int quiet_rounds = 100;
        int quiet = 0;
        for (int i = 0; i < maximum_rounds && quiet < quiet_rounds; ++i)
        {
            bool is_any = false;
            for (auto& each : clients_)
            {
                is_any = send_some(each) || is_any;
            }
            quiet = is_any ? 0 : quiet + 1;
            std::this_thread::sleep_for(milliseconds(5));
        }
    }

    void leave()
    {
        for (auto const& each : clients_)
        {
            ::close(each.socket);
        }
        clients_.clear();
    }

private:
    struct client
    {
        int socket;
        qsizetype sent;
        crowd_script script;
    };

    static int connect_to(socket_address const& door)
    {
        int const result =
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        REQUIRE(result >= 0);
        int const receive_buffer = 4096;
        ::setsockopt(result, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof(receive_buffer));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(door.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        // It goes on in the background; what fails shows in `send`.
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        (void)::connect(result, reinterpret_cast<sockaddr const*>(&address),
                        sizeof(address));
        return result;
    }

    static bool send_some(client& each)
    {
        auto const left = each.script.bytes.size() - each.sent;
        if (left == 0)
        {
            return false;
        }
        auto const count =
            ::send(each.socket, each.script.bytes.constData() + each.sent,
                   static_cast<std::size_t>(std::min(left, each.script.piece)),
                   MSG_NOSIGNAL);
        if (count > 0)
        {
            each.sent += count;
        }
        return count > 0;
    }

    std::vector<client> clients_;
};

/** Reads what one process holds. */
class process_watch
{
public:
    explicit process_watch(child_process& process)
        : process_(process)
        , pid_(process.pid())
        , resting_bytes_(status_bytes("VmRSS:"))
    {
    }

    bool lives() { return process_.is_running() && process_.pid() == pid_; }

    /** Returns the most memory that it has had so far. */
    qint64 peak_bytes() const { return status_bytes("VmHWM:"); }

    /** Returns the memory that it had when this watch was made. */
    qint64 resting_bytes() const { return resting_bytes_; }

    int open_descriptors() const
    {
        return static_cast<int>(QDir(QStringLiteral("/proc/%1/fd").arg(pid_))
                                    .entryList(QDir::System | QDir::AllEntries |
                                               QDir::NoDotAndDotDot)
                                    .size());
    }

private:
    qint64 status_bytes(QByteArray const& name) const
    {
        QFile file(QStringLiteral("/proc/%1/status").arg(pid_));
        if (!file.open(QIODevice::ReadOnly))
        {
            return 0;
        }
        for (auto const& line : file.readAll().split('\n'))
        {
            if (line.startsWith(name))
            {
                return line.mid(name.size())
                           .replace("kB", "")
                           .trimmed()
                           .toLongLong() *
                       one_kibibyte;
            }
        }
        return 0;
    }

    child_process& process_;
    pid_t const pid_;
    qint64 const resting_bytes_;
};

/** Lowers the limit of open descriptors that child processes inherit, until
    `restore`. */
class lowered_descriptors
{
public:
    explicit lowered_descriptors(rlim_t count)
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        auto lowered = before_;
        lowered.rlim_cur = std::min(count, before_.rlim_cur);
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~lowered_descriptors() { restore(); }
    lowered_descriptors(lowered_descriptors const&) = delete;
    lowered_descriptors& operator=(lowered_descriptors const&) = delete;

    void restore() const { ::setrlimit(RLIMIT_NOFILE, &before_); }

private:
    rlimit before_{};
};

/** One replica and one entry whose bounds are small, and one upstream.

    The crowd and the bounds were chosen on commit 728cfb0, before the product
    was changed, and stay.
*/
class uncontrolled_fixture : protected lowered_descriptors,
                             public platform_cluster
{
public:
    /** The memory that the entry's settings give to all that callers make it
        hold. */
    static constexpr qint64 held_bytes = 4 * one_mebibyte;
    /** What a process may grow by: what it may hold, as much again for the
        allocator, and 8 MiB for what any traffic brings (pages of code, logs,
        an allocator's arenas). */
    static constexpr qint64 growth_bound = 2 * held_bytes + 8 * one_mebibyte;
    /** Descriptors of each process, and the bound that leaves a quarter to
        upstreams, peers and files. */
    static constexpr int descriptors = 256;
    static constexpr int descriptor_bound = descriptors * 3 / 4;
    /** The memory of the users' smallest machine. */
    static constexpr qint64 smallest_machine = 112 * one_mebibyte;

    uncontrolled_fixture()
        : lowered_descriptors(descriptors)
        , platform_cluster(
              1, 1, QStringLiteral("metrics = %1\n").arg(metrics_door().text()),
              QStringLiteral("[limits]\nheld_bytes = %1MiB\n")
                  .arg(held_bytes / one_mebibyte))
    {
        restore();
        put_until_accepted(3, "safe", "r0");
        upstream.beat(control(0));
        REQUIRE(serves(0));
        REQUIRE(post(ordinary_body).is(200));
        REQUIRE(wait_until([&] { return look_up(0).is(200); }));
    }

    static socket_address metrics_door()
    {
        static auto const result = local(free_port());
        return result;
    }

    /** The doors of the entry: the first one has routes. */
    std::vector<socket_address> entry_doors() const
    {
        return {callers(0), readiness(0), metrics_door()};
    }

    /** Sends an ordinary request with a body, within the limits. */
    http_answer post(qint64 body_bytes)
    {
        static int number = 0;
        return call_http(
            {callers(0),
             "POST",
             "/grades/7",
             {"Host: g.example",
              "Verbenacove-Request-Id: ordinary-" +
                  QByteArray::number(++number),
              "Verbenacove-Affinity-Key: 17", "Verbenacove-Deadline-Ms: 2500"},
             QByteArray(body_bytes, 'o')});
    }

    /** Returns whether the entry answers an ordinary request while the crowd
        is there. */
    bool is_served()
    {
        upstream.beat(control(0));
        return is_answered([&] { return post(ordinary_body); }) &&
               is_answered([&] { return ask_readiness(0); });
    }

    bool is_looked_up()
    {
        return is_answered([&] { return look_up(0); });
    }

    /** Returns whether a call is answered 200 within the time for which a
        caller waits. A refusal is repeated, as the pages allow: after the pause
        that it asks for, if any. */
    static bool is_answered(std::function<http_answer()> const& call)
    {
        constexpr int maximum_tries = 5;
        auto const end = std::chrono::steady_clock::now() + patience;
        for (int i = 0; i < maximum_tries; ++i)
        {
            auto const answer = call();
            if (answer.is(200))
            {
                return true;
            }
            // In seconds, which may be a fraction.
            milliseconds const pause(qRound64(
                answer.headers.value("retry-after").toDouble() * 1000));
            MESSAGE("refused: " << answer.status << " "
                                << answer.message.toStdString() << " "
                                << answer.body.left(200).toStdString()
                                << ", pause " << pause.count() << " ms");
            if (std::chrono::steady_clock::now() + pause > end)
            {
                return false;
            }
            std::this_thread::sleep_for(pause);
        }
        return false;
    }

    void check_entry(process_watch& watch)
    {
        CHECK(watch.lives());
        CHECK(watch.open_descriptors() <= descriptor_bound);
        CHECK(is_served());
        CHECK(watch.peak_bytes() <= watch.resting_bytes() + growth_bound);
        CHECK(watch.lives());
    }

    void check_replica(process_watch& watch)
    {
        CHECK(watch.lives());
        CHECK(watch.open_descriptors() <= descriptor_bound);
        CHECK(is_looked_up());
        CHECK(watch.peak_bytes() <= smallest_machine);
        CHECK(watch.lives());
    }

    static QByteArray head(char const* path, QByteArray const& fields)
    {
        return QByteArray("POST ") + path +
               " HTTP/1.1\r\nHost: g.example\r\n"
               "Verbenacove-Request-Id: stranger\r\n"
               "Verbenacove-Affinity-Key: 17\r\n"
               "Verbenacove-Deadline-Ms: 2500\r\n" +
               fields + "\r\n";
    }

    /** A request whose body stops one byte short. */
    static QByteArray short_of_end(char const* path, qint64 body_bytes)
    {
        return head(path, "Content-Length: " + QByteArray::number(body_bytes) +
                              "\r\n") +
               QByteArray(body_bytes - 1, 'b');
    }

    /** A request in chunks without the last one. */
    static QByteArray chunks(char const* path, qint64 body_bytes,
                             qint64 chunk_bytes)
    {
        auto result = head(path, "Transfer-Encoding: chunked\r\n");
        auto const chunk = QByteArray::number(chunk_bytes, 16) + "\r\n" +
                           QByteArray(chunk_bytes, 'c') + "\r\n";
        for (qint64 i = 0; i < body_bytes / chunk_bytes; ++i)
        {
            result += chunk;
        }
        return result;
    }

    /** The time that an ordinary request has. */
    static constexpr milliseconds patience{2500};

    /** The body of an ordinary request is larger than that of each of the
        many: the room that they leave isn't enough for it. */
    static constexpr qint64 ordinary_body = 200 * one_kibibyte;
    static constexpr qint64 crowd_body = 100 * one_kibibyte;

    platform_upstream upstream{QStringLiteral("i-one")};
};

} // namespace verbenacove::support

#endif
