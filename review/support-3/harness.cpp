#include "harness.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review
{

namespace
{

constexpr int internal_port = 7540;
constexpr int control_port = 8544;
constexpr int directory_port = 8542;
constexpr int frontend_port = 8548;
constexpr int readiness_port = 8542;
constexpr int backend_port = 8080;
constexpr std::size_t largest_message = std::size_t{64} * 1024 * 1024;

bool equal_names(std::string const& a, std::string const& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y)
                      {
                          return std::tolower(static_cast<unsigned char>(x)) ==
                                 std::tolower(static_cast<unsigned char>(y));
                      });
}

std::string find_field(headers const& fields, std::string const& name)
{
    auto const found = std::find_if(fields.begin(), fields.end(),
                                    [&name](auto const& each)
                                    { return equal_names(each.first, name); });
    return found == fields.end() ? std::string() : found->second;
}

sockaddr_in socket_address_of(address const& from)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(from.port));
    inet_pton(AF_INET, from.host.c_str(), &result.sin_addr);
    return result;
}

bool is_free(address const& at)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const to = socket_address_of(at);
    bool const result =
        ::bind(socket, reinterpret_cast<sockaddr const*>(&to), sizeof to) == 0;
    ::close(socket);
    return result;
}

bool wait_for(int socket, short events, clock::time_point until)
{
    auto const left =
        std::chrono::duration_cast<milliseconds>(until - clock::now());
    pollfd watched{socket, events, 0};
    return left.count() > 0 &&
           ::poll(&watched, 1, static_cast<int>(left.count())) > 0;
}

bool send_all(int socket, std::string const& bytes, clock::time_point until)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        if (!wait_for(socket, POLLOUT, until))
        {
            return false;
        }
        auto const count = ::send(socket, bytes.data() + sent,
                                  bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool receive_more(int socket, std::string& buffer, clock::time_point until)
{
    std::string part(std::size_t{64} * 1024, '\0');
    if (!wait_for(socket, POLLIN, until))
    {
        return false;
    }
    auto const count = ::recv(socket, part.data(), part.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    buffer.append(part, 0, static_cast<std::size_t>(count));
    return buffer.size() <= largest_message;
}

/** Reads one message with a length, and takes it out of the buffer. */
bool read_message(int socket, std::string& buffer, std::string& first_line,
                  headers& fields, std::string& body, clock::time_point until)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!receive_more(socket, buffer, until))
        {
            return false;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, first_line);
    first_line.erase(first_line.find_last_not_of('\r') + 1);
    while (std::getline(head, line))
    {
        line.erase(line.find_last_not_of('\r') + 1);
        auto const colon = line.find(':');
        if (colon != std::string::npos)
        {
            auto const start = line.find_first_not_of(' ', colon + 1);
            fields.emplace_back(line.substr(0, colon),
                                start == std::string::npos
                                    ? std::string()
                                    : line.substr(start));
        }
    }
    auto const length = find_field(fields, "Content-Length");
    std::size_t const size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size)
    {
        if (!receive_more(socket, buffer, until))
        {
            return false;
        }
    }
    body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

/** Returns the address that the answer to a check-in names, if any. */
std::string heartbeat_address_in(std::string const& body)
{
    std::string const mark = R"("HeartbeatAddress":")";
    auto const found = body.find(mark);
    if (found == std::string::npos)
    {
        return {};
    }
    auto const start = found + mark.size();
    return body.substr(start, body.find('"', start) - start);
}

