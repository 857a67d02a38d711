#include "verbenacove/process/routing/replica_load.hpp"

#include "verbenacove/core/event_log.hpp"

#include <QJsonObject>

#include <sys/resource.h>

#include <utility>

namespace verbenacove
{

namespace
{

event_log const load_log{"replica"};

constexpr milliseconds tick_interval{100};
constexpr milliseconds report_interval{2000};

// Returns the processor time that this process has used.
milliseconds processor_time()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    auto const microseconds =
        std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
        std::chrono::microseconds(usage.ru_utime.tv_usec +
                                  usage.ru_stime.tv_usec);
    return std::chrono::duration_cast<milliseconds>(microseconds);
}

} // namespace

replica_load_reporter::replica_load_reporter(
    std::function<replica_load()> measure)
    : measure_(std::move(measure))
    , lag_(tick_interval)
{
}

void replica_load_reporter::start()
{
    last_report_ = clock_.now();
    last_processor_time_ = processor_time();
    tick_ = timers_.call_every(tick_interval, [this] { handle_tick(); });
}

void replica_load_reporter::handle_tick()
{
    auto const now = clock_.now();
    lag_.record_tick(now);
    auto const passed = elapsed(last_report_, now);
    if (passed < report_interval)
    {
        return;
    }
    last_report_ = now;
    auto const used = processor_time();
    auto const load = measure_();
    load_log.note(
        "replica.load",
        {{"interval_ms", qint64{passed.count()}},
         {"processor_ms", qint64{(used - last_processor_time_).count()}},
         {"loop_lag_ms", qint64{lag_.take_maximum().count()}},
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
    last_processor_time_ = used;
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
