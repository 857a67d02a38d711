#include "verbenacove/process/grant_holder.hpp"

#include <algorithm>

namespace verbenacove
{

grant_holder::grant_holder(entry_id holder, incarnation holder_incarnation,
                           clock_source const& clock)
    : holder_(std::move(holder))
    , incarnation_(holder_incarnation)
    , clock_(clock)
{
}

grant_amount grant_holder::usable(resource_name const& resource) const
{
    auto const found = holdings_.constFind(resource);
    if (found == holdings_.constEnd())
    {
        return {};
    }
    return grant_amount(found->floor.value() + granted(*found).value());
}

std::optional<grant_request>
grant_holder::next_request(resource_name const& resource, grant_amount in_use,
                           grant_amount demand)
{
    if (!holdings_.contains(resource) && holdings_.size() >= maximum_resources)
    {
        return std::nullopt;
    }
    auto& held = holdings_[resource];
    held.last_sent = grant_sequence(held.last_sent.value() + 1);
    held.unanswered.push_back({held.last_sent, clock_.now()});
    if (held.unanswered.size() > maximum_unanswered)
    {
        held.unanswered.pop_front();
    }
    return grant_request{resource,       holder_,      incarnation_,
                         held.last_sent, held.adopted, granted(held),
                         held.floor,     in_use,       demand};
}

bool grant_holder::take(grant_answer const& answer)
{
    auto const found = holdings_.find(answer.resource);
    if (found == holdings_.end() || answer.holder_incarnation != incarnation_)
    {
        return false;
    }
    auto& held = *found;
    auto const request =
        std::find_if(held.unanswered.begin(), held.unanswered.end(),
                     [&](sent_request const& sent)
                     { return sent.sequence == answer.sequence; });
    if (request == held.unanswered.end())
    {
        return false;
    }
    auto const duration =
        std::chrono::duration_cast<monotonic_time::duration>(answer.duration);
    auto const end =
        request->sent + duration / 1000 * (1000 - drift_margin_permille);
    if (clock_.now() >= end)
    {
        return false;
    }
    held.amount = answer.is_renewal ? std::min(granted(held), answer.amount)
                                    : answer.amount;
    held.floor = answer.floor;
    held.end = end;
    held.adopted = answer.sequence;
    // What was sent before is overtaken: its answers are never used.
    held.unanswered.erase(held.unanswered.begin(), std::next(request));
    return true;
}

grant_amount grant_holder::granted(holding const& held) const
{
    return clock_.now() < held.end ? held.amount : grant_amount();
}

} // namespace verbenacove
