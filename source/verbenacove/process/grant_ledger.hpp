#ifndef VERBENACOVE_PROCESS_GRANT_LEDGER_HPP
#define VERBENACOVE_PROCESS_GRANT_LEDGER_HPP

#include "verbenacove/process/grant_message.hpp"

#include <QHash>

#include <map>
#include <optional>
#include <vector>

namespace verbenacove
{

/** The limit of one resource, out of the configuration in force. */
struct grant_limit
{
    /** What all holders together may use. */
    grant_amount cap;
    /** The highest cap that was ever in force: a holder that is cut off may
        still use the floor of it. */
    grant_amount highest_cap;
    /** The part of the cap that is split evenly into floors, in percent. */
    int floor_percent = 20;
};

/** How grants are made; the same on every control replica. */
struct grant_policy
{
    /** How long a grant holds. */
    milliseconds duration{5000};
    /** The most holders that can be admitted; each has a floor. */
    int max_holders = 16;
    /** How fast the grants of a resource grow together, in percent of its cap
        per second. */
    int growth_percent_per_second = 20;
};

/** Splits the caps of resources into grants that expire, on the control
    leader.

    The sum of the grants in force and of the floors of all admitted holders
    never exceeds a cap, whatever messages are lost, late or doubled. Demand
    is served max-min fair, and grants grow at a bounded rate.

    It reads no clock: times are readings of this process's monotonic clock.
    A leader that has just been elected calls `start_term`; it prolongs the
    grants that holders have, and makes new ones only once those of earlier
    leaders have run out.

    @see grant_holder
*/
class grant_ledger
{
public:
    /** The grants of one holder that are still to run out, at most; requests
        that come faster are not answered. */
    static constexpr std::size_t maximum_grants_of_holder = 64;

    /** The most resources that have a limit. */
    static constexpr std::size_t maximum_resources = 4096;

    /** The highest cap of a resource, in its unit. */
    static constexpr qint64 maximum_cap = 1LL << 32;

    /** Creates a ledger that makes no grant before `start_term`. */
    explicit grant_ledger(grant_policy const& policy = {});

    /** Forgets all grants and starts to wait for those of earlier leaders.

        @param now  a time read after the election was won
    */
    void start_term(monotonic_time now);

    /** Sets the limit of a resource.

        A raised cap is granted from now on. A lowered one holds once the
        grants made before have run out, one duration later at most, except
        for the floors of holders that are cut off.

        @return false when the limit is out of range, or one too many; then
                nothing is changed
    */
    bool set_limit(resource_name const& resource, grant_limit const& limit);

    /** Ends the grants of a resource that is no longer limited. */
    void remove_limit(resource_name const& resource);

    /** Admits a holder, which has a floor from then on, known here or not.

        The admitted holders are replicated state: every leader must know all
        of them. Returns false at the most holders.
    */
    bool admit(entry_id const& holder);

    /** Takes a holder's floor back; only for one that no longer runs. */
    void dismiss(entry_id const& holder);

    /** Answers a request, or gives nothing for one that is unknown, not
        admitted, overtaken by a newer one or too frequent.

        @param as_of  a time read after the request came in and before a
                      majority confirmed that this process is the leader; the
                      answer may leave at any time after
    */
    std::optional<grant_answer> answer(grant_request const& request,
                                       monotonic_time as_of);

    /** Returns what grants and floors of a resource may be in use. */
    grant_amount committed(resource_name const& resource,
                           monotonic_time as_of) const;

private:
    struct grant
    {
        incarnation holder_incarnation;
        grant_sequence sequence;
        qint64 amount = 0;
        monotonic_time end;
    };

    struct account
    {
        incarnation holder_incarnation;
        grant_sequence last_sequence;
        // The newest answer that no answer of an earlier leader can follow.
        grant_sequence last_settling;
        // The highest floor that the holder may keep to.
        qint64 floor = 0;
        qint64 demand = 0;
        qint64 in_use = 0;
        monotonic_time heard_until{};
        std::vector<grant> grants;
    };

    struct resource_state
    {
        grant_limit limit;
        // What grants may still grow by, in millionths of the unit.
        qint64 growth_millionths = 0;
        monotonic_time growth_time{};
        std::map<entry_id, account> accounts;
    };

    struct share_request
    {
        entry_id holder;
        qint64 demand = 0;
    };

    bool is_waiting(monotonic_time as_of) const;
    bool is_admitted(entry_id const& holder) const;
    qint64 floor_of(grant_limit const& limit, grant_amount cap) const;
    qint64 floors(resource_state const& state) const;
    void note(account& known, grant_request const& request,
              monotonic_time as_of) const;
    void accrue_growth(resource_state& state, monotonic_time as_of) const;
    qint64 fair_share(resource_state const& state, entry_id const& holder,
                      monotonic_time as_of) const;
    qint64 next_amount(resource_state& state, account const& known,
                       grant_request const& request,
                       monotonic_time as_of) const;

    static bool is_overtaken(account const& known,
                             grant_request const& request);
    static qint64 newest_amount(account const& known);
    static qint64 charge(account const& known, incarnation process,
                         monotonic_time as_of);
    static qint64 charges(resource_state const& state, monotonic_time as_of);

    grant_policy policy_;
    bool has_term_ = false;
    monotonic_time wait_end_{};
    std::map<resource_name, resource_state> resources_;
    std::vector<entry_id> holders_;
};

} // namespace verbenacove

#endif
