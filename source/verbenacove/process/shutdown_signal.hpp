#ifndef VERBENACOVE_PROCESS_SHUTDOWN_SIGNAL_HPP
#define VERBENACOVE_PROCESS_SHUTDOWN_SIGNAL_HPP

#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace verbenacove
{

/** Calls back on the event loop when the process is asked to stop.

    It takes SIGTERM and SIGINT from their default action for as long as it
    lives. Create it before any thread is started, so that they all leave the
    signals to it.
*/
class shutdown_signal
{
public:
    /** Calls back on each SIGTERM or SIGINT. */
    explicit shutdown_signal(std::function<void()> call);
    ~shutdown_signal();
    shutdown_signal(shutdown_signal const&) = delete;
    shutdown_signal& operator=(shutdown_signal const&) = delete;

private:
    int descriptor_ = -1;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace verbenacove

#endif
