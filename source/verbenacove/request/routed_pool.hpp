#ifndef VERBENACOVE_REQUEST_ROUTED_POOL_HPP
#define VERBENACOVE_REQUEST_ROUTED_POOL_HPP

#include "verbenacove/request/overload_admission.hpp"
#include "verbenacove/request/retry_budget.hpp"
#include "verbenacove/request/upstream_pool.hpp"

#include <vector>

namespace verbenacove
{

/** The average size of a service's responses. */
class response_size_average
{
public:
    void record(qint64 bytes)
    {
        bytes_ += weight * (static_cast<double>(bytes) - bytes_);
    }

    /** Returns the average in bytes. */
    qint64 bytes() const { return static_cast<qint64>(bytes_); }

private:
    /** Weight of a new response in the average. */
    static constexpr double weight = 0.05;

    /** Begins with the size of a small response. */
    double bytes_ = 1000;
};

/** The upstreams and the retry budget of one service at this entry, shared by
    all routes to the service. */
struct routed_pool
{
    /** The clock and the shift limit must outlive the pool.

        @param seed  the seed of the random generator; must differ between
                     entries
    */
    routed_pool(service_name name, steering_settings const& settings,
                clock_source const& clock, region_shift_limit& shift,
                quint64 seed);

    /** Replaces the list of upstreams and adjusts the retry budget to this
        entry's part of the retries that all entries may make together.

        @param region_entries  the number of entries in the local region,
                               including this one
        @param all_entries     the number of entries in all regions
        @return the incarnations that have ended, because a newer one of the
                same upstream has started
    */
    std::vector<ended_incarnation> update(std::vector<pool_member> members,
                                          int region_entries, int all_entries);

    service_name service;
    response_size_average response_size;
    upstream_pool upstreams;
    retry_budget retries;
    overload_admission admission;
    /** Number of responses with a load that could not be read. */
    qint64 unreadable_loads = 0;

private:
    double retry_slack_;
};

} // namespace verbenacove

#endif
