#include "verbenacove/process/shutdown_signal.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace verbenacove
{

namespace
{

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

shutdown_signal::shutdown_signal(std::function<void()> call)
{
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    descriptor_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    notifier_ =
        std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated,
                     [this, call = std::move(call)]
                     {
                         signalfd_siginfo info;
                         while (::read(descriptor_, &info, sizeof info) > 0)
                         {
                             call();
                         }
                     });
}

shutdown_signal::~shutdown_signal()
{
    notifier_.reset();
    ::close(descriptor_);
    auto const signals = stop_signals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace verbenacove
