#include "lab.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace lab
{

namespace
{

/** The record of this run. */
std::atomic<record*> current_record{nullptr};

void add_detail(std::string const& line)
{
    if (auto* const now = current_record.load())
    {
        now->detail(line);
    }
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

sockaddr_in socket_address(address const& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    ::inet_pton(AF_INET, where.ip.c_str(), &result.sin_addr);
    return result;
}

int milliseconds_until(clock::time_point end)
{
    auto const left =
        std::chrono::duration_cast<milliseconds>(end - clock::now()).count();
    return static_cast<int>(std::max<long long>(0, left));
}

bool is_ready(int socket, short events, clock::time_point end)
{
    pollfd polled{socket, events, 0};
    return ::poll(&polled, 1, milliseconds_until(end)) > 0;
}

/** Reads messages from a connection, keeping what comes behind one. */
class reader
{
public:
    explicit reader(int socket)
        : socket_(socket)
    {
    }

    /** Reads the first line and the headers. */
    bool read_head(std::string& first, headers& fields, clock::time_point end)
    {
        std::size_t stop = 0;
        while ((stop = bytes_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!read_some(end))
            {
                return false;
            }
        }
        std::istringstream lines(bytes_.substr(0, stop));
        bytes_.erase(0, stop + 4);
        std::string line;
        std::getline(lines, first);
        trim_end(first);
        while (std::getline(lines, line))
        {
            trim_end(line);
            auto const colon = line.find(':');
            if (colon != std::string::npos)
            {
                auto const start = line.find_first_not_of(' ', colon + 1);
                fields.emplace(lower(line.substr(0, colon)),
                               start == std::string::npos ? ""
                                                          : line.substr(start));
            }
        }
        return true;
    }

    bool read_body(headers const& fields, std::string& body,
                   clock::time_point end)
    {
        auto const length = header_of(fields, "content-length");
        auto const size = length.empty() ? 0 : std::stoul(length);
        while (bytes_.size() < size)
        {
            if (!read_some(end))
            {
                return false;
            }
        }
        body = bytes_.substr(0, size);
        bytes_.erase(0, size);
        return true;
    }

private:
    static void trim_end(std::string& text)
    {
        while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
        {
            text.pop_back();
        }
    }

    bool read_some(clock::time_point end)
    {
        char buffer[16384];
        if (!is_ready(socket_, POLLIN, end))
        {
            return false;
        }
        auto const count = ::recv(socket_, buffer, sizeof(buffer), 0);
        if (count <= 0)
        {
            return false;
        }
        bytes_.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int socket_;
    std::string bytes_;
};

bool write_all(int socket, std::string const& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size())
    {
        auto const count = ::send(socket, bytes.data() + written,
                                  bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

int connect_to(address const& where, clock::time_point end)
{
    int const socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto const to = socket_address(where);
    auto const* const generic = reinterpret_cast<sockaddr const*>(&to);
    bool is_open = ::connect(socket, generic, sizeof(to)) == 0;
    if (!is_open && errno == EINPROGRESS && is_ready(socket, POLLOUT, end))
    {
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        is_open = error == 0;
    }
    if (!is_open)
    {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return socket;
}

int listen_at(address const& where)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto const at = socket_address(where);
    bool const is_bound = ::bind(socket, reinterpret_cast<sockaddr const*>(&at),
                                 sizeof(at)) == 0 &&
                          ::listen(socket, 512) == 0;
    if (!is_bound)
    {
        ::close(socket);
        return -1;
    }
    return socket;
}

std::uint16_t free_port()
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = socket_address({"127.0.0.1", 0});
    if (::bind(socket, reinterpret_cast<sockaddr const*>(&at), sizeof(at)) != 0)
    {
        ::close(socket);
        return 0;
    }
    socklen_t size = sizeof(at);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(socket);
    return ntohs(at.sin_port);
}

long long unix_milliseconds()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string text_of(std::string const& body, std::string const& key)
{
    auto const mark = '"' + key + "\":\"";
    auto const start = body.find(mark);
    if (start == std::string::npos)
    {
        return {};
    }
    auto const from = start + mark.size();
    return body.substr(from, body.find('"', from) - from);
}

} // namespace

std::string header_of(headers const& all, std::string const& name)
{
    auto const found = all.find(name);
    return found == all.end() ? std::string() : found->second;
}

namespace
{

/** Returns the id in a call's headers, with a space before it. */
std::string id_in(call const& what)
{
    std::string const name = "Verbenacove-Request-Id: ";
    for (auto const& line : what.lines)
    {
        if (line.starts_with(name))
        {
            return ' ' + line.substr(name.size());
        }
    }
    return {};
}

response send_unrecorded(call const& what);

} // namespace

response send(call const& what)
{
    auto const name =
        what.method + ' ' + what.target + id_in(what) + " to " + what.to.text();
    add_detail("sent " + name);
    auto const began = clock::now();
    auto const result = send_unrecorded(what);
    auto const took =
        std::chrono::duration_cast<milliseconds>(clock::now() - began).count();
    add_detail((result.status == 0
                    ? std::string("no answer")
                    : "answer " + std::to_string(result.status)) +
               " after " + std::to_string(took) + " ms to " + name);
    return result;
}

namespace
{

response send_unrecorded(call const& what)
{
    response result;
    auto const end = clock::now() + what.patience;
    int const socket = connect_to(what.to, end);
    if (socket < 0)
    {
        return result;
    }
    std::string bytes = what.method + ' ' + what.target + " HTTP/1.1\r\n";
    for (auto const& line : what.lines)
    {
        bytes += line + "\r\n";
    }
    if (!what.body.empty() || what.method == "PUT" || what.method == "POST")
    {
        bytes += "Content-Length: " + std::to_string(what.body.size()) + "\r\n";
    }
    bytes += "Connection: close\r\n\r\n" + what.body;
    reader input(socket);
    std::string first;
    headers fields;
    std::string body;
    if (write_all(socket, bytes) && input.read_head(first, fields, end) &&
        input.read_body(fields, body, end) && first.size() > 12)
    {
        result.status = std::atoi(first.c_str() + 9);
        result.fields = std::move(fields);
        result.body = std::move(body);
    }
    ::close(socket);
    return result;
}

} // namespace

class kept_connection::state
{
public:
    explicit state(int socket)
        : socket(socket)
        , input(socket)
    {
    }

    int socket;
    reader input;
};

kept_connection::kept_connection(address const& to, milliseconds patience)
    : state_(std::make_unique<state>(connect_to(to, clock::now() + patience)))
{
}

kept_connection::~kept_connection()
{
    if (state_->socket >= 0)
    {
        ::close(state_->socket);
    }
}

bool kept_connection::write(std::string const& bytes)
{
    add_detail("kept connection: sent " + bytes);
    return state_->socket >= 0 && write_all(state_->socket, bytes);
}

bool kept_connection::is_closed() const
{
    char byte = 0;
    return state_->socket < 0 ||
           (is_ready(state_->socket, POLLIN, clock::now()) &&
            ::recv(state_->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0);
}

response kept_connection::read(milliseconds patience)
{
    response result;
    auto const end = clock::now() + patience;
    std::string first;
    if (state_->socket >= 0 &&
        state_->input.read_head(first, result.fields, end) &&
        state_->input.read_body(result.fields, result.body, end) &&
        first.size() > 12)
    {
        result.status = std::atoi(first.c_str() + 9);
    }
    add_detail("kept connection: answer " + std::to_string(result.status) +
               " for " + header_of(result.fields, "verbenacove-request-id"));
    return result;
}

bool wait_until(std::function<bool()> const& condition, milliseconds longest)
{
    auto const end = clock::now() + longest;
    while (!condition())
    {
        if (clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(30));
    }
    return true;
}

record::record(std::string const& path)
    : file_(path, std::ios::trunc)
{
    current_record = this;
}

record::~record()
{
    current_record = nullptr;
}

void record::note(std::string const& line)
{
    detail(line);
    std::cout << now() << " ms  " << line << std::endl;
}

void record::detail(std::string const& line)
{
    std::lock_guard const lock(mutex_);
    file_ << now() << " ms  " << line << std::endl;
}

long long record::now() const
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - start_)
        .count();
}

process::~process()
{
    kill_now();
}

void process::start(std::string const& program, std::string const& settings,
                    std::string const& log)
{
    kill_now();
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0)
    {
        return;
    }
    id_ = ::fork();
    if (id_ == 0)
    {
        // It ends with this process, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(ends[1], STDOUT_FILENO);
        ::dup2(ends[1], STDERR_FILENO);
        ::setenv("VERBENACOVE_BOOT", settings.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), nullptr);
        ::_exit(127);
    }
    ::close(ends[1]);
    reader_ =
        std::jthread([this, input = ends[0], log] { copy_output(input, log); });
}

void process::copy_output(int input, std::string const& log)
{
    std::ofstream file(log, std::ios::app | std::ios::binary);
    std::vector<char> buffer(65536);
    while (true)
    {
        if (is_reader_paused_)
        {
            std::this_thread::sleep_for(milliseconds(20));
            continue;
        }
        auto const count = ::read(input, buffer.data(), buffer.size());
        if (count <= 0)
        {
            break;
        }
        file.write(buffer.data(), count);
    }
    ::close(input);
}

void process::signal(int number) const
{
    if (id_ > 0)
    {
        ::kill(id_, number);
    }
}

void process::kill_now()
{
    if (id_ > 0)
    {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
        id_ = -1;
    }
    is_reader_paused_ = false;
    if (reader_.joinable())
    {
        reader_.join();
    }
}

bool process::is_running()
{
    if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == id_)
    {
        id_ = -1;
    }
    return id_ > 0;
}

