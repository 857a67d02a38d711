#include "verbenacove/process/raft_node_detail.hpp"

#include <utility>

namespace verbenacove
{

using namespace raft_detail;

// Replication by the leader.

void raft_node::flush()
{
    if (!is_leader() || queued_.empty())
    {
        return;
    }
    // One write and one sync for all that has gathered.
    std::vector<raft_entry> entries;
    auto index = storage_.last_index();
    for (auto& [entry, done] : queued_)
    {
        index = next_index(index);
        entry.index = index;
        entry.term = term();
        entries.push_back(entry);
    }
    if (!storage_.append(entries))
    {
        raft_log.error(QStringLiteral("Cannot append to the log."));
        auto const refused = std::exchange(queued_, {});
        auto const end = storage_.is_log_uncertain() ? proposal_end::unknown
                                                     : proposal_end::not_taken;
        step_down(term(), std::nullopt);
        for (auto const& [entry, done] : refused)
        {
            if (done)
            {
                done(end, {});
            }
        }
        return;
    }
    for (auto& [entry, done] : queued_)
    {
        if (done)
        {
            pending_[entry.index] = {entry.term, std::move(done)};
        }
    }
    queued_.clear();
    refresh_members();
    replicate();
    advance_commit();
}

void raft_node::replicate()
{
    std::vector<replica_id> ids;
    for (auto const& [id, peer] : peers_)
    {
        ids.push_back(id);
    }
    for (auto const& id : ids)
    {
        replicate_to(id);
    }
}

void raft_node::replicate_to(replica_id const& id)
{
    auto const found = peers_.find(id);
    if (found == peers_.end())
    {
        return;
    }
    auto& peer = found->second;
    if (peer.is_waiting)
    {
        send_heartbeat(peer);
        return;
    }
    auto const now = clock_.now();
    bool const has_news =
        peer.next <= storage_.last_index() || peer.snapshot != nullptr;
    bool const is_due = elapsed(peer.last_sent, now) >= settings_.heartbeat;
    bool const is_asked = !confirmations_.empty() &&
                          confirmations_.back().asked > peer.acknowledged;
    // One that is gone or takes nothing is tried at each heartbeat only.
    bool const is_wanted = (has_news || is_asked) && !peer.is_failing;
    if (!is_wanted && !is_due)
    {
        return;
    }
    peer.last_sent = now;
    peer.is_waiting = true;
    bool const is_behind = peer.next <= storage_.snapshot().index;
    if (is_behind || peer.snapshot)
    {
        send_snapshot(peer);
    }
    else
    {
        send_entries(peer);
    }
}

void raft_node::send_entries(peer_progress& peer)
{
    auto message = message_to(peer.member, "raft.append");
    auto const previous = previous_index(peer.next);
    message[QLatin1String("previous_index")] = previous.value();
    message[QLatin1String("previous_term")] =
        storage_.term_at(previous).value_or(log_term(0)).value();
    message[QLatin1String("commit")] = commit_index_.value();
    QCborArray entries;
    qint64 bytes = 0;
    for (auto index = peer.next;
         index <= storage_.last_index() &&
         entries.size() < settings_.maximum_batch_entries &&
         bytes < settings_.maximum_batch_bytes;
         index = next_index(index))
    {
        auto const entry = to_cbor(storage_.entry_at(index));
        bytes += entry.toCborValue().toCbor().size();
        entries.append(entry);
    }
    message[QLatin1String("entries")] = entries;
    add_silent_voters(message);
    std::weak_ptr<bool> const alive = is_alive_;
    send_content(peer, std::move(message), bytes,
                 [this, alive, id = peer.member.identity, sent = clock_.now(),
                  sent_term = term()](std::optional<QCborMap> const& answer)
                 {
                     if (!alive.expired() && term() == sent_term)
                     {
                         take_append_reply(id, sent, answer);
                     }
                 });
}

void raft_node::send_content(peer_progress& peer, QCborMap message,
                             qint64 bytes, raft_transport::callback done)
{
    peer.is_waiting_for_bulk = bytes > maximum_small_message_bytes;
    if (!peer.is_waiting_for_bulk)
    {
        transport_.send(peer.member.address, std::move(message),
                        settings_.call_timeout, std::move(done));
        return;
    }
    milliseconds const transfer(bytes * 1000 / settings_.minimum_bulk_rate);
    transport_.send_bulk(peer.member.address, std::move(message),
                         settings_.call_timeout + transfer, std::move(done));
}

void raft_node::send_heartbeat(peer_progress& peer)
{
    auto const now = clock_.now();
    bool const is_due = elapsed(peer.last_sent, now) >= settings_.heartbeat;
    if (!peer.is_waiting_for_bulk || peer.is_waiting_for_heartbeat || !is_due)
    {
        return;
    }
    peer.last_sent = now;
    peer.is_waiting_for_heartbeat = true;
    auto message = message_to(peer.member, "raft.append");
    message[QLatin1String("previous_index")] = peer.match.value();
    message[QLatin1String("previous_term")] =
        storage_.term_at(peer.match).value_or(log_term(0)).value();
    message[QLatin1String("commit")] = commit_index_.value();
    message[QLatin1String("entries")] = QCborArray();
    std::weak_ptr<bool> const alive = is_alive_;
    transport_.send(peer.member.address, std::move(message),
                    settings_.call_timeout,
                    [this, alive, id = peer.member.identity, sent = now,
                     sent_term = term()](std::optional<QCborMap> const& answer)
                    {
                        if (!alive.expired() && term() == sent_term)
                        {
                            take_heartbeat_reply(id, sent, answer);
                        }
                    });
}

void raft_node::send_snapshot(peer_progress& peer)
{
    if (!peer.snapshot)
    {
        // Held for the whole transfer, also when a newer one is taken.
        peer.snapshot =
            std::make_shared<raft_snapshot const>(storage_.snapshot());
        peer.snapshot_offset = 0;
    }
    auto const& snapshot = *peer.snapshot;
    auto message = message_to(peer.member, "raft.snapshot");
    message[QLatin1String("index")] = snapshot.index.value();
    message[QLatin1String("index_term")] = snapshot.term.value();
    message[QLatin1String("members")] = to_cbor(snapshot.members);
    message[QLatin1String("offset")] = peer.snapshot_offset;
    message[QLatin1String("size")] = snapshot.state.size();
    auto const chunk = snapshot.state.mid(peer.snapshot_offset,
                                          settings_.snapshot_chunk_bytes);
    message[QLatin1String("bytes")] = chunk;
    std::weak_ptr<bool> const alive = is_alive_;
    send_content(peer, std::move(message), chunk.size(),
                 [this, alive, id = peer.member.identity, sent = clock_.now(),
                  sent_term = term()](std::optional<QCborMap> const& answer)
                 {
                     if (!alive.expired() && term() == sent_term)
                     {
                         take_snapshot_reply(id, sent, answer);
                     }
                 });
}

bool raft_node::take_reply_header(peer_progress& peer, monotonic_time sent,
                                  std::optional<QCborMap> const& answer)
{
    peer.is_waiting = false;
    peer.is_waiting_for_bulk = false;
    peer.is_failing = !answer.has_value();
    if (!answer || answer->contains(QLatin1String("other_identity")) ||
        adopt_term(log_term(cbor_number(*answer, "term"))))
    {
        return false;
    }
    peer.acknowledged = std::max(peer.acknowledged, sent);
    peer.readable_form = static_cast<int>(cbor_number(*answer, "reads", 1));
    return true;
}

void raft_node::take_append_reply(replica_id const& id, monotonic_time sent,
                                  std::optional<QCborMap> const& answer)
{
    auto const found = peers_.find(id);
    if (!is_leader() || found == peers_.end() ||
        !take_reply_header(found->second, sent, answer))
    {
        return;
    }
    auto& peer = found->second;
    log_index const match(cbor_number(*answer, "match"));
    if (cbor_flag(*answer, "ok"))
    {
        peer.match = std::max(peer.match, match);
        peer.next = next_index(peer.match);
        advance_commit();
    }
    else if (answer->contains(QLatin1String("match")))
    {
        peer.next = next_index(std::min(match, previous_index(peer.next)));
    }
    else
    {
        peer.is_failing = true;
    }
    answer_confirmations();
    replicate_to(id);
}

void raft_node::take_heartbeat_reply(replica_id const& id, monotonic_time sent,
                                     std::optional<QCborMap> const& answer)
{
    auto const found = peers_.find(id);
    if (!is_leader() || found == peers_.end())
    {
        return;
    }
    auto& peer = found->second;
    peer.is_waiting_for_heartbeat = false;
    if (!answer || answer->contains(QLatin1String("other_identity")) ||
        adopt_term(log_term(cbor_number(*answer, "term"))))
    {
        return;
    }
    peer.acknowledged = std::max(peer.acknowledged, sent);
    answer_confirmations();
}

void raft_node::take_snapshot_reply(replica_id const& id, monotonic_time sent,
                                    std::optional<QCborMap> const& answer)
{
    auto const found = peers_.find(id);
    if (!is_leader() || found == peers_.end() ||
        !take_reply_header(found->second, sent, answer))
    {
        return;
    }
    auto& peer = found->second;
    if (!peer.snapshot || !cbor_flag(*answer, "ok"))
    {
        peer.snapshot.reset();
        peer.is_failing = true;
        return;
    }
    peer.snapshot_offset = cbor_number(*answer, "received");
    if (peer.snapshot_offset >= peer.snapshot->state.size())
    {
        peer.match = std::max(peer.match, peer.snapshot->index);
        peer.next = next_index(peer.match);
        peer.snapshot.reset();
    }
    answer_confirmations();
    replicate_to(id);
}

void raft_node::advance_commit()
{
    std::vector<log_index> matches;
    for (auto const& member : members_)
    {
        if (member.identity == identity())
        {
            matches.push_back(storage_.last_index());
            continue;
        }
        auto const peer = peers_.find(member.identity);
        matches.push_back(peer == peers_.end() ? log_index(0)
                                               : peer->second.match);
    }
    if (matches.empty())
    {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    auto const majority = matches[matches.size() / 2];
    // Entries of earlier terms are committed only by one of this term.
    if (majority <= commit_index_ || storage_.term_at(majority) != term())
    {
        return;
    }
    commit_index_ = majority;
    apply_committed();
}

void raft_node::refresh_progress()
{
    for (auto& [id, peer] : peers_)
    {
        peer.is_voter = has_identity(members_, id);
    }
    for (auto const& member : members_)
    {
        if (member.identity == identity() || peers_.count(member.identity) > 0)
        {
            continue;
        }
        peer_progress peer;
        peer.member = member;
        peer.is_voter = true;
        peer.next = next_index(storage_.last_index());
        peer.acknowledged = clock_.now() - settings_.election_timeout / 2;
        peers_[member.identity] = peer;
    }
    std::erase_if(peers_,
                  [this](auto const& item)
                  {
                      auto const& peer = item.second;
                      return !peer.is_voter &&
                             elapsed(peer.asked, clock_.now()) > learner_expiry;
                  });
}

monotonic_time raft_node::majority_acknowledged() const
{
    std::vector<monotonic_time> times;
    for (auto const& member : members_)
    {
        if (member.identity == identity())
        {
            times.push_back(clock_.now());
            continue;
        }
        auto const peer = peers_.find(member.identity);
        times.push_back(peer == peers_.end() ? monotonic_time{}
                                             : peer->second.acknowledged);
    }
    if (times.empty())
    {
        return {};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[times.size() / 2];
}

void raft_node::add_silent_voters(QCborMap& message) const
{
    QCborMap silent;
    for (auto const& [id, peer] : peers_)
    {
        auto const silence = elapsed(peer.acknowledged, clock_.now());
        if (peer.is_voter && silence > settings_.election_timeout)
        {
            silent[id.value()] = qint64{silence.count()};
        }
    }
    if (!silent.isEmpty())
    {
        message[QLatin1String("silent")] = silent;
    }
}

void raft_node::inherit_silent_voters()
{
    for (auto& [id, peer] : peers_)
    {
        auto const silent = silent_voters_.find(id);
        if (silent != silent_voters_.end() && !votes_.granted.contains(id))
        {
            peer.acknowledged = std::min(peer.acknowledged, silent->second);
        }
    }
}

void raft_node::answer_confirmations()
{
    auto const confirmed = majority_acknowledged();
    std::vector<pending_confirmation> ready;
    std::erase_if(confirmations_,
                  [&](pending_confirmation& waiting)
                  {
                      if (waiting.asked > confirmed)
                      {
                          return false;
                      }
                      ready.push_back(std::move(waiting));
                      return true;
                  });
    for (auto const& waiting : ready)
    {
        waiting.done(true);
    }
}

void raft_node::check_majority()
{
    auto const now = clock_.now();
    auto const silence = elapsed(majority_acknowledged(), now);
    if (silence > settings_.election_timeout && now >= unread_until_ &&
        elapsed(leader_since_, now) > settings_.election_timeout)
    {
        raft_log.warn(QStringLiteral("No majority answers; stepping down."));
        step_down(term(), std::nullopt);
    }
}

} // namespace verbenacove
