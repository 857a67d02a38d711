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
    /** @param pause_at  number of lines after which it waits for `resume` */
    explicit logging_process(int pause_at = 0)
    {
        REQUIRE(::pipe(output_.data()) == 0);
        REQUIRE(::pipe(resume_.data()) == 0);
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
                char byte = 0;
                if (i + 1 == pause_at && ::read(resume_[0], &byte, 1) < 0)
                {
                    ::_exit(1);
                }
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
    }

    logging_process(logging_process const&) = delete;
    logging_process& operator=(logging_process const&) = delete;

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
    QByteArray read(qsizetype most) const
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
        }
        return result;
    }

private:
    std::array<int, 2> output_{};
    std::array<int, 2> resume_{};
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
    logging_process process(line_count / 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto output = process.read(1024);
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
