#include "verbenacove/process/operator_connector.hpp"

#include <QByteArray>

#include <jsonrpccpp/common/jsonparser.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <memory>
#include <string_view>
#include <utility>

namespace verbenacove
{

namespace
{

sockaddr_storage library_address(socket_address const& address)
{
    sockaddr_storage result{};
    if (address.host.protocol() == QAbstractSocket::IPv6Protocol)
    {
        sockaddr_in6 ipv6{};
        ipv6.sin6_family = AF_INET6;
        ipv6.sin6_port = htons(address.port);
        auto const bytes = address.host.toIPv6Address();
        std::memcpy(&ipv6.sin6_addr, &bytes, sizeof ipv6.sin6_addr);
        std::memcpy(&result, &ipv6, sizeof ipv6);
        return result;
    }
    sockaddr_in ipv4{};
    ipv4.sin_family = AF_INET;
    ipv4.sin_port = htons(address.port);
    ipv4.sin_addr.s_addr = htonl(address.host.toIPv4Address());
    std::memcpy(&result, &ipv4, sizeof ipv4);
    return result;
}

int send(MHD_Connection* connection, unsigned status, std::string_view body)
{
    auto* response = MHD_create_response_from_buffer(
        body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
    {
        return MHD_NO;
    }
    MHD_add_response_header(response, "Content-Type", "application/json");
    auto const result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

bool is_too_long(MHD_Connection* connection, std::size_t most)
{
    auto const* length = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Content-Length");
    return length != nullptr && QByteArray(length).toULongLong() > most;
}

/** Returns true for a JSON object; an array would be a batch of calls, each
    with a time limit of its own. */
bool is_single_call(std::string const& body)
{
    auto const first = body.find_first_not_of(" \t\r\n");
    return first != std::string::npos && body[first] == '{';
}

} // namespace

/** What has come of a request. */
struct operator_connector::request
{
    monotonic_time begun = std::chrono::steady_clock::now();
    std::string body;
};

/** What the library calls; nothing may be thrown through it. */
struct operator_connector::callbacks
{
    static MHD_Result handle(void* self, MHD_Connection* connection,
                             char const*, char const* method, char const*,
                             char const* data, std::size_t* size, void** state)
    {
        auto& connector = *static_cast<operator_connector*>(self);
        auto* current = static_cast<request*>(*state);
        try
        {
            if (current == nullptr)
            {
                return result(connector.begin(connection, method, state));
            }
            if (*size > 0)
            {
                return result(connector.receive(*current, data, size));
            }
            return result(connector.answer(connection, *current));
        }
        catch (std::exception const&)
        {
            return MHD_NO;
        }
    }

    static void complete(void* self, MHD_Connection*, void** state,
                         MHD_RequestTerminationCode)
    {
        static_cast<operator_connector*>(self)->finish(state);
    }

    static MHD_Result result(int value)
    {
        return value == MHD_YES ? MHD_YES : MHD_NO;
    }
};

operator_connector::operator_connector(socket_address address,
                                       operator_connector_limits limits)
    : address_(std::move(address))
    , limits_(limits)
{
}

operator_connector::~operator_connector()
{
    operator_connector::StopListening();
}

bool operator_connector::StartListening()
{
    auto const address = library_address(address_);
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD |
                     MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL | MHD_USE_ITC;
    if (address.ss_family == AF_INET6)
    {
        flags |= MHD_USE_IPv6;
    }
    daemon_ = MHD_start_daemon(
        flags, address_.port, nullptr, nullptr, &callbacks::handle, this,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr const*>(&address),
        MHD_OPTION_CONNECTION_LIMIT, limits_.connections,
        MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(limits_.silence.count()),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits_.header_bytes,
        MHD_OPTION_NOTIFY_COMPLETED, &callbacks::complete, this,
        MHD_OPTION_END);
    return daemon_ != nullptr;
}

bool operator_connector::StopListening()
{
    if (daemon_ == nullptr)
    {
        return false;
    }
    MHD_stop_daemon(daemon_);
    daemon_ = nullptr;
    if (quiesced_socket_ >= 0)
    {
        ::close(quiesced_socket_);
        quiesced_socket_ = -1;
    }
    return true;
}

void operator_connector::stop_accepting()
{
    if (daemon_ != nullptr && quiesced_socket_ < 0)
    {
        quiesced_socket_ = MHD_quiesce_daemon(daemon_);
        // It stays open till the daemon ends, but the kernel takes no more.
        ::shutdown(quiesced_socket_, SHUT_RDWR);
    }
}

quint16 operator_connector::port() const
{
    if (daemon_ == nullptr)
    {
        return 0;
    }
    auto const* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

bool operator_connector::SendResponse(std::string const& response,
                                      void* connection)
{
    return send(static_cast<MHD_Connection*>(connection), MHD_HTTP_OK,
                response) == MHD_YES;
}

int operator_connector::begin(MHD_Connection* connection, char const* method,
                              void** state)
{
    *state = std::make_unique<request>().release();
    ++active_requests_;
    if (std::string_view(method) != MHD_HTTP_METHOD_POST)
    {
        return send(connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                    R"({"error": "method-not-allowed",)"
                    R"( "message": "Send JSON-RPC calls by POST."})");
    }
    if (is_too_long(connection, limits_.body_bytes))
    {
        return send(connection, MHD_HTTP_CONTENT_TOO_LARGE,
                    R"({"error": "body-too-large",)"
                    R"( "message": "The body is over the bound."})");
    }
    return MHD_YES;
}

int operator_connector::receive(request& current, char const* data,
                                std::size_t* size)
{
    bool const is_too_slow =
        std::chrono::steady_clock::now() - current.begun > limits_.arrival;
    if (is_too_slow || current.body.size() + *size > limits_.body_bytes)
    {
        return MHD_NO;
    }
    current.body.append(data, *size);
    *size = 0;
    return MHD_YES;
}

int operator_connector::answer(MHD_Connection* connection, request& current)
{
    if (!is_single_call(current.body))
    {
        return send(connection, MHD_HTTP_BAD_REQUEST,
                    R"({"error": "bad-request",)"
                    R"( "message": "The body must be one JSON-RPC call."})");
    }
    try
    {
        return OnRequest(current.body, connection) ? MHD_YES : MHD_NO;
    }
    catch (Json::Exception const&)
    {
        return send(connection, MHD_HTTP_BAD_REQUEST,
                    R"({"error": "bad-request",)"
                    R"( "message": "The body is nested too deeply."})");
    }
}

void operator_connector::finish(void** state)
{
    std::unique_ptr<request> const current(static_cast<request*>(*state));
    *state = nullptr;
    if (current)
    {
        --active_requests_;
    }
}

} // namespace verbenacove
