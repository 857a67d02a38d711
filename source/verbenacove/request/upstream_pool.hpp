#ifndef VERBENACOVE_REQUEST_UPSTREAM_POOL_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_POOL_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/distance.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/socket_address.hpp"
#include "verbenacove/request/overflow_share.hpp"
#include "verbenacove/request/region_shift_limit.hpp"
#include "verbenacove/request/steering_settings.hpp"
#include "verbenacove/request/upstream_standing.hpp"
#include "verbenacove/request/work_memory.hpp"

#include <QHash>

#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace verbenacove
{

/** One upstream that may get requests, as the control thread knows it. */
struct pool_member
{
    upstream_id id;
    incarnation started;
    socket_address address;
    zone_name zone;
    region_name region;
    slot_count slots;
    /** Its heartbeats have stopped. */
    bool is_silent = false;
    /** Until when it bears few requests only. */
    monotonic_time cold_until;
    /** The requests per second that this entry may send it while it is cold;
        0 when that is for another entry to do. */
    double cold_rate = 0;
    QString health_path;
};

/** What a request asks of its upstream. */
struct pool_query
{
    QByteArray affinity_key;
    /** Upstreams that were tried. */
    std::vector<upstream_id> excluded;
    /** The only regions allowed; empty for all. */
    std::vector<region_name> homes;
    /** The time that is left for an answer of full worth; may be negative. */
    milliseconds objective_left{0};
    /** The time that is left for any answer. */
    milliseconds time_left{0};
    /** The whole objective, which sets the scale of lateness. */
    milliseconds objective{1000};
};

/** An upstream that was chosen for an attempt. */
struct pool_choice
{
    pool_member member;
    std::shared_ptr<upstream_standing> standing;
    work_class work = unseen_work;
    /** How long the answer should take, the upstream's queue included. */
    milliseconds expected{0};
    network_distance distance = network_distance::same_zone;
    monotonic_time started;
};

/** A process of an upstream that has ended. */
struct ended_process
{
    upstream_id id;
    incarnation started;
};

/** Why no upstream was chosen. */
enum class pool_shortage
{
    /** None is known, or all were tried. */
    none_known,
    /** Those that are known are out of use for a moment. */
    none_usable,
    /** No answer can come in time. */
    no_time
};

/** Chooses the upstream for each attempt of one service's requests.

    An answer's worth is the chance that it is in time, by the upstream's queue,
    its speed and whether it has handled the request's object of late. Among
    upstreams of nearly the same worth a hash of the object decides, so that
    all entries send it to the same one, less what crossing zones and regions
    and failing costs. All calls come from one thread.
*/
class upstream_pool
{
public:
    /** The longest time to warm up that an upstream's own word is taken for;
        the same as that of a zone that is taken back into use. */
    static constexpr milliseconds longest_cold_time{60000};

    /** The clock and the limit must outlive the pool.

        @param seed  of the random draws; differs from entry to entry
    */
    upstream_pool(steering_settings const& settings, clock_source const& clock,
                  region_shift_limit& shift, quint64 seed);

    /** Replaces the upstreams; what was learned stays with each incarnation.

        @param region_entries  the entries of the own region, this one included
        @param all_entries     the entries of all regions
        @return the processes that have ended, as a newer start of the same
                upstream shows
    */
    std::vector<ended_process> update(std::vector<pool_member> members,
                                      int region_entries, int all_entries);

    /** Chooses an upstream and counts the attempt as started; `finish` it.

        @param shortage  why there is none
    */
    std::optional<pool_choice> choose(pool_query const& query,
                                      pool_shortage& shortage);

    /** Takes in how an attempt ended.

        @param bytes  the size of the request and its answer
    */
    void finish(pool_choice const& choice, QByteArray const& affinity_key,
                upstream_evidence evidence,
                std::optional<upstream_load> const& load, qint64 bytes);

    /** Returns the upstreams that failed and should be asked for their health
        now, before a request tries them. */
    std::vector<pool_member> take_probes();

    /** Takes in the answer to a probe.

        @param cold_start_remaining  how long the upstream says that it bears
       few requests only; at most `longest_cold_time` is believed
    */
    void take_probe_answer(upstream_id const& id, bool is_healthy,
                           milliseconds cold_start_remaining = milliseconds(0));

    std::vector<pool_member> const& members() const { return members_; }

private:
    struct state
    {
        incarnation started;
        std::shared_ptr<upstream_standing> standing;
        upstream_work_memory keys;
        /** Until when it is cold by its own answer to a probe. */
        monotonic_time cold_until{};
        /** When the next request may go to it while it is cold. */
        monotonic_time next_cold{};
        monotonic_time last_listed{};
    };

    struct candidate
    {
        pool_member const* member = nullptr;
        state* known = nullptr;
        work_class work = unseen_work;
        double expected_ms = 0;
        /** The same, had the upstream handled the object just before. */
        double shortest_ms = 0;
        bool has_free_slot = true;
        /** What its answer is worth, by the time that it should take. */
        double answer_worth = 0;
        /** What crossing costs, and the risk that there is no answer. */
        double cost = 0;
        /** The worth of the answer less the cost. */
        double worth = 0;
        /** How well the object suits the upstream, whatever its load. */
        double suitability = 0;
        network_distance distance = network_distance::same_zone;
    };

    bool is_allowed(pool_member const& member, pool_query const& query) const;
    static bool is_cold(pool_member const& member, state const& known,
                        monotonic_time now);
    bool is_usable(pool_member const& member, state const& known,
                   monotonic_time now) const;
    candidate assess(pool_member const& member, state& known,
                     pool_query const& query, monotonic_time now);
    double crossing_cost(network_distance distance) const;
    milliseconds round_trip(network_distance distance) const;
    double object_preference(QByteArray const& key, upstream_id const& id);
    double in_time_chance(double expected_ms, milliseconds left,
                          milliseconds scale) const;
    double preference(candidate const& of, double best_worth) const;
    candidate const* best_of(std::vector<candidate> const& from,
                             bool in_region) const;
    candidate const* pick(std::vector<candidate> const& from,
                          pool_query const& query, monotonic_time now);
    double overflow(pool_query const& query, monotonic_time now);
    pool_choice take(candidate const& chosen, monotonic_time now);

    steering_settings settings_;
    clock_source const& clock_;
    region_shift_limit& shift_;
    std::mt19937_64 random_;
    std::vector<pool_member> members_;
    QHash<upstream_id, state> states_;
    service_work work_;
    overflow_share overflow_;
    int region_entries_ = 1;
    int all_entries_ = 1;
};

} // namespace verbenacove

#endif
