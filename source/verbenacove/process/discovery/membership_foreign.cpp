#include "verbenacove/process/discovery/membership_view.hpp"

#include "verbenacove/process/discovery/membership_view_detail.hpp"

#include <tuple>
#include <utility>

namespace verbenacove
{

using namespace membership_detail;

namespace
{

/** Maximum number of records of foreign services that are kept beside those
    which hold their ids. */
constexpr qsizetype maximum_displaced = 2000;

/** Time for which one is kept after its last heartbeat. */
constexpr milliseconds displaced_retention{180000};

} // namespace

void membership_view::set_named_services(QSet<service_name> services)
{
    if (named_services_ != services)
    {
        named_services_ = std::move(services);
        restore_displaced();
    }
}

// A departure without content protects its id like an upstream of a named
// service: a late heartbeat must not be taken for a new start.
bool membership_view::is_foreign(upstream_member const& update) const
{
    auto const* known = upstreams_.find(update.id);
    return known != nullptr && !is_bare_departure(update) &&
           !is_named(update.content.service) &&
           (is_named(known->content.service) || is_bare_departure(*known));
}

bool membership_view::replaces_foreign(upstream_member const& update) const
{
    auto const* known = upstreams_.find(update.id);
    return known != nullptr && known->phase != member_phase::gone &&
           !is_bare_departure(update) && is_named(update.content.service) &&
           !is_named(known->content.service);
}

void membership_view::keep_displaced(upstream_member record)
{
    auto const kept = displaced_.constFind(record.id);
    bool const is_known = kept != displaced_.constEnd();
    bool const is_older =
        is_known && std::tie(record.started, record.sequence) <
                        std::tie(kept->started, kept->sequence);
    if (!is_older && (is_known || displaced_.size() < maximum_displaced))
    {
        displaced_.insert(record.id, std::move(record));
    }
}

// The named services have changed, and with them what holds an id.
void membership_view::restore_displaced()
{
    for (auto& record : std::exchange(displaced_, {}))
    {
        apply_upstream(std::move(record), update_origin::relayed);
    }
}

void membership_view::remove_obsolete_displaced(monotonic_time now)
{
    displaced_.removeIf(
        [now](auto const& item) {
            return elapsed(item.value().last_heartbeat, now) >
                   displaced_retention;
        });
}

} // namespace verbenacove
