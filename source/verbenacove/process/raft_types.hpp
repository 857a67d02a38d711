#ifndef VERBENACOVE_PROCESS_RAFT_TYPES_HPP
#define VERBENACOVE_PROCESS_RAFT_TYPES_HPP

#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/socket_address.hpp"

#include <QByteArray>
#include <QCborMap>

#include <boost/leaf/result.hpp>

#include <vector>

namespace verbenacove
{

/** One voting replica of the log. */
struct raft_member
{
    /** What the replica's settings call it; survives the loss of its disk. */
    QString name;
    /** Made anew with each new data folder. */
    replica_id identity;
    socket_address address;

    friend bool operator==(raft_member const&, raft_member const&) = default;
};

/** The voting replicas at one point of the log. */
using raft_members = std::vector<raft_member>;

/** What an entry of the log is for. */
enum class raft_entry_kind
{
    /** Marks the start of a leader's term. */
    no_operation = 0,
    /** A command for the state machine. */
    command = 1,
    /** A new set of voting replicas, in force once it is in the log. */
    members = 2
};

/** One entry of the replicated log. */
struct raft_entry
{
    log_index index;
    log_term term;
    raft_entry_kind kind = raft_entry_kind::no_operation;
    QCborMap content;
};

/** The whole state up to an index of the log. */
struct raft_snapshot
{
    log_index index;
    log_term term;
    raft_members members;
    QByteArray state;
};

/** What a replica has promised: its term, and whom it voted for in it. */
struct raft_vote
{
    log_term term;
    replica_id candidate;
};

/** Why a replica's files cannot be used. */
struct raft_storage_error
{
    QString file;
    QString reason;
};

/** Returns the index after one. */
inline log_index next_index(log_index index)
{
    return log_index(index.value() + 1);
}

/** Returns the index before one. */
inline log_index previous_index(log_index index)
{
    return log_index(index.value() - 1);
}

/** Returns entries and members as CBOR, and reads them back. */
QCborMap to_cbor(raft_entry const& entry);
raft_entry entry_from_cbor(QCborMap const& map);
QCborMap to_cbor(raft_members const& members);
raft_members members_from_cbor(QCborMap const& map);

} // namespace verbenacove

#endif
