#ifndef VERBENACOVE_SUPPORT_WAIT_UNTIL_HPP
#define VERBENACOVE_SUPPORT_WAIT_UNTIL_HPP

#include "verbenacove/core/clock.hpp"

#include <QCoreApplication>

#include <thread>

namespace verbenacove::support
{

/** The time between two looks at a condition. */
inline constexpr milliseconds poll_interval{5};

/** Creates the program's Qt application if there is none.

    It lives until the program ends: Qt's timers on the first thread break
    when one application is destroyed and another one is used.
*/
inline void ensure_application()
{
    if (QCoreApplication::instance() == nullptr)
    {
        static int count = 0;
        static QCoreApplication const application(count, nullptr);
    }
}

/** Waits until a condition holds, while events of this thread are handled.

    @return true once it holds, false when it does not within the bound
*/
template <class Condition>
bool wait_until(Condition condition, milliseconds bound = milliseconds(10000))
{
    auto const deadline = std::chrono::steady_clock::now() + bound;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
        {
            return false;
        }
        QCoreApplication::processEvents();
        // Outside an event loop nothing else deletes what is due for it.
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace verbenacove::support

#endif