backend::backend(std::string id, std::string service, address where,
                 std::string zone)
    : id_(std::move(id))
    , service_(std::move(service))
    , where_(std::move(where))
    , zone_(std::move(zone))
    , born_(unix_milliseconds())
    , listener_(listen_at(where_))
{
    server_ = std::jthread([this] { serve(listener_); });
}

backend::~backend()
{
    crash();
}

void backend::crash()
{
    is_stopped_ = true;
    stop_checking_in();
    int const listener = listener_.exchange(-1);
    if (listener < 0)
    {
        return;
    }
    ::shutdown(listener, SHUT_RDWR);
    {
        std::lock_guard const lock(mutex_);
        for (int const socket : sockets_)
        {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    server_.join();
    ::close(listener);
    wait_until(
        [this]
        {
            std::lock_guard const lock(mutex_);
            return sockets_.empty();
        },
        milliseconds(5000));
}

response backend::check_in(address const& control, char const* state)
{
    std::ostringstream body;
    body << R"({"Service":")" << service_ << R"(","Address":")" << where_.text()
         << R"(","Zone":")" << zone_
         << R"(","Version":"v1","Slots":4,"State":")" << state
         << R"(","ColdRemaining":")" << cold_ms() << R"(ms","Sequence":)"
         << ++sequence_ << R"(,"born":)" << born_ << '}';
    auto const result =
        send({control,
              "PUT",
              "/api/instances/" + id_,
              {"Host: control", "Content-Type: application/json"},
              body.str()});
    auto const named = text_of(result.body, "HeartbeatAddress");
    auto const colon = named.rfind(':');
    acknowledged_ += result.status == 200 ? 1 : 0;
    std::lock_guard const lock(mutex_);
    if (result.status != 200)
    {
        receiver_.reset();
    }
    else if (colon != std::string::npos)
    {
        receiver_ = address{
            named.substr(0, colon),
            static_cast<std::uint16_t>(std::atoi(named.c_str() + colon + 1))};
    }
    return result;
}

