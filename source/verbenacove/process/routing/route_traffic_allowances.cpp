#include "verbenacove/core/stable_hash.hpp"
#include "verbenacove/process/routing/route_traffic.hpp"

namespace verbenacove
{

namespace
{

/** The interval between reports of the use of allowances. */
constexpr milliseconds allowance_report_interval{250};

} // namespace

void route_traffic::set_allowances()
{
    allowance_gate_.set_teams(view_->routes->teams, view_->live_entries,
                              clock_.now());
    bool const has_allowances = allowance_gate_.has_allowances();
    if (has_allowances && !allowance_timer_.is_active())
    {
        allowance_timer_ = timers_.call_every(allowance_report_interval,
                                              [this] { report_allowances(); });
    }
    else if (!has_allowances)
    {
        allowance_timer_.cancel();
    }
}

bool route_traffic::has_allowance(request_destination const& destination) const
{
    return allowance_gate_.has_allowances() && destination.team &&
           !destination.team->value().isEmpty();
}

bool route_traffic::is_within_allowance(exchange_ptr const& exchange,
                                        request_metadata const& metadata,
                                        team_name const& team)
{
    auto const delay = allowance_gate_.admit(
        team, stable_hash(metadata.id, "allowance"), clock_.now());
    if (delay)
    {
        metrics_.count_allowance_refusal();
        refuse(exchange, metadata, 429, "over-allowance", *delay);
    }
    return !delay;
}

void route_traffic::refund_if_not_run(routed_request_services& services,
                                      team_name const& team)
{
    services.on_result = [this, team](routed_request_result const& result)
    {
        if (result.verdict == run_verdict::not_run)
        {
            allowance_gate_.refund(team, clock_.now());
        }
        record_result(result);
    };
}

void route_traffic::report_allowances()
{
    if (is_reporting_allowances_ || !calls_.allowances)
    {
        return;
    }
    if (auto const report = allowance_gate_.take_report(clock_.now()))
    {
        is_reporting_allowances_ = true;
        calls_.allowances(*report);
    }
}

void route_traffic::handle_allowance_answer(
    allowance_report_number number,
    std::optional<allowance_answer> const& answer)
{
    is_reporting_allowances_ = false;
    if (answer)
    {
        allowance_gate_.confirm(number, *answer, clock_.now());
    }
}

} // namespace verbenacove
