#ifndef VERBENACOVE_REVIEW_SUPPORT_2_LAB_HPP
#define VERBENACOVE_REVIEW_SUPPORT_2_LAB_HPP

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/** A small deployment on loopback addresses: the project's two programs as
    processes, and stand-ins of backends, clients and the operator. */
namespace lab
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Exit codes of a case. */
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

struct address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

using headers = std::multimap<std::string, std::string>;

/** Returns a header's value; names are kept in lower case. */
std::string header_of(headers const& all, std::string const& name);

struct request
{
    std::string method;
    std::string target;
    headers fields;
    std::string body;
};

struct response
{
    /** 0 when there was none. */
    int status = 0;
    headers fields;
    std::string body;
};

struct call
{
    address to;
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::string> lines = {};
    std::string body = {};
    milliseconds patience{1000};
};

/** Sends one request on a connection of its own. */
response send(call const& what);

/** A client's connection that is kept for many requests. */
class kept_connection
{
public:
    explicit kept_connection(address const& to, milliseconds patience);
    ~kept_connection();
    kept_connection(kept_connection const&) = delete;
    kept_connection& operator=(kept_connection const&) = delete;

    /** Sends bytes of any number of requests. */
    bool write(std::string const& bytes);
    /** Reads the next answer; its status is 0 when the connection ends before
        it is whole. */
    response read(milliseconds patience);
    /** Returns whether the peer has closed it. */
    bool is_closed() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

bool wait_until(std::function<bool()> const& condition, milliseconds longest);

/** Lines with the time since the start. What clients send, how they are
    answered and what backends run goes to the file; notes go to standard output
    as well. */
class record
{
public:
    explicit record(std::string const& path);
    ~record();
    record(record const&) = delete;
    record& operator=(record const&) = delete;

    void note(std::string const& line);
    void detail(std::string const& line);
    /** Returns the milliseconds since the start. */
    long long now() const;

private:
    std::mutex mutex_;
    clock::time_point start_ = clock::now();
    std::ofstream file_;
};

/** A child process, killed at the end. */
class process
{
public:
    process() = default;
    ~process();
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    /** Starts a program with a pipe as its output, which is copied to a file.
     */
    void start(std::string const& program, std::string const& settings,
               std::string const& log);
    /** Makes the reader of its output stop reading, or go on. */
    void pause_log_reader(bool is_paused) { is_reader_paused_ = is_paused; }
    void signal(int number) const;
    void kill_now();
    bool is_running();

private:
    void copy_output(int input, std::string const& log);

    pid_t id_ = -1;
    std::atomic<bool> is_reader_paused_{false};
    std::jthread reader_;
};

/** A backend that answers each request with its id and a digest, and 421 to
    those that are meant for another. */
class backend
{
public:
    backend(std::string id, std::string service, address where,
            std::string zone);
    ~backend();
    backend(backend const&) = delete;
    backend& operator=(backend const&) = delete;

    /** Ends as a process that is killed: all connections close, and new ones
        are refused. */
    void crash();
    /** Says from now on that it leaves. */
    void begin_leaving() { is_leaving_ = true; }
    std::string id() const { return id_; }
    address where() const { return where_; }

    /** Sends a check-in; follows `HeartbeatAddress`. */
    response check_in(address const& control, char const* state = "ready");
    /** Checks in every 1.5 s, at each node in turn or where it is told to,
        until stopped. */
    void keep_checking_in(std::vector<address> const& control);
    void stop_checking_in();

    int runs() const { return runs_; }
    /** Returns whether it has run the request with this id. */
    bool has_run(std::string const& request) const;
    /** Returns how many check-ins of this boot were acknowledged. */
    int acknowledged_check_ins() const { return acknowledged_; }
    /** Is cold for this time from now on, and says so. */
    void be_cold(milliseconds duration)
    {
        cold_until_ = clock::now() + duration;
    }
    /** Returns the number of requests at which it works now. */
    int running() const { return running_; }
    /** Returns how many requests arrived that were sent by clients later than
        a time of the record. */
    int runs_of_later(long long sent) const;

    /** Refuses all requests with 503 and this `Retry-After`, if above 0. */
    std::atomic<int> refusal_pause_s{0};
    std::atomic<int> work_ms{20};
    /** Size of each answer; it is the backend's id if 0. */
    std::atomic<std::size_t> answer_bytes{0};
    /** Time of work for a path that ends with `/first`, if above 0. */
    std::atomic<int> first_work_ms{0};

private:
    void serve(int listener);
    void serve_connection(int socket);
    std::string answer(request const& request);

    std::string id_;
    std::string service_;
    address where_;
    std::string zone_;
    long long born_;
    std::atomic<long long> sequence_{0};
    std::atomic<int> runs_{0};
    std::atomic<int> running_{0};
    std::atomic<int> acknowledged_{0};
    std::set<std::string> ran_;
    std::atomic<clock::time_point> cold_until_{clock::time_point{}};
    long long cold_ms() const;
    std::atomic<bool> is_leaving_{false};
    std::set<int> sockets_;
    std::atomic<bool> is_stopped_{false};
    mutable std::mutex mutex_;
    std::vector<long long> sent_;
    std::optional<address> receiver_;
    std::atomic<int> listener_{-1};
    std::jthread server_;
    std::jthread beats_;
};

/** The project's processes with settings like those of a small deployment. */
class deployment
{
public:
    deployment(std::string folder, int cores, int fronts);

    void start_core(int number, bool is_first);
    void start_front(int number);
    void kill_core(int number);
    process& core(int number)
    {
        return *cores_.at(static_cast<std::size_t>(number));
    }
    process& front(int number)
    {
        return *fronts_.at(static_cast<std::size_t>(number));
    }
    int core_count() const { return static_cast<int>(cores_.size()); }
    int front_count() const { return static_cast<int>(fronts_.size()); }

    address control(int number) const;
    std::vector<address> controls() const;
    address frontend(int number) const;
    address readiness(int number) const;
    /** Returns an unused address for a backend. */
    address backend_address(int number) const;

    /** Sends a whole configuration until it is acknowledged. */
    bool configure(std::string const& body, std::string const& base);
    bool are_fronts_ready();

private:
    std::string seeds() const;
    std::string zone(int number) const;

    std::string folder_;
    std::uint16_t internal_ = 0;
    std::uint16_t control_ = 0;
    std::uint16_t directory_ = 0;
    std::uint16_t frontend_ = 0;
    std::uint16_t readiness_ = 0;
    std::uint16_t metrics_ = 0;
    std::uint16_t backend_ = 0;
    int network_ = 0;
    std::vector<std::unique_ptr<process>> cores_;
    std::vector<std::unique_ptr<process>> fronts_;
};

/** A route of a configuration. */
struct route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeout_ms = 2000;
    std::string host = "lab.example";
};

/** Returns a configuration with these routes and their services. */
std::string configuration(int version, std::vector<route> const& routes);

/** Sends a client's request with an id of its own; the path names when it was
    sent. */
response ask(address const& front, std::string const& prefix,
             std::string const& id, long long sent,
             std::string const& method = "GET");

/** Returns whether the run is to have its disruption (`TROUBLE` is not 0). */
bool has_trouble();

} // namespace lab

#endif
