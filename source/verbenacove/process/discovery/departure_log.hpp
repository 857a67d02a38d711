#ifndef VERBENACOVE_PROCESS_DISCOVERY_DEPARTURE_LOG_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_DEPARTURE_LOG_HPP

#include "verbenacove/process/discovery/member_content.hpp"

#include <QFile>
#include <QHash>
#include <QString>

#include <vector>

namespace verbenacove
{

/** Keeps on disk which upstreams are leaving or have left, so that a departure
    that was acknowledged is known after all replicas have restarted.

    The file holds checksummed records, each written with one sync. It is
    rewritten with the departures that still matter when it is opened, and when
    it has grown. Must be used from one thread only.
*/
class departure_log
{
public:
    /** Size of the file from which it is rewritten, in bytes. */
    static constexpr qint64 rewrite_size = qint64{4} * 1024 * 1024;

    /** Creates a log in a folder that exists. */
    explicit departure_log(QString const& folder);
    departure_log(departure_log const&) = delete;
    departure_log& operator=(departure_log const&) = delete;

    /** Opens the file, which is created if there is none, and returns the
        departures in it. What follows a damaged record is lost, as that
        record was never acknowledged or its disk is faulty. */
    std::vector<upstream_member> open(monotonic_time now);

    /** Returns whether the departure of an incarnation is stored, in this phase
        or a later one. */
    bool has(upstream_member const& record) const;

    /** Stores departures with one sync; those that are stored already cost
        nothing.

        @return false when the disk refuses; then none of them counts as stored
    */
    bool store(std::vector<upstream_member> const& records, monotonic_time now);

    /** Returns whether the file has grown so far that it should be rewritten.
     */
    bool is_rewrite_due() const { return size_ > rewrite_size; }

    /** Replaces the file by these departures; does nothing when the disk
        refuses. */
    void rewrite(std::vector<upstream_member> const& records,
                 monotonic_time now);

private:
    struct stored_phase
    {
        incarnation started;
        member_phase phase = member_phase::draining;
        bool is_of_unknown_start = false;
    };

    void reopen();
    /** Removes what a write that failed may have left. */
    bool cut_failed_write();
    void remember(upstream_member const& record);

    QFile file_;
    /** Where the next record is written, in bytes from the start. */
    qint64 size_ = 0;
    bool has_failed_write_ = false;
    /** What the file holds, by the upstreams' ids. */
    QHash<QString, stored_phase> stored_;
};

} // namespace verbenacove

#endif
