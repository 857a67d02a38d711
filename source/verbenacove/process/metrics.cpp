#include "verbenacove/process/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <sstream>
#include <string>

namespace verbenacove
{

namespace
{

/** Upper bounds of the durations' buckets, in seconds. */
prometheus::Histogram::BucketBoundaries duration_bounds()
{
    return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
            0.25,  0.5,    1,     2.5,  5,     10,   30};
}

prometheus::Family<prometheus::Counter>&
counters(prometheus::Registry& registry, char const* name, char const* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, char const* name,
                         char const* help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

std::string status_class(int status)
{
    return std::to_string(status / 100) + "xx";
}

} // namespace

QByteArray metrics_text(prometheus::Registry const& registry)
{
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, registry.Collect());
    return QByteArray::fromStdString(text.str());
}

entry_metrics::entry_metrics()
    : lookups_(counters(registry_, "verbenacove_entry_lookups_total",
                        "Look-ups answered.")
                   .Add({}))
    , announcements_(counters(registry_,
                              "verbenacove_entry_announcements_total",
                              "Announcements of upstreams taken.")
                         .Add({}))
    , requests_(counters(registry_, "verbenacove_entry_requests_total",
                         "Requests answered, by verdict and status."))
    , durations_(prometheus::BuildHistogram()
                     .Name("verbenacove_entry_request_duration_seconds")
                     .Help("From a request's arrival to its answer.")
                     .Register(registry_))
    , attempts_(counters(registry_, "verbenacove_entry_attempts_total",
                         "Attempts at upstreams."))
    , key_refusals_(counters(registry_, "verbenacove_entry_key_refusals_total",
                             "Requests refused by their key, by reason."))
    , allowance_refusals_(
          counters(registry_, "verbenacove_entry_allowance_refusals_total",
                   "Requests refused by their team's allowance.")
              .Add({}))
    , restricted_teams_(gauge(registry_, "verbenacove_entry_restricted_teams",
                              "Teams that the leader restricts."))
    , config_version_(gauge(registry_, "verbenacove_entry_config_version",
                            "The configuration in force."))
    , entries_(gauge(registry_, "verbenacove_entry_entries",
                     "Other entries that are heard of."))
    , upstreams_(gauge(registry_, "verbenacove_entry_upstreams",
                       "Upstreams that are heard of."))
    , open_requests_(gauge(registry_, "verbenacove_entry_open_requests",
                           "Requests in hand."))
    , cut_off_(gauge(registry_, "verbenacove_entry_cut_off",
                     "1 while no upstream can be reached."))
    , unreadable_loads_(gauge(registry_, "verbenacove_entry_unreadable_loads",
                              "Responses with a load that could not be read."))
{
}

void entry_metrics::count_request(QString const& service,
                                  QByteArray const& verdict, int status,
                                  std::chrono::microseconds duration)
{
    auto const name = service.toStdString();
    requests_
        .Add({{"service", name},
              {"verdict", verdict.toStdString()},
              {"status", status_class(status)}})
        .Increment();
    durations_.Add({{"service", name}}, duration_bounds())
        .Observe(std::chrono::duration<double>(duration).count());
}

void entry_metrics::count_attempts(QString const& service, int sent)
{
    auto const name = service.toStdString();
    attempts_.Add({{"service", name}, {"retry", "false"}})
        .Increment(sent > 0 ? 1 : 0);
    attempts_.Add({{"service", name}, {"retry", "true"}})
        .Increment(sent > 1 ? sent - 1 : 0);
}

void entry_metrics::count_key_refusal(char const* reason)
{
    key_refusals_.Add({{"reason", reason}}).Increment();
}

void entry_metrics::set_state(qint64 config_version, std::size_t entries,
                              std::size_t upstreams, int open_requests)
{
    config_version_.Set(static_cast<double>(config_version));
    entries_.Set(static_cast<double>(entries));
    upstreams_.Set(static_cast<double>(upstreams));
    open_requests_.Set(open_requests);
}

void entry_metrics::set_key_lease(std::chrono::milliseconds left)
{
    if (key_lease_ == nullptr)
    {
        key_lease_ =
            &gauge(registry_, "verbenacove_entry_key_lease_seconds",
                   "How long keys may be used without a confirmation.");
    }
    key_lease_->Set(std::chrono::duration<double>(left).count());
}

control_metrics::control_metrics()
    : leader_(add("verbenacove_control_leader", "1 on the leader."))
    , voter_(
          add("verbenacove_control_voter", "1 when the replica's vote counts."))
    , term_(add("verbenacove_control_term", "The replica's term."))
    , commit_index_(add("verbenacove_control_commit_index",
                        "The last committed entry of the log."))
    , applied_index_(add("verbenacove_control_applied_index",
                         "The last applied entry of the log."))
    , config_version_(add("verbenacove_control_config_version",
                          "The configuration accepted last."))
    , claims_(add("verbenacove_control_claims", "Claims that are kept."))
    , open_claims_(add("verbenacove_control_open_claims",
                       "Claims whose requests are under way."))
    , log_bytes_(
          add("verbenacove_control_log_bytes", "The size of the log's file."))
    , serving_entries_(add("verbenacove_control_serving_entries",
                           "Entries that look-ups can return."))
    , restricted_teams_(
          add("verbenacove_control_restricted_teams",
              "Teams that the leader restricts to their allowance."))
    , refused_heartbeats_(
          add("verbenacove_control_refused_heartbeats",
              "Heartbeats of upstreams that were not acknowledged."))
    , team_table_(add("verbenacove_control_team_table",
                      "0: there has never been a table of teams, 1: there is "
                      "one, 2: it was removed."))
{
}

QByteArray control_metrics::text(state const& now)
{
    leader_.Set(now.is_leader ? 1 : 0);
    voter_.Set(now.is_voter ? 1 : 0);
    term_.Set(static_cast<double>(now.term));
    commit_index_.Set(static_cast<double>(now.commit_index));
    applied_index_.Set(static_cast<double>(now.applied_index));
    config_version_.Set(static_cast<double>(now.config_version));
    claims_.Set(static_cast<double>(now.claims));
    open_claims_.Set(static_cast<double>(now.open_claims));
    log_bytes_.Set(static_cast<double>(now.log_bytes));
    serving_entries_.Set(static_cast<double>(now.serving_entries));
    restricted_teams_.Set(static_cast<double>(now.restricted_teams));
    refused_heartbeats_.Set(static_cast<double>(now.refused_heartbeats));
    team_table_.Set(static_cast<double>(now.team_table));
    return metrics_text(registry_);
}

prometheus::Gauge& control_metrics::add(char const* name, char const* help)
{
    return gauge(registry_, name, help);
}

} // namespace verbenacove
