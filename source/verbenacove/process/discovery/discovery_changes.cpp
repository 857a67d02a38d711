// Changes of the membership view: logged, and sent to the waiting readers.

#include "verbenacove/process/discovery/discovery_service_detail.hpp"

namespace verbenacove
{

using namespace discovery_detail;

void discovery_service::handle_upstream_cooled(upstream_member const& record)
{
    // Nothing is sent to the upstreams of an evacuated zone.
    if (server_.state().routes().evacuated().contains(record.content.zone))
    {
        return;
    }
    auto const now = clock_.now();
    expedited_until_ = now + replica_update_interval;
    for (auto& reader : waiting_)
    {
        reader.not_before = now;
    }
    discovery_log.note(
        "upstream.cooled",
        {{"upstream", record.id},
         {"service", record.content.service.value()},
         {"cold_ms", qint64{elapsed(now, record.content.cold_until).count()}}});
}

void discovery_service::handle_upstream_change(upstream_member const& record)
{
    schedule_updates();
    // The replica that receives the heartbeats logs the change.
    if (!record.receiver.isEmpty())
    {
        ++relayed_changes_;
        return;
    }
    discovery_log.note("upstream.changed",
                       {{"upstream", record.id},
                        {"service", record.content.service.value()},
                        {"phase", phase_name(record.phase)},
                        {"silent", record.is_silent},
                        {"started", record.started.value()},
                        {"sequence", record.sequence}});
}

void discovery_service::handle_entry_change(entry_member const& record)
{
    schedule_updates();
    if (!record.receiver.isEmpty())
    {
        ++relayed_changes_;
        return;
    }
    discovery_log.note("entry.changed", {{"entry", record.id},
                                         {"phase", phase_name(record.phase)},
                                         {"silent", record.is_silent}});
}

void discovery_service::handle_replica_change(replica_member const& record)
{
    discovery_log.note("replica.changed",
                       {{"replica", record.id}, {"silent", record.is_silent}});
    schedule_updates();
}

} // namespace verbenacove
