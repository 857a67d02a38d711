#include "verbenacove/process/raft_node_detail.hpp"

#include <utility>

namespace verbenacove
{

using namespace raft_detail;

// Replication by a follower.

bool raft_node::accept_leader(QCborMap const& message)
{
    log_term const message_term(cbor_number(message, "term"));
    if (message_term < term())
    {
        return false;
    }
    adopt_term(message_term);
    if (message_term != term() || is_leader())
    {
        return false;
    }
    role_ = raft_role::follower;
    auto const address = parse_socket_address(cbor_text(message, "address"));
    leader_ = raft_member{cbor_text(message, "name"),
                          replica_id(cbor_text(message, "from")),
                          address.value_or(socket_address{})};
    leader_heard_ = clock_.now();
    reset_election_deadline();
    return true;
}

void raft_node::take_silent_voters(QCborMap const& message)
{
    auto const now = clock_.now();
    auto const silent = cbor_map(message, "silent");
    silent_voters_.clear();
    for (auto const& member : members_)
    {
        auto const silence =
            cbor_number(silent, member.identity.value().toUtf8().constData());
        if (silence > 0)
        {
            silent_voters_[member.identity] =
                now - std::min(milliseconds(silence), longest_silence);
        }
    }
    silent_voters_[leader_->identity] = now;
}

QCborMap raft_node::handle_append(QCborMap const& message)
{
    if (!accept_leader(message))
    {
        return reply(false);
    }
    take_silent_voters(message);
    log_index const previous(cbor_number(message, "previous_index"));
    log_term const previous_term(cbor_number(message, "previous_term"));
    bool const is_covered = previous < storage_.snapshot().index;
    if (!is_covered && storage_.term_at(previous) != previous_term)
    {
        return refuse_entries(previous);
    }
    if (!store_entries(message))
    {
        return reply(false);
    }
    auto const sent = cbor_array(message, "entries").size();
    log_index const match(previous.value() + sent);
    log_index const commit(cbor_number(message, "commit"));
    commit_index_ = std::max(commit_index_, std::min(commit, match));
    apply_committed();
    if (applied_index_ >= commit)
    {
        caught_up_ = clock_.now();
    }
    auto answer = reply(true);
    answer[QLatin1String("match")] = match.value();
    return answer;
}

QCborMap raft_node::refuse_entries(log_index previous) const
{
    auto match = std::min(storage_.last_index(), previous_index(previous));
    // A leader that differs in one entry of a term is likely to differ in all
    // of them; nothing up to the commit index can differ.
    auto const differing = storage_.term_at(previous);
    while (differing && match > commit_index_ &&
           storage_.term_at(match) == differing)
    {
        match = previous_index(match);
    }
    auto answer = reply(false);
    answer[QLatin1String("match")] = std::max(match, commit_index_).value();
    return answer;
}

bool raft_node::store_entries(QCborMap const& message)
{
    std::vector<raft_entry> fresh;
    for (auto const& value : cbor_array(message, "entries"))
    {
        auto entry = entry_from_cbor(value.toMap());
        if (entry.index <= storage_.snapshot().index)
        {
            continue;
        }
        if (fresh.empty())
        {
            auto const held = storage_.term_at(entry.index);
            if (held == entry.term)
            {
                continue;
            }
            if (held && !storage_.truncate_from(entry.index))
            {
                return false;
            }
        }
        fresh.push_back(std::move(entry));
    }
    bool const is_stored = static_cast<bool>(storage_.append(fresh));
    refresh_members();
    if (!is_stored)
    {
        raft_log.error(QStringLiteral("Cannot append to the log."));
    }
    return is_stored;
}

QCborMap raft_node::handle_snapshot(QCborMap const& message)
{
    if (!accept_leader(message))
    {
        return reply(false);
    }
    log_index const index(cbor_number(message, "index"));
    auto const offset = cbor_number(message, "offset");
    auto const size = cbor_number(message, "size");
    if (index != incoming_snapshot_index_ || offset == 0)
    {
        incoming_snapshot_.clear();
        incoming_snapshot_index_ = index;
    }
    auto answer = reply(true);
    // A chunk that came twice is not added twice.
    if (offset == incoming_snapshot_.size())
    {
        incoming_snapshot_ += cbor_bytes(message, "bytes");
    }
    answer[QLatin1String("received")] = incoming_snapshot_.size();
    if (incoming_snapshot_.size() < size || index <= commit_index_)
    {
        if (index <= commit_index_)
        {
            answer[QLatin1String("received")] = size;
        }
        return answer;
    }
    raft_snapshot snapshot{index, log_term(cbor_number(message, "index_term")),
                           members_from_cbor(cbor_map(message, "members")),
                           std::exchange(incoming_snapshot_, {})};
    incoming_snapshot_index_ = log_index(0);
    if (!take_over_snapshot(std::move(snapshot)))
    {
        raft_log.error(QStringLiteral("Cannot take over a snapshot."));
        return reply(false);
    }
    raft_log.info(QStringLiteral("Took over a snapshot up to entry %1.")
                      .arg(index.value()));
    commit_index_ = index;
    applied_index_ = index;
    refresh_members();
    return answer;
}

bool raft_node::take_over_snapshot(raft_snapshot snapshot)
{
    // Read before it is stored, so that none is stored that cannot be read.
    auto const former = machine_.snapshot();
    if (!machine_.restore(snapshot.state))
    {
        return false;
    }
    if (!storage_.save_snapshot(std::move(snapshot)))
    {
        machine_.restore(former);
        return false;
    }
    return true;
}

} // namespace verbenacove
