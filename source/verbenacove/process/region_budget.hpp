#ifndef VERBENACOVE_PROCESS_REGION_BUDGET_HPP
#define VERBENACOVE_PROCESS_REGION_BUDGET_HPP

#include "verbenacove/process/grant_holder.hpp"
#include "verbenacove/process/grant_ledger.hpp"
#include "verbenacove/request/region_limit.hpp"
#include "verbenacove/version/config_view.hpp"

#include <map>
#include <vector>

namespace verbenacove
{

/** Keeps an entry's attempts within the limits on links between regions and
    on regions' slots, by the grants that it holds.

    A link's share is a rate: attempts may start while the bytes sent and
    received have not used it up. An answer's size is known only once it is
    there, so a link can run over by the answers in flight, and pauses for as
    long afterwards. A region or link without a limit is not counted.

    Use it on one thread.
*/
class region_budget : public region_limit
{
public:
    /** The clock must outlive the budget. */
    region_budget(entry_id own_id, incarnation started, region_name own_region,
                  clock_source const& clock);

    /** Takes the limits of a configuration. */
    void update(config_view const& config);

    /** Returns the requests for grants that are due now; call it each second
        or more often. */
    std::vector<grant_request> next_requests();

    /** Takes an answer of the control leader. */
    void take(grant_answer const& answer);

    /** Returns what attempts that start now may use of a resource. */
    grant_amount usable(resource_name const& resource) const;

    /** How long a grant of slots starts attempts; about half of the time that
        it holds. */
    static constexpr milliseconds slot_start_time{2500};

    bool permits(region_name const& region) override;
    void begin(region_name const& region, qint64 sent_bytes) override;
    void end(region_name const& region, qint64 received_bytes) override;

private:
    /** What is used of one resource. */
    struct use
    {
        bool is_link = false;
        /** Bits that may be used at once; below zero after an overrun. */
        double bits_left = 0;
        monotonic_time filled{};
        /** Since the last request for a grant. */
        qint64 used_bits = 0;
        qint64 refused = 0;
        monotonic_time asked{};
        grant_sequence last_request;
        /** When the newest grant was asked for. */
        monotonic_time granted{};
        grant_amount floor;
    };

    void fill(resource_name const& name, use& of);
    bool has_link_room(resource_name const& name);
    bool has_slot(resource_name const& name);
    void count_bits(resource_name const& name, qint64 bytes);
    grant_amount in_use(resource_name const& name, use const& of,
                        monotonic_time now) const;
    grant_amount demand(use const& of, grant_amount in_use) const;
    use* find(resource_name const& name);
    qint64 running(resource_name const& slots) const;

    region_name own_region_;
    clock_source const& clock_;
    grant_holder holder_;
    std::map<resource_name, use> uses_;
    /** Attempts in flight by their region's slots, limited or not: a limit can
        come and go while they run. */
    std::map<resource_name, qint64> running_;
};

} // namespace verbenacove

#endif
