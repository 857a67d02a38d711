#ifndef VERBENACOVE_PROCESS_LIMITED_RESOURCES_HPP
#define VERBENACOVE_PROCESS_LIMITED_RESOURCES_HPP

#include "verbenacove/process/grant_ledger.hpp"
#include "verbenacove/version/config_view.hpp"

#include <map>

namespace verbenacove
{

/** Returns the name of the link from one region to another. */
resource_name link_resource(region_name const& from, region_name const& to);

/** Returns the name of a region's slots. */
resource_name slots_resource(region_name const& region);

/** Returns the limits of a configuration, the lowest for each resource; links
    in kbit/s, slots in numbers of requests. `highest_cap` is `cap`. */
std::map<resource_name, grant_limit>
limited_resources(config_view const& config);

} // namespace verbenacove

#endif
