#ifndef VERBENACOVE_PROCESS_PEER_MESH_HPP
#define VERBENACOVE_PROCESS_PEER_MESH_HPP

#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/process/upstream_directory.hpp"
#include "verbenacove/request/lookup_ranking.hpp"

#include <QUdpSocket>

#include <functional>
#include <map>
#include <vector>

namespace verbenacove
{

/** What an entry says of itself to the others. */
struct own_entry_status
{
    entry_view view;
    incarnation started;
    socket_address peer_address;
    qint64 config_version = 0;
};

/** Tells the other entries of this one and of the upstreams that announce to
    it, and hears the same of them.

    Each entry sends datagrams of CBOR to all others twice a second, and at
    once after a change; a lost datagram is made good by the next. Ages go
    with the news, never a time of day. For the number of entries that this
    carries see docs/CAPACITY.md.
*/
class peer_mesh
{
public:
    /** What is called for news; on the thread of the mesh. */
    struct listener
    {
        /** An upstream's news, which another entry heard. */
        std::function<void(upstream_view const&)> upstream_heard;
        /** Another entry's state changed, or it is new or gone. */
        std::function<void()> entries_changed;
        /** Anything else that another entry attached.
            @see set_attachment */
        std::function<void(QCborMap const&)> attachment_heard;
        /** The own status, asked for before each round. */
        std::function<own_entry_status()> own_status;
        /** The upstreams whose news this entry is to spread. */
        std::function<std::vector<upstream_view>()> own_upstreams;
        /** What else is to be spread, small; may be empty. */
        std::function<QCborMap()> attachment;
    };

    /** The most other entries that are known. */
    static constexpr std::size_t maximum_entries = 1024;

    /** The time between two rounds; every other one carries upstreams, which
        announce themselves no more often. */
    static constexpr milliseconds round_interval{500};

    /** How long an entry is believed to be there without news. */
    static constexpr milliseconds entry_lease{3000};

    /** The clock must outlive the mesh. */
    peer_mesh(entry_id own_id, std::vector<socket_address> const& addresses,
              clock_source const& clock, listener calls);
    peer_mesh(peer_mesh const&) = delete;
    peer_mesh& operator=(peer_mesh const&) = delete;

    /** Starts to send and listen; false when the address cannot be had. */
    bool start(socket_address const& address);

    /** Returns why `start` failed. */
    QString error_text() const { return socket_.errorString(); }

    /** Sends a round at once; call it when the own status or an upstream's
        state changed. */
    void send_now();

    /** Returns the other entries that are believed to be there. */
    std::vector<entry_view> entries() const;

    /** Returns the highest configuration version that another one holds. */
    qint64 highest_config_version() const;

private:
    struct peer
    {
        entry_view view;
        incarnation started;
        qint64 sequence = 0;
        qint64 config_version = 0;
        socket_address address;
    };

    void send_round();
    void send(std::vector<upstream_view> const& upstreams);
    void send_to_all(QCborMap const& message);
    QCborMap header(own_entry_status const& status);
    void receive();
    void take(QCborMap const& message);
    void take_header(QCborMap const& message);
    void forget_silent();
    bool is_live(peer const& other) const;

    entry_id own_id_;
    std::vector<socket_address> addresses_;
    clock_source const& clock_;
    listener calls_;
    QUdpSocket socket_;
    timer_service timers_;
    timer_service::subscription round_;
    std::map<entry_id, peer> peers_;
    socket_address own_address_;
    qint64 sequence_ = 0;
    bool carries_upstreams_ = false;
};

} // namespace verbenacove

#endif
