#include "udp_fault_proxy.hpp"

#include "child_process.hpp"
#include "proxy_thread.hpp"

#include <QByteArray>

#include <map>

namespace verbenacove::support
{
namespace
{

constexpr std::size_t sender_limit = 256;
constexpr std::size_t held_datagram_limit = 4096;

} // namespace

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

    void hold(held_datagram const& datagram, bool is_cut)
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
