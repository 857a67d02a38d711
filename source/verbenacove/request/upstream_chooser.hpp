#ifndef VERBENACOVE_REQUEST_UPSTREAM_CHOOSER_HPP
#define VERBENACOVE_REQUEST_UPSTREAM_CHOOSER_HPP

#include "verbenacove/request/upstream_cost.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace verbenacove
{

/** Chooses the upstream for each attempt of one service's requests.

    Combines the reports of the upstreams with the results of this entry's own
    attempts; the latter take precedence. All calls must come from one thread,
    and each choice must be finished on that thread. The size of the state is
    bounded by `maximum_candidates`.
*/
class upstream_chooser
{
public:
    /** The maximum number of upstreams that are considered. */
    static constexpr std::size_t maximum_candidates = 256;

    /** Called before an attempt is sent to another region. Returning true
        permits the attempt and deducts one attempt from the budget for that
        region. */
    using region_permit = std::function<bool(region_name const&)>;

    /** An attempt at the chosen upstream; in flight until it is finished.

        An attempt that is destroyed before it is finished counts as
        cancelled. It may outlive the chooser, but not the clock.
    */
    class choice
    {
    public:
        ~choice();
        choice(choice&&) noexcept;
        choice& operator=(choice&&) noexcept;
        choice(choice const&) = delete;
        choice& operator=(choice const&) = delete;

        /** Returns the upstream to send to. */
        upstream_view const& upstream() const;

        /** Returns true when the upstream is in another region than the entry.
         */
        bool is_in_other_region() const { return is_in_other_region_; }

        /** Records how the attempt ended; a second call does nothing.

            @param latency  the time from the choice to the end of the attempt
        */
        void finish(attempt_outcome outcome, std::chrono::microseconds latency);

    private:
        friend class upstream_chooser;
        choice(std::shared_ptr<upstream_record> record,
               std::shared_ptr<class_latency> latencies,
               clock_source const& clock, request_class kind,
               std::chrono::microseconds expected, bool is_in_other_region);

        std::shared_ptr<upstream_record> record_;
        std::shared_ptr<class_latency> latencies_;
        clock_source const* clock_;
        request_class kind_;
        bool is_in_other_region_;
        monotonic_time started_;
        std::chrono::microseconds expected_;
    };

    /** Creates a chooser without upstreams.

        @param clock  must outlive the chooser and its choices
        @param seed   the seed of the random draws; must differ between entries
    */
    upstream_chooser(chooser_settings settings, clock_source const& clock,
                     quint64 seed);

    /** Replaces the set of upstreams.

        Recorded attempt results are kept for each id and incarnation, also
        while an upstream is missing from the set for up to 30 s.

        @return the number of upstreams ignored beyond `maximum_candidates`
    */
    std::size_t update(std::vector<upstream_view> const& upstreams);

    /** Chooses an upstream for an attempt.

        Upstreams that are draining or starting, or whose last report is older
        than the lease, are never chosen. Upstreams of other regions are
        considered when the local region has no free slot or no upstream.

        @param excluded             upstreams that were already tried for this
                                    request and must not be chosen
        @param allow_other_regions  an empty function forbids other regions
        @return nothing when no upstream may be used
    */
    std::optional<choice> choose(request_class kind,
                                 std::vector<upstream_id> const& excluded = {},
                                 region_permit const& allow_other_regions = {});

private:
    /** An upstream, kept for a time after it is missing from the set. */
    struct member
    {
        std::shared_ptr<upstream_record> record;
        network_distance distance = network_distance::other_region;
        /** True when the upstream was in the last update. */
        bool is_listed = true;
        monotonic_time last_listed{};
    };

    /** An upstream that may be chosen for the current attempt. */
    struct candidate
    {
        member const* upstream = nullptr;
        /** The number of slots that may be used, reduced during the ramp. The
            members from here on are set by `score_candidates`. */
        double capacity = 1;
        bool has_free_slot = false;
        double cost_ms = 0;
    };

    /** The candidates of the local region, or of all other regions. */
    struct candidate_group
    {
        /** The number of usable, ejected and excluded upstreams. */
        std::size_t count = 0;
        std::vector<candidate> usable;
        std::vector<member const*> ejected;

        void clear();
        bool has_free_slot() const;
    };

    using pick_function =
        std::size_t (upstream_chooser::*)(std::vector<candidate> const&);

    static pick_function pick_function_for(chooser_policy policy);

    bool is_usable(member const& upstream, monotonic_time now) const;
    /** Fills `local_` and `remote_` with the usable and ejected upstreams. */
    void collect_candidates(std::vector<upstream_id> const& excluded,
                            monotonic_time now);
    /** Makes the ejected upstreams with the lowest failure shares usable again
        until no more than `maximum_ejected_share` of the group is ejected. */
    void apply_ejection_limit(candidate_group& group, monotonic_time now) const;
    void score_candidates(candidate_group& group, request_class kind,
                          monotonic_time now) const;
    /** Returns true when a slot is free both by this entry's attempts in flight
        and by the average load that the group of the candidate reports. */
    bool has_free_slot(candidate const& target, double average_load) const;
    /** Returns a local upstream that this request should probe, or null. */
    member const* probe_target(request_class kind, monotonic_time now) const;
    /** Picks by the policy; the group must have a usable upstream. */
    candidate const* pick_from(candidate_group const& group);
    /** Picks an upstream of another region that is preferred to the best local
        one and whose region is permitted; null if there is none.

        @param best_local  null when no local upstream is usable
    */
    candidate const* pick_remote(request_class kind,
                                 candidate const* best_local,
                                 region_permit const& permit);
    bool is_preferred_remote(candidate const& remote,
                             candidate const* best_local) const;
    choice start_attempt(member const& target, request_class kind);

    std::size_t pick_lowest_cost(std::vector<candidate> const& candidates);
    std::size_t pick_random(std::vector<candidate> const& candidates);
    std::size_t pick_round_robin(std::vector<candidate> const& candidates);
    std::size_t
    pick_least_reported_load(std::vector<candidate> const& candidates);
    std::size_t pick_least_in_flight(std::vector<candidate> const& candidates);
    template <class Score>
    std::size_t pick_minimum(std::vector<candidate> const& candidates,
                             Score score);
    std::size_t random_index(std::size_t count);

    chooser_settings settings_;
    clock_source const& clock_;
    std::mt19937_64 random_;
    std::vector<member> members_;
    std::shared_ptr<class_latency> latencies_;
    upstream_cost cost_;
    pick_function pick_;
    std::size_t next_round_robin_ = 0;
    /** The candidates of the current choice; kept between choices only to
        avoid allocations. */
    candidate_group local_;
    candidate_group remote_;
};

} // namespace verbenacove

#endif
