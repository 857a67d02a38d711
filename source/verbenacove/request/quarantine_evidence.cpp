#include "verbenacove/core/stable_hash.hpp"
#include "verbenacove/request/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

// A crash, or else the latest loss, which may turn out to be one.
std::optional<quarantine::process_end>
quarantine::earlier_end(request_fingerprint const& request) const
{
    auto const uncleared = uncleared_crashes(request);
    if (!uncleared.empty())
    {
        auto const& first = uncleared.front();
        return process_end{first.upstream, first.upstream_incarnation,
                           first.zone, first.when};
    }
    auto const lost = std::find_if(
        losses_.rbegin(), losses_.rend(),
        [&](loss const& one) { return one.lost_attempt.request == request; });
    if (lost == losses_.rend())
    {
        return std::nullopt;
    }
    auto const& at = lost->lost_attempt;
    return process_end{at.upstream, at.upstream_incarnation, at.zone,
                       lost->when};
}

// An end that was known before counts once it is confirmed as a crash.
bool quarantine::is_repeated(crash const& candidate,
                             std::vector<crash> const& uncleared)
{
    if (candidate.is_repeated || !candidate.earlier)
    {
        return candidate.is_repeated;
    }
    auto const& earlier = *candidate.earlier;
    bool const is_crash = std::any_of(
        uncleared.begin(), uncleared.end(),
        [&](crash const& one)
        {
            return one.upstream == earlier.upstream &&
                   one.upstream_incarnation == earlier.upstream_incarnation;
        });
    bool const is_one_event =
        !earlier.zone.value().isEmpty() && earlier.zone == candidate.zone &&
        elapsed(earlier.when, candidate.when) < event_duration;
    return is_crash && !is_one_event;
}

// The first crash always counts. Otherwise a crashing request whose first run
// was next to an isolated suspect would not become a suspect itself. The first
// need not be the oldest: ages from other processes are not exact.
int quarantine::crash_count(request_fingerprint const& request,
                            std::vector<crash> const& uncleared) const
{
    if (uncleared.empty())
    {
        return 0;
    }
    auto const not_repeated = std::find_if(
        uncleared.begin(), uncleared.end(),
        [&](crash const& one) { return !is_repeated(one, uncleared); });
    auto const first =
        not_repeated == uncleared.end() ? uncleared.begin() : not_repeated;
    return 1 +
           int(std::count_if(uncleared.begin(), uncleared.end(),
                             [&](crash const& one)
                             {
                                 return &one != &*first &&
                                        is_repeated(one, uncleared) &&
                                        (one.is_isolated ||
                                         !is_attributed_to_other(request, one));
                             }));
}

void quarantine::set_trial_turns(QByteArray entry, int entries)
{
    entry_ = std::move(entry);
    entries_ = std::max(1, entries);
}

bool quarantine::is_suspect(request_fingerprint const& request) const
{
    return !uncleared_crashes(request).empty();
}

bool quarantine::is_running(request_fingerprint const& request) const
{
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [&](attempt const& one)
                       { return one.request == request; });
}

bool quarantine::is_trial_due(request_fingerprint const& request,
                              std::vector<crash> const& uncleared,
                              int crashes) const
{
    auto delay = first_trial_delay;
    for (int i = crash_limit; i < crashes && delay < retention; ++i)
    {
        delay *= 2;
    }
    auto const since_last = elapsed(uncleared.back().when, clock_.now());
    return since_last >= delay + trial_offset(request) && !is_running(request);
}

milliseconds quarantine::trial_offset(request_fingerprint const& request) const
{
    auto const spread =
        std::min(maximum_trial_spread, trial_turn * (entries_ - 1));
    return spread.count() == 0 ? spread
                               : milliseconds(static_cast<qint64>(
                                     stable_hash(request.value(), entry_) %
                                     static_cast<quint64>(spread.count())));
}

bool quarantine::is_attributed_to_other(request_fingerprint const& request,
                                        crash const& candidate) const
{
    auto const isolated_run = isolated_crashes_.constFind(
        {candidate.upstream, candidate.upstream_incarnation});
    if (isolated_run == isolated_crashes_.constEnd() ||
        isolated_run->request == request)
    {
        return false;
    }
    // A suspect that has been cleared since did not crash the upstream.
    auto const suspect = records_.constFind(isolated_run->request);
    return suspect != records_.constEnd() &&
           std::any_of(suspect->crashes.begin(), suspect->crashes.end(),
                       [&](crash const& one)
                       {
                           return !one.is_cleared &&
                                  one.upstream == candidate.upstream &&
                                  one.upstream_incarnation ==
                                      candidate.upstream_incarnation;
                       });
}

} // namespace verbenacove
