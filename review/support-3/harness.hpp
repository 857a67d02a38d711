#ifndef VERBENACOVE_REVIEW_HARNESS_HPP
#define VERBENACOVE_REVIEW_HARNESS_HPP

// Starts a small deployment as the platform does, and holds the stand-ins of
// the platform, backends, operator and clients.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using headers = std::vector<std::pair<std::string, std::string>>;

/** Exit codes of a case. */
enum outcome
{
    rule_held = 0,
    rule_broken = 1,
    could_not_run = 2
};

/** Returns false if the environment has TROUBLE=0. */
bool has_trouble();

void sleep_for(milliseconds time);

/** Returns the Unix time in milliseconds. */
std::int64_t unix_ms();

/** The file that tells what was sent, answered and run. */
class record
{
public:
    explicit record(std::string const& path);

    /** Writes a line with the time since the start. */
    void line(std::string const& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    clock::time_point start_ = clock::now();
};

struct address
{
    std::string host;
    int port = 0;

    std::string text() const { return host + ':' + std::to_string(port); }
};

struct request
{
    std::string method = "GET";
    std::string target = "/";
    headers fields = {};
    std::string body = {};
};

/** An answer that a client has read; the status is 0 if there was none. */
struct answer
{
    int status = 0;
    headers fields = {};
    std::string body = {};

    std::string field(std::string const& name) const;
};

/** Sends a request on a new connection and reads the answer. */
answer call(address const& to, request const& sent, milliseconds patience);

/** A client's connection that is kept for many requests. */
class kept_connection
{
public:
    explicit kept_connection(address to);
    ~kept_connection();
    kept_connection(kept_connection const&) = delete;
    kept_connection& operator=(kept_connection const&) = delete;

    /** Sends a request and reads the answer; opens the connection if it is
        not open, and closes it after a failure or `Connection: close`. */
    answer call(request const& sent, milliseconds patience);

private:
    void close();

    address const to_;
    int socket_ = -1;
    std::string buffer_;
};

/** A backend. It counts what it runs, and runs only what expects its id. */
class backend
{
public:
    backend(std::string id, std::string service, address at, record& log);
    ~backend();
    backend(backend const&) = delete;
    backend& operator=(backend const&) = delete;

    std::string const& id() const { return id_; }
    std::string const& service() const { return service_; }
    address const& at() const { return at_; }
    std::int64_t born() const { return born_; }

    /** Sends a check-in: to the address that the last answer named, or else to
        the first replica that acknowledges it. */
    bool check_in(std::vector<address> const& replicas);

    /** Starts again under its id; it knows nothing of before.

        @param clock_offset  by how much its machine's time of day is ahead
    */
    void restart(milliseconds clock_offset = milliseconds(0));

    /** Reports that it is draining, as with a check-in. */
    bool drain(std::vector<address> const& replicas);

    /** A request that it has run, and when it came. */
    struct arrival
    {
        std::string request_id;
        clock::time_point at;
    };

    /** Returns what it has run since its start. */
    std::vector<arrival> arrivals() const;

    /** Whether it says in its answers that it leaves. */
    std::atomic<bool> is_leaving{false};

    /** Whether it sends check-ins. */
    std::atomic<bool> checks_in{true};

    /** Returns the requests that it has run. */
    std::vector<request> runs() const;

    /** How long it works on a request. */
    std::atomic<int> work_ms{20};

    /** Whether it keeps the requests that it runs and writes them down; else it
        keeps their ids only. */
    std::atomic<bool> keeps_runs{true};

    /** Returns whether it has run the request with this id. */
    bool has_run(std::string const& request_id) const;

private:
    bool send_check_in(std::vector<address> const& replicas,
                       std::string const& state);
    void accept_all();
    void serve(int socket);
    std::string respond(request const& got);

    std::string const id_;
    std::string const service_;
    address const at_;
    record& log_;
    std::atomic<std::int64_t> born_{unix_ms()};
    std::atomic<std::int64_t> sequence_{0};
    /** Changes with each start; connections of an earlier one end. */
    std::atomic<int> start_{0};
    std::string heartbeat_address_;
    int listener_ = -1;
    std::atomic<bool> is_over_{false};
    std::atomic<int> open_{0};
    mutable std::mutex mutex_;
    std::vector<request> runs_;
    std::set<std::string> ids_;
    std::vector<arrival> arrivals_;
    std::thread thread_;
};

/** Sends the check-ins of backends every 1.5 s. */
class beats
{
public:
    beats(std::vector<backend*> backends, std::vector<address> replicas);
    ~beats();
    beats(beats const&) = delete;
    beats& operator=(beats const&) = delete;

private:
    std::atomic<bool> is_over_{false};
    std::thread thread_;
};

/** What differs between deployments. */
struct deployment_settings
{
    int replicas = 5;
    int entries = 2;
    /** Memory of a machine of each class, in MB. */
    int replica_memory_mb = 256;
    int entry_memory_mb = 260;
    /** Further fields of the platform's settings, by dotted name. */
    std::map<std::string, std::string> fields = {};
};

/** A process that the platform runs on a machine of its own. */
struct machine
{
    std::string name;
    std::string program;
    std::string settings_path;
    int memory_mb = 0;
    pid_t process = -1;
    /** The most resident memory that was seen, in kB. */
    long peak_kb = 0;
    /** How often the platform has killed it for its memory. */
    int kills = 0;
};

/** Runs the project's programs with the commands and templates of the deploy
    file, each on a loopback address of its own. */
class deployment
{
public:
    deployment(deployment_settings settings, record& log);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    address control(int replica) const;
    std::vector<address> controls() const;
    address frontend(int entry) const;
    address readiness(int entry) const;

    /** Returns a free loopback address for a backend. */
    address backend_address();

    /** Sends a whole configuration until it is acknowledged. */
    bool put(std::string const& body, std::string const& base);

    /** Waits until all entries answer 200 at their readiness address. */
    bool wait_until_ready(milliseconds patience);

    machine& replica(int number) { return replicas_.at(index(number)); }
    machine& entry(int number) { return entries_.at(index(number)); }
    int replica_count() const { return static_cast<int>(replicas_.size()); }
    int entry_count() const { return static_cast<int>(entries_.size()); }

    /** Reads the resident memory of a machine's process, in kB. */
    static long resident_kb(machine const& each);

    /** Kills a process that uses more memory than its machine has, and starts
        it again, as the platform does; to be called often. */
    void enforce_memory();

private:
    static std::size_t index(int number)
    {
        return static_cast<std::size_t>(number);
    }
    std::string host_of(bool is_replica, int number) const;
    void write_settings(machine& each, bool is_replica, int number,
                        bool is_first_start);
    void start(machine& each);
    static void stop(machine& each);

    deployment_settings const settings_;
    record& log_;
    std::string folder_;
    int block_ = 0;
    int next_backend_ = 0;
    std::vector<machine> replicas_;
    std::vector<machine> entries_;
};

} // namespace review

#endif
