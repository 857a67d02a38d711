#include "fault_proxy.hpp"

#include "child_process.hpp"
#include "proxy_thread.hpp"

#include <QByteArray>

#include <list>

#include <netinet/tcp.h>

namespace verbenacove::support
{
namespace
{

constexpr qint64 held_bytes_limit = 1024 * 1024;

struct held_piece
{
    monotonic_time due;
    QByteArray bytes;
};

/** One way through a connection. */
struct tcp_way
{
    std::deque<held_piece> held;
    qint64 held_bytes = 0;
    monotonic_time last_due{};
    /** The reading side has ended; pass that on once all is written. */
    bool has_ended = false;
    bool end_passed = false;
    bool is_dropping = false;
};

struct tcp_connection
{
    socket_handle client;
    socket_handle target;
    tcp_way to_target;
    tcp_way to_client;
    qint64 answer_bytes = 0;
    bool is_broken = false;
};

} // namespace

class fault_proxy::implementation : public proxy_thread
{
public:
    implementation(socket_address const& target, quint32 seed)
        : target_(target)
        , address_{QHostAddress(QHostAddress::LocalHost), free_port()}
        , dice_(seed)
    {
        listen();
        start();
    }
    ~implementation() override { stop(); }

    socket_address const& address() const { return address_; }

    void set_faults(tcp_faults const& faults)
    {
        faults_ = faults;
        for (auto& connection : connections_)
        {
            connection.to_target.is_dropping |= faults.drop_to_target;
            connection.to_client.is_dropping |= faults.drop_to_client;
            connection.answer_bytes = 0;
        }
        if (faults.refuse)
        {
            listener_.close();
        }
        else if (!listener_.is_open())
        {
            listen();
        }
    }

    void reset_connections()
    {
        accept_all();
        for (auto& connection : connections_)
        {
            connection.client.reset();
            connection.target.reset();
        }
        connections_.clear();
    }

    void silence_connections()
    {
        accept_all();
        for (auto& connection : connections_)
        {
            connection.to_target.is_dropping = true;
            connection.to_client.is_dropping = true;
        }
    }

    proxy_counters const& counters() const { return counters_; }

private:
    void listen()
    {
        listener_ = socket_handle::make(SOCK_STREAM);
        int const on = 1;
        ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (!listener_.bind_to(address_) ||
            ::listen(listener_.get(), SOMAXCONN) != 0)
        {
            qFatal("fault proxy: cannot listen on %s",
                   qPrintable(address_.text()));
        }
    }

    void accept_all()
    {
        while (listener_.is_open())
        {
            socket_handle client(::accept4(listener_.get(), nullptr, nullptr,
                                           SOCK_NONBLOCK | SOCK_CLOEXEC));
            if (!client.is_open())
            {
                return;
            }
            ++counters_.connections;
            auto target = socket_handle::make(SOCK_STREAM);
            int const on = 1;
            for (int const descriptor : {client.get(), target.get()})
            {
                ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on,
                             sizeof on);
            }
            if (!target.connect_to(target_))
            {
                client.reset();
                continue;
            }
            auto& connection = connections_.emplace_back(
                tcp_connection{std::move(client), std::move(target), {}, {}});
            connection.to_target.is_dropping = faults_.drop_to_target;
            connection.to_client.is_dropping = faults_.drop_to_client;
        }
    }

    void step() override
    {
        accept_all();
        if (faults_.stall)
        {
            return;
        }
        for (auto& c : connections_)
        {
            read(c, c.client, c.to_target);
            read(c, c.target, c.to_client);
            write(c, c.target, c.to_target, counters_.to_target);
            write(c, c.client, c.to_client, counters_.to_client);
            if (c.is_broken)
            {
                c.client.reset();
                c.target.reset();
            }
        }
        std::erase_if(connections_, has_finished);
    }

    static bool has_finished(tcp_connection const& c)
    {
        auto const is_over = [](tcp_way const& way)
        {
            return way.end_passed || (way.has_ended && way.is_dropping);
        };
        return !c.client.is_open() ||
               (is_over(c.to_target) && is_over(c.to_client));
    }

