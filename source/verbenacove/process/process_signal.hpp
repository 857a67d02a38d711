#ifndef VERBENACOVE_PROCESS_PROCESS_SIGNAL_HPP
#define VERBENACOVE_PROCESS_PROCESS_SIGNAL_HPP

#include <QSocketNotifier>

#include <functional>
#include <memory>
#include <vector>

namespace verbenacove
{

/** Calls back on the event loop when the process gets one of some signals.

    It takes them from their default action for as long as it lives. Create it
    before any thread is started, so that they all leave the signals to it.
*/
class process_signal
{
public:
    /** Holds signals back until a process_signal takes them; call it first in
        a program, so that one that comes during the start does not end it. */
    static void hold(std::vector<int> const& numbers);

    /** Calls back on each of these signals, such as SIGTERM. */
    process_signal(std::vector<int> numbers, std::function<void()> call);
    ~process_signal();
    process_signal(process_signal const&) = delete;
    process_signal& operator=(process_signal const&) = delete;

private:
    std::vector<int> numbers_;
    int descriptor_ = -1;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace verbenacove

#endif
