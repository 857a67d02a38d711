#ifndef VERBENACOVE_CONNECTION_HTTP_SERVER_HPP
#define VERBENACOVE_CONNECTION_HTTP_SERVER_HPP

#include "verbenacove/connection/caller_budget.hpp"
#include "verbenacove/connection/http_exchange.hpp"
#include "verbenacove/connection/http_limits.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <functional>
#include <memory>

namespace verbenacove
{

/** Takes HTTP/1 requests from callers, on the thread it was created in.

    A request reaches the handler only when it is whole and within the limits.
    What breaks a limit, or is not HTTP, gets a 4xx or 5xx with the verdict
    `not-run`, and its connection is closed. Answers go out whole and in the
    order of the requests of their connection.
*/
class http_server
{
public:
    /** What is called with each request; it may answer at once or later. */
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /** Creates a server that does not listen yet.

        @param budget  shared with the process's other servers; must outlive
                       this one; none if null
    */
    http_server(http_limits limits, handler handle,
                caller_budget* budget = nullptr);

    /** Closes all connections at once; open exchanges are cancelled, but
        nobody is called back. */
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /** Lets the listener and all connections be handled before others when the
        process is busy; must be called before `listen`.

        @see epoll_event_dispatcher::set_priority
    */
    void set_high_priority();

    /** Starts to listen; port 0 takes a free one.

        @return false when the address cannot be had; see error_text
    */
    bool listen(socket_address const& address);

    /** Replaces the limits; connections keep to them from now on. */
    void set_limits(http_limits const& limits);

    /** Returns the port listened at, or 0. */
    quint16 port() const;

    /** Returns why listen failed. */
    QString error_text() const;

    /** Makes each answer from now on its connection's last; new connections
        are still taken.

        @see stop_accepting
    */
    void prepare_stop();

    /** Closes the listener; open exchanges end normally, and each answer
        from now on is its connection's last.

        @see prepare_stop, open_exchanges
    */
    void stop_accepting();

    /** Returns how many connections are open. */
    int connection_count() const;

    /** Returns how often an idle connection has come back to the event loop
        because bytes had come. */
    qint64 woken_connections() const;

    /** Returns how many requests have not been answered. */
    int open_exchanges() const;

    /** Returns how many connections have a request in hand or on its way, or
        an answer that has not been sent whole; the limits' times end each.

        @see stop_accepting
    */
    int busy_connections() const;

private:
    class core;
    std::unique_ptr<core> core_;
};

} // namespace verbenacove

#endif
