#ifndef VERBENACOVE_REQUEST_RELAY_HEADERS_HPP
#define VERBENACOVE_REQUEST_RELAY_HEADERS_HPP

#include "verbenacove/connection/http_message.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/verdict.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <optional>
#include <vector>

namespace verbenacove
{

/** What an entry that relays a request tells the entry that it sends it to. */
struct relay_request
{
    /** Maximum number of upstreams that may still get the request. */
    int maximum_attempts = 1;
    /** Version of the routes by which the request was accepted; 0 if it is not
        told. An entry with an earlier one must not handle the request. */
    route_version version{0};
};

/** What the entry that handled a relayed request tells the one that relayed
    it. */
struct relay_response
{
    run_verdict verdict = run_verdict::may_have_run;
    /** Upstream that was tried last; empty if there was none. */
    upstream_id upstream;
};

/** Returns the relay information of a request; nothing if it comes from a
    caller. */
std::optional<relay_request> read_relay_request(http_request const& request);

/** Returns the relay information of a response; nothing if it does not come
    from an entry. */
std::optional<relay_response>
read_relay_response(std::vector<http_header> const& headers);

/** Replaces the relay information in the headers. */
void set_relay_headers(std::vector<http_header>& headers,
                       relay_request const& information);
void set_relay_headers(std::vector<http_header>& headers,
                       relay_response const& information);

/** Removes all relay information from the headers. */
void remove_relay_headers(std::vector<http_header>& headers);

} // namespace verbenacove

#endif
