#include "verbenacove/core/timer_service.hpp"

#include <QTimer>

#include <utility>

namespace verbenacove
{

timer_service::subscription::subscription() = default;

// A callback may drop its own subscription, so the timer outlives the call.
timer_service::subscription::~subscription()
{
    cancel();
}

timer_service::subscription::subscription(subscription&&) noexcept = default;

timer_service::subscription&
timer_service::subscription::operator=(subscription&& other) noexcept
{
    if (this != &other)
    {
        cancel();
        timer_ = std::move(other.timer_);
    }
    return *this;
}

void timer_service::subscription::cancel()
{
    if (!timer_)
    {
        return;
    }
    timer_->stop();
    timer_.release()->deleteLater();
}

bool timer_service::subscription::is_active() const
{
    return timer_ && timer_->isActive();
}

timer_service::subscription timer_service::call_every(milliseconds interval,
                                                      callback call)
{
    return start(interval, false, std::move(call));
}

timer_service::subscription timer_service::call_after(milliseconds delay,
                                                      callback call)
{
    return start(delay, true, std::move(call));
}

timer_service::subscription timer_service::start(milliseconds interval,
                                                 bool is_single, callback call)
{
    subscription result;
    result.timer_ = std::make_unique<QTimer>();
    result.timer_->setTimerType(Qt::PreciseTimer);
    result.timer_->setSingleShot(is_single);
    QObject::connect(result.timer_.get(), &QTimer::timeout, std::move(call));
    result.timer_->start(interval);
    return result;
}

} // namespace verbenacove
