#include "verbenacove/teams/allowance_relay.hpp"

#include <utility>

namespace verbenacove
{

void allowance_relay::add(std::vector<allowance_use> const& uses, callback done)
{
    if (waiting_.size() >= maximum_waiting)
    {
        done(std::nullopt);
        return;
    }
    for (auto const& use : uses)
    {
        auto& sum = sums_[use.team];
        sum.team = use.team;
        sum.admitted += use.admitted;
        sum.refused += use.refused;
    }
    waiting_.push_back(std::move(done));
}

std::vector<allowance_use> allowance_relay::take()
{
    sent_ = std::exchange(waiting_, {});
    std::vector<allowance_use> uses;
    for (auto const& sum : std::as_const(sums_))
    {
        uses.push_back(sum);
    }
    sums_.clear();
    return uses;
}

void allowance_relay::finish(std::optional<allowance_answer> const& answer)
{
    for (auto const& done : std::exchange(sent_, {}))
    {
        done(answer);
    }
}

} // namespace verbenacove
