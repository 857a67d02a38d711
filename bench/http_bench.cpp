// Measures the HTTP server alone, and the time that server and client
// together add as a plain proxy. Usage: http_bench [SECONDS]

#include "unit/http_blocking_caller.hpp"
#include "verbenacove/connection/http_server.hpp"
#include "verbenacove/connection/upstream_client.hpp"

#include <QCoreApplication>
#include <QThread>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <thread>

using namespace verbenacove;

namespace
{

using steady_clock = std::chrono::steady_clock;
using microseconds = std::chrono::duration<double, std::micro>;

constexpr int default_seconds = 10;
constexpr int connection_count = 32;
constexpr int idle_connection_count = 3000;
constexpr int caller_threads = 4;
constexpr qsizetype small_answer_bytes = 90;
constexpr qsizetype proxied_bytes = 1024;
constexpr std::chrono::microseconds request_interval{2000};

/** Runs a server on a thread of its own, as an entry does. */
class server_thread
{
public:
    using handler_factory = std::function<http_server::handler()>;

    explicit server_thread(handler_factory make_handler)
        : make_handler_(std::move(make_handler))
        , thread_([this] { run(); })
    {
        while (port_ == 0)
        {
            std::this_thread::yield();
        }
    }

    ~server_thread()
    {
        loop_.load()->quit();
        thread_.join();
    }

    server_thread(server_thread const&) = delete;
    server_thread& operator=(server_thread const&) = delete;

    quint16 port() const { return port_; }

    /** Returns the CPU time that the thread has used. */
    microseconds cpu_time()
    {
        clockid_t clock{};
        pthread_getcpuclockid(thread_.native_handle(), &clock);
        timespec time{};
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) +
               std::chrono::nanoseconds(time.tv_nsec);
    }

private:
    void run()
    {
        QEventLoop loop;
        loop_ = &loop;
        http_server server({}, make_handler_());
        if (!server.listen({QHostAddress(QHostAddress::LocalHost), 0}))
        {
            std::fprintf(stderr, "cannot listen\n");
            std::exit(1);
        }
        port_ = server.port();
        loop.exec();
    }

    handler_factory make_handler_;
    std::atomic<quint16> port_ = 0;
    std::atomic<QEventLoop*> loop_ = nullptr;
    std::thread thread_;
};

/** A caller that ends the program when something goes wrong. */
class bench_caller
{
public:
    explicit bench_caller(quint16 port)
        : caller_(port)
    {
        require(caller_.is_connected(), "cannot connect");
    }

    void send(QByteArray const& request) const
    {
        require(caller_.send(request), "cannot send");
    }

    /** Waits for an answer of 200 with a body of so many bytes. */
    void receive(qsizetype body_bytes)
    {
        QByteArray input;
        qsizetype end = -1;
        while (end < 0 || input.size() < end + 4 + body_bytes)
        {
            auto const bytes = caller_.receive();
            require(!bytes.isEmpty(), "the connection closed");
            input += bytes;
            end = input.indexOf("\r\n\r\n");
        }
        require(input.startsWith("HTTP/1.1 200 ") &&
                    input.size() == end + 4 + body_bytes,
                "not the right answer");
    }

private:
    static void require(bool holds, char const* otherwise)
    {
        if (!holds)
        {
            std::fprintf(stderr, "%s\n", otherwise);
            std::exit(1);
        }
    }

    blocking_caller const caller_;
};

/** The times that requests took. */
struct latencies
{
    std::vector<microseconds> times;

    void add(latencies const& other)
    {
        times.insert(times.end(), other.times.begin(), other.times.end());
    }

    double percentile(double share)
    {
        std::sort(times.begin(), times.end());
        auto const last = static_cast<double>(times.size() - 1);
        return times[static_cast<std::size_t>(share * last)].count();
    }
};

QByteArray lookup_request()
{
    return "GET /v1/lookup?service=gradebook HTTP/1.1\r\nHost: entry\r\n\r\n";
}

QByteArray call_request()
{
    return "POST /call HTTP/1.1\r\nHost: entry\r\nContent-Length: " +
           QByteArray::number(proxied_bytes) + "\r\n\r\n" +
           QByteArray(proxied_bytes, 'a');
}

/** Calls by several connections, each again as soon as all have answers. */
latencies call_on_and_on(quint16 port, QByteArray const& request,
                         qsizetype answer_bytes, steady_clock::time_point end)
{
    std::vector<std::unique_ptr<bench_caller>> callers;
    callers.reserve(connection_count / caller_threads);
    for (int i = 0; i < connection_count / caller_threads; ++i)
    {
        callers.push_back(std::make_unique<bench_caller>(port));
    }
    latencies result;
    while (steady_clock::now() < end)
    {
        auto const start = steady_clock::now();
        for (auto const& caller : callers)
        {
            caller->send(request);
        }
        for (auto const& caller : callers)
        {
            caller->receive(answer_bytes);
            result.times.emplace_back(steady_clock::now() - start);
        }
    }
    return result;
}

