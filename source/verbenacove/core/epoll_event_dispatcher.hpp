#ifndef VERBENACOVE_CORE_EPOLL_EVENT_DISPATCHER_HPP
#define VERBENACOVE_CORE_EPOLL_EVENT_DISPATCHER_HPP

#include <QAbstractEventDispatcher>
#include <QHash>
#include <QSocketNotifier>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <utility>

namespace verbenacove
{

/** Drives Qt's event loop by epoll.

    Qt's own dispatchers pass all descriptors to the kernel each time they wait.
    In a process with hundreds of connections that took two fifths of its
    processor time. Here the cost of waiting does not depend on the number of
    descriptors.

    When there is more to do than there is time, urgent descriptors and timers
    go first. The others are handled in slices: three of high priority for each
    one of normal priority, and those of the same priority in the order in which
    they became ready.

    Set it before the application or the thread starts:
    `QCoreApplication::setEventDispatcher`, `QThread::setEventDispatcher`.
*/
class epoll_event_dispatcher : public QAbstractEventDispatcher
{
public:
    epoll_event_dispatcher();
    ~epoll_event_dispatcher() override;
    epoll_event_dispatcher(epoll_event_dispatcher const&) = delete;
    epoll_event_dispatcher& operator=(epoll_event_dispatcher const&) = delete;

    bool processEvents(QEventLoop::ProcessEventsFlags flags) override;

    void registerSocketNotifier(QSocketNotifier* notifier) override;
    void unregisterSocketNotifier(QSocketNotifier* notifier) override;

    void registerTimer(int id, qint64 interval, Qt::TimerType type,
                       QObject* object) override;
    bool unregisterTimer(int id) override;
    bool unregisterTimers(QObject* object) override;
    QList<TimerInfo> registeredTimers(QObject* object) const override;
    int remainingTime(int id) override;

    enum class priority
    {
        normal,
        high,
        urgent
    };

    /** Sets the priority of a descriptor of this thread, until it is closed;
        does nothing when another dispatcher drives the thread. */
    static void set_priority(qintptr descriptor, priority level);

    /** May be called from any thread. */
    void wakeUp() override;
    void interrupt() override;

private:
    using clock = std::chrono::steady_clock;

    /** The notifiers of one descriptor; null where there is none. */
    struct watched_descriptor
    {
        QSocketNotifier* read = nullptr;
        QSocketNotifier* write = nullptr;
        QSocketNotifier* exception = nullptr;
        bool is_added = false;

        QSocketNotifier*& of(QSocketNotifier::Type type);
    };

    struct timer
    {
        QObject* object = nullptr;
        std::chrono::milliseconds interval{0};
        Qt::TimerType type = Qt::CoarseTimer;
        clock::time_point due;
        /** Its event is being handled, perhaps by a nested loop. */
        bool is_firing = false;
    };

    void apply_interest(int descriptor);
    /** Returns the timeout for epoll, in milliseconds; -1 without an end. */
    int wait_time(bool may_wait, bool handles_timers) const;
    int handle_sockets(int timeout, bool handles_sockets);
    /** Waits for descriptors that are ready, and handles the urgent ones. */
    int poll(int timeout, bool handles_sockets);
    int handle_ready(int descriptor);
    std::deque<int>& queue_of(priority level)
    {
        return queues_.at(static_cast<std::size_t>(level));
    }
    bool has_queued() const;
    /** Returns the descriptor whose turn it is; there must be one. */
    int take_queued();
    bool notify(int descriptor, QSocketNotifier::Type type);
    int handle_timers();
    void schedule(int id, timer& scheduled, clock::time_point due);

    int epoll_;
    int wake_up_;
    std::atomic<bool> is_woken_{false};
    std::atomic<bool> is_interrupted_{false};
    QHash<int, watched_descriptor> descriptors_;
    /** Those that are not normal. */
    QHash<int, priority> priorities_;
    /** The events of descriptors that are ready and not handled yet. */
    QHash<int, quint32> ready_;
    /** Their order by priority, normal and high; may name some that have been
        handled or closed. */
    std::array<std::deque<int>, 2> queues_;
    /** Number of descriptors of high priority since the last normal one. */
    int high_turns_ = 0;
    QHash<int, timer> timers_;
    /** The ids of all timers, by the time at which they are due. */
    std::multimap<clock::time_point, int> due_;
};

} // namespace verbenacove

#endif
