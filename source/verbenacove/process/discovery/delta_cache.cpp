#include "verbenacove/process/discovery/delta_cache.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/packed_cbor.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

/** Maximum number of positions whose deltas are kept. */
constexpr std::size_t maximum_deltas = 16;
/** Maximum age of a delta, which bounds the error of the ages in it. */
constexpr milliseconds maximum_age{500};

qsizetype record_count(QCborMap const& delta)
{
    qsizetype result = 0;
    for (char const* const key :
         {"upstreams", "entries", "replicas", "rate_limits"})
    {
        result += cbor_array(delta, key).size();
    }
    return result;
}

} // namespace

delta_cache::cached_delta const&
delta_cache::find(membership_view const& view, sync_position const& position,
                  clock_source const& clock)
{
    if (!view.is_known(position))
    {
        return find_whole_view(view, clock);
    }
    auto const now = clock.now();
    auto const state = view.position();
    bool const is_outdated =
        !is_same(state, state_) || elapsed(made_, now) > maximum_age;
    if (is_outdated || deltas_.size() >= maximum_deltas)
    {
        deltas_.clear();
        state_ = state;
        made_ = now;
    }
    auto const known =
        std::find_if(deltas_.begin(), deltas_.end(),
                     [this, &position](positioned_delta const& each)
                     { return is_same(each.position, position); });
    if (known != deltas_.end())
    {
        return known->delta;
    }
    ++counts_.changes;
    deltas_.push_back({position, make(view, position)});
    return deltas_.back().delta;
}

delta_cache::cached_delta const&
delta_cache::find_whole_view(membership_view const& view,
                             clock_source const& clock)
{
    auto const now = clock.now();
    auto const state = view.position();
    if (whole_view_)
    {
        auto const age = elapsed(whole_view_->made, now);
        bool const is_unchanged = is_same(state, whole_view_->state);
        bool const is_usable = age < whole_view_->maximum_age ||
                               (is_unchanged && age <= maximum_age);
        if (is_usable)
        {
            return whole_view_->delta;
        }
    }
    ++counts_.whole_views;
    cached_view made{state, make(view, {}), now, milliseconds(0)};
    made.maximum_age =
        std::min(maximum_view_age, view_age_factor * elapsed(now, clock.now()));
    whole_view_ = std::move(made);
    return whole_view_->delta;
}

delta_cache::cached_delta delta_cache::make(membership_view const& view,
                                            sync_position const& from)
{
    cached_delta made{view.updates_since(from, reader_), {}};
    auto const records = record_count(made.plain);
    counts_.records += records;
    if (packing_ == packing::large_deltas && records >= minimum_packed_records)
    {
        made.packed = pack_cbor(made.plain);
    }
    return made;
}

bool delta_cache::is_same(sync_position const& a, sync_position const& b) const
{
    bool const has_same_changes =
        a.view_id == b.view_id && a.upstreams == b.upstreams &&
        a.entries == b.entries && a.replicas == b.replicas &&
        a.rate_limits == b.rate_limits;
    bool const has_same_heartbeats =
        a.upstream_heartbeats == b.upstream_heartbeats &&
        a.entry_heartbeats == b.entry_heartbeats &&
        a.replica_heartbeats == b.replica_heartbeats;
    return has_same_changes &&
           (has_same_heartbeats || !reader_.wants_heartbeats);
}

} // namespace verbenacove
