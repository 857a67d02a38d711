#ifndef VERBENACOVE_CONNECTION_HTTP_PARKED_CONNECTIONS_HPP
#define VERBENACOVE_CONNECTION_HTTP_PARKED_CONNECTIONS_HPP

#include "verbenacove/core/clock.hpp"

#include <QSocketNotifier>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace verbenacove
{

/** Holds idle connections as bare sockets, and says when one wakes up.

    Qt's event loop polls each socket that it knows again and again, so that
    thousands of idle ones would slow down the few busy ones. Here they share
    one epoll set, of which the event loop sees a single descriptor, and one
    takes a few hundred bytes.
*/
class http_parked_connections
{
public:
    /** A connected socket. */
    using descriptor = int;

    /** What is called when bytes have come; the socket is then the
        receiver's. `idle_since` is what park was told. */
    using wake_callback =
        std::function<void(descriptor socket, monotonic_time idle_since)>;

    /** Creates an empty set. */
    explicit http_parked_connections(wake_callback call);

    /** Closes all its connections. */
    ~http_parked_connections();
    http_parked_connections(http_parked_connections const&) = delete;
    http_parked_connections& operator=(http_parked_connections const&) = delete;

    /** Takes over a socket that has been idle since a time; false when it
        cannot be watched, and stays with the caller. */
    bool park(descriptor socket, monotonic_time idle_since);

    /** Closes the connection that has been idle for longest; false when
        there is none. */
    bool close_longest_idle();

    /** Returns since when that connection has been idle. */
    std::optional<monotonic_time> longest_idle_since() const
    {
        return by_age_.empty() ? std::nullopt
                               : std::optional(by_age_.begin()->first);
    }

    /** Closes all that have been idle since before a time. */
    void close_idle_before(monotonic_time time);

    /** Returns the descriptor that is ready when one of them is. */
    descriptor ready_descriptor() const { return epoll_; }

    /** Returns how many connections it holds. */
    std::size_t size() const;

private:
    void take_events();
    void wake(descriptor socket);
    monotonic_time forget(descriptor socket);

    wake_callback const call_;
    descriptor const epoll_;
    QSocketNotifier notifier_;
    std::unordered_map<descriptor, monotonic_time> idle_since_;
    std::set<std::pair<monotonic_time, descriptor>> by_age_;
};

} // namespace verbenacove

#endif
