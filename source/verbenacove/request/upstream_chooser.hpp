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

    It knows what the upstreams announce and what its own attempts saw, and
    believes the latter first. All calls come from one thread; each choice
    is finished on it. State is bounded by `largest_set`.
*/
class upstream_chooser
{
public:
    /** The largest number of upstreams that are considered. */
    static constexpr std::size_t largest_set = 256;

    /** Asked before an attempt goes to another region; true takes one
        attempt's worth from the budget towards that region. */
    using region_permit = std::function<bool(region_name const&)>;

    /** An attempt at an upstream; in flight until it is finished.

        One that is destroyed unfinished counts as cancelled. It may outlive
        the chooser, but not the clock.
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

        /** Returns true when the upstream is in another region. */
        bool is_other_region() const { return is_other_region_; }

        /** Takes in how the attempt ended; a second call does nothing.

            @param latency  from the choice to the end
        */
        void finish(attempt_outcome outcome, std::chrono::microseconds latency);

    private:
        friend class upstream_chooser;
        choice(std::shared_ptr<upstream_record> record,
               std::shared_ptr<class_latency> latencies,
               clock_source const& clock, request_class kind,
               std::chrono::microseconds expected, bool is_other_region);

        std::shared_ptr<upstream_record> record_;
        std::shared_ptr<class_latency> latencies_;
        clock_source const* clock_;
        request_class kind_;
        bool is_other_region_;
        monotonic_time started_;
        std::chrono::microseconds expected_;
    };

    /** Creates a chooser that knows no upstream.

        @param clock  must outlive the chooser and its choices
        @param seed   of the random draws; differs from entry to entry
    */
    upstream_chooser(chooser_settings settings, clock_source const& clock,
                     quint64 seed);

    /** Replaces the set of upstreams; experience stays with each id and
        incarnation, also while one is missing for a short time.

        @return the number of upstreams beyond `largest_set`, left out
    */
    std::size_t update(std::vector<upstream_view> const& upstreams);

    /** Chooses an upstream for an attempt.

        Draining and starting ones, and those whose news is older than the
        lease, are never chosen. Those of other regions are chosen when the
        entry's own region has no free slot or no upstream.

        @param excluded             not to be chosen, as tried before
        @param allow_other_regions  empty forbids other regions
        @return nothing when there is none that may be used
    */
    std::optional<choice> choose(request_class kind,
                                 std::vector<upstream_id> const& excluded = {},
                                 region_permit const& allow_other_regions = {});

private:
    struct member
    {
        std::shared_ptr<upstream_record> record;
        network_distance distance = network_distance::other_region;
        bool is_listed = true;
        monotonic_time last_listed{};
    };

    struct candidate
    {
        member const* upstream = nullptr;
        /** The slots that may be used by now. */
        double capacity = 1;
        bool has_free_slot = false;
        double cost_ms = 0;
    };

    /** The upstreams of the entry's own region, or of all others. */
    struct group
    {
        /** The number of members, also those tried before. */
        std::size_t count = 0;
        std::vector<candidate> usable;
        std::vector<member const*> ejected;

        void clear();
        bool has_free_slot() const;
    };

    using pick_function =
        std::size_t (upstream_chooser::*)(std::vector<candidate> const&);

    static pick_function pick_of(chooser_policy policy);

    bool is_usable(member const& upstream, monotonic_time now) const;
    void collect(std::vector<upstream_id> const& excluded, monotonic_time now);
    void release_over_bound(group& of, monotonic_time now) const;
    void assess(group& of, request_class kind, monotonic_time now) const;
    bool has_free_slot(candidate const& target, double average_load) const;
    member const* probe_target(request_class kind, monotonic_time now) const;
    candidate const* pick_from(group const& of);
    candidate const* pick_remote(request_class kind, candidate const* nearest,
                                 region_permit const& permit);
    bool is_better(candidate const& far, candidate const* nearest) const;
    choice take(member const& target, request_class kind);

    std::size_t pick_lowest_cost(std::vector<candidate> const& from);
    std::size_t pick_random(std::vector<candidate> const& from);
    std::size_t pick_round_robin(std::vector<candidate> const& from);
    std::size_t pick_least_reported_load(std::vector<candidate> const& from);
    std::size_t pick_least_in_flight(std::vector<candidate> const& from);
    template <class Score>
    std::size_t pick_least(std::vector<candidate> const& from, Score score);
    std::size_t draw(std::size_t count);

    chooser_settings settings_;
    clock_source const& clock_;
    std::mt19937_64 random_;
    std::vector<member> members_;
    std::shared_ptr<class_latency> latencies_;
    upstream_cost cost_;
    pick_function pick_;
    std::size_t round_robin_ = 0;
    /** Filled anew for each choice; kept to save allocations. */
    group local_;
    group remote_;
};

} // namespace verbenacove

#endif