    void read(tcp_connection& c, socket_handle const& from, tcp_way& way)
    {
        while (!way.has_ended && way.held_bytes < held_bytes_limit)
        {
            QByteArray bytes(piece_bytes, Qt::Uninitialized);
            auto const size = ::recv(from.get(), bytes.data(), bytes.size(), 0);
            if (size < 0)
            {
                bool const waits = errno == EAGAIN || errno == ENOTCONN;
                way.has_ended = !waits;
                c.is_broken |= !waits && !way.is_dropping;
                return;
            }
            way.has_ended = size == 0;
            if (size == 0 || way.is_dropping)
            {
                continue;
            }
            bytes.truncate(size);
            way.last_due =
                std::max(way.last_due,
                         now() + faults_.delay + dice_.up_to(faults_.jitter));
            way.held_bytes += size;
            way.held.push_back({way.last_due, std::move(bytes)});
        }
    }

    void write(tcp_connection& c, socket_handle& to, tcp_way& way,
               qint64& counter)
    {
        if (way.is_dropping)
        {
            way.held.clear();
            way.held_bytes = 0;
            return;
        }
        while (to.is_open() && !way.held.empty() &&
               way.held.front().due <= now())
        {
            auto& bytes = way.held.front().bytes;
            qint64 allowed = bytes.size();
            bool const is_limited =
                &way == &c.to_client && faults_.cut_answer_after;
            if (is_limited)
            {
                allowed = std::min(allowed,
                                   *faults_.cut_answer_after - c.answer_bytes);
            }
            auto const size =
                ::send(to.get(), bytes.constData(),
                       std::max<qint64>(allowed, 0), MSG_NOSIGNAL);
            if (size < 0)
            {
                c.is_broken |= errno != EAGAIN && errno != ENOTCONN;
                return;
            }
            counter += size;
            way.held_bytes -= size;
            bytes.remove(0, size);
            c.answer_bytes += &way == &c.to_client ? size : 0;
            if (is_limited && c.answer_bytes >= *faults_.cut_answer_after)
            {
                c.client.close();
                c.target.close();
                return;
            }
            if (bytes.isEmpty())
            {
                way.held.pop_front();
            }
        }
        if (way.has_ended && way.held.empty() && !way.end_passed)
        {
            ::shutdown(to.get(), SHUT_WR);
            way.end_passed = true;
        }
    }

    monotonic_time watch(std::vector<pollfd>& watched) override
    {
        auto due = now() + std::chrono::seconds(1);
        if (listener_.is_open())
        {
            watched.push_back({listener_.get(), POLLIN, 0});
        }
        if (faults_.stall)
        {
            return due;
        }
        for (auto const& c : connections_)
        {
            watch(watched, c.client, c.to_target, c.to_client, due);
            watch(watched, c.target, c.to_client, c.to_target, due);
        }
        return due;
    }

    static void watch(std::vector<pollfd>& watched, socket_handle const& side,
                      tcp_way const& in, tcp_way const& out,
                      monotonic_time& due)
    {
        short events = 0;
        if (!in.has_ended && in.held_bytes < held_bytes_limit)
        {
            events |= POLLIN;
        }
        if (!out.held.empty() && out.held.front().due <= now())
        {
            events |= POLLOUT;
        }
        else if (!out.held.empty())
        {
            due = std::min(due, out.held.front().due);
        }
        // A side with nothing to do is left out: poll would report its
        // hang-up again and again.
        if (events != 0)
        {
            watched.push_back({side.get(), events, 0});
        }
    }

    socket_address const target_;
    socket_address const address_;
    fault_dice dice_;
    socket_handle listener_{-1};
    std::list<tcp_connection> connections_;
    tcp_faults faults_;
    proxy_counters counters_;
};

fault_proxy::fault_proxy(socket_address const& target, quint32 seed)
    : implementation_(std::make_unique<implementation>(target, seed))
{
}

fault_proxy::~fault_proxy() = default;

socket_address fault_proxy::address() const
{
    return implementation_->address();
}

void fault_proxy::set_faults(tcp_faults const& faults)
{
    implementation_->call([&] { implementation_->set_faults(faults); });
}

void fault_proxy::reset_connections()
{
    implementation_->call([this] { implementation_->reset_connections(); });
}

void fault_proxy::silence_connections()
{
    implementation_->call([this] { implementation_->silence_connections(); });
}

proxy_counters fault_proxy::counters() const
{
    proxy_counters result;
    implementation_->call([&] { result = implementation_->counters(); });
    return result;
}

} // namespace verbenacove::support
