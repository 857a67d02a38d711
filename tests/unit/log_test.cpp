#include "verbenacove/core/event_log.hpp"
#include "verbenacove/core/log.hpp"

#include <doctest/doctest.h>

#include <QByteArray>

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <thread>

using namespace verbenacove;

namespace
{

constexpr int line_count = 2000;
constexpr std::chrono::seconds patience{10};
constexpr int patience_ms = 10000;

/** A process that writes log lines into a pipe. */
class logging_process
{
public:
    /** What it does after its last line. */
    enum class ending
    {
        exit,
        /** Waits for `resume`, and sends what it has kept before it exits. */
        pause_and_flush
    };

    /** @param pause_at  number of lines after which it waits for `resume` */
    explicit logging_process(int pause_at = 0, ending last = ending::exit)
    {
        REQUIRE(::pipe(output_.data()) == 0);
        REQUIRE(::pipe(resume_.data()) == 0);
        REQUIRE(::pipe(paused_.data()) == 0);
        process_ = ::fork();
        REQUIRE(process_ >= 0);
        if (process_ == 0)
        {
            ::dup2(output_[1], STDOUT_FILENO);
            start_structured_logging(log_level::info);
            log_part const part("test");
            for (int i = 0; i < line_count; ++i)
            {
                part.info(QStringLiteral("line %1 ").arg(i) +
                          QString(100, QLatin1Char('x')));
                if (i + 1 == pause_at && !wait_for_resume())
                {
                    ::_exit(1);
                }
            }
            if (last == ending::pause_and_flush)
            {
                wait_for_resume();
                flush_log();
            }
            ::_exit(0);
        }
        ::close(output_[1]);
    }

    ~logging_process()
    {
        if (!has_ended_)
        {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
        }
        stop_reading();
        ::close(resume_[0]);
        ::close(resume_[1]);
        ::close(paused_[0]);
        ::close(paused_[1]);
    }

    logging_process(logging_process const&) = delete;
    logging_process& operator=(logging_process const&) = delete;

    /** Waits until it pauses, and returns all that it has written by then. */
    QByteArray read_until_paused() const
    {
        char byte = 0;
        pollfd watched{paused_[0], POLLIN, 0};
        REQUIRE(::poll(&watched, 1, patience_ms) == 1);
        REQUIRE(::read(paused_[0], &byte, 1) == 1);
        return read(qsizetype{1024} * 1024, 0);
    }

    void resume() const { REQUIRE(::write(resume_[1], "r", 1) == 1); }

    void stop_reading()
    {
        if (output_[0] >= 0)
        {
            ::close(output_[0]);
            output_[0] = -1;
        }
    }