std::string read_text(std::string const& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Returns what a key of a role's table in the deploy file holds. */
std::string deploy_value(std::string const& role, std::string const& key)
{
    auto const text = read_text("deploy/system.toml");
    auto const table = text.find("[roles." + role + "]");
    auto const found = text.find("\n" + key + " = \"", table);
    if (table == std::string::npos || found == std::string::npos)
    {
        throw std::runtime_error("deploy/system.toml has no " + key);
    }
    auto const start = text.find('"', found) + 1;
    return text.substr(start, text.find('"', start) - start);
}

using settings_fields = std::map<std::string, std::string>;

void replace_all(std::string& text, std::string const& what,
                 std::string const& by)
{
    for (auto at = text.find(what); at != std::string::npos;
         at = text.find(what, at + by.size()))
    {
        text.replace(at, what.size(), by);
    }
}

/** Fills in a template: values, sections of present values, and the table of
    zones, which is what the project's templates use. */
std::string fill(std::string text, settings_fields const& fields,
                 std::map<std::string, std::string> const& zones)
{
    std::size_t open = 0;
    while ((open = text.find("{{#")) != std::string::npos)
    {
        auto const name_end = text.find("}}", open);
        auto const name = text.substr(open + 3, name_end - open - 3);
        auto const close = text.find("{{/" + name + "}}", name_end);
        auto const inner = text.substr(name_end + 2, close - name_end - 2);
        std::string filled;
        if (name == "Zones")
        {
            for (auto const& [zone, region] : zones)
            {
                auto one = inner;
                replace_all(one, "{{@}}", zone);
                replace_all(one, "{{.}}", region);
                filled += one;
            }
        }
        else if (fields.count(name) > 0)
        {
            filled = inner;
        }
        text.replace(open, close + name.size() + 5 - open, filled);
    }
    while ((open = text.find("{{")) != std::string::npos)
    {
        auto const end = text.find("}}", open);
        auto const found = fields.find(text.substr(open + 2, end - open - 2));
        text.replace(open, end + 2 - open,
                     found == fields.end() ? std::string() : found->second);
    }
    return text;
}

std::map<std::string, std::string> const& all_zones()
{
    static std::map<std::string, std::string> const zones{
        {"casa-port", "casa"},     {"casa-ainsebaa", "casa"},
        {"fes-medina", "fes"},     {"fes-sais", "fes"},
        {"agadir-quay", "agadir"}, {"agadir-souss", "agadir"}};
    return zones;
}

} // namespace

bool has_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void sleep_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

record::record(std::string const& path)
    : file_(path)
{
}

void record::line(std::string const& text)
{
    std::lock_guard const lock(mutex_);
    std::chrono::duration<double> const since = clock::now() - start_;
    file_ << std::fixed << std::setprecision(3) << since.count() << ' ' << text
          << std::endl;
}

std::string answer::field(std::string const& name) const
{
    return find_field(fields, name);
}

kept_connection::kept_connection(address to)
    : to_(std::move(to))
{
}

kept_connection::~kept_connection()
{
    close();
}

void kept_connection::close()
{
    if (socket_ >= 0)
    {
        ::close(std::exchange(socket_, -1));
    }
    buffer_.clear();
}

answer kept_connection::call(request const& sent, milliseconds patience)
{
    answer result;
    auto const until = clock::now() + patience;
    if (socket_ < 0)
    {
        socket_ =
            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto const name = socket_address_of(to_);
        // Whether it opens shows when the request is sent.
        (void)::connect(socket_, reinterpret_cast<sockaddr const*>(&name),
                        sizeof name);
    }
    std::string text = sent.method + ' ' + sent.target + " HTTP/1.1\r\n";
    if (find_field(sent.fields, "Host").empty())
    {
        text += "Host: " + to_.text() + "\r\n";
    }
    for (auto const& [field, value] : sent.fields)
    {
        text.append(field).append(": ").append(value).append("\r\n");
    }
    if (!sent.body.empty() || sent.method != "GET")
    {
        text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
    }
    text += "\r\n";
    text += sent.body;
    std::string first_line;
    bool const is_read = send_all(socket_, text, until) &&
                         read_message(socket_, buffer_, first_line,
                                      result.fields, result.body, until);
    if (is_read && first_line.size() > 12)
    {
        result.status = std::stoi(first_line.substr(9, 3));
    }
    if (!is_read || result.field("Connection") == "close")
    {
        close();
    }
    return result;
}

answer call(address const& to, request const& sent, milliseconds patience)
{
    return kept_connection(to).call(sent, patience);
}

backend::backend(std::string id, std::string service, address at, record& log)
    : id_(std::move(id))
    , service_(std::move(service))
    , at_(std::move(at))
    , log_(log)
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const name = socket_address_of(at_);
    if (::bind(listener_, reinterpret_cast<sockaddr const*>(&name),
               sizeof name) != 0 ||
        ::listen(listener_, 256) != 0)
    {
        throw std::runtime_error("cannot listen at " + at_.text());
    }
    thread_ = std::thread([this] { accept_all(); });
}

backend::~backend()
{
    is_over_ = true;
    thread_.join();
    while (open_ > 0)
    {
        sleep_for(milliseconds(10));
    }
    ::close(listener_);
}

