#ifndef VERBENACOVE_SUPPORT_PROXY_THREAD_HPP
#define VERBENACOVE_SUPPORT_PROXY_THREAD_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace verbenacove::support
{

/** What a proxy reads at once, in bytes; no datagram is larger. */
inline constexpr qint64 piece_bytes = 64 * 1024;

/** Returns the time now. */
inline monotonic_time now()
{
    return std::chrono::steady_clock::now();
}

/** Returns an IPv4 address in the form that the system calls take. */
inline sockaddr_in native(socket_address const& address)
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

} // namespace verbenacove::support

#endif
