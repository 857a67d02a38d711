#ifndef VERBENACOVE_REQUEST_ISOLATION_PERMITS_HPP
#define VERBENACOVE_REQUEST_ISOLATION_PERMITS_HPP

#include "verbenacove/request/quarantine.hpp"

#include <QHash>

#include <optional>
#include <vector>

namespace verbenacove
{

/** A request of an entry to run a suspect in isolation on an upstream.

    @see quarantine for what makes a request a suspect
*/
struct isolation_request
{
    request_fingerprint request;
    upstream_id upstream;
    incarnation upstream_incarnation;
    entry_id entry;
    incarnation entry_incarnation;
    /** Increases with each isolated run of the entry's process. */
    attempt_number attempt;
};

/** The decision on a request for an isolated run. */
enum class isolation_decision
{
    /** The suspect may run until `isolation_permits::duration` after the
        request was sent, less the margin for clock drift. */
    permitted,
    /** Not now: the suspect runs elsewhere, another suspect runs on the
        upstream, a limit is reached, the request is outdated, or the permits
        of earlier leaders may still be in force. The entry may try again
        later. */
    busy,
    /** Never: the suspect has crashed too many upstreams. */
    refused
};

/** Issues permits for isolated runs of suspects, on the control leader.

    At any time a suspect runs on one entry at most, and an upstream runs one
    suspect at most, so that a second crash is attributed to the right request.
    A run whose end is not reported before its permit expires counts as a
    crash.

    Permits expire like grants, and a newly elected leader issues none until
    the permits of earlier leaders have expired.

    @see quarantine, grant_ledger
*/
class isolation_permits
{
public:
    /** The validity period of a permit. */
    static constexpr milliseconds duration = std::chrono::seconds(10);

    /** The maximum number of permits in force. */
    static constexpr std::size_t maximum_permits = 1'000;

    /** The maximum number of entries whose last runs are stored. */
    static constexpr qsizetype maximum_entries = 20'000;

    /** Creates an object that issues no permits before `start_term`.

        @param crashes  the crash records on which decisions are based; receives
                        the updates of all entries and must outlive this object
    */
    explicit isolation_permits(quarantine& crashes);

    isolation_permits(isolation_permits const&) = delete;
    isolation_permits& operator=(isolation_permits const&) = delete;

    /** Removes all permits and starts the wait for those of earlier leaders to
        expire.

        @param now  a time read after the election was won
    */
    void start_term(monotonic_time now);

    /** Decides on a request for an isolated run.

        A repeated request is permitted again while its permit is in force,
        which extends the permit.

        @param as_of  a time read after the request was received and before a
                      majority confirmed that this process is the leader
    */
    isolation_decision decide(isolation_request const& request,
                              monotonic_time as_of);

    /** Removes the permit of a run whose entry has reported the outcome.

        Merge the entry's quarantine update first.
    */
    void end(isolation_request const& request);

private:
    struct permit
    {
        isolation_request request;
        monotonic_time expiry;
    };

    struct last_run
    {
        incarnation entry_incarnation;
        attempt_number attempt;
    };

    void expire(monotonic_time as_of);
    bool is_outdated(isolation_request const& request) const;

    quarantine& crashes_;
    // The time from which permits are issued; empty before the first term.
    std::optional<monotonic_time> issue_start_;
    std::vector<permit> permits_;
    // The last permitted run of each entry, to detect outdated requests.
    QHash<entry_id, last_run> last_runs_;
};

} // namespace verbenacove

#endif
