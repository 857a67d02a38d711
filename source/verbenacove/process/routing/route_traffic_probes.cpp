#include "verbenacove/process/routing/route_traffic.hpp"

#include "verbenacove/core/event_log.hpp"

#include <QRandomGenerator>

#include <utility>
#include <vector>

// Health probes, and what they and the requests show of the path to the
// upstreams.

namespace verbenacove
{

namespace
{

event_log const entry_log{"entry"};

constexpr milliseconds probe_timeout{1000};

} // namespace

void route_traffic::handle_reachability_change(bool is_cut_off)
{
    entry_log.note(is_cut_off ? "upstreams.unreachable" : "upstreams.reachable",
                   {{"relays", static_cast<qint64>(view_->relays.size())}});
    metrics_.set_cut_off(is_cut_off);
    if (!is_cut_off)
    {
        for (auto const& each : pools_)
        {
            each->upstreams.end_connection_ejections();
        }
    }
    calls_.reachability(is_cut_off);
}

void route_traffic::probe_path()
{
    if (!reachability_.start_due_probe())
    {
        return;
    }
    std::vector<std::pair<std::shared_ptr<routed_pool>, pool_member>> targets;
    for (auto const& each : pools_)
    {
        for (auto const& member : each->upstreams.members())
        {
            targets.emplace_back(each, member);
        }
    }
    if (targets.empty())
    {
        return;
    }
    auto const chosen = QRandomGenerator::global()->bounded(
        static_cast<quint32>(targets.size()));
    probe_upstream(targets[chosen].first, targets[chosen].second);
}

void route_traffic::probe()
{
    if (reachability_.is_cut_off())
    {
        probe_path();
        return;
    }
    for (auto const& each : pools_)
    {
        for (auto const& member : each->upstreams.start_due_probes())
        {
            probe_upstream(each, member);
        }
    }
}

void route_traffic::probe_upstream(std::shared_ptr<routed_pool> const& target,
                                   pool_member const& member)
{
    if (member.health_path.isEmpty())
    {
        return;
    }
    attempt_request probe;
    probe.address = member.address;
    probe.method = "GET";
    probe.target = member.health_path.toUtf8();
    probe.headers = {{"Host", member.address.text().toLatin1()}};
    probe.time_left = probe_timeout;
    probe.connect_timeout = probe_timeout;
    probe.on_connected = [this](milliseconds)
    {
        reachability_.record_connection(clock_.now());
    };
    upstream_client_.start(std::move(probe),
                           [this, target, member](attempt_result const& result)
                           { handle_probe_response(target, member, result); });
}

void route_traffic::handle_probe_response(
    std::shared_ptr<routed_pool> const& target, pool_member const& member,
    attempt_result const& result)
{
    reachability_.record_attempt(member.id, result);
    auto const metadata = header_codec_.read_response(result.response);
    bool const is_healthy = result.end == attempt_end::answered &&
                            result.response.status == 200 &&
                            metadata.responder == member.id;
    if (metadata.responder == member.id)
    {
        apply_signals(*target, member, result, metadata);
    }
    if (result.end == attempt_end::connect_failed)
    {
        request_quarantine_.upstream_gone(member.id, member.started);
    }
    auto const cold_start_remaining =
        metadata.cold_start_remaining.value_or(milliseconds(0));
    entry_log.note("upstream.probed",
                   {{"upstream", member.id.value()},
                    {"healthy", is_healthy},
                    {"cold_ms", qint64{cold_start_remaining.count()}}});
    target->upstreams.handle_probe_result(member.id, is_healthy,
                                          cold_start_remaining);
}

void route_traffic::apply_signals(routed_pool& target,
                                  pool_member const& member,
                                  attempt_result const& result,
                                  response_metadata const& metadata) const
{
    if (metadata.is_leaving)
    {
        target.upstreams.mark_leaving(member);
    }
    auto const sent = clock_.now() - result.duration;
    if (auto const report =
            target.upstreams.observe_rate_limit(member, sent, metadata))
    {
        calls_.rate_limit(*report);
    }
}

} // namespace verbenacove
