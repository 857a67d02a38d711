#ifndef VERBENACOVE_PROCESS_STEERING_VIEW_HPP
#define VERBENACOVE_PROCESS_STEERING_VIEW_HPP

#include "verbenacove/request/lookup_ranking.hpp"
#include "verbenacove/request/upstream_view.hpp"
#include "verbenacove/version/config_view.hpp"

#include <QHash>

#include <memory>
#include <vector>

namespace verbenacove
{

/** What the traffic thread needs of the control thread, at one moment; it
    never changes once it is published. */
struct steering_view
{
    config_view_ptr config = config_view::empty();
    /** The upstreams of each service; what operators drain is `draining`. */
    QHash<service_name, std::vector<upstream_view>> upstreams;
    /** The other entries that are believed to be there. */
    std::vector<entry_view> entries;
    entry_view self;
    /** Whether a configuration that was in force has been read. */
    bool is_ready = false;
};

/** Shares a view among threads. */
using steering_view_ptr = std::shared_ptr<steering_view const>;

} // namespace verbenacove

#endif
