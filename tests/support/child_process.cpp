#include "child_process.hpp"

#include "wait_until.hpp"

#include <QFile>

#include <mutex>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace verbenacove::support
{
namespace
{

constexpr int code_of_failed_exec = 127;
constexpr int code_of_first_signal = 128;

constexpr int first_port = 10000;
constexpr int ports_in_range = 250;
constexpr int range_count = 80;

// Runs between fork and exec: only async-signal-safe calls.
[[noreturn]] void become(char* const* arguments, int log, bool ends_with_parent)
{
    if (ends_with_parent)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    }
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments);
    ::_exit(code_of_failed_exec);
}

int bound_socket(int type, int port)
{
    int const descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    int const on = 1;
    if (type == SOCK_STREAM)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<quint16>(port));
    auto const* generic = reinterpret_cast<sockaddr const*>(&address);
    if (::bind(descriptor, generic, sizeof address) == 0 &&
        (type == SOCK_DGRAM || ::listen(descriptor, 1) == 0))
    {
        return descriptor;
    }
    ::close(descriptor);
    return -1;
}

bool is_free(int type, int port)
{
    int const descriptor = bound_socket(type, port);
    if (descriptor < 0)
    {
        return false;
    }
    ::close(descriptor);
    return true;
}

// A program owns a range for as long as it listens on the range's first port.
int own_range()
{
    for (int i = 0; i < range_count; ++i)
    {
        int const range = (static_cast<int>(::getpid()) + i) % range_count;
        int const port = first_port + range * ports_in_range;
        if (bound_socket(SOCK_STREAM, port) >= 0)
        {
            return port;
        }
    }
    return 0;
}

} // namespace

child_process::~child_process()
{
    kill_now();
}

bool child_process::start(QString const& program, QStringList const& arguments,
                          QString const& log_file)
{
    kill_now();
    exit_code_.reset();
    log_file_ = log_file;
    std::vector<QByteArray> texts{program.toLocal8Bit()};
    for (auto const& argument : arguments)
    {
        texts.push_back(argument.toLocal8Bit());
    }
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto& text : texts)
    {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    int const log = ::open(log_file.toLocal8Bit().constData(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0)
    {
        return false;
    }
    bool const is_first_thread = ::gettid() == ::getpid();
    pid_t const created = ::fork();
    if (created == 0)
    {
        become(pointers.data(), log, is_first_thread);
    }
    ::close(log);
    pid_ = created > 0 ? created : 0;
    return created > 0;
}

void child_process::reap(bool wait)
{
    int status = 0;
    if (pid_ == 0 || ::waitpid(pid_, &status, wait ? 0 : WNOHANG) != pid_)
    {
        return;
    }
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : code_of_first_signal + WTERMSIG(status);
    pid_ = 0;
}

bool child_process::is_running()
{
    reap(false);
    return pid_ != 0;
}

std::optional<int> child_process::exit_code()
{
    reap(false);
    return exit_code_;
}

void child_process::kill_now()
{
    if (pid_ != 0)
    {
        ::kill(pid_, SIGKILL);
        reap(true);
    }
}

void child_process::freeze()
{
    if (!is_running())
    {
        return;
    }
    ::kill(pid_, SIGSTOP);
    siginfo_t state{};
    // WNOWAIT leaves the end of a process that died meanwhile to be reaped.
    ::waitid(P_PID, static_cast<id_t>(pid_), &state,
             WSTOPPED | WEXITED | WNOWAIT);
}

void child_process::thaw()
{
    if (is_running())
    {
        ::kill(pid_, SIGCONT);
    }
}

std::optional<int> child_process::stop_gracefully(milliseconds timeout)
{
    if (is_running())
    {
        ::kill(pid_, SIGTERM);
        wait_until([this] { return !is_running(); }, timeout);
    }
    return exit_code_;
}

QString child_process::log_tail(qint64 bytes) const
{
    QFile file(log_file_);
    if (!file.open(QIODevice::ReadOnly))
    {
        return {};
    }
    file.seek(std::max<qint64>(0, file.size() - bytes));
    return QString::fromUtf8(file.readAll());
}

quint16 free_port()
{
    static std::mutex mutex;
    std::lock_guard const lock(mutex);
    static int const range = own_range();
    static int next = 1;
    while (range != 0 && next < ports_in_range)
    {
        int const port = range + next++;
        if (is_free(SOCK_STREAM, port) && is_free(SOCK_DGRAM, port))
        {
            return static_cast<quint16>(port);
        }
    }
    return 0;
}

} // namespace verbenacove::support
