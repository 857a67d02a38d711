#include "verbenacove/core/non_blocking_appender.hpp"

#include <poll.h>
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

/** Number of bytes that a pipe takes at once when it is writable. */
constexpr std::size_t maximum_write = PIPE_BUF;

std::string dropped_line(int count)
{
    return R"({"part":"log","event":"lines.dropped","count":)" +
           std::to_string(count) + "}\n";
}

} // namespace

non_blocking_appender::non_blocking_appender(int descriptor)
    : descriptor_(descriptor)
{
}

non_blocking_appender::~non_blocking_appender()
{
    destructorImpl();
}

void non_blocking_appender::close()
{
    closed = true;
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
    while (sent < unsent_.size() && is_writable())
    {
        auto const size = std::min(unsent_.size() - sent, maximum_write);
        auto const written = ::write(descriptor_, unsent_.data() + sent, size);
        if (written > 0)
        {
            sent += static_cast<std::size_t>(written);
        }
        else if (errno != EINTR)
        {
            break;
        }
    }
    unsent_.erase(0, sent);
}

bool non_blocking_appender::is_writable() const
{
    pollfd watched{descriptor_, POLLOUT, 0};
    // What cannot be polled, such as a file, does not block either.
    return ::poll(&watched, 1, 0) != 0;
}

} // namespace verbenacove