void backend::accept_all()
{
    while (!is_over_)
    {
        if (!wait_for(listener_, POLLIN, clock::now() + milliseconds(50)))
        {
            continue;
        }
        int const socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0)
        {
            ++open_;
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }
}

void backend::serve(int socket)
{
    std::string buffer;
    int const start = start_;
    while (!is_over_ && start == start_)
    {
        if (buffer.empty() &&
            !wait_for(socket, POLLIN, clock::now() + milliseconds(100)))
        {
            continue;
        }
        request got;
        std::string first_line;
        auto const until = clock::now() + milliseconds(5000);
        if (!read_message(socket, buffer, first_line, got.fields, got.body,
                          until))
        {
            break;
        }
        std::istringstream line(first_line);
        line >> got.method >> got.target;
        if (!send_all(socket, respond(got), until))
        {
            break;
        }
    }
    ::close(socket);
    --open_;
}

std::string backend::respond(request const& got)
{
    std::ostringstream result;
    auto const request_id = find_field(got.fields, "Verbenacove-Request-Id");
    if (got.target == "/health")
    {
        result << "HTTP/1.1 200 OK\r\nVerbenacove-Instance-Id: " << id_
               << "\r\nVerbenacove-Backend-Load: 0,0,4\r\n"
                  "Content-Length: 0\r\n\r\n";
        return result.str();
    }
    if (find_field(got.fields, "Verbenacove-Target-Instance") != id_)
    {
        result << "HTTP/1.1 421 Misdirected Request\r\n"
                  "Verbenacove-Instance-Id: "
               << id_ << "\r\nVerbenacove-Request-Id: " << request_id
               << "\r\nContent-Length: 0\r\n\r\n";
        return result.str();
    }
    {
        std::lock_guard const lock(mutex_);
        ids_.insert(request_id);
    }
    if (keeps_runs)
    {
        std::lock_guard const lock(mutex_);
        runs_.push_back(got);
        arrivals_.push_back({request_id, clock::now()});
        log_.line("ran request=" + request_id + " backend=" + id_ +
                  " service=" + service_ + " target=" + got.target +
                  " tenant=" + find_field(got.fields, "Verbenacove-Tenant") +
                  " authorization=" + find_field(got.fields, "Authorization"));
    }
    sleep_for(milliseconds(work_ms));
    std::string const body = service_ + " answers " + request_id;
    result << "HTTP/1.1 200 OK\r\nVerbenacove-Request-Id: " << request_id
           << "\r\nVerbenacove-Response-Signature: " << id_ << '.' << request_id
           << (is_leaving ? "\r\nServer-Leaving: 1" : "")
           << "\r\nVerbenacove-Backend-Load: 0,0,4\r\nContent-Length: "
           << body.size() << "\r\n\r\n"
           << body;
    return result.str();
}

bool backend::check_in(std::vector<address> const& replicas)
{
    return send_check_in(replicas, "ready");
}

bool backend::drain(std::vector<address> const& replicas)
{
    is_leaving = true;
    checks_in = false;
    return send_check_in(replicas, "draining");
}

bool backend::send_check_in(std::vector<address> const& replicas,
                            std::string const& state)
{
    std::ostringstream body;
    body << R"({"Service":")" << service_ << R"(","Address":")" << at_.text()
         << R"(","Zone":"casa-port","Version":"v1","Slots":4,)"
            R"("State":")"
         << state << R"(","ColdRemaining":"0ms","Sequence":)" << ++sequence_
         << R"(,"born":)" << born_ << '}';
    auto targets = replicas;
    auto const named =
        std::find_if(targets.begin(), targets.end(),
                     [this](address const& each)
                     { return each.text() == heartbeat_address_; });
    if (named != targets.end())
    {
        std::rotate(targets.begin(), named, named + 1);
    }
    return std::any_of(
        targets.begin(), targets.end(),
        [&](address const& replica)
        {
            auto const got = call(replica,
                                  {"PUT",
                                   "/api/instances/" + id_,
                                   {{"Content-Type", "application/json"}},
                                   body.str()},
                                  milliseconds(1000));
            heartbeat_address_ = heartbeat_address_in(got.body);
            if (state != "ready")
            {
                log_.line("check-in " + body.str() + " answered " +
                          std::to_string(got.status));
            }
            return got.status == 200;
        });
}

void backend::restart(milliseconds clock_offset)
{
    ++start_;
    sequence_ = 0;
    heartbeat_address_.clear();
    born_ = unix_ms() + clock_offset.count();
    std::lock_guard const lock(mutex_);
    runs_.clear();
    arrivals_.clear();
}

