#ifndef VERBENACOVE_CORE_TIMER_SERVICE_HPP
#define VERBENACOVE_CORE_TIMER_SERVICE_HPP

#include "verbenacove/core/clock.hpp"

#include <functional>
#include <memory>

class QTimer;

namespace verbenacove
{

/** Calls subscribers back at set times, on the thread it was created in.

    A part subscribes and keeps the subscription; destroying the subscription
    ends the calls, so timers are registered and removed in pairs.
*/
class timer_service
{
public:
    /** What a subscriber is called back with. */
    using callback = std::function<void()>;

    /** Keeps one timer running for as long as it lives. */
    class subscription
    {
    public:
        /** Creates a subscription to nothing. */
        subscription();
        ~subscription();
        subscription(subscription&&) noexcept;
        subscription& operator=(subscription&&) noexcept;
        subscription(subscription const&) = delete;
        subscription& operator=(subscription const&) = delete;

        /** Ends the calls; does nothing when they have ended. */
        void cancel();

        /** Returns true while a call is still to come. */
        bool is_active() const;

    private:
        friend class timer_service;
        std::unique_ptr<QTimer> timer_;
    };

    timer_service() = default;
    timer_service(timer_service const&) = delete;
    timer_service& operator=(timer_service const&) = delete;

    /** Calls back again and again, first after one interval.

        @param interval  the time between two calls, at least 1 ms
        @see call_after
    */
    subscription call_every(milliseconds interval, callback call);

    /** Calls back once, after a delay of 0 ms or more.

        @see call_every
    */
    subscription call_after(milliseconds delay, callback call);

private:
    subscription start(milliseconds interval, bool is_single, callback call);
};

} // namespace verbenacove

#endif
