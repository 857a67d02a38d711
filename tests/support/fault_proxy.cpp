#include "fault_proxy.hpp"

#include "child_process.hpp"

#include <QByteArray>

#include <array>
#include <deque>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace verbenacove::support
{
namespace
{

constexpr qint64 piece_bytes = 64 * 1024;
constexpr qint64 held_bytes_limit = 1024 * 1024;
constexpr std::size_t sender_limit = 256;
constexpr std::size_t held_datagram_limit = 4096;

monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

sockaddr_in native(socket_address const& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.host.toIPv4Address());
    result.sin_port = htons(address.port);
    return result;
}

/** A non-blocking socket that closes itself. */
class socket_handle
{
public:
    explicit socket_handle(int descriptor)
        : descriptor_(descriptor)
    {
    }
    static socket_handle make(int type)
    {
        return socket_handle(
            ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    }
    ~socket_handle() { close(); }
    socket_handle(socket_handle&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    socket_handle& operator=(socket_handle&& other) noexcept
    {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    socket_handle(socket_handle const&) = delete;
    socket_handle& operator=(socket_handle const&) = delete;

    int get() const { return descriptor_; }
    bool is_open() const { return descriptor_ >= 0; }
    bool bind_to(socket_address const& address) const
    {
        auto const name = native(address);
        return ::bind(descriptor_, reinterpret_cast<sockaddr const*>(&name),
                      sizeof name) == 0;
    }
    bool connect_to(socket_address const& address) const
    {
        auto const name = native(address);
        return ::connect(descriptor_, reinterpret_cast<sockaddr const*>(&name),
                         sizeof name) == 0 ||
               errno == EINPROGRESS;
    }
    void close()
    {
        if (is_open())
        {
            ::close(std::exchange(descriptor_, -1));
        }
    }
    void reset()
    {
        linger const none{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        close();
    }

private:
    int descriptor_;
};

/** Runs a proxy's input and output on one thread. */
class proxy_thread
{
public:
    proxy_thread() = default;
    virtual ~proxy_thread() = default;
    proxy_thread(proxy_thread const&) = delete;
    proxy_thread& operator=(proxy_thread const&) = delete;

    /** Runs a function on the thread and waits for its end. */
    void call(std::function<void()> function)
    {
        std::packaged_task<void()> task(std::move(function));
        auto done = task.get_future();
        {
            std::lock_guard const lock(mutex_);
            tasks_.push_back(std::move(task));
        }
        quint64 const one = 1;
        [[maybe_unused]] auto const n = ::write(wake_.get(), &one, sizeof one);
        done.wait();
    }

protected:
    /** Does all input and output that can be done without waiting. */
    virtual void step() = 0;

    /** Adds what to wait for; returns the time of the next piece due. */
    virtual monotonic_time watch(std::vector<pollfd>& watched) = 0;

    void start()
    {
        thread_ = std::thread([this] { run(); });
    }

    /** Must be called by the most derived destructor. */
    void stop()
    {
        call([this] { is_stopping_ = true; });
        thread_.join();
    }

private:
    void run()
    {
        while (!is_stopping_)
        {
            std::vector<pollfd> watched{{wake_.get(), POLLIN, 0}};
            auto const due = watch(watched);
            auto const wait = std::chrono::ceil<milliseconds>(due - now());
            auto const bounded =
                std::clamp(wait, milliseconds(0), milliseconds(1000));
            ::poll(watched.data(), watched.size(),
                   static_cast<int>(bounded.count()));
            run_tasks();
            step();
        }
    }

    void run_tasks()
    {
        quint64 count = 0;
        [[maybe_unused]] auto const n =
            ::read(wake_.get(), &count, sizeof count);
        std::lock_guard const lock(mutex_);
        while (!tasks_.empty())
        {
            tasks_.front()();
            tasks_.pop_front();
        }
    }

    socket_handle wake_{::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
    std::mutex mutex_;
    std::deque<std::packaged_task<void()>> tasks_;
    bool is_stopping_ = false;
    std::thread thread_;
};

/** Draws delays and chances from a seed. */
class fault_dice
{
public:
    explicit fault_dice(quint32 seed)
        : random_(seed)
    {
    }
    milliseconds up_to(milliseconds most)
    {
        return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
            0, std::max<milliseconds::rep>(0, most.count()))(random_));
    }
    bool hits(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

private:
    std::mt19937 random_;
};

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

class udp_fault_proxy::implementation : public proxy_thread
{
public:
    implementation(socket_address const& target, quint32 seed)
        : target_(target)
        , address_{QHostAddress(QHostAddress::LocalHost), free_port()}
        , dice_(seed)
    {
        if (!socket_.bind_to(address_))
        {
            qFatal("fault proxy: cannot bind %s", qPrintable(address_.text()));
        }
        start();
    }
    ~implementation() override { stop(); }

    socket_address const& address() const { return address_; }
    void set_faults(udp_faults const& faults) { faults_ = faults; }
    proxy_counters const& counters() const { return counters_; }

private:
    struct sender
    {
        sockaddr_in name;
        socket_handle socket;
    };
    struct held_datagram
    {
        sender* peer;
        bool is_answer;
        QByteArray bytes;
    };

    void step() override
    {
        sockaddr_in name{};
        while (auto bytes = receive(socket_, &name))
        {
            if (auto* const peer = find_sender(name))
            {
                hold({peer, false, std::move(*bytes)}, faults_.cut_to_target);
            }
        }
        for (auto& [key, peer] : senders_)
        {
            while (auto bytes = receive(peer.socket, nullptr))
            {
                hold({&peer, true, std::move(*bytes)}, faults_.cut_to_client);
            }
        }
        while (!held_.empty() && held_.begin()->first <= now())
        {
            send(held_.begin()->second);
            held_.erase(held_.begin());
        }
    }

    static std::optional<QByteArray> receive(socket_handle const& from,
                                             sockaddr_in* name)
    {
        QByteArray bytes(piece_bytes, Qt::Uninitialized);
        socklen_t length = sizeof(sockaddr_in);
        auto size = ::recvfrom(from.get(), bytes.data(), bytes.size(), 0,
                               reinterpret_cast<sockaddr*>(name),
                               name != nullptr ? &length : nullptr);
        if (size < 0)
        {
            return std::nullopt;
        }
        bytes.truncate(size);
        return bytes;
    }

    sender* find_sender(sockaddr_in const& name)
    {
        auto const key = std::pair(name.sin_addr.s_addr, name.sin_port);
        auto found = senders_.find(key);
        if (found != senders_.end())
        {
            return &found->second;
        }
        auto socket = socket_handle::make(SOCK_DGRAM);
        if (senders_.size() >= sender_limit || !socket.connect_to(target_))
        {
            return nullptr;
        }
        ++counters_.connections;
        return &senders_.emplace(key, sender{name, std::move(socket)})
                    .first->second;
    }

    void hold(held_datagram datagram, bool is_cut)
    {
        if (is_cut || dice_.hits(faults_.loss))
        {
            return;
        }
        int const copies = dice_.hits(faults_.duplicate) ? 2 : 1;
        for (int i = 0; i < copies && held_.size() < held_datagram_limit; ++i)
        {
            held_.emplace(now() + faults_.delay + dice_.up_to(faults_.jitter),
                          datagram);
        }
    }

    void send(held_datagram const& datagram)
    {
        auto const& bytes = datagram.bytes;
        if (!datagram.is_answer)
        {
            ++counters_.to_target;
            ::send(datagram.peer->socket.get(), bytes.constData(), bytes.size(),
                   0);
            return;
        }
        ++counters_.to_client;
        auto const& name = datagram.peer->name;
        ::sendto(socket_.get(), bytes.constData(), bytes.size(), 0,
                 reinterpret_cast<sockaddr const*>(&name), sizeof name);
    }

    monotonic_time watch(std::vector<pollfd>& watched) override
    {
        watched.push_back({socket_.get(), POLLIN, 0});
        for (auto const& [key, peer] : senders_)
        {
            watched.push_back({peer.socket.get(), POLLIN, 0});
        }
        auto const latest = now() + std::chrono::seconds(1);
        return held_.empty() ? latest : std::min(latest, held_.begin()->first);
    }

    socket_address const target_;
    socket_address const address_;
    fault_dice dice_;
    socket_handle socket_ = socket_handle::make(SOCK_DGRAM);
    std::map<std::pair<quint32, quint16>, sender> senders_;
    std::multimap<monotonic_time, held_datagram> held_;
    udp_faults faults_;
    proxy_counters counters_;
};

udp_fault_proxy::udp_fault_proxy(socket_address const& target, quint32 seed)
    : implementation_(std::make_unique<implementation>(target, seed))
{
}

udp_fault_proxy::~udp_fault_proxy() = default;

socket_address udp_fault_proxy::address() const
{
    return implementation_->address();
}

void udp_fault_proxy::set_faults(udp_faults const& faults)
{
    implementation_->call([&] { implementation_->set_faults(faults); });
}

proxy_counters udp_fault_proxy::counters() const
{
    proxy_counters result;
    implementation_->call([&] { result = implementation_->counters(); });
    return result;
}

} // namespace verbenacove::support