std::vector<backend::arrival> backend::arrivals() const
{
    std::lock_guard const lock(mutex_);
    return arrivals_;
}

std::vector<request> backend::runs() const
{
    std::lock_guard const lock(mutex_);
    return runs_;
}

bool backend::has_run(std::string const& request_id) const
{
    std::lock_guard const lock(mutex_);
    return ids_.count(request_id) > 0;
}

beats::beats(std::vector<backend*> backends, std::vector<address> replicas)
    : thread_(
          [this, backends = std::move(backends), replicas = std::move(replicas)]
          {
              auto next = clock::now();
              while (!is_over_)
              {
                  if (clock::now() >= next)
                  {
                      next = clock::now() + milliseconds(1500);
                      for (auto* const each : backends)
                      {
                          if (each->checks_in)
                          {
                              each->check_in(replicas);
                          }
                      }
                  }
                  sleep_for(milliseconds(20));
              }
          })
{
}

beats::~beats()
{
    is_over_ = true;
    thread_.join();
}

deployment::deployment(deployment_settings settings, record& log)
    : settings_(std::move(settings))
    , log_(log)
{
    std::string name = "/tmp/verbenacove-review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = name;
    replicas_.resize(index(settings_.replicas));
    entries_.resize(index(settings_.entries));
    // A block of loopback hosts that nothing listens at.
    auto const is_unused = [this]
    {
        for (int i = 0; i < 40; ++i)
        {
            std::string const host = "127.77." + std::to_string(block_) + '.' +
                                     std::to_string(i + 1);
            for (int const port : {internal_port, control_port, directory_port,
                                   frontend_port, backend_port})
            {
                if (!is_free({host, port}))
                {
                    return false;
                }
            }
        }
        return true;
    };
    block_ = 1 + static_cast<int>(::getpid() % 250);
    while (!is_unused())
    {
        block_ = block_ % 250 + 1;
    }
    for (int i = 0; i < settings_.replicas; ++i)
    {
        write_settings(replica(i), true, i, true);
        start(replica(i));
    }
    for (int i = 0; i < settings_.entries; ++i)
    {
        write_settings(entry(i), false, i, true);
        start(entry(i));
    }
}

