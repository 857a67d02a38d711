#include "verbenacove/core/epoll_event_dispatcher.hpp"

#include <QCoreApplication>
#include <QThread>
#include <QTimerEvent>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <limits>
#include <vector>

namespace verbenacove
{

namespace
{

/** Maximum number of descriptors that one look at the kernel tells of. */
constexpr int maximum_events = 256;
/** Time after which urgent descriptors and timers are looked at again. */
constexpr std::chrono::milliseconds maximum_slice{5};
/** Number of descriptors of high priority that go before one of normal
    priority. */
constexpr int high_turns_per_normal = 3;

constexpr quint32 ended = EPOLLERR | EPOLLHUP;

} // namespace

QSocketNotifier*&
epoll_event_dispatcher::watched_descriptor::of(QSocketNotifier::Type type)
{
    return type == QSocketNotifier::Read    ? read
           : type == QSocketNotifier::Write ? write
                                            : exception;
}

epoll_event_dispatcher::epoll_event_dispatcher()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC))
    , wake_up_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wake_up_;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_up_, &event);
}

epoll_event_dispatcher::~epoll_event_dispatcher()
{
    ::close(wake_up_);
    ::close(epoll_);
}

bool epoll_event_dispatcher::processEvents(QEventLoop::ProcessEventsFlags flags)
{
    bool const was_interrupted = is_interrupted_.exchange(false);
    // Before the posted events are sent, so that one which is posted meanwhile
    // is not waited for.
    is_woken_ = false;
    Q_EMIT awake();
    QCoreApplication::sendPostedEvents();
    bool const may_wait = flags.testFlag(QEventLoop::WaitForMoreEvents) &&
                          !was_interrupted && !is_interrupted_ && !is_woken_;
    bool const handles_timers = !flags.testFlag(QEventLoop::X11ExcludeTimers);
    if (may_wait)
    {
        Q_EMIT aboutToBlock();
    }
    int handled =
        handle_sockets(wait_time(may_wait, handles_timers),
                       !flags.testFlag(QEventLoop::ExcludeSocketNotifiers));
    if (may_wait)
    {
        Q_EMIT awake();
    }
    if (handles_timers && !is_interrupted_)
    {
        handled += handle_timers();
    }
    return handled > 0;
}

// Descriptors.

void epoll_event_dispatcher::registerSocketNotifier(QSocketNotifier* notifier)
{
    auto const descriptor = static_cast<int>(notifier->socket());
    descriptors_[descriptor].of(notifier->type()) = notifier;
    apply_interest(descriptor);
}

void epoll_event_dispatcher::unregisterSocketNotifier(QSocketNotifier* notifier)
{
    auto const descriptor = static_cast<int>(notifier->socket());
    auto const found = descriptors_.find(descriptor);
    if (found == descriptors_.end() || found->of(notifier->type()) != notifier)
    {
        return;
    }
    found->of(notifier->type()) = nullptr;
    apply_interest(descriptor);
}

void epoll_event_dispatcher::apply_interest(int descriptor)
{
    auto& watched = descriptors_[descriptor];
    epoll_event event{};
    event.data.fd = descriptor;
    event.events = (watched.read != nullptr ? EPOLLIN : 0U) |
                   (watched.write != nullptr ? EPOLLOUT : 0U) |
                   (watched.exception != nullptr ? EPOLLPRI : 0U);
    if (event.events == 0)
    {
        // Fails when the descriptor has been closed, which also removed it.
        ::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, &event);
        descriptors_.remove(descriptor);
        priorities_.remove(descriptor);
        ready_.remove(descriptor);
        return;
    }
    int const first = watched.is_added ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    int const second = watched.is_added ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    // The descriptor may have been closed and opened again meanwhile.
    watched.is_added = ::epoll_ctl(epoll_, first, descriptor, &event) == 0 ||
                       ::epoll_ctl(epoll_, second, descriptor, &event) == 0;
}

