#ifndef VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_VIEW_DETAIL_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_MEMBERSHIP_VIEW_DETAIL_HPP

#include "verbenacove/process/discovery/member_content.hpp"

namespace verbenacove::membership_detail
{

/** Returns whether an update tells only that the upstream with this id has left
    that started at this time or earlier. */
inline bool is_bare_departure(upstream_member const& update)
{
    return update.phase == member_phase::gone &&
           update.content.address.host.isNull();
}

} // namespace verbenacove::membership_detail

#endif
