#include "verbenacove/core/non_blocking_appender.hpp"

#include <log4cplus/thread/syncprims.h>

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <sstream>
#include <utility>

namespace verbenacove
{

namespace
{

/** Number of bytes that a pipe takes whole or not at all. */
constexpr std::size_t maximum_write = PIPE_BUF;

std::string dropped_line(int count)
{
    return R"({"part":"log","event":"lines.dropped","count":)" +
           std::to_string(count) + "}\n";
}

// Returns the size of the next write: as many whole lines as a pipe takes at
// once, or a part of a line that is longer.
std::size_t next_write_size(std::string const& text, std::size_t from)
{
    auto const size = std::min(text.size() - from, maximum_write);
    auto const line_end = text.rfind('\n', from + size - 1);
    return line_end == std::string::npos || line_end < from
               ? size
               : line_end + 1 - from;
}

} // namespace

non_blocking_appender::non_blocking_appender(int descriptor)
    : descriptor_(descriptor)
{
    open_own_descriptor();
}

non_blocking_appender::~non_blocking_appender()
{
    destructorImpl();
    if (mode_ == write_mode::own_descriptor)
    {
        ::close(descriptor_);
    }
}

// A pipe is opened anew, since O_NONBLOCK on the given descriptor would also
// hold for the other processes that share it. Room found by poll may be taken
// by another process before the write.
void non_blocking_appender::open_own_descriptor()
{
    struct stat status = {};
    if (::fstat(descriptor_, &status) != 0)
    {
        return;
    }
    if (S_ISSOCK(status.st_mode))
    {
        mode_ = write_mode::socket;
        return;
    }
    if (!S_ISFIFO(status.st_mode))
    {
        return;
    }
    auto const path = "/proc/self/fd/" + std::to_string(descriptor_);
    int const own =
        ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY);
    if (own >= 0)
    {
        descriptor_ = own;
        mode_ = write_mode::own_descriptor;
    }
}

void non_blocking_appender::close()
{
    closed = true;
}

void non_blocking_appender::flush()
{
    log4cplus::thread::MutexGuard const guard(access_mutex);
    send();
}

void non_blocking_appender::append(
    log4cplus::spi::InternalLoggingEvent const& event)
{
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    auto text = line.str();
    send();
    if (dropped_ > 0)
    {
        text.insert(0, dropped_line(dropped_));
    }
    if (unsent_.size() + text.size() > maximum_unsent_bytes)
    {
        ++dropped_;
        return;
    }
    dropped_ = 0;
    unsent_ += text;
    send();
}

void non_blocking_appender::send()
{
    std::size_t sent = 0;
    while (sent < unsent_.size())
    {
        auto const written =
            write_some(unsent_.data() + sent, next_write_size(unsent_, sent));
        if (written > 0)
        {
            sent += static_cast<std::size_t>(written);
        }
        else if (written == 0 || errno != EINTR)
        {
            break;
        }
    }
    unsent_.erase(0, sent);
}

// Returns the number of bytes written: 0 or less when there is no room.
long non_blocking_appender::write_some(char const* bytes,
                                       std::size_t size) const
{
    switch (mode_)
    {
    case write_mode::own_descriptor:
        return ::write(descriptor_, bytes, size);
    case write_mode::socket:
        return ::send(descriptor_, bytes, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    case write_mode::polled:
        break;
    }
    return is_writable() ? ::write(descriptor_, bytes, size) : 0;
}

bool non_blocking_appender::is_writable() const
{
    pollfd watched{descriptor_, POLLOUT, 0};
    // What cannot be polled, such as a file, does not block either.
    return ::poll(&watched, 1, 0) != 0;
}

} // namespace verbenacove