    /** Returns whether it ends by itself, without an error. */
    bool ends()
    {
        auto const end = std::chrono::steady_clock::now() + patience;
        int status = 0;
        while (std::chrono::steady_clock::now() < end)
        {
            if (::waitpid(process_, &status, WNOHANG) == process_)
            {
                has_ended_ = true;
                return WIFEXITED(status) && WEXITSTATUS(status) == 0;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    /** Reads until nothing is left, or until a number of bytes. */
    QByteArray read(qsizetype most, int wait_ms = patience_ms) const
    {
        QByteArray result;
        std::array<char, 4096> block{};
        pollfd watched{output_[0], POLLIN, 0};
        while (result.size() < most && ::poll(&watched, 1, wait_ms) > 0)
        {
            auto const count = ::read(output_[0], block.data(), block.size());
            if (count <= 0)
            {
                break;
            }
            result.append(block.data(), count);
        }
        return result;
    }

private:
    bool wait_for_resume() const
    {
        char byte = 'p';
        return ::write(paused_[1], &byte, 1) == 1 &&
               ::read(resume_[0], &byte, 1) == 1;
    }

    std::array<int, 2> output_{};
    std::array<int, 2> resume_{};
    std::array<int, 2> paused_{};
    pid_t process_ = -1;
    bool has_ended_ = false;
};

} // namespace

// An entry answered nothing while the reader of its log had stopped.
TEST_CASE("log: nobody reads the output: the process goes on")
{
    logging_process process;
    CHECK(process.ends());
}

TEST_CASE(
    "log: nobody reads for a while: whole lines, and how many are missing")
{
    logging_process process(line_count / 2,
                            logging_process::ending::pause_and_flush);
    auto output = process.read_until_paused();
    process.resume();
    output += process.read_until_paused();
    process.resume();
    output += process.read(qsizetype{1024} * 1024);
    CHECK(process.ends());
    CHECK(output.contains("lines.dropped"));
    int lines = 0;
    for (auto const& line : output.split('\n'))
    {
        CHECK((line.isEmpty() || (line.startsWith('{') && line.endsWith('}'))));
        ++lines;
    }
    CHECK(lines > 500);
}

TEST_CASE("log: the reader ends: the process goes on")
{
    logging_process process(1);
    process.stop_reading();
    process.resume();
    CHECK(process.ends());
}

namespace
{

/** Two processes that write log lines into one pipe, which a third writer keeps
    nearly full. */
class shared_pipe
{
public:
    static constexpr int writers = 2;
    static constexpr int lines_each = 20000;

    shared_pipe()
    {
        REQUIRE(::pipe(output_.data()) == 0);
        for (auto& process : processes_)
        {
            process = ::fork();
            REQUIRE(process >= 0);
            if (process == 0)
            {
                write_lines();
                ::_exit(0);
            }
        }
        ::close(output_[1]);
    }

    ~shared_pipe()
    {
        for (auto const process : processes_)
        {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
        ::close(output_[0]);
    }

    shared_pipe(shared_pipe const&) = delete;
    shared_pipe& operator=(shared_pipe const&) = delete;

    /** Reads whole blocks with pauses, so that the pipe is mostly full and has
        room for one writer at a time, until a number of bytes. */
    QByteArray read_slowly(qsizetype most) const
    {
        QByteArray result;
        std::array<char, 4096> block{};
        pollfd watched{output_[0], POLLIN, 0};
        while (result.size() < most && ::poll(&watched, 1, patience_ms) > 0)
        {
            auto const count = ::read(output_[0], block.data(), block.size());
            if (count <= 0)
            {
                break;
            }
            result.append(block.data(), count);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return result;
    }

    /** Returns whether all writers end although nobody reads. */
    bool end() const
    {
        auto const end = std::chrono::steady_clock::now() + patience;
        int ended = 0;
        for (auto const process : processes_)
        {
            siginfo_t state = {};
            while (std::chrono::steady_clock::now() < end &&
                   state.si_pid != process)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
                ::waitid(P_PID, static_cast<id_t>(process), &state,
                         WEXITED | WNOHANG | WNOWAIT);
            }
            ended += state.si_pid == process ? 1 : 0;
        }
        return ended == writers;
    }

private:
    void write_lines() const
    {
        ::dup2(output_[1], STDOUT_FILENO);
        start_structured_logging(log_level::info);
        log_part const part("test");
        for (int i = 0; i < lines_each; ++i)
        {
            part.info(QString(100 + i % 50, QLatin1Char('x')));
        }
    }

    std::array<int, 2> output_{};
    std::array<pid_t, writers> processes_{};
};

} // namespace

// Guards against a process that waits for the reader because another process
// has taken the room that it found in their pipe (review/7, two processes).
TEST_CASE("log: two processes share a pipe that is full: both go on, and write "
          "whole lines")
{
    shared_pipe const pipe;
    auto const output = pipe.read_slowly(qsizetype{512} * 1024);
    CHECK(pipe.end());
    auto lines = output.split('\n');
    // The last one was cut by the reader.
    lines.removeLast();
    int broken = 0;
    for (auto const& line : lines)
    {
        broken +=
            line.startsWith('{') && line.endsWith('}') && line.count('{') == 1
                ? 0
                : 1;
    }
    CHECK(broken == 0);
    CHECK(lines.size() > 1000);
}

// Guards against lines that are kept for good once the process is silent.
TEST_CASE("log: the reader returns and no further line comes: the kept lines "
          "are sent")
{
    std::array<int, 2> output{};
    REQUIRE(::pipe(output.data()) == 0);
    auto const process = ::fork();
    REQUIRE(process >= 0);
    if (process == 0)
    {
        ::dup2(output[1], STDOUT_FILENO);
        ::close(output[1]);
        start_structured_logging(log_level::info);
        log_part const part("test");
        constexpr int more_than_a_pipe_holds = 600;
        for (int i = 0; i < more_than_a_pipe_holds; ++i)
        {
            part.info(QString(100, QLatin1Char('x')));
        }
        part.info(QStringLiteral("the last line"));
        auto const end = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < end)
        {
            flush_log();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        ::_exit(0);
    }
    ::close(output[1]);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    QByteArray text;
    std::array<char, 4096> block{};
    pollfd watched{output[0], POLLIN, 0};
    while (!text.contains("the last line") &&
           ::poll(&watched, 1, patience_ms / 2) > 0)
    {
        auto const count = ::read(output[0], block.data(), block.size());
        if (count <= 0)
        {
            break;
        }
        text.append(block.data(), count);
    }
    CHECK(text.contains("the last line"));
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    ::close(output[0]);
}
