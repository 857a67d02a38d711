#ifndef VERBENACOVE_REQUEST_ROUTED_REQUEST_DETAIL_HPP
#define VERBENACOVE_REQUEST_ROUTED_REQUEST_DETAIL_HPP

#include "verbenacove/core/event_log.hpp"
#include "verbenacove/request/routed_request.hpp"

/** What the parts of routed_request share and nobody else uses. */
namespace verbenacove::routed_request_detail
{

inline event_log const request_log{"request"};

constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

/** Returns the path and the query of a request as they are sent. */
inline QByteArray target_of(http_request const& request)
{
    return request.query.isEmpty() ? request.path
                                   : request.path + '?' + request.query;
}

} // namespace verbenacove::routed_request_detail

#endif