void backend::keep_checking_in(std::vector<address> const& control)
{
    beats_ = std::jthread(
        [this, control](std::stop_token const& stop)
        {
            for (std::size_t turn = 0; !stop.stop_requested(); ++turn)
            {
                std::optional<address> receiver;
                {
                    std::lock_guard const lock(mutex_);
                    receiver = receiver_;
                }
                if (check_in(receiver.value_or(control[turn % control.size()]))
                        .status != 200)
                {
                    continue;
                }
                for (int i = 0; i < 15 && !stop.stop_requested(); ++i)
                {
                    std::this_thread::sleep_for(milliseconds(100));
                }
            }
        });
}

void backend::stop_checking_in()
{
    if (beats_.joinable())
    {
        beats_.request_stop();
        beats_.join();
    }
}

bool backend::has_run(std::string const& request) const
{
    std::lock_guard const lock(mutex_);
    return ran_.contains(request);
}

long long backend::cold_ms() const
{
    auto const left = std::chrono::duration_cast<milliseconds>(
        cold_until_.load() - clock::now());
    return std::max<long long>(0, left.count());
}

int backend::runs_of_later(long long sent) const
{
    std::lock_guard const lock(mutex_);
    return static_cast<int>(std::count_if(sent_.begin(), sent_.end(),
                                          [sent](long long each)
                                          { return each > sent; }));
}

void backend::serve(int listener)
{
    while (!is_stopped_)
    {
        int const socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            return;
        }
        std::lock_guard const lock(mutex_);
        if (is_stopped_)
        {
            ::close(socket);
            return;
        }
        sockets_.insert(socket);
        std::thread(
            [this, socket]
            {
                serve_connection(socket);
                std::lock_guard const end(mutex_);
                sockets_.erase(socket);
                ::close(socket);
            })
            .detach();
    }
}