void epoll_event_dispatcher::set_priority(qintptr descriptor, priority level)
{
    auto* const current = dynamic_cast<epoll_event_dispatcher*>(
        QAbstractEventDispatcher::instance());
    if (current != nullptr &&
        current->descriptors_.contains(static_cast<int>(descriptor)))
    {
        current->priorities_.insert(static_cast<int>(descriptor), level);
    }
}

int epoll_event_dispatcher::wait_time(bool may_wait, bool handles_timers) const
{
    if (!may_wait || has_queued())
    {
        return 0;
    }
    if (!handles_timers || due_.empty())
    {
        return -1;
    }
    auto const left = std::chrono::ceil<std::chrono::milliseconds>(
        due_.begin()->first - clock::now());
    return static_cast<int>(
        std::clamp<qint64>(left.count(), 0, std::numeric_limits<int>::max()));
}

int epoll_event_dispatcher::handle_sockets(int timeout, bool handles_sockets)
{
    int handled = poll(timeout, handles_sockets);
    auto const end = clock::now() + maximum_slice;
    while (handles_sockets && has_queued() && !is_interrupted_)
    {
        handled += handle_ready(take_queued());
        if (clock::now() >= end)
        {
            break;
        }
    }
    return handled;
}

bool epoll_event_dispatcher::has_queued() const
{
    return std::any_of(queues_.begin(), queues_.end(),
                       [](auto const& queue) { return !queue.empty(); });
}

int epoll_event_dispatcher::take_queued()
{
    auto& high = queue_of(priority::high);
    auto& normal = queue_of(priority::normal);
    bool const is_high = normal.empty() ||
                         (!high.empty() && high_turns_ < high_turns_per_normal);
    high_turns_ =
        is_high ? std::min(high_turns_ + 1, high_turns_per_normal) : 0;
    auto& queue = is_high ? high : normal;
    int const descriptor = queue.front();
    queue.pop_front();
    return descriptor;
}

int epoll_event_dispatcher::poll(int timeout, bool handles_sockets)
{
    std::array<epoll_event, maximum_events> events{};
    auto const count =
        ::epoll_wait(epoll_, events.data(), maximum_events, timeout);
    std::vector<int> urgent;
    int handled = 0;
    for (int i = 0; i < count; ++i)
    {
        auto const& event = events.at(static_cast<std::size_t>(i));
        if (event.data.fd == wake_up_)
        {
            quint64 value = 0;
            handled += ::read(wake_up_, &value, sizeof value) > 0 ? 1 : 0;
            continue;
        }
        if (!handles_sockets)
        {
            continue;
        }
        int const descriptor = event.data.fd;
        bool const is_queued = ready_.contains(descriptor);
        ready_[descriptor] |= event.events;
        auto const level = priorities_.value(descriptor, priority::normal);
        if (level == priority::urgent)
        {
            urgent.push_back(descriptor);
        }
        else if (!is_queued)
        {
            queue_of(level).push_back(descriptor);
        }
    }
    for (auto const descriptor : urgent)
    {
        handled += handle_ready(descriptor);
    }
    return handled;
}

int epoll_event_dispatcher::handle_ready(int descriptor)
{
    auto const events = ready_.take(descriptor);
    int handled = 0;
    if ((events & EPOLLPRI) != 0U)
    {
        handled += notify(descriptor, QSocketNotifier::Exception) ? 1 : 0;
    }
    if ((events & (EPOLLIN | ended)) != 0U)
    {
        handled += notify(descriptor, QSocketNotifier::Read) ? 1 : 0;
    }
    if ((events & (EPOLLOUT | ended)) != 0U)
    {
        handled += notify(descriptor, QSocketNotifier::Write) ? 1 : 0;
    }
    return handled;
}

