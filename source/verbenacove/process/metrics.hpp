#ifndef VERBENACOVE_PROCESS_METRICS_HPP
#define VERBENACOVE_PROCESS_METRICS_HPP

#include <QByteArray>
#include <QString>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>

namespace verbenacove
{

/** Returns all metrics of a registry in Prometheus' text format. */
QByteArray metrics_text(prometheus::Registry const& registry);

/** What an entry counts. Metrics have the prefix `verbenacove_entry_`.

    Label values come from the configuration only, so their number is bounded.
*/
class entry_metrics
{
public:
    entry_metrics();
    entry_metrics(entry_metrics const&) = delete;
    entry_metrics& operator=(entry_metrics const&) = delete;

    /** Counts an answered look-up. */
    void count_lookup() { lookups_.Increment(); }

    /** Counts an upstream's announcement. */
    void count_announcement() { announcements_.Increment(); }

    /** Counts a request's answer and how long it took. */
    void count_request(QString const& service, QByteArray const& verdict,
                       int status, std::chrono::microseconds duration);

    /** Counts the attempts that were made for a request; all but the first
        are retries. */
    void count_attempts(QString const& service, int sent);

    /** Counts a request that was refused because its team has used up its
        allowance. */
    void count_allowance_refusal() { allowance_refusals_.Increment(); }

    /** Sets the number of teams that the leader restricts. */
    void set_restricted_teams(int teams) { restricted_teams_.Set(teams); }

    /** Counts a request that was refused for what its key allows. */
    void count_key_refusal(char const* reason);

    /** Sets what the entry knows at the moment. */
    void set_state(qint64 config_version, std::size_t entries,
                   std::size_t upstreams, int open_requests);

    /** Sets how many responses had a load that could not be read, since the
        start. */
    void set_unreadable_loads(qint64 count)
    {
        unreadable_loads_.Set(static_cast<double>(count));
    }

    /** Sets whether the entry is cut off from all upstreams. */
    void set_cut_off(bool is_cut_off) { cut_off_.Set(is_cut_off ? 1 : 0); }

    /** Sets how long keys may be used from now on; the metric is there from the
        first call on. */
    void set_key_lease(std::chrono::milliseconds left);

    /** Returns the metrics in Prometheus' text format. */
    QByteArray text() const { return metrics_text(registry_); }

private:
    prometheus::Registry registry_;
    prometheus::Counter& lookups_;
    prometheus::Counter& announcements_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& durations_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& key_refusals_;
    prometheus::Counter& allowance_refusals_;
    prometheus::Gauge& restricted_teams_;
    prometheus::Gauge& config_version_;
    prometheus::Gauge& entries_;
    prometheus::Gauge& upstreams_;
    prometheus::Gauge& open_requests_;
    prometheus::Gauge& cut_off_;
    prometheus::Gauge& unreadable_loads_;
    /** Null before the first value. */
    prometheus::Gauge* key_lease_ = nullptr;
};

/** What a control replica shows. Metrics have the prefix
    `verbenacove_control_`. */
class control_metrics
{
public:
    /** The state at one moment. */
    struct state
    {
        bool is_leader = false;
        bool is_voter = false;
        qint64 term = 0;
        qint64 commit_index = 0;
        qint64 applied_index = 0;
        qint64 config_version = 0;
        qint64 claims = 0;
        qint64 open_claims = 0;
        qint64 log_bytes = 0;
        /** Entries that look-ups can return. */
        qint64 serving_entries = 0;
        /** Teams that the replica restricts as leader. */
        qint64 restricted_teams = 0;
        /** Heartbeats of upstreams that were not acknowledged, since the start,
            as what they say does not hold here. */
        qint64 refused_heartbeats = 0;
        /** State of the table of teams: 0 never, 1 present, 2 removed. */
        qint64 team_table = 0;
    };

    control_metrics();
    control_metrics(control_metrics const&) = delete;
    control_metrics& operator=(control_metrics const&) = delete;

    /** Sets the state and returns the metrics in Prometheus' text format. */
    QByteArray text(state const& now);

private:
    prometheus::Gauge& add(char const* name, char const* help);

    prometheus::Registry registry_;
    prometheus::Gauge& leader_;
    prometheus::Gauge& voter_;
    prometheus::Gauge& term_;
    prometheus::Gauge& commit_index_;
    prometheus::Gauge& applied_index_;
    prometheus::Gauge& config_version_;
    prometheus::Gauge& claims_;
    prometheus::Gauge& open_claims_;
    prometheus::Gauge& log_bytes_;
    prometheus::Gauge& serving_entries_;
    prometheus::Gauge& restricted_teams_;
    prometheus::Gauge& refused_heartbeats_;
    prometheus::Gauge& team_table_;
};

} // namespace verbenacove

#endif
