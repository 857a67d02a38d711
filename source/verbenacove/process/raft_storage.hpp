#ifndef VERBENACOVE_PROCESS_RAFT_STORAGE_HPP
#define VERBENACOVE_PROCESS_RAFT_STORAGE_HPP

#include "verbenacove/process/raft_types.hpp"

#include <QFile>

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace verbenacove
{

/** A replica's files: its identity, its vote, its snapshot and its log.

    All lie in one data folder, each record with a checksum, and every
    operation that changes them returns only once the change is synced. A torn
    last record is cut off on opening, since nothing in it was promised; any
    other damage is an error, and the replica must be replaced.

    A write that fails (a full disk, say) is reported by the operation; what
    was stored before stays whole.
*/
class raft_storage
{
public:
    /** Creates the files of a new replica in a folder that holds none.

        @param members  the first voting replicas; empty for a replica that
                        waits to be taken in by the others
        @return an error when the folder holds a replica already or cannot be
                written
    */
    static boost::leaf::result<void> create(QString const& folder,
                                            replica_id const& identity,
                                            raft_members const& members);

    /** Returns whether a folder holds a replica's files. */
    static bool has_replica(QString const& folder);

    /** Opens a replica's files and reads them. */
    static boost::leaf::result<std::unique_ptr<raft_storage>>
    open(QString const& folder);

    ~raft_storage();
    raft_storage(raft_storage const&) = delete;
    raft_storage& operator=(raft_storage const&) = delete;

    /** Returns the identity made with the folder. */
    replica_id const& identity() const { return identity_; }

    /** Returns the vote as last stored. */
    raft_vote const& vote() const { return vote_; }

    /** Stores a vote. */
    boost::leaf::result<void> save_vote(raft_vote const& vote);

    /** Returns the latest snapshot. */
    raft_snapshot const& snapshot() const { return snapshot_; }

    /** Stores a snapshot and drops the entries that it covers.

        When the log does not hold the snapshot's last entry, all entries are
        dropped. A log file that cannot be shortened is no error: that is
        tried again before the next write to it.
    */
    boost::leaf::result<void> save_snapshot(raft_snapshot snapshot);

    /** Returns the index of the last entry, or of the snapshot. */
    log_index last_index() const;

    /** Returns the term of the last entry, or of the snapshot. */
    log_term last_term() const;

    /** Returns the term of an entry, nothing when it is not held. */
    std::optional<log_term> term_at(log_index index) const;

    /** Returns an entry that is held; asking for another is an error of the
        programmer. */
    raft_entry const& entry_at(log_index index) const;

    /** Returns the voting replicas as the log says at an index. */
    raft_members members_at(log_index index) const;

    /** Appends entries that follow the last one. */
    boost::leaf::result<void> append(std::vector<raft_entry> const& entries);

    /** Drops all entries from an index on. */
    boost::leaf::result<void> truncate_from(log_index index);

    /** Returns whether the log file may hold more, or be another, than the
        entries here; the next write puts it right or fails. */
    bool is_log_uncertain() const { return is_rewrite_due_; }

    /** Returns the size of the log file, in bytes. */
    qint64 log_bytes() const { return log_end_; }

private:
    explicit raft_storage(QString folder);

    boost::leaf::result<void> load();
    boost::leaf::result<void> load_log();
    boost::leaf::result<void> load_frame(QCborMap const& frame);
    boost::leaf::result<void> write_frame(QCborMap const& frame);
    boost::leaf::result<void> rewrite_log();
    QString path(char const* file) const;

    QString folder_;
    replica_id identity_;
    raft_vote vote_;
    raft_snapshot snapshot_;
    std::deque<raft_entry> entries_;
    QFile log_;
    qint64 log_end_ = 0;
    bool is_rewrite_due_ = false;
    int lock_ = -1;
};

} // namespace verbenacove

#endif