deployment::~deployment()
{
    for (auto* const machines : {&entries_, &replicas_})
    {
        for (auto& each : *machines)
        {
            stop(each);
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string deployment::host_of(bool is_replica, int number) const
{
    return "127.77." + std::to_string(block_) + '.' +
           std::to_string((is_replica ? 1 : 11) + number);
}

address deployment::control(int replica) const
{
    return {host_of(true, replica), control_port};
}

std::vector<address> deployment::controls() const
{
    std::vector<address> result;
    for (int i = 0; i < replica_count(); ++i)
    {
        result.push_back(control(i));
    }
    return result;
}

address deployment::frontend(int entry) const
{
    return {host_of(false, entry), frontend_port};
}

address deployment::readiness(int entry) const
{
    return {host_of(false, entry), readiness_port};
}

address deployment::backend_address()
{
    return {"127.77." + std::to_string(block_) + '.' +
                std::to_string(21 + next_backend_++),
            backend_port};
}

void deployment::write_settings(machine& each, bool is_replica, int number,
                                bool is_first_start)
{
    static std::vector<std::string> const zones{
        "casa-port", "fes-medina", "agadir-quay", "casa-ainsebaa", "fes-sais"};
    auto const role = is_replica ? "replica" : "entry";
    auto const host = host_of(is_replica, number);
    auto const& zone = zones.at(index(number) % zones.size());
    each.name = std::string(role) + '-' + std::to_string(number);
    each.program = deploy_value(role, "run");
    each.settings_path = folder_ + '/' + each.name + ".ini";
    each.memory_mb =
        is_replica ? settings_.replica_memory_mb : settings_.entry_memory_mb;
    std::string seeds;
    for (int i = 0; i < std::min(3, replica_count()); ++i)
    {
        seeds += (i == 0 ? "" : ",") + control(i).text();
    }
    settings_fields fields{
        {"NodeName", each.name},
        {"Ip", host},
        {"Zone", zone},
        {"Region", all_zones().at(zone)},
        {"InternalPorts.0", std::to_string(internal_port)},
        {"SeedNodes", seeds},
        {"Bootstrap", is_first_start ? "true" : "false"},
        {"Listen.Frontend", host + ':' + std::to_string(frontend_port)},
        {"Listen.Readiness", host + ':' + std::to_string(readiness_port)},
        {"Listen.ControlPlane", host + ':' + std::to_string(control_port)},
        {"Listen.Directory", host + ':' + std::to_string(directory_port)},
        {"DataDir", folder_ + "/data-" + each.name},
        {"Limits.MemoryMb", std::to_string(each.memory_mb)},
        {"Limits.MaxFds", is_replica ? "4096" : "4100"},
        {"Limits.LinkMbps", "1000.0"},
        {"FaultTolerance.Machines", "1"},
        {"Bounds.CatchUp", "4s"},
        {"Bounds.Grace", "6s"},
        {"Bounds.RetryBudgetRatio", "0.2"},
        {"Bounds.BudgetWindow", "10s"},
        {"Bounds.BudgetSlack", "62"},
        {"Bounds.MaxRegionShift", "0.15"}};
    for (auto const& [name, value] : settings_.fields)
    {
        fields[name] = value;
    }
    std::ofstream(each.settings_path)
        << fill(read_text(deploy_value(role, "template")), fields, all_zones());
}

void deployment::start(machine& each)
{
    auto const log_path = folder_ + '/' + each.name + ".log";
    std::vector<std::string> environment{
        "VERBENACOVE_BOOT=" + each.settings_path, "LANG=C.UTF-8", "PATH=/bin",
        "HOME=" + folder_};
    std::vector<char*> variables;
    variables.reserve(environment.size() + 1);
    for (auto& variable : environment)
    {
        variables.push_back(variable.data());
    }
    variables.push_back(nullptr);
    std::string program = each.program;
    std::vector<char*> arguments{program.data(), nullptr};
    pid_t const child = ::fork();
    if (child == 0)
    {
        // No process is left when the case itself is ended.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const file =
            ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execve(program.c_str(), arguments.data(), variables.data());
        ::_exit(127);
    }
    each.process = child;
    log_.line("started " + each.name + " pid=" + std::to_string(child));
}

void deployment::stop(machine& each)
{
    if (each.process > 0)
    {
        ::kill(each.process, SIGKILL);
        ::waitpid(each.process, nullptr, 0);
        each.process = -1;
    }
}

bool deployment::put(std::string const& body, std::string const& base)
{
    auto const until = clock::now() + milliseconds(20000);
    for (int i = 0; clock::now() < until; ++i)
    {
        auto const got =
            call(control(i % replica_count()),
                 {"PUT",
                  "/api/config",
                  {{"If-Match", base}, {"Content-Type", "application/json"}},
                  body},
                 milliseconds(1500));
        if (got.status == 200)
        {
            return true;
        }
        if (got.status >= 400 && got.status < 500 && got.status != 408 &&
            got.status != 429)
        {
            log_.line("refused configuration " + std::to_string(got.status) +
                      ' ' + got.body);
            return false;
        }
        sleep_for(milliseconds(200));
    }
    return false;
}

bool deployment::wait_until_ready(milliseconds patience)
{
    auto const until = clock::now() + patience;
    while (clock::now() < until)
    {
        bool are_ready = true;
        for (int i = 0; i < entry_count(); ++i)
        {
            are_ready =
                are_ready && call(readiness(i), {"GET", "/api/ready", {}, {}},
                                  milliseconds(1000))
                                     .status == 200;
        }
        if (are_ready)
        {
            return true;
        }
        sleep_for(milliseconds(100));
    }
    return false;
}

long deployment::resident_kb(machine const& each)
{
    std::ifstream file("/proc/" + std::to_string(each.process) + "/status");
    std::string line;
    while (std::getline(file, line))
    {
        if (line.rfind("VmRSS:", 0) == 0)
        {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

void deployment::enforce_memory()
{
    for (auto* const machines : {&replicas_, &entries_})
    {
        for (auto& each : *machines)
        {
            auto const used = resident_kb(each);
            each.peak_kb = std::max(each.peak_kb, used);
            if (used <= each.memory_mb * 1024L)
            {
                continue;
            }
            log_.line("killed " + each.name +
                      " for memory: " + std::to_string(used) + " kB");
            stop(each);
            ++each.kills;
            sleep_for(milliseconds(300));
            start(each);
        }
    }
}

} // namespace review
