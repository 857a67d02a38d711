#include "verbenacove/process/routing/replica_load.hpp"

#include "verbenacove/core/event_log.hpp"

#include <QJsonObject>

#include <utility>

namespace verbenacove
{

namespace
{

event_log const load_log{"replica"};

} // namespace

replica_load_reporter::replica_load_reporter(
    std::function<replica_load()> measure)
    : measure_(std::move(measure))
    , meter_([this](process_load_meter::load const& used) { report(used); })
{
}

void replica_load_reporter::report(process_load_meter::load const& used)
{
    auto const load = measure_();
    load_log.note("replica.load",
                  {{"interval_ms", qint64{used.interval.count()}},
                   {"processor_ms", qint64{used.processor_time.count()}},
                   {"loop_lag_ms", qint64{used.loop_lag.count()}},
                   {"waiting_readers", load.waiting_readers},
                   {"lost_replicas", load.lost_replicas},
                   {"control_connections", load.control_connections},
                   {"lookup_connections", load.lookup_connections},
                   {"leader", load.is_leader},
                   {"term", load.term},
                   {"followed_leader", load.followed_leader},
                   {"voters", load.voters.join(QLatin1Char(' '))},
                   {"learners", load.learners},
                   {"learners_behind", load.learners_behind},
                   {"learners_silent", load.learners_silent}});
    log_work(load);
}

void replica_load_reporter::log_work(replica_load const& load)
{
    QJsonObject processor_time;
    QJsonObject counts;
    for (std::size_t kind = 0; kind < load.work.size(); ++kind)
    {
        QLatin1String const name(work_kind_name(static_cast<work_kind>(kind)));
        auto const& amount = load.work.at(kind);
        processor_time[name] = qint64{
            std::chrono::duration_cast<milliseconds>(amount.processor_time)
                .count()};
        counts[name] = amount.count;
    }
    load_log.note("replica.work",
                  {{"processor_ms", processor_time},
                   {"count", counts},
                   {"whole_views_made", load.deltas.whole_views},
                   {"changes_made", load.deltas.changes},
                   {"records_made", load.deltas.records}});
}

} // namespace verbenacove
