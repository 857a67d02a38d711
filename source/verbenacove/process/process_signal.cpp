#include "verbenacove/process/process_signal.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace verbenacove
{

namespace
{

sigset_t set_of(std::vector<int> const& numbers)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (auto const number : numbers)
    {
        sigaddset(&signals, number);
    }
    return signals;
}

} // namespace

void process_signal::hold(std::vector<int> const& numbers)
{
    auto const signals = set_of(numbers);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

process_signal::process_signal(std::vector<int> numbers,
                               std::function<void()> call)
    : numbers_(std::move(numbers))
{
    hold(numbers_);
    auto const signals = set_of(numbers_);
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

process_signal::~process_signal()
{
    notifier_.reset();
    ::close(descriptor_);
    auto const signals = set_of(numbers_);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace verbenacove
