#ifndef VERBENACOVE_BENCH_STEERING_FAKES_HPP
#define VERBENACOVE_BENCH_STEERING_FAKES_HPP

#include "verbenacove/request/retry_budget.hpp"
#include "verbenacove/request/upstream_chooser.hpp"

#include <array>
#include <deque>

namespace steering
{

using namespace verbenacove;
using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr std::size_t region_count = 3;
constexpr std::size_t zone_count = 6;
constexpr std::size_t upstreams_per_zone = 2;
constexpr std::size_t entries_per_zone = 2;
constexpr std::size_t upstream_count = zone_count * upstreams_per_zone;
constexpr std::size_t entry_count = zone_count * entries_per_zone;
constexpr int slots_each = 5;
constexpr std::size_t queue_bound = 20;
constexpr double service_ms = 20;
constexpr double bulk_service_ms = 40;
constexpr double service_sigma = 0.5;
constexpr double interactive_share = 0.7;
constexpr double bulk_share = 0.15;
constexpr double cold_slowdown = 3;
constexpr double cold_requests = 100;
constexpr microseconds announce_interval = 1s;
constexpr microseconds announce_lag = 100ms;
constexpr microseconds connect_timeout = 250ms;
constexpr microseconds attempt_timeout = 1s;
constexpr std::size_t largest_attempts = 3;
constexpr int remote_in_flight_cap = 3;

/** What one run gave, of the requests that arrived while it was measured. */
struct figures
{
    std::array<std::vector<double>, request_class_count> latencies_ms;
    /** The interactive ones of the first region, where the faults are. */
    std::vector<double> first_region_ms;
    double requests = 0;
    double failures = 0;
    double non_idempotent = 0;
    double non_idempotent_failures = 0;
    double retries = 0;
    double remote = 0;
    double smallest_free_share = 1;
    double drain_ms = 0;
};

/** One attempt of a request, and the upstreams tried so far. */
struct attempt
{
    request_class kind = request_class::interactive;
    microseconds arrived{0};
    std::size_t entry = 0;
    std::vector<upstream_id> tried;
    std::optional<upstream_chooser::choice> taken;
    microseconds sent{0};
    std::size_t upstream = 0;
};
using attempt_pointer = std::shared_ptr<attempt>;

/** An upstream with slots and a queue before them. */
struct fake_upstream
{
    upstream_view view;
    std::size_t zone = 0;
    int busy = 0;
    std::deque<attempt_pointer> waiting;
    double slowdown = 1;
    std::optional<double> stuck_load;
    double failing_share = 0;
    bool is_lost = false;
    bool refuses = false;
    double served = 1e6;
    double busy_us = 0;
    double busy_us_reported = 0;
    double busy_us_sampled = 0;
    microseconds last_change{0};
};

/** An entry: the real decisions, and what it has heard. */
struct fake_entry
{
    std::size_t zone = 0;
    std::unique_ptr<upstream_chooser> chooser;
    std::unique_ptr<retry_budget> budget;
    std::vector<upstream_view> views;
    std::array<int, region_count> remote_in_flight{};
    bool hears_news = true;
};

inline QString numbered(char const* prefix, std::size_t number)
{
    return QString::fromLatin1(prefix) + QString::number(number);
}

inline region_name region_at(std::size_t zone)
{
    return region_name(numbered("r", zone / 2));
}

inline zone_name zone_at(std::size_t zone)
{
    return zone_name(numbered("z", zone));
}

} // namespace steering

#endif
