#include "verbenacove/connection/http_parked_connections.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace verbenacove
{

namespace
{

constexpr int maximum_events = 64;

bool has_closed(int socket)
{
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

} // namespace

http_parked_connections::http_parked_connections(wake_callback call)
    : call_(std::move(call))
    , epoll_(::epoll_create1(EPOLL_CLOEXEC))
    , notifier_(epoll_, QSocketNotifier::Read)
{
    QObject::connect(&notifier_, &QSocketNotifier::activated, &notifier_,
                     [this] { take_events(); });
}

http_parked_connections::~http_parked_connections()
{
    while (close_longest_idle())
    {
    }
    notifier_.setEnabled(false);
    ::close(epoll_);
}

bool http_parked_connections::park(descriptor socket, monotonic_time idle_since)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = socket;
    if (::epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event) != 0)
    {
        return false;
    }
    idle_since_.emplace(socket, idle_since);
    by_age_.emplace(idle_since, socket);
    return true;
}

bool http_parked_connections::close_longest_idle()
{
    if (by_age_.empty())
    {
        return false;
    }
    auto const socket = by_age_.begin()->second;
    forget(socket);
    ::close(socket);
    return true;
}

void http_parked_connections::close_idle_before(monotonic_time time)
{
    while (!by_age_.empty() && by_age_.begin()->first < time)
    {
        close_longest_idle();
    }
}

std::size_t http_parked_connections::size() const
{
    return by_age_.size();
}

void http_parked_connections::take_events()
{
    std::array<epoll_event, maximum_events> events{};
    auto const count = ::epoll_wait(epoll_, events.data(), maximum_events, 0);
    for (int i = 0; i < count; ++i)
    {
        wake(events[static_cast<std::size_t>(i)].data.fd);
    }
}

void http_parked_connections::wake(descriptor socket)
{
    // A wake-up before this one may have closed it.
    if (!idle_since_.contains(socket))
    {
        return;
    }
    auto const idle_since = forget(socket);
    if (has_closed(socket))
    {
        ::close(socket);
        return;
    }
    call_(socket, idle_since);
}

monotonic_time http_parked_connections::forget(descriptor socket)
{
    auto const found = idle_since_.find(socket);
    auto const since = found->second;
    idle_since_.erase(found);
    by_age_.erase({since, socket});
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
    return since;
}

} // namespace verbenacove
