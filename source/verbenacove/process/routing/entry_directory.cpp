#include "verbenacove/process/routing/entry_directory.hpp"

#include "verbenacove/core/event_log.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

event_log const directory_log{"directory"};

/** Callers name their zone, so the number of zones needs a bound. */
constexpr qsizetype maximum_zones = 256;

} // namespace

entry_directory::entry_directory(discovery_service const& discovery)
    : discovery_(discovery)
{
}

QByteArray entry_directory::find(look_up const& request,
                                 route_configuration const& routes,
                                 response_writer const& write)
{
    if (!is_cache_current(request.maximum_count))
    {
        responses_.clear();
        cached_revision_ = discovery_.membership().entries().revision();
        is_cached_settled_ = discovery_.has_settled_view();
        cached_maximum_ = request.maximum_count;
    }
    auto response = respond(request, {}, write);
    if (response.counts.elsewhere > 0)
    {
        response = respond(request, common_homes(routes, request.host), write);
    }
    log_change(request.caller, response.counts);
    return response.body;
}

entry_directory::response
entry_directory::respond(look_up const& request,
                         std::vector<region_name> const& homes,
                         response_writer const& write)
{
    auto const& caller = request.caller;
    auto key = caller.zone.value() + QLatin1Char('\n') + caller.region.value();
    for (auto const& home : homes)
    {
        key += QLatin1Char('\n') + home.value();
    }
    auto const cached = responses_.constFind(key);
    if (cached != responses_.constEnd())
    {
        return *cached;
    }
    auto const serving = serving_entries();
    auto const entries =
        is_cached_settled_
            ? nearest_entries(caller, serving, request.maximum_count, homes)
            : std::vector<entry_view>{};
    // Callers name their zone and host, so the number of responses is bounded.
    if (responses_.size() >= maximum_zones)
    {
        responses_.clear();
    }
    auto const elsewhere =
        std::count_if(entries.begin(), entries.end(),
                      [&caller](entry_view const& entry)
                      { return entry.region != caller.region; });
    return *responses_.insert(key,
                              {entries.empty() ? QByteArray() : write(entries),
                               {static_cast<qint64>(entries.size()), elsewhere,
                                static_cast<qint64>(serving.size())}});
}

bool entry_directory::is_cache_current(std::size_t maximum_count) const
{
    return cached_revision_ == discovery_.membership().entries().revision() &&
           is_cached_settled_ == discovery_.has_settled_view() &&
           cached_maximum_ == maximum_count;
}

std::vector<entry_view> entry_directory::serving_entries() const
{
    std::vector<entry_view> result;
    for (auto const& entry : discovery_.membership().entries().records())
    {
        if (entry.phase != member_phase::serving || entry.is_silent)
        {
            continue;
        }
        entry_view view;
        view.id = entry_id(entry.id);
        view.address = entry.content.address;
        view.region = entry.content.region;
        view.zone = entry.content.zone;
        view.reaches_upstreams = entry.content.reaches_upstreams;
        result.push_back(view);
    }
    return result;
}

void entry_directory::log_change(location const& caller,
                                 entry_counts const& counts)
{
    auto const known = returned_.constFind(caller.zone);
    bool const is_known = known != returned_.constEnd();
    if ((is_known && *known == counts) ||
        (!is_known && returned_.size() >= maximum_zones))
    {
        return;
    }
    returned_.insert(caller.zone, counts);
    auto const& entries = discovery_.membership().entries().records();
    auto const known_in_region =
        std::count_if(entries.begin(), entries.end(),
                      [&caller](entry_member const& entry)
                      { return entry.content.region == caller.region; });
    directory_log.note("lookup.changed",
                       {{"zone", caller.zone.value()},
                        {"region", caller.region.value()},
                        {"returned", counts.returned},
                        {"elsewhere", counts.elsewhere},
                        {"serving", counts.serving},
                        {"known_in_region", qint64{known_in_region}}});
}

} // namespace verbenacove
