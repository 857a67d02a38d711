#ifndef VERBENACOVE_REQUEST_RATE_LIMIT_HPP
#define VERBENACOVE_REQUEST_RATE_LIMIT_HPP

#include "verbenacove/core/ids.hpp"

#include <optional>

namespace verbenacove
{

/** What an incarnation of an upstream has named as the highest rate of requests
    from all entries together. */
struct rate_limit_report
{
    upstream_id id;
    incarnation started;
    /** Absent if it no longer names a limit. */
    std::optional<requests_per_second> rate;
};

/** The limit of an upstream, and this entry's part of it. */
struct rate_limit_share
{
    requests_per_second whole{0.0};
    /** The rate that this entry may send; 0 if other entries send it all. */
    requests_per_second share{0.0};
};

} // namespace verbenacove

#endif