void backend::serve_connection(int socket)
{
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    reader input(socket);
    while (!is_stopped_)
    {
        auto const end = clock::now() + milliseconds(500);
        if (!is_ready(socket, POLLIN, end))
        {
            continue;
        }
        request got;
        std::string first;
        auto const patience = clock::now() + milliseconds(2000);
        if (!input.read_head(first, got.fields, patience) ||
            !input.read_body(got.fields, got.body, patience))
        {
            return;
        }
        std::istringstream words(first);
        words >> got.method >> got.target;
        if (!write_all(socket, answer(got)))
        {
            return;
        }
    }
}

std::string backend::answer(request const& request)
{
    auto const write =
        [](int status, std::string const& lines, std::string const& body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + lines +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    };
    if (request.target == "/health")
    {
        return write(is_leaving_ ? 503 : 200,
                     "Verbenacove-Instance-Id: " + id_ + "\r\n" +
                         "Verbenacove-Cold-Ms: " + std::to_string(cold_ms()) +
                         "\r\n" + (is_leaving_ ? "Server-Leaving: 1\r\n" : ""),
                     "");
    }
    auto const id = header_of(request.fields, "verbenacove-request-id");
    auto const echo = "Verbenacove-Request-Id: " + id + "\r\n";
    auto const meant = header_of(request.fields, "verbenacove-target-instance");
    if (!meant.empty() && meant != id_)
    {
        return write(421, echo + "Verbenacove-Not-Executed: 1\r\n", "");
    }
    auto const mark = request.target.find("sent-");
    {
        std::lock_guard const lock(mutex_);
        sent_.push_back(mark == std::string::npos
                            ? 0
                            : std::atoll(request.target.c_str() + mark + 5));
    }
    if (refusal_pause_s > 0)
    {
        return write(503,
                     echo + "Verbenacove-Not-Executed: 1\r\nRetry-After: " +
                         std::to_string(refusal_pause_s) + "\r\n",
                     "");
    }
    add_detail(id_ + " runs " + id + ' ' + request.target);
    {
        std::lock_guard const lock(mutex_);
        ran_.insert(id);
    }
    ++runs_;
    ++running_;
    bool const is_first =
        first_work_ms > 0 && request.target.ends_with("/first");
    std::this_thread::sleep_for(
        milliseconds(is_first ? first_work_ms.load() : work_ms.load()));
    --running_;
    // A backend that leaves closes its connections, too.
    auto const leaving =
        is_leaving_ ? std::string("Server-Leaving: 1\r\nConnection: close\r\n")
                    : std::string();
    return write(200,
                 echo + leaving + "Verbenacove-Response-Signature: s-" + id +
                     "\r\nVerbenacove-Backend-Load: 1,0,4\r\n",
                 answer_bytes > 0 ? std::string(answer_bytes, 'x') : id_);
}

deployment::deployment(std::string folder, int cores, int fronts)
    : folder_(std::move(folder))
    , internal_(free_port())
    , control_(free_port())
    , directory_(free_port())
    , frontend_(free_port())
    , readiness_(free_port())
    , metrics_(free_port())
    , backend_(free_port())
    , network_(static_cast<int>(::getpid() % 200) + 20)
{
    for (int i = 0; i < cores; ++i)
    {
        cores_.push_back(std::make_unique<process>());
    }
    for (int i = 0; i < fronts; ++i)
    {
        fronts_.push_back(std::make_unique<process>());
    }
    for (int i = 0; i < cores; ++i)
    {
        start_core(i, true);
    }
    for (int i = 0; i < fronts; ++i)
    {
        start_front(i);
    }
}

std::string deployment::seeds() const
{
    std::string result;
    for (int i = 0; i < std::min(3, core_count()); ++i)
    {
        result += (i == 0 ? "" : ",") + control(i).text();
    }
    return result;
}

std::string deployment::zone(int number) const
{
    static char const* const zones[] = {"wcape-a", "gauteng-a", "ecape-a",
                                        "wcape-b", "gauteng-b", "ecape-b"};
    return zones[number % 6];
}

// As `deploy/replica.ini.template` is filled in.
void deployment::start_core(int number, bool is_first)
{
    auto const name = folder_ + "/core-" + std::to_string(number);
    auto const ip = control(number).ip;
    auto const place = zone(number);
    std::ofstream(name + ".ini")
        << "[replica]\nregion = " << place.substr(0, place.find('-'))
        << "\nzone = " << place << "\ndata_folder = " << name
        << "\nlisten = " << ip << ':' << internal_ << "\ncontrol = " << ip
        << ':' << control_ << "\ndirectory = " << ip << ':' << directory_
        << "\nmetrics = " << ip << ':' << metrics_
        << "\nfirst_start = " << (is_first ? "true" : "false")
        << "\ntolerated_losses = 1\ncatch_up = 4s\nstop_grace = 6s\n\n"
           "[discovery]\nreplicas = "
        << seeds() << "\nport = " << internal_ << '\n';
    core(number).start("target/platform/verbenacove-platform-replica",
                       name + ".ini", name + ".log");
}