// A handler may have removed any notifier, so each is looked up.
bool epoll_event_dispatcher::notify(int descriptor, QSocketNotifier::Type type)
{
    auto const found = descriptors_.find(descriptor);
    auto* const notifier =
        found == descriptors_.end() ? nullptr : found->of(type);
    if (notifier == nullptr)
    {
        return false;
    }
    QEvent event(QEvent::SockAct);
    QCoreApplication::sendEvent(notifier, &event);
    return true;
}

// Timers.

void epoll_event_dispatcher::registerTimer(int id, qint64 interval,
                                           Qt::TimerType type, QObject* object)
{
    auto& added = timers_[id];
    added.object = object;
    added.interval = std::chrono::milliseconds(interval);
    added.type = type;
    schedule(id, added, clock::now() + added.interval);
}

bool epoll_event_dispatcher::unregisterTimer(int id)
{
    auto const found = timers_.find(id);
    if (found == timers_.end())
    {
        return false;
    }
    auto const range = due_.equal_range(found->due);
    auto const entry =
        std::find_if(range.first, range.second,
                     [id](auto const& item) { return item.second == id; });
    if (entry != range.second)
    {
        due_.erase(entry);
    }
    timers_.erase(found);
    return true;
}

bool epoll_event_dispatcher::unregisterTimers(QObject* object)
{
    std::vector<int> ids;
    for (auto item = timers_.cbegin(); item != timers_.cend(); ++item)
    {
        if (item->object == object)
        {
            ids.push_back(item.key());
        }
    }
    for (auto const id : ids)
    {
        unregisterTimer(id);
    }
    return !ids.empty();
}

QList<QAbstractEventDispatcher::TimerInfo>
epoll_event_dispatcher::registeredTimers(QObject* object) const
{
    QList<TimerInfo> result;
    for (auto item = timers_.cbegin(); item != timers_.cend(); ++item)
    {
        if (item->object == object)
        {
            result.append({item.key(), static_cast<int>(item->interval.count()),
                           item->type});
        }
    }
    return result;
}

int epoll_event_dispatcher::remainingTime(int id)
{
    auto const found = timers_.constFind(id);
    if (found == timers_.cend())
    {
        return -1;
    }
    auto const left =
        std::chrono::ceil<std::chrono::milliseconds>(found->due - clock::now());
    return static_cast<int>(std::max<qint64>(0, left.count()));
}

void epoll_event_dispatcher::schedule(int id, timer& scheduled,
                                      clock::time_point due)
{
    scheduled.due = due;
    due_.emplace(due, id);
}

int epoll_event_dispatcher::handle_timers()
{
    auto const now = clock::now();
    std::vector<int> ids;
    for (auto item = due_.cbegin(); item != due_.cend() && item->first <= now;
         ++item)
    {
        ids.push_back(item->second);
    }
    int handled = 0;
    for (auto const id : ids)
    {
        auto const found = timers_.find(id);
        if (found == timers_.end() || found->due > now || found->is_firing)
        {
            continue;
        }
        auto fired = *found;
        unregisterTimer(id);
        // Periods that were missed are skipped.
        auto const next = fired.due + fired.interval > now
                              ? fired.due + fired.interval
                              : now + fired.interval;
        fired.is_firing = true;
        schedule(id, *timers_.insert(id, fired), next);
        QTimerEvent event(id);
        QCoreApplication::sendEvent(fired.object, &event);
        ++handled;
        auto const again = timers_.find(id);
        if (again != timers_.end())
        {
            again->is_firing = false;
        }
    }
    return handled;
}

// Other threads.

void epoll_event_dispatcher::wakeUp()
{
    // This thread looks at the flag before it waits.
    bool const is_noticed =
        is_woken_.exchange(true) || QThread::currentThread() == thread();
    if (!is_noticed)
    {
        quint64 const value = 1;
        auto const written = ::write(wake_up_, &value, sizeof value);
        Q_UNUSED(written)
    }
}

void epoll_event_dispatcher::interrupt()
{
    is_interrupted_ = true;
    wakeUp();
}

} // namespace verbenacove
