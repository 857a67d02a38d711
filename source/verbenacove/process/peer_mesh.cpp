#include "verbenacove/process/peer_mesh.hpp"

#include "verbenacove/core/cbor.hpp"

#include <QNetworkDatagram>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

/** So that a datagram fits a usual path's largest packet. */
constexpr int upstreams_per_datagram = 7;
constexpr milliseconds forget_entry_after{30000};

} // namespace

peer_mesh::peer_mesh(entry_id own_id,
                     std::vector<socket_address> const& addresses,
                     clock_source const& clock, listener calls)
    : own_id_(std::move(own_id))
    , addresses_(addresses)
    , clock_(clock)
    , calls_(std::move(calls))
{
    QObject::connect(&socket_, &QUdpSocket::readyRead, [this] { receive(); });
}

bool peer_mesh::start(socket_address const& address)
{
    own_address_ = address;
    if (!socket_.bind(address.host, address.port))
    {
        return false;
    }
    round_ = timers_.call_every(round_interval,
                                [this]
                                {
                                    forget_silent();
                                    send_now();
                                });
    send_now();
    return true;
}

void peer_mesh::send_now()
{
    auto const status = calls_.own_status();
    auto const upstreams = calls_.own_upstreams();
    auto const now = clock_.now();
    std::size_t next = 0;
    bool is_first = true;
    while (is_first || next < upstreams.size())
    {
        auto message = header(status);
        if (is_first)
        {
            message[QLatin1String("more")] = calls_.attachment();
        }
        QCborArray news;
        while (next < upstreams.size() && news.size() < upstreams_per_datagram)
        {
            news.append(to_cbor(upstreams[next], now));
            ++next;
        }
        message[QLatin1String("ups")] = news;
        send_to_all(message);
        is_first = false;
    }
}

std::vector<entry_view> peer_mesh::entries() const
{
    std::vector<entry_view> result;
    for (auto const& [id, other] : peers_)
    {
        if (is_live(other))
        {
            result.push_back(other.view);
        }
    }
    return result;
}

qint64 peer_mesh::highest_config_version() const
{
    qint64 highest = 0;
    for (auto const& [id, other] : peers_)
    {
        highest = std::max(highest, other.config_version);
    }
    return highest;
}

void peer_mesh::send_to_all(QCborMap const& message)
{
    auto const bytes = message.toCborValue().toCbor();
    auto targets = addresses_;
    for (auto const& [id, other] : peers_)
    {
        bool const is_listed = std::find(targets.begin(), targets.end(),
                                         other.address) != targets.end();
        if (!is_listed && is_live(other))
        {
            targets.push_back(other.address);
        }
    }
    for (auto const& address : targets)
    {
        if (address != own_address_)
        {
            socket_.writeDatagram(bytes, address.host, address.port);
        }
    }
}

QCborMap peer_mesh::header(own_entry_status const& status)
{
    return {{QLatin1String("e"), status.view.id.value()},
            {QLatin1String("i"), status.started.value()},
            {QLatin1String("n"), ++sequence_},
            {QLatin1String("a"), status.view.address.text()},
            {QLatin1String("p"), status.peer_address.text()},
            {QLatin1String("r"), status.view.region.value()},
            {QLatin1String("z"), status.view.zone.value()},
            {QLatin1String("on"), status.view.is_serving},
            {QLatin1String("h"), static_cast<int>(status.view.headroom * 1000)},
            {QLatin1String("v"), status.config_version}};
}

void peer_mesh::receive()
{
    while (socket_.hasPendingDatagrams())
    {
        auto const datagram = socket_.receiveDatagram();
        if (auto const message = parse_cbor_map(datagram.data()))
        {
            take(*message);
        }
    }
}

void peer_mesh::take(QCborMap const& message)
{
    entry_id const id(cbor_text(message, "e"));
    if (id.value().isEmpty() || id == own_id_)
    {
        return;
    }
    take_header(message);
    auto const now = clock_.now();
    for (auto const& value : cbor_array(message, "ups"))
    {
        auto const news = parse_upstream_news(value.toMap(), now);
        if (news)
        {
            calls_.upstream_heard(*news);
        }
    }
    auto const attachment = cbor_map(message, "more");
    if (!attachment.isEmpty())
    {
        calls_.attachment_heard(attachment);
    }
}

void peer_mesh::take_header(QCborMap const& message)
{
    entry_id const id(cbor_text(message, "e"));
    auto const address = parse_socket_address(cbor_text(message, "a"));
    auto const peer_address = parse_socket_address(cbor_text(message, "p"));
    bool const is_known = peers_.count(id) > 0;
    if (!address || !peer_address ||
        (!is_known && peers_.size() >= maximum_entries))
    {
        return;
    }
    auto& other = peers_[id];
    incarnation const started(cbor_number(message, "i"));
    auto const sequence = cbor_number(message, "n");
    bool const is_newer =
        started > other.started ||
        (started == other.started && sequence > other.sequence);
    if (!is_newer)
    {
        return;
    }
    bool const was_live = is_known && is_live(other);
    bool const was_serving = other.view.is_serving;
    other.started = started;
    other.sequence = sequence;
    other.config_version = cbor_number(message, "v");
    other.address = *peer_address;
    other.view.id = id;
    other.view.address = *address;
    other.view.region = region_name(cbor_text(message, "r"));
    other.view.zone = zone_name(cbor_text(message, "z"));
    other.view.is_serving = cbor_flag(message, "on");
    other.view.headroom = static_cast<double>(cbor_number(message, "h")) / 1000;
    other.view.reported_at = clock_.now();
    if (!was_live || was_serving != other.view.is_serving)
    {
        calls_.entries_changed();
    }
}

void peer_mesh::forget_silent()
{
    auto const now = clock_.now();
    auto const count =
        std::erase_if(peers_,
                      [now](auto const& item) {
                          return elapsed(item.second.view.reported_at, now) >
                                 forget_entry_after;
                      });
    if (count > 0)
    {
        calls_.entries_changed();
    }
}

bool peer_mesh::is_live(peer const& other) const
{
    return elapsed(other.view.reported_at, clock_.now()) <= entry_lease;
}

} // namespace verbenacove
