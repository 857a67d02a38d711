#ifndef VERBENACOVE_PROCESS_DISCOVERY_RATE_LIMIT_REPORTER_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_RATE_LIMIT_REPORTER_HPP

#include "verbenacove/process/discovery/membership_view.hpp"
#include "verbenacove/request/rate_limit.hpp"

#include <QCborArray>
#include <QHash>

namespace verbenacove
{

/** Reports the rate limits that upstreams have named to this entry to the
    replica that it reads.

    Several entries may observe the same upstream. Each observation that differs
    from what is known gets a sequence number above the known one, so that the
    latest one wins everywhere. Must be used from one thread only.
*/
class rate_limit_reporter
{
public:
    /** The view and the clock must outlive the reporter. */
    rate_limit_reporter(entry_id const& self, membership_view& membership,
                        clock_source const& clock);

    /** Applies an observation to the view and queues it for the replicas.

        @return whether it differs from what was known
    */
    bool record(rate_limit_report const& report);

    /** Adds the limits that the replica has not confirmed to a request: all
        known ones for a replica that is new to this entry.

        @param view_id  identifies the replica's membership view
    */
    void add_to(QCborMap& request, qint64 view_id);

    /** Records that the replica has received the latest request. */
    void confirm();

    /** Applies the limits in an entry's request to a replica's view. */
    static void apply(QCborMap const& request, membership_view& membership,
                      monotonic_time now);

private:
    qint64 next_sequence(rate_limit_record const* known) const;

    membership_view& membership_;
    clock_source const& clock_;
    /** Distinguishes the sequence numbers of entries that observe a change at
        the same time. */
    qint64 sequence_tag_;
    /** Sequence number of each limit that no replica has confirmed. */
    QHash<QString, qint64> unconfirmed_;
    QHash<QString, qint64> sent_;
    qint64 confirmed_view_ = 0;
    qint64 sent_view_ = 0;
};

} // namespace verbenacove

#endif