void measure_full_speed(char const* what, server_thread& server,
                        QByteArray const& request, qsizetype answer_bytes,
                        int seconds)
{
    auto const cpu_before = server.cpu_time();
    auto const end = steady_clock::now() + std::chrono::seconds(seconds);
    std::vector<latencies> all(caller_threads);
    std::vector<std::thread> threads;
    threads.reserve(caller_threads);
    for (auto& each : all)
    {
        threads.emplace_back(
            [&, end] {
                each =
                    call_on_and_on(server.port(), request, answer_bytes, end);
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    auto const cpu = server.cpu_time() - cpu_before;
    latencies total;
    for (auto const& each : all)
    {
        total.add(each);
    }
    auto const count = static_cast<double>(total.times.size());
    std::printf("%s: %.0f requests/s on one thread, %d connections, "
                "%.1f us of CPU a request, p50 %.0f us, p99 %.0f us\n",
                what, count / seconds, connection_count, cpu.count() / count,
                total.percentile(0.5), total.percentile(0.99));
}

void measure_server(int seconds)
{
    QByteArray const answer(small_answer_bytes, 'a');
    server_thread server(
        [&answer]
        {
            return [&answer](std::shared_ptr<http_exchange> const& exchange)
            {
                exchange->respond({200, {}, answer});
            };
        });
    measure_full_speed("server", server, lookup_request(), small_answer_bytes,
                       seconds);
    std::vector<std::unique_ptr<bench_caller>> idle;
    idle.reserve(idle_connection_count);
    for (int i = 0; i < idle_connection_count; ++i)
    {
        idle.push_back(std::make_unique<bench_caller>(server.port()));
        idle.back()->send(lookup_request());
        idle.back()->receive(small_answer_bytes);
    }
    measure_full_speed("server with 3000 idle connections", server,
                       lookup_request(), small_answer_bytes, seconds);
}

http_server::handler proxy_to(quint16 port, bool may_reuse)
{
    auto client = std::make_shared<upstream_client>();
    return [client, port,
            may_reuse](std::shared_ptr<http_exchange> const& exchange)
    {
        attempt_request request;
        request.address = {QHostAddress(QHostAddress::LocalHost), port};
        request.method = exchange->request().method;
        request.target = exchange->request().path;
        request.headers = exchange->request().headers;
        request.body = exchange->request().body;
        request.may_reuse_connection = may_reuse;
        client->start(request, [exchange](attempt_result const& result)
                      { exchange->respond(result.response); });
    };
}

/** Calls at a steady rate; a request that had to wait for the one before
    counts from when it was due. */
latencies call_steadily(quint16 port, int seconds)
{
    auto const request = call_request();
    bench_caller caller(port);
    latencies result;
    auto due = steady_clock::now();
    auto const end = due + std::chrono::seconds(seconds);
    for (; due < end; due += request_interval)
    {
        bool const is_late = steady_clock::now() > due;
        std::this_thread::sleep_until(due);
        auto const start = is_late ? due : steady_clock::now();
        caller.send(request);
        caller.receive(proxied_bytes);
        result.times.emplace_back(steady_clock::now() - start);
    }
    return result;
}

http_server::handler echo()
{
    return [](std::shared_ptr<http_exchange> const& exchange)
    {
        exchange->respond({200, {}, exchange->request().body});
    };
}

void measure_proxy(int seconds, bool may_reuse)
{
    server_thread const upstream(echo);
    server_thread proxy([&upstream, may_reuse]
                        { return proxy_to(upstream.port(), may_reuse); });
    auto const cpu_before = proxy.cpu_time();
    latencies direct;
    std::thread direct_caller(
        [&] { direct = call_steadily(upstream.port(), seconds); });
    auto proxied = call_steadily(proxy.port(), seconds);
    direct_caller.join();
    auto const cpu = proxy.cpu_time() - cpu_before;
    std::printf(
        "proxy, %s connections, 500 requests/s each way, 1 KB: direct p50 "
        "%.0f us, p99 %.0f us; proxied p50 %.0f us, p99 %.0f us; added p50 "
        "%.0f us, p99 %.0f us; %.0f us of CPU a request\n",
        may_reuse ? "kept" : "new", direct.percentile(0.5),
        direct.percentile(0.99), proxied.percentile(0.5),
        proxied.percentile(0.99),
        proxied.percentile(0.5) - direct.percentile(0.5),
        proxied.percentile(0.99) - direct.percentile(0.99),
        cpu.count() / static_cast<double>(proxied.times.size()));
    measure_full_speed("the same proxy at full speed", proxy, call_request(),
                       proxied_bytes, seconds);
}

} // namespace

int main(int count, char** arguments)
{
    QCoreApplication const application(count, arguments);
    int const seconds = count > 1 ? std::atoi(arguments[1]) : default_seconds;
    if (seconds < 1)
    {
        std::fprintf(stderr, "usage: http_bench [SECONDS]\n");
        return 2;
    }
    measure_server(seconds);
    measure_proxy(seconds, true);
    measure_proxy(seconds, false);
    return 0;
}
