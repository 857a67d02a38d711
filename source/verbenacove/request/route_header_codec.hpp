#ifndef VERBENACOVE_REQUEST_ROUTE_HEADER_CODEC_HPP
#define VERBENACOVE_REQUEST_ROUTE_HEADER_CODEC_HPP

#include "verbenacove/connection/http_message.hpp"
#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <optional>
#include <vector>

namespace verbenacove
{

/** Steering information that a caller sends with a request. */
struct request_metadata
{
    /** Id of this attempt of the caller; empty if it sent none. */
    QByteArray id;
    /** Time for which the caller waits for the response; absent if not sent. */
    std::optional<milliseconds> time_left;
    /** Key shared by all requests for the same object; may be empty. */
    QByteArray affinity_key;
};

/** The load that an upstream reports. */
struct upstream_load
{
    /** Number of requests that are running. */
    int running = 0;
    /** Number of requests that wait for a slot. */
    int waiting = 0;
    /** Number of requests that can run at once. */
    int slots = 0;
};

/** Steering information that an upstream sends with a response. */
struct response_metadata
{
    /** Id of the request that the response belongs to; empty if not sent. */
    QByteArray request_id;
    /** Signature of the body; empty if there is none. */
    QByteArray signature;
    /** True if the upstream did not run the request and will not run it. */
    bool is_not_executed = false;
    /** Id of the upstream that responded; empty if not sent. */
    upstream_id responder;
    std::optional<upstream_load> load;
    /** Remaining cold-start time, during which the upstream can handle only few
        requests; sent in responses to probes. */
    std::optional<milliseconds> cold_start_remaining;
    /** Highest rate of requests that the upstream accepts from all entries
        together, until it names another one or none; absent if not sent. */
    std::optional<requests_per_second> rate_limit;
    /** True if the upstream sent a rate limit that cannot be read. */
    bool is_rate_limit_unreadable = false;
    /** Time for which an upstream that refused a request wants no further ones
        from this entry; absent if not sent, or if it cannot be read. */
    std::optional<milliseconds> pause;
    /** True if the upstream is about to end and wants no further requests. */
    bool is_leaving = false;
};

/** Reads and writes the steering headers that callers, entries and upstreams
    exchange in addition to the standard HTTP headers.

    @see routed_request
*/
class route_header_codec
{
public:
    virtual ~route_header_codec() = default;

    virtual request_metadata
    read_request(http_request const& request) const = 0;

    virtual response_metadata
    read_response(http_response const& response) const = 0;

    /** Sets the time that is left for a request, replacing the caller's. */
    virtual void set_time_left(std::vector<http_header>& headers,
                               milliseconds time_left) const = 0;

    /** Sets the steering headers for an upstream, replacing the caller's.

        @param time_left  time that is left for the request
        @param expected   the only upstream that may run the request
    */
    virtual void set_request_headers(std::vector<http_header>& headers,
                                     milliseconds time_left,
                                     upstream_id const& expected) const = 0;

    /** Sets the name of the team that a request belongs to, for an upstream,
       and removes the caller's key and whatever else the caller sent as a name.

        @param team  empty for a request that belongs to none
    */
    virtual void set_team(std::vector<http_header>& headers,
                          team_name const& team) const = 0;

    /** Sets the delay after which a refused caller may retry. */
    virtual void set_retry_after(std::vector<http_header>& headers,
                                 milliseconds delay) const = 0;
};

} // namespace verbenacove

#endif
