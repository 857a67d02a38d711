#ifndef VERBENACOVE_REQUEST_UPSTREAM_POOL_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_POOL_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/distance.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/request/overflow_share.hpp"
#include "verbenacove/request/rate_bucket.hpp"
#include "verbenacove/request/rate_limit.hpp"
#include "verbenacove/request/region_shift_limit.hpp"
#include "verbenacove/request/request_history.hpp"
#include "verbenacove/request/steering_settings.hpp"
#include "verbenacove/request/upstream_monitor.hpp"

#include <QHash>

#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace verbenacove
{

/** An upstream that may get requests, as provided by the control thread. */
struct pool_member
{
    upstream_id id;
    incarnation started;
    socket_address address;
    zone_name zone;
    region_name region;
    /** The number of requests that it can process at the same time. */
    slot_count slots;
    /** Whether its heartbeats have stopped. */
    bool is_silent = false;
    /** The end of its warm-up, during which it can handle few requests. */
    monotonic_time cold_until;
    /** The requests per second that this entry may send it while it is cold;
        0 when another entry sends it the warm-up requests. */
    double cold_rate = 0;
    /** The path that health probes request. */
    QString health_path;
    /** Set while it names a rate limit. */
    std::optional<rate_limit_share> rate_limit = std::nullopt;
};

/** The requirements of a request for the choice of an upstream. */
struct pool_query
{
    QByteArray affinity_key;
    /** The upstreams that were already tried for this request. */
    std::vector<upstream_id> excluded;
    /** The regions that the request may go to; empty for all. */
    std::vector<region_name> homes;
    /** The time left until the latency objective, after which a response has
        only part of its value; may be negative. */
    milliseconds objective_left{0};
    /** The time left until the caller's deadline. */
    milliseconds time_left{0};
    /** The whole latency objective. A longer one makes the estimated
        probability of a timely response fall more gradually. */
    milliseconds objective{1000};
};

/** An upstream that was chosen for an attempt. */
struct pool_choice
{
    pool_member member;
    std::shared_ptr<upstream_monitor> monitor;
    /** How recently the upstream handled the request's object. */
    recency_class recency = never_handled;
    /** The expected response time, including queueing at the upstream and the
        round trip. */
    milliseconds expected{0};
    network_distance distance = network_distance::same_zone;
    monotonic_time started;
};

/** An incarnation of an upstream that has ended. */
struct ended_incarnation
{
    upstream_id id;
    incarnation started;
};

/** Why no upstream was chosen. */
enum class pool_shortage
{
    /** No upstream is known, or all allowed ones were tried. */
    none_known,
    /** Upstreams are known, but ejected, in recovery or still cold. */
    none_usable,
    /** Upstreams are known, but this entry's share of the rate that they
        accept is used up. */
    rate_limited,
    /** No upstream is expected to respond before the deadline. */
    no_time
};

/** Chooses the upstream for each attempt of one service's requests.

    The value of a response is the probability that it arrives in time. It is
    estimated from the upstream's queue, its speed and whether it has recently
    handled the request's object. Among upstreams of nearly the same value a
    hash of the object decides, so that all entries send the object to the same
    upstream. Costs are subtracted for crossing zones and regions and for
    failures.

    A request leaves the region when the region's capacity is exceeded or an
    upstream of another region is better by a margin. The shift limit bounds how
    fast the share of such requests changes.

    All calls must come from one thread.
*/
class upstream_pool
{
public:
    /** The maximum warm-up time accepted from an upstream's health response;
        the same as the maximum for a zone that is reopened. */
    static constexpr milliseconds maximum_cold_start{60000};

    /** The clock and the shift limit must outlive the pool.

        @param seed  the seed of the random generator; must differ between
                     entries
    */
    upstream_pool(steering_settings const& settings, clock_source const& clock,
                  region_shift_limit& shift, quint64 seed);

    /** Replaces the list of upstreams. The measurements of an incarnation are
        kept as long as it stays in the list, and for a retention period after
        that.

        @param region_entries  the number of entries in the local region,
                               including this one
        @param all_entries     the number of entries in all regions
        @return the incarnations that have ended, because a newer one of the
                same upstream has started
    */
    std::vector<ended_incarnation> update(std::vector<pool_member> members,
                                          int region_entries, int all_entries);

    /** Chooses an upstream and counts the attempt as started. The caller must
        call `finish` when the attempt ends.

        @param shortage  receives the reason when no upstream is chosen
    */
    std::optional<pool_choice> choose(pool_query const& query,
                                      pool_shortage& shortage);

    /** Records the outcome of an attempt.

        @param bytes  the size of the request plus its response
    */
    void finish(pool_choice const& choice, QByteArray const& affinity_key,
                upstream_outcome outcome,
                std::optional<upstream_load> const& load, qint64 bytes);

    /** Compares the rate limit in an upstream's response with the known one.

        A response may change a known limit only if its request was sent after
        that limit was applied here: an earlier one may have been overtaken.

        @param sent  the time at which the request was sent
        @return the limit to apply, if it differs
    */
    std::optional<rate_limit_report>
    observe_rate_limit(pool_member const& member, monotonic_time sent,
                       response_metadata const& metadata) const;

    /** Sends an upstream nothing for the time that its refusal asks for. Other
        entries are not affected: the upstream asks each of them by itself. */
    void pause(pool_member const& member, milliseconds duration);

    /** Sends an incarnation that is about to end nothing more.

        @return whether that was not known before
    */
    bool mark_leaving(pool_member const& member);

    /** Ends all ejections for lost connections, because this entry was cut off
        from all upstreams. */
    void end_connection_ejections();

    /** Returns the upstreams whose connection was lost and whose health should
        be probed now, before a request is sent to them. Counts the probes as
        started. */
    std::vector<pool_member> start_due_probes();

    /** Records the result of a health probe.

        @param cold_duration  the warm-up time that the upstream reports, during
                              which it gets only warm-up requests; limited to
                              `maximum_cold_start`
    */
    void handle_probe_result(upstream_id const& id, bool is_healthy,
                             milliseconds cold_duration = milliseconds(0));

    std::vector<pool_member> const& members() const { return members_; }

private:
    /** The measurements of one incarnation of an upstream. */
    struct state
    {
        incarnation started;
        std::shared_ptr<upstream_monitor> monitor;
        object_history objects;
        /** The end of the warm-up that its last health response reported. */
        monotonic_time cold_until{};
        /** The earliest time of the next request while it is cold. */
        monotonic_time next_cold{};
        monotonic_time last_listed{};
        /** The rate limit that it names, and since when it is applied. */
        std::optional<requests_per_second> rate_limit;
        monotonic_time rate_limit_since{};
        /** This entry's share of the rate limit. */
        rate_bucket bucket;
        /** The end of the time for which it wants no requests. */
        monotonic_time paused_until{};
        bool is_leaving = false;
    };

    /** An upstream that may be chosen, with its rating for a request. */
    struct candidate
    {
        pool_member const* member = nullptr;
        state* tracked = nullptr;
        recency_class recency = never_handled;
        double expected_ms = 0;
        /** The expected time if the upstream had just handled the object. */
        double minimum_ms = 0;
        bool has_free_slot = true;
        /** The value of its response, by the expected time. */
        double response_value = 0;
        /** The cost of crossing zones and regions, plus penalties for failures
            and missing heartbeats. */
        double cost = 0;
        /** The value of the response minus the cost. */
        double score = 0;
        /** The preference of the object for the upstream, independent of load.
            All entries compute the same one. */
        double affinity = 0;
        network_distance distance = network_distance::same_zone;
    };

    bool is_allowed(pool_member const& member, pool_query const& query) const;
    static bool is_cold(pool_member const& member, state const& tracked,
                        monotonic_time now);
    bool is_usable(pool_member const& member, state const& tracked,
                   monotonic_time now) const;
    /** Returns whether the upstream itself has said that it wants nothing. */
    static bool wants_nothing(state const& tracked, monotonic_time now)
    {
        return tracked.is_leaving || now < tracked.paused_until;
    }
    static bool is_rate_limited(pool_member const& member, state const& tracked,
                                monotonic_time now);
    static void apply_rate_limit(pool_member const& member, state& tracked,
                                 monotonic_time now);
    /** Returns how many requests the upstream can process at the same time,
        with its rate limit. */
    static int usable_slots(pool_member const& member,
                            double mean_processing_ms);
    candidate assess(pool_member const& member, state& tracked,
                     pool_query const& query, monotonic_time now);
    double crossing_cost(network_distance distance) const;
    milliseconds round_trip(network_distance distance) const;
    /** Returns the preference of an object for an upstream.
        @see object_placement */
    double object_preference(QByteArray const& key, pool_member const& member);
    /** Returns the probability that a response arrives within the time left.

        @param scale  the latency objective, which sets how gradually the
                      probability falls
    */
    double in_time_probability(double expected_ms, milliseconds left,
                               milliseconds scale) const;
    /** Ranks the candidates of one region scope; the highest is chosen. */
    double preference(candidate const& option, double best_value) const;
    /** Returns the preferred candidate inside or outside the local region, or
        nullptr if there is none. */
    candidate const* best_of(std::vector<candidate> const& from,
                             bool in_region) const;
    candidate const* select(std::vector<candidate> const& from,
                            pool_query const& query, monotonic_time now);
    /** Updates the estimate of the share of requests that exceeds the capacity
        of the local region, and returns it. */
    double update_overflow(pool_query const& query, monotonic_time now);
    pool_choice start_attempt(candidate const& chosen, monotonic_time now);

    steering_settings settings_;
    clock_source const& clock_;
    region_shift_limit& shift_;
    std::mt19937_64 random_;
    std::vector<pool_member> members_;
    QHash<upstream_id, state> states_;
    service_cost_averages averages_;
    overflow_share overflow_;
    int region_entries_ = 1;
    int all_entries_ = 1;
};

} // namespace verbenacove

#endif
