#include "verbenacove/connection/http_server.hpp"

#include "verbenacove/connection/http_connection.hpp"
#include "verbenacove/connection/http_parked_connections.hpp"
#include "verbenacove/core/epoll_event_dispatcher.hpp"
#include "verbenacove/core/timer_service.hpp"

#include <QTcpServer>
#include <QTcpSocket>

#include <unistd.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr int listen_backlog = 1024;
constexpr milliseconds check_interval{50};

// A connection that is idle for longer leaves Qt's event loop.
constexpr milliseconds parking_delay{250};

// Connections over the bound that may wait for their 503 to be read.
constexpr std::size_t maximum_refused_connections = 64;

} // namespace

class http_server::core : public QTcpServer,
                          public http_connection::listener,
                          public caller_budget::endpoint
{
public:
    core(http_limits limits, handler handle, caller_budget* budget)
        : limits_(limits)
        , handle_(std::move(handle))
        , budget_(budget)
        , parked_([this](int socket, monotonic_time idle_since)
                  { wake(socket, idle_since); })
    {
        setListenBacklogSize(listen_backlog);
        check_timer_ =
            timers_.call_every(check_interval, [this] { check_connections(); });
        connect(this, &QTcpServer::acceptError, this,
                [this] { wait_to_accept(); });
        if (budget_ != nullptr)
        {
            budget_->add(*this);
        }
    }

    ~core() override
    {
        close();
        for (auto* const connection : std::exchange(connections_, {}))
        {
            delete connection;
        }
        if (budget_ != nullptr)
        {
            budget_->charge(-charged_bytes_);
            budget_->remove(*this);
        }
    }

    void set_limits(http_limits const& limits) { limits_ = limits; }

    void set_high_priority() { has_high_priority_ = true; }

    void prioritize(qintptr descriptor) const
    {
        if (has_high_priority_)
        {
            epoll_event_dispatcher::set_priority(
                descriptor, epoll_event_dispatcher::priority::high);
        }
    }

    void prioritize_listener() const
    {
        prioritize(socketDescriptor());
        prioritize(parked_.ready_descriptor());
    }

    void prepare_stop() { is_stopping_ = true; }

    void stop_accepting()
    {
        prepare_stop();
        close();
    }

    std::size_t connection_count() const
    {
        return connections_.size() + parked_.size();
    }

    int open_exchanges() const
    {
        int result = 0;
        for (auto const* const connection : connections_)
        {
            result += connection->open_exchanges();
        }
        return result;
    }

    int busy_connections() const
    {
        return static_cast<int>(
            std::count_if(connections_.begin(), connections_.end(),
                          [](http_connection const* connection)
                          { return !connection->is_idle(); }));
    }

    qint64 woken_connections() const { return woken_connections_; }

    void request_arrived(std::shared_ptr<http_exchange> exchange) override
    {
        handle_(std::move(exchange));
    }

    void connection_closed(http_connection* connection) override
    {
        connections_.erase(connection);
        connection->deleteLater();
    }

    void held_bytes_changed(qint64 change) override { held_bytes_ += change; }

    bool holds_too_much() const override
    {
        return held_bytes_ > limits_.maximum_held_bytes;
    }

    void charged_bytes_changed(qint64 change) override
    {
        charged_bytes_ += change;
        if (budget_ != nullptr)
        {
            budget_->charge(change);
        }
    }

    bool is_memory_scarce() const override
    {
        return budget_ != nullptr && budget_->is_scarce();
    }

    bool make_room(qint64 charged_bytes) override
    {
        return budget_ == nullptr ||
               budget_->make_room(charged_bytes, clock_.now());
    }

    bool is_stopping() const override { return is_stopping_; }

    int open_connections() const override
    {
        return static_cast<int>(connection_count());
    }

    std::optional<monotonic_time>
    longest_stalled(bool for_connections) const override
    {
        auto result =
            for_connections ? parked_.longest_idle_since() : std::nullopt;
        if (auto const* const stalled = most_stalled(for_connections))
        {
            auto const since = stalled->stalled_since();
            result = result ? std::min(result, since) : since;
        }
        return result;
    }

    void release_longest_stalled(bool is_closed_at_once) override
    {
        auto const parked =
            is_closed_at_once ? parked_.longest_idle_since() : std::nullopt;
        auto* const stalled = most_stalled(is_closed_at_once);
        if (stalled == nullptr ||
            (parked && *parked <= stalled->stalled_since()))
        {
            parked_.close_longest_idle();
            return;
        }
        stalled->release(is_closed_at_once);
    }

protected:
    void incomingConnection(qintptr descriptor) override
    {
        bool const has_room = (budget_ == nullptr ||
                               budget_->make_connection_room(clock_.now())) &&
                              make_room();
        auto* const connection = take(descriptor, clock_.now());
        if (connection == nullptr || has_room)
        {
            return;
        }
        if (connection_count() >
            maximum_connections() + maximum_refused_connections)
        {
            connection->abort();
            return;
        }
        connection->refuse(not_run_response(503, "overloaded",
                                            "There are too many connections."));
    }

private:
    http_connection* take(qintptr descriptor, monotonic_time idle_since)
    {
        auto socket = std::make_unique<QTcpSocket>();
        if (!socket->setSocketDescriptor(descriptor))
        {
            ::close(static_cast<int>(descriptor));
            return nullptr;
        }
        prioritize(descriptor);
        auto* const connection =
            new http_connection(std::move(socket), limits_, *this, idle_since);
        connections_.insert(connection);
        return connection;
    }

    // A busy event loop may be late to read what woke the connection.
    void wake(qintptr descriptor, monotonic_time idle_since)
    {
        ++woken_connections_;
        if (auto* const connection = take(descriptor, idle_since))
        {
            connection->expect_input();
        }
    }

    std::size_t maximum_connections() const
    {
        return static_cast<std::size_t>(limits_.maximum_connections);
    }

    // A caller that does something goes before one that does nothing.
    bool make_room()
    {
        if (connection_count() < maximum_connections() ||
            parked_.close_longest_idle())
        {
            return true;
        }
        auto* const idle = longest_idle();
        if (idle != nullptr)
        {
            idle->abort();
        }
        return idle != nullptr;
    }

    http_connection* longest_idle() const
    {
        http_connection* result = nullptr;
        for (auto* const connection : connections_)
        {
            if (connection->is_idle() &&
                (result == nullptr ||
                 connection->phase_start() < result->phase_start()))
            {
                result = connection;
            }
        }
        return result;
    }

    http_connection* most_stalled(bool for_connections) const
    {
        http_connection* result = nullptr;
        for (auto* const connection : connections_)
        {
            // One that is closed at once would lose the answers in hand.
            bool const is_kept = for_connections
                                     ? connection->open_exchanges() > 0
                                     : connection->is_idle();
            auto const since =
                is_kept ? std::nullopt : connection->stalled_since();
            if (since && (result == nullptr || since < result->stalled_since()))
            {
                result = connection;
            }
        }
        return result;
    }

    void check_connections()
    {
        auto const now = clock_.now();
        std::vector<http_connection*> const all(connections_.begin(),
                                                connections_.end());
        for (auto* const connection : all)
        {
            if (connections_.contains(connection))
            {
                check_connection(*connection, now);
            }
        }
        parked_.close_idle_before(now - limits_.idle_timeout);
    }

    void check_connection(http_connection& connection, monotonic_time now)
    {
        bool const may_park =
            connection.can_be_parked() &&
            elapsed(connection.phase_start(), now) >= parking_delay;
        if (may_park)
        {
            park(connection);
        }
        else
        {
            connection.check_time(now);
        }
    }

    void park(http_connection& connection)
    {
        if (!connection.is_socket_quiet())
        {
            connection.expect_input();
            return;
        }
        auto const socket = connection.release_socket();
        if (socket < 0)
        {
            return;
        }
        if (!parked_.park(socket, connection.phase_start()))
        {
            ::close(socket);
        }
        connection_closed(&connection);
    }

    // Qt stops accepting for good when it runs out of descriptors.
    void wait_to_accept()
    {
        pauseAccepting();
        accept_timer_ =
            timers_.call_after(check_interval, [this] { resumeAccepting(); });
    }

    http_limits limits_;
    handler const handle_;
    caller_budget* const budget_;
    steady_clock_source clock_;
    timer_service timers_;
    timer_service::subscription check_timer_;
    timer_service::subscription accept_timer_;
    std::unordered_set<http_connection*> connections_;
    http_parked_connections parked_;
    qint64 held_bytes_ = 0;
    qint64 charged_bytes_ = 0;
    qint64 woken_connections_ = 0;
    bool is_stopping_ = false;
    bool has_high_priority_ = false;
};

http_server::http_server(http_limits limits, handler handle,
                         caller_budget* budget)
    : core_(std::make_unique<core>(limits, std::move(handle), budget))
{
}

http_server::~http_server() = default;

void http_server::set_high_priority()
{
    core_->set_high_priority();
}

bool http_server::listen(socket_address const& address)
{
    bool const is_listening = core_->listen(address.host, address.port);
    if (is_listening)
    {
        core_->prioritize_listener();
    }
    return is_listening;
}

void http_server::set_limits(http_limits const& limits)
{
    core_->set_limits(limits);
}

quint16 http_server::port() const
{
    return core_->serverPort();
}

QString http_server::error_text() const
{
    return core_->errorString();
}

void http_server::prepare_stop()
{
    core_->prepare_stop();
}

void http_server::stop_accepting()
{
    core_->stop_accepting();
}

int http_server::connection_count() const
{
    return static_cast<int>(core_->connection_count());
}

qint64 http_server::woken_connections() const
{
    return core_->woken_connections();
}

int http_server::open_exchanges() const
{
    return core_->open_exchanges();
}

int http_server::busy_connections() const
{
    return core_->busy_connections();
}

} // namespace verbenacove
