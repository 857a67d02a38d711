#ifndef VERBENACOVE_PROCESS_OPERATOR_CONNECTOR_HPP
#define VERBENACOVE_PROCESS_OPERATOR_CONNECTOR_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <atomic>
#include <string>

struct MHD_Connection;
struct MHD_Daemon;

namespace verbenacove
{

/** The bounds of an operator_connector. */
struct operator_connector_limits
{
    /** How many connections, each with a thread, there may be. */
    unsigned connections = 32;
    /** The largest request body. */
    std::size_t body_bytes = 256 * 1024;
    /** What a connection may use for its request's headers. */
    std::size_t header_bytes = 16 * 1024;
    /** How long a connection may be silent. */
    std::chrono::seconds silence{10};
    /** How long a request may take to arrive. */
    std::chrono::seconds arrival{20};
};

/** Carries JSON-RPC over HTTP POST, with bounds.

    libjsonrpccpp's own HTTP connector listens on all addresses and keeps a
    request's body whatever its size; this one takes its place, on the same
    libmicrohttpd. Each connection has a thread, which may block.
*/
class operator_connector : public jsonrpc::AbstractServerConnector
{
public:
    /** Creates a connector that does not listen yet. */
    explicit operator_connector(socket_address address,
                                operator_connector_limits limits = {});

    /** Stops at once. */
    ~operator_connector() override;

    operator_connector(operator_connector const&) = delete;
    operator_connector& operator=(operator_connector const&) = delete;

    /** Begins to listen; false when the address cannot be had. */
    bool StartListening() override;

    /** Ends all connections and their threads. Requests in progress end
        first, so the thread that they wait for must not be the one that
        calls; their answers are lost unless `stop_accepting` was called and
        `active_requests` has become 0. */
    bool StopListening() override;

    /** Refuses new connections, and leaves those that there are. */
    void stop_accepting();

    /** Returns how many requests have come whose answers have not gone. */
    int active_requests() const { return active_requests_; }

    /** Returns the port that it listens on; 0 when it does not. */
    quint16 port() const;

    /** Sends the answer to a request. */
    bool SendResponse(std::string const& response, void* connection) override;

private:
    struct callbacks;
    struct request;

    int begin(MHD_Connection* connection, char const* method, void** state);
    int receive(request& current, char const* data, std::size_t* size);
    int answer(MHD_Connection* connection, request& current);
    void finish(void** state);

    socket_address address_;
    operator_connector_limits limits_;
    MHD_Daemon* daemon_ = nullptr;
    int quiesced_socket_ = -1;
    std::atomic<int> active_requests_{0};
};

} // namespace verbenacove

#endif
