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

bool is_same_state(sync_position const& a, sync_position const& b)
{
    return a.view_id == b.view_id && a.upstreams == b.upstreams &&
           a.entries == b.entries && a.replicas == b.replicas &&
           a.rate_limits == b.rate_limits;
}

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

delta_cache::entry_delta const& delta_cache::find(membership_view const& view,
                                                  sync_position const& position,
                                                  monotonic_time now)
{
    // Readers of another view all need the whole of this one.
    auto const from = view.is_known(position) ? position : sync_position{};
    auto const state = view.position();
    bool const is_outdated =
        !is_same_state(state, state_) || elapsed(made_, now) > maximum_age;
    if (is_outdated || deltas_.size() >= maximum_deltas)
    {
        deltas_.clear();
        state_ = state;
        made_ = now;
    }
    auto const known =
        std::find_if(deltas_.begin(), deltas_.end(),
                     [&from](cached_delta const& each)
                     { return is_same_state(each.position, from); });
    if (known != deltas_.end())
    {
        return known->delta;
    }
    entry_delta made{view.updates_since(from, {}), {}};
    auto const records = record_count(made.plain);
    ++(view.is_known(from) ? counts_.changes : counts_.whole_views);
    counts_.records += records;
    if (records >= minimum_packed_records)
    {
        made.packed = pack_cbor(made.plain);
    }
    deltas_.push_back({from, std::move(made)});
    return deltas_.back().delta;
}

} // namespace verbenacove
