#ifndef VERBENACOVE_REQUEST_QUARANTINE_TRIALS_HPP
#define VERBENACOVE_REQUEST_QUARANTINE_TRIALS_HPP

#include "verbenacove/request/quarantine.hpp"

#include <QHash>

#include <optional>
#include <vector>

namespace verbenacove
{

/** Asks that a suspect may be tried on an upstream. */
struct trial_request
{
    request_fingerprint request;
    upstream_id upstream;
    incarnation upstream_incarnation;
    entry_id entry;
    incarnation entry_incarnation;
    /** Grows with each trial of the entry's process. */
    attempt_number attempt;
};

/** What a request for a trial came to. */
enum class trial_decision
{
    /** The trial may run, until `quarantine_trials::duration` after its
        request was sent, less the margin for clocks. */
    permitted,
    /** Another trial of the request or on the upstream runs; ask later. */
    busy,
    /** The request has crashed too many upstreams. */
    refused
};

/** Lets suspects be tried one at a time, on the control leader.

    At any moment a request is tried by one entry at most, and an upstream
    runs one suspect at most, so that a second crash tells the right one. A
    trial that is not reported to have ended counts as a crash.

    Like grants, permits run out, and a leader that has just been elected
    makes none until those of earlier leaders have run out.

    @see quarantine, grant_ledger
*/
class quarantine_trials
{
public:
    /** How long a permit holds. */
    static constexpr milliseconds duration = std::chrono::seconds(10);

    /** The most trials that run at the same time. */
    static constexpr std::size_t maximum_trials = 1'000;

    /** The most entries whose last trials are remembered. */
    static constexpr qsizetype maximum_entries = 20'000;

    /** Decides by what this quarantine knows, which takes in the news of all
        entries and must outlive this. */
    explicit quarantine_trials(quarantine& known);

    quarantine_trials(quarantine_trials const&) = delete;
    quarantine_trials& operator=(quarantine_trials const&) = delete;

    /** Forgets all trials and starts to wait for those of earlier leaders.

        @param now  a time read after the election was won
    */
    void start_term(monotonic_time now);

    /** Decides on a trial; asked again, it gives the same answer while the
        trial runs.

        @param as_of  a time read after the request came in and before a
                      majority confirmed that this process is the leader
    */
    trial_decision decide(trial_request const& request, monotonic_time as_of);

    /** Ends a trial whose entry has told what came of it.

        Take in the entry's news first.
    */
    void end(trial_request const& request);

private:
    struct trial
    {
        trial_request request;
        monotonic_time end;
    };

    struct last_trial
    {
        incarnation entry_incarnation;
        attempt_number attempt;
    };

    void expire(monotonic_time as_of);
    bool is_old(trial_request const& request) const;

    quarantine& known_;
    std::optional<monotonic_time> wait_end_;
    std::vector<trial> trials_;
    QHash<entry_id, last_trial> last_trials_;
};

} // namespace verbenacove

#endif