// As `deploy/entry.ini.template` is filled in.
void deployment::start_front(int number)
{
    auto const name = folder_ + "/front-" + std::to_string(number);
    auto const ip = frontend(number).ip;
    auto const place = zone(number);
    std::ofstream settings(name + ".ini");
    settings << "[entry]\nname = frontend_node-" << number
             << "\nregion = " << place.substr(0, place.find('-'))
             << "\nzone = " << place << "\ncallers = " << ip << ':' << frontend_
             << "\nreadiness = " << ip << ':' << readiness_
             << "\nmetrics = " << ip << ':' << metrics_
             << "\nstop_grace = 6s\n\n[limits]\nlink_mbit_per_second = "
                "1000\n\n[discovery]\nreplicas = "
             << seeds() << "\nport = " << internal_
             << "\n\n[steering]\nmaximum_region_shift = 0.15\nretry_ratio = "
                "0.2\nretry_slack = 64\nretry_window = 10s\n\n[zones]\n";
    for (int i = 0; i < 6; ++i)
    {
        auto const each = zone(i);
        settings << each << " = " << each.substr(0, each.find('-')) << '\n';
    }
    settings.close();
    front(number).start("target/platform/verbenacove-platform-entry",
                        name + ".ini", name + ".log");
}

void deployment::kill_core(int number)
{
    core(number).kill_now();
}

address deployment::control(int number) const
{
    return {"127." + std::to_string(network_) + ".1." +
                std::to_string(number + 1),
            control_};
}

std::vector<address> deployment::controls() const
{
    std::vector<address> result;
    for (int i = 0; i < core_count(); ++i)
    {
        result.push_back(control(i));
    }
    return result;
}

address deployment::frontend(int number) const
{
    return {"127." + std::to_string(network_) + ".2." +
                std::to_string(number + 1),
            frontend_};
}

address deployment::readiness(int number) const
{
    return {frontend(number).ip, readiness_};
}

address deployment::backend_address(int number) const
{
    return {"127." + std::to_string(network_) + ".3." +
                std::to_string(number + 1),
            backend_};
}

bool deployment::configure(std::string const& body, std::string const& base)
{
    int turn = 0;
    return wait_until(
        [&]
        {
            return send({control(turn++ % core_count()),
                         "PUT",
                         "/api/config",
                         {"Host: control", "If-Match: " + base,
                          "Content-Type: application/json"},
                         body})
                       .status == 200;
        },
        milliseconds(20000));
}

bool deployment::are_fronts_ready()
{
    return wait_until(
        [this]
        {
            for (int i = 0; i < front_count(); ++i)
            {
                if (send({readiness(i), "GET", "/api/ready", {"Host: ready"}})
                        .status != 200)
                {
                    return false;
                }
            }
            return true;
        },
        milliseconds(20000));
}

std::string configuration(int version, std::vector<route> const& routes)
{
    std::map<std::string, int> services;
    std::ostringstream text;
    text << R"({"Version":"r)" << version << R"(","Routes":{)";
    char const* separator = "";
    for (auto const& each : routes)
    {
        services[each.service] = 1;
        text
            << separator << '"' << each.name << R"(":{"Hostname":")"
            << each.host << R"(","PathPrefix":")" << each.prefix
            << R"(","Kind":")" << each.kind << R"(","Timeout":")"
            << each.timeout_ms
            << R"(ms","TargetLatency":"500ms","Priority":1,"Service":")"
            << each.service
            << R"(","MaxAttempts":2,"SessionAffinity":false,"HomeRegions":[]})";
        separator = ",";
    }
    text << R"(},"Services":{)";
    separator = "";
    for (auto const& each : services)
    {
        text << separator << '"' << each.first
             << R"(":{"HealthPath":"/health","MaxConnections":390,)"
                R"("Protocol":"h1","Tls":false,"ColdStart":"3s",)"
                R"("WarmupPerS":5.4})";
        separator = ",";
    }
    text << R"(},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
            R"("HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";
    return text.str();
}

response ask(address const& front, std::string const& prefix,
             std::string const& id, long long sent, std::string const& method)
{
    return send({front,
                 method,
                 prefix + "sent-" + std::to_string(sent),
                 {"Host: lab.example", "Verbenacove-Request-Id: " + id,
                  "Verbenacove-Deadline-Ms: 2500"},
                 {},
                 milliseconds(2600)});
}

bool has_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace lab
