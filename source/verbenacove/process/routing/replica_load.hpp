#ifndef VERBENACOVE_PROCESS_ROUTING_REPLICA_LOAD_HPP
#define VERBENACOVE_PROCESS_ROUTING_REPLICA_LOAD_HPP

#include "verbenacove/process/discovery/delta_cache.hpp"
#include "verbenacove/process/process_load_meter.hpp"
#include "verbenacove/process/work_meter.hpp"

#include <QStringList>
#include <QtGlobal>

#include <functional>

namespace verbenacove
{

/** Amount of work before a control replica at one moment. */
struct replica_load
{
    /** Readers that wait for updates. */
    qint64 waiting_readers = 0;
    /** Replicas whose latest read failed. */
    qint64 lost_replicas = 0;
    /** Open connections of upstreams and operators. */
    qint64 control_connections = 0;
    /** Open connections for look-ups. */
    qint64 lookup_connections = 0;
    bool is_leader = false;
    /** Term of the replicated log. */
    qint64 term = 0;
    /** Name of the leader that this replica follows; empty without one. */
    QString followed_leader;
    /** Names of the replicas whose votes count, as far as this one knows. */
    QStringList voters;
    /** On the leader, replicas without a vote. */
    qint64 learners = 0;
    /** Those of them that have not acknowledged what was committed. */
    qint64 learners_behind = 0;
    /** Those of them that do not answer. */
    qint64 learners_silent = 0;
    /** What was done since the previous report. */
    work_meter::amounts work{};
    delta_cache::made_deltas deltas;
};

/** Logs a replica's load at an interval, with the processor time that the
    process has used and the lag of its event loop in it. */
class replica_load_reporter
{
public:
    /** @param measure  returns the load at the moment */
    explicit replica_load_reporter(std::function<replica_load()> measure);

    /** Starts to report. */
    void start() { meter_.start(); }

private:
    void report(process_load_meter::load const& used);
    static void log_work(replica_load const& load);

    std::function<replica_load()> measure_;
    process_load_meter meter_;
};

} // namespace verbenacove

#endif
