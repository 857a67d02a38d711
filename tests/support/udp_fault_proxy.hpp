#ifndef VERBENACOVE_SUPPORT_UDP_FAULT_PROXY_HPP
#define VERBENACOVE_SUPPORT_UDP_FAULT_PROXY_HPP

#include "fault_proxy.hpp"

namespace verbenacove::support
{

/** What a udp_fault_proxy does to datagrams; the default is nothing. */
struct udp_faults
{
    /** The probabilities that one is lost, or sent twice, from 0 to 1. */
    double loss = 0;
    double duplicate = 0;
    /** Added to each datagram; the jitter may change their order. */
    milliseconds delay{0};
    milliseconds jitter{0};
    /** All datagrams one way are lost. */
    bool cut_to_target = false;
    bool cut_to_client = false;
};

/** A fault_proxy for datagrams; each sender gets a socket towards the target,
   so that answers find their way back. */
class udp_fault_proxy
{
public:
    /** Binds a free port of 127.0.0.1.

        @see fault_proxy::fault_proxy
    */
    explicit udp_fault_proxy(socket_address const& target, quint32 seed = 1);
    ~udp_fault_proxy();
    udp_fault_proxy(udp_fault_proxy const&) = delete;
    udp_fault_proxy& operator=(udp_fault_proxy const&) = delete;

    /** Returns the address to send to in place of the target. */
    socket_address address() const;

    /** Replaces all faults that are in force. */
    void set_faults(udp_faults const& faults);

    /** Returns what has passed until now, in datagrams. */
    proxy_counters counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace verbenacove::support

#endif
