#include "verbenacove/request/upstream_reachability.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

upstream_reachability::upstream_reachability(clock_source const& clock,
                                             change_callback changed)
    : clock_(clock)
    , changed_(std::move(changed))
    , last_connection_(clock.now())
{
}

void upstream_reachability::record_attempt(upstream_id const& upstream,
                                           attempt_result const& result)
{
    bool const has_timed_out =
        result.end == attempt_end::timed_out_before_send &&
        result.duration >= conclusive_connect_time;
    if (result.end == attempt_end::answered)
    {
        last_response_ = clock_.now();
    }
    if (result.connected)
    {
        record_connection(*result.connected);
    }
    else if (result.end == attempt_end::connect_failed || has_timed_out)
    {
        record_failure(upstream, result.duration < conclusive_connect_time);
    }
}

// The attempt may have ended long after its connection was opened.
void upstream_reachability::record_connection(monotonic_time opened)
{
    last_connection_ = std::max(last_connection_, opened);
    failures_.removeIf([opened](auto const& item)
                       { return item.value().at <= opened; });
    if (is_cut_off_ && opened > cut_off_since_)
    {
        set_cut_off(false);
    }
}

void upstream_reachability::record_failure(upstream_id const& upstream,
                                           bool was_refused)
{
    auto const now = clock_.now();
    failures_.removeIf(
        [now](auto const& item)
        { return elapsed(item.value().at, now) > failure_retention; });
    if (failures_.size() < refusals_to_cut_off || failures_.contains(upstream))
    {
        failures_[upstream] = {now, was_refused};
    }
    if (elapsed(last_connection_, now) >= minimum_outage &&
        is_evidence_sufficient(now))
    {
        set_cut_off(true);
    }
}

bool upstream_reachability::is_evidence_sufficient(monotonic_time now) const
{
    bool const were_all_refused =
        std::all_of(failures_.begin(), failures_.end(),
                    [](failure const& each) { return each.was_refused; });
    if (were_all_refused)
    {
        return failures_.size() >= refusals_to_cut_off;
    }
    return failures_.size() >= failures_to_cut_off &&
           elapsed(last_response_, now) >= minimum_outage;
}

bool upstream_reachability::start_due_probe()
{
    auto const now = clock_.now();
    if (!is_cut_off_ || elapsed(last_probe_, now) < probe_interval)
    {
        return false;
    }
    last_probe_ = now;
    return true;
}

upstream_reachability::callback_id
upstream_reachability::call_when_cut_off(std::function<void()> call)
{
    waiting_.emplace(++last_id_, std::move(call));
    return last_id_;
}

void upstream_reachability::set_cut_off(bool is_cut_off)
{
    if (std::exchange(is_cut_off_, is_cut_off) == is_cut_off)
    {
        return;
    }
    cut_off_since_ = clock_.now();
    changed_(is_cut_off);
    if (!is_cut_off)
    {
        return;
    }
    auto const calls = std::exchange(waiting_, {});
    for (auto const& [id, call] : calls)
    {
        call();
    }
}

} // namespace verbenacove
