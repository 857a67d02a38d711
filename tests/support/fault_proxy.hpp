#ifndef VERBENACOVE_SUPPORT_FAULT_PROXY_HPP
#define VERBENACOVE_SUPPORT_FAULT_PROXY_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <memory>
#include <optional>

namespace verbenacove::support
{

/** What a fault_proxy does to its connections; the default is nothing. */
struct tcp_faults
{
    /** Added to every piece of data, each way; order is kept. */
    milliseconds delay{0};
    /** At most this much is added to the delay, by the proxy's seed. */
    milliseconds jitter{0};
    /** New connections are refused. */
    bool refuse = false;
    /** Bytes are held back, and passed on once this is switched off, like a
        partition that heals before the connections time out. */
    bool stall = false;
    /** Bytes and closes of callers are lost. A connection that met this, or
        the next one, never recovers. */
    bool drop_to_target = false;
    /** Bytes and closes of the target are lost. */
    bool drop_to_client = false;
    /** After this many bytes of an answer both sides are closed; counted for
        each connection from when the faults were set. */
    std::optional<qint64> cut_answer_after;
};

/** What has passed through a proxy since it was created. */
struct proxy_counters
{
    /** Connections accepted, or distinct senders of datagrams. */
    qint64 connections = 0;
    /** Bytes or datagrams that were passed on, not those dropped. */
    qint64 to_target = 0;
    qint64 to_client = 0;
};

/** A TCP proxy on a thread of its own that can be told to misbehave.

    A target that refuses connections shows as a connection that is accepted
    and reset; `tcp_faults::refuse` refuses for real. Thread-safe; each call
    returns once the proxy has taken it up.
*/
class fault_proxy
{
public:
    /** Listens on a free port of 127.0.0.1.

        @param target  where connections lead, an IPv4 address
        @param seed    of the jitter
    */
    explicit fault_proxy(socket_address const& target, quint32 seed = 1);
    ~fault_proxy();
    fault_proxy(fault_proxy const&) = delete;
    fault_proxy& operator=(fault_proxy const&) = delete;

    /** Returns the address to connect to in place of the target. */
    socket_address address() const;

    /** Replaces all faults that are in force. */
    void set_faults(tcp_faults const& faults);

    /** Resets all connections; new ones work. */
    void reset_connections();

    /** Drops all further bytes of the connections there are, for good,
        without closing them; new ones work.

        @see tcp_faults::drop_to_target
    */
    void silence_connections();

    /** Returns what has passed until now. */
    proxy_counters counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace verbenacove::support

#endif
