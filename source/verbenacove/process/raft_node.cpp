#include "verbenacove/process/raft_node.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/log.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

log_part const raft_log{"raft"};

constexpr milliseconds join_interval{500};
constexpr milliseconds learner_expiry{5000};
constexpr milliseconds name_in_use_for{5000};
constexpr milliseconds compaction_interval{1000};
constexpr int hand_over_timeouts = 2;

QString named(raft_member const& member)
{
    return member.name + QLatin1Char('/') + member.identity.value().left(8);
}

bool has_identity(raft_members const& members, replica_id const& id)
{
    return std::any_of(members.begin(), members.end(),
                       [&id](raft_member const& member)
                       { return member.identity == id; });
}

} // namespace

raft_node::raft_node(raft_settings settings, raft_storage& storage,
                     raft_transport& transport, state_machine& machine,
                     clock_source const& clock, socket_address own_address,
                     QString own_name)
    : settings_(std::move(settings))
    , storage_(storage)
    , transport_(transport)
    , machine_(machine)
    , clock_(clock)
    , own_address_(std::move(own_address))
    , own_name_(std::move(own_name))
    , random_(settings_.seed)
{
    auto const& snapshot = storage_.snapshot();
    if (!snapshot.state.isEmpty() && !machine_.restore(snapshot.state))
    {
        raft_log.error(QStringLiteral("The stored snapshot cannot be read."));
    }
    commit_index_ = snapshot.index;
    applied_index_ = snapshot.index;
    refresh_members();
    reset_election_deadline();
}

// Operations of the leader.

void raft_node::propose(QCborMap command, proposal_callback done)
{
    bool const is_full = static_cast<int>(queued_.size() + pending_.size()) >=
                         settings_.maximum_pending_proposals;
    if (!is_leader() || is_handing_over_ || is_full)
    {
        done(proposal_end::not_taken, {});
        return;
    }
    queued_.emplace_back(raft_entry{log_index(0), term(),
                                    raft_entry_kind::command,
                                    std::move(command)},
                         std::move(done));
}

void raft_node::confirm_leadership(confirm_callback done)
{
    // Until an entry of its own term is committed, a leader may not know of
    // all that was committed before it.
    bool const knows_all =
        is_leader() && storage_.term_at(commit_index_) == term();
    bool const is_full = static_cast<int>(confirmations_.size()) >=
                         settings_.maximum_pending_proposals;
    if (!knows_all || is_full)
    {
        done(false);
        return;
    }
    confirmations_.push_back({clock_.now(), std::move(done)});
    replicate();
    answer_confirmations();
}

void raft_node::hand_over_leadership()
{
    if (!is_leader() || is_handing_over_)
    {
        return;
    }
    flush();
    is_handing_over_ = true;
    hand_over_until_ =
        clock_.now() + hand_over_timeouts * settings_.election_timeout;
    try_hand_over();
}

void raft_node::try_hand_over()
{
    if (!is_leader() || !is_handing_over_)
    {
        return;
    }
    if (clock_.now() >= hand_over_until_)
    {
        raft_log.warn(QStringLiteral("Nobody took over; leading on."));
        is_handing_over_ = false;
        return;
    }
    peer_progress const* best = nullptr;
    for (auto const& [id, peer] : peers_)
    {
        bool const is_heard = elapsed(peer.acknowledged, clock_.now()) <
                              settings_.election_timeout;
        if (peer.is_voter && is_heard &&
            (best == nullptr || peer.match > best->match))
        {
            best = &peer;
        }
    }
    // What is in hand gets its answer first; tried again at the next tick.
    bool const is_done = commit_index_ == storage_.last_index();
    if (best == nullptr || best->match < storage_.last_index() || !is_done)
    {
        return;
    }
    raft_log.info(
        QStringLiteral("Handing leadership to %1.").arg(named(best->member)));
    transport_.send(best->member.address,
                    message_to(best->member, "raft.take_over"),
                    settings_.call_timeout, [](auto const&) {});
}

// Driving the node.

void raft_node::tick()
{
    auto const now = clock_.now();
    if (is_leader())
    {
        check_majority();
    }
    if (is_leader())
    {
        flush();
        replicate();
        promote_learners();
        committed_before_ = commit_index_;
        try_hand_over();
        return;
    }
    if (!is_voter())
    {
        ask_to_join();
        return;
    }
    if (now >= election_deadline_)
    {
        start_pre_vote();
    }
}

QCborMap raft_node::handle(QCborMap const& message)
{
    auto const kind = cbor_text(message, "m");
    if (kind == QLatin1String("raft.join"))
    {
        return handle_join(message);
    }
    // A message for a former identity must not reach this one: it has
    // forgotten what that one promised.
    if (cbor_text(message, "to") != identity().value())
    {
        return {{QLatin1String("other_identity"), true}};
    }
    if (kind == QLatin1String("raft.pre_vote"))
    {
        return handle_vote(message, true);
    }
    if (kind == QLatin1String("raft.vote"))
    {
        return handle_vote(message, false);
    }
    if (kind == QLatin1String("raft.append"))
    {
        return handle_append(message);
    }
    if (kind == QLatin1String("raft.snapshot"))
    {
        return handle_snapshot(message);
    }
    if (kind == QLatin1String("raft.take_over") && is_voter() &&
        cbor_number(message, "term") == term().value())
    {
        start_election(true);
        return reply(role_ == raft_role::candidate || is_leader());
    }
    return reply(false);
}

// What the node knows.

bool raft_node::is_voter() const
{
    return has_identity(members_, identity());
}

std::optional<raft_member> raft_node::leader() const
{
    return is_leader() ? own_member() : leader_;
}

std::vector<raft_node::peer_status> raft_node::peers() const
{
    std::vector<peer_status> result;
    for (auto const& [id, peer] : peers_)
    {
        bool const is_heard = elapsed(peer.acknowledged, clock_.now()) <
                              settings_.election_timeout;
        result.push_back({peer.member, peer.match, peer.is_voter, is_heard});
    }
    return result;
}

// Elections.

void raft_node::reset_election_deadline()
{
    auto const span = settings_.election_timeout.count();
    std::uniform_int_distribution<qint64> spread(span, 2 * span);
    election_deadline_ = clock_.now() + milliseconds(spread(random_));
}

void raft_node::start_pre_vote()
{
    reset_election_deadline();
    role_ = raft_role::pre_candidate;
    leader_.reset();
    votes_ = {log_term(term().value() + 1), {identity()}};
    ask_for_votes(true, false);
}

void raft_node::start_election(bool is_transfer)
{
    reset_election_deadline();
    raft_vote const vote{log_term(term().value() + 1), identity()};
    if (!storage_.save_vote(vote))
    {
        raft_log.error(QStringLiteral("Cannot store a vote."));
        role_ = raft_role::follower;
        return;
    }
    role_ = raft_role::candidate;
    leader_.reset();
    votes_ = {vote.term, {identity()}};
    ask_for_votes(false, is_transfer);
}

void raft_node::ask_for_votes(bool is_pre_vote, bool is_transfer)
{
    for (auto const& member : members_)
    {
        if (member.identity == identity())
        {
            continue;
        }
        auto message =
            message_to(member, is_pre_vote ? "raft.pre_vote" : "raft.vote");
        message[QLatin1String("term")] = votes_.term.value();
        message[QLatin1String("last_index")] = storage_.last_index().value();
        message[QLatin1String("last_term")] = storage_.last_term().value();
        message[QLatin1String("transfer")] = is_transfer;
        std::weak_ptr<bool> const alive = is_alive_;
        transport_.send(
            member.address, std::move(message), settings_.call_timeout,
            [this, alive, is_pre_vote, asked = votes_.term,
             id = member.identity](std::optional<QCborMap> const& answer)
            {
                if (alive.expired() || !answer)
                {
                    return;
                }
                auto named_answer = *answer;
                named_answer[QLatin1String("from")] = id.value();
                take_vote_reply(is_pre_vote, asked, named_answer);
            });
    }
    // A single replica is its own majority.
    take_vote_reply(is_pre_vote, votes_.term, std::nullopt);
}

void raft_node::take_vote_reply(bool is_pre_vote, log_term asked_term,
                                std::optional<QCborMap> const& answer)
{
    if (answer && adopt_term(log_term(cbor_number(*answer, "term"))))
    {
        return;
    }
    auto const expected =
        is_pre_vote ? raft_role::pre_candidate : raft_role::candidate;
    if (role_ != expected || votes_.term != asked_term)
    {
        return;
    }
    if (answer && cbor_flag(*answer, "ok"))
    {
        votes_.granted.insert(replica_id(cbor_text(*answer, "from")));
    }
    auto const count =
        std::count_if(members_.begin(), members_.end(),
                      [this](raft_member const& member)
                      { return votes_.granted.contains(member.identity); });
    if (count * 2 <= static_cast<qint64>(members_.size()))
    {
        return;
    }
    if (is_pre_vote)
    {
        start_election(false);
    }
    else
    {
        become_leader();
    }
}

void raft_node::become_leader()
{
    raft_log.info(
        QStringLiteral("Became leader of term %1.").arg(term().value()));
    role_ = raft_role::leader;
    leader_.reset();
    leader_since_ = clock_.now();
    is_handing_over_ = false;
    committed_before_ = storage_.last_index();
    peers_.clear();
    refresh_progress();
    queued_.clear();
    queued_.emplace_back(
        raft_entry{log_index(0), term(), raft_entry_kind::no_operation, {}},
        nullptr);
    flush();
}

void raft_node::step_down(log_term new_term, std::optional<raft_member> leader)
{
    if (role_ == raft_role::leader)
    {
        raft_log.info(
            QStringLiteral("No longer leader of term %1.").arg(term().value()));
    }
    if (new_term > term() && !storage_.save_vote({new_term, replica_id()}))
    {
        raft_log.error(QStringLiteral("Cannot store a term."));
    }
    bool const was_leader = role_ == raft_role::leader;
    role_ = raft_role::follower;
    leader_ = std::move(leader);
    is_handing_over_ = false;
    reset_election_deadline();
    if (was_leader)
    {
        peers_.clear();
        fail_pending(proposal_end::unknown);
    }
}

bool raft_node::adopt_term(log_term new_term)
{
    if (new_term <= term())
    {
        return false;
    }
    step_down(new_term, std::nullopt);
    return true;
}

QCborMap raft_node::handle_vote(QCborMap const& message, bool is_pre_vote)
{
    log_term const asked(cbor_number(message, "term"));
    replica_id const candidate(cbor_text(message, "from"));
    bool const is_transfer = cbor_flag(message, "transfer");
    if (asked < term() || (has_live_leader() && !is_transfer))
    {
        return reply(false);
    }
    if (is_pre_vote)
    {
        return reply(asked > term() && has_current_log(message));
    }
    adopt_term(asked);
    bool const is_free = storage_.vote().candidate.value().isEmpty() ||
                         storage_.vote().candidate == candidate;
    // A replica that does not yet know that its vote counts gives it: the
    // candidate's log says whose votes count.
    if (asked != term() || !is_free || !has_current_log(message) ||
        !storage_.save_vote({asked, candidate}))
    {
        return reply(false);
    }
    reset_election_deadline();
    return reply(true);
}

bool raft_node::has_current_log(QCborMap const& message) const
{
    log_term const last_term(cbor_number(message, "last_term"));
    log_index const last_index(cbor_number(message, "last_index"));
    if (last_term != storage_.last_term())
    {
        return last_term > storage_.last_term();
    }
    return last_index >= storage_.last_index();
}

bool raft_node::has_live_leader() const
{
    if (is_leader())
    {
        return elapsed(majority_acknowledged(), clock_.now()) <
               settings_.election_timeout;
    }
    return leader_ &&
           elapsed(leader_heard_, clock_.now()) < settings_.election_timeout;
}

bool raft_node::is_current() const
{
    if (is_leader())
    {
        return has_live_leader() && storage_.term_at(commit_index_) == term();
    }
    return has_live_leader() &&
           elapsed(caught_up_, clock_.now()) < settings_.election_timeout;
}

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
    if (found == peers_.end() || found->second.is_waiting)
    {
        return;
    }
    auto& peer = found->second;
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
    std::weak_ptr<bool> const alive = is_alive_;
    transport_.send(
        peer.member.address, std::move(message), settings_.call_timeout,
        [this, alive, id = peer.member.identity, sent = clock_.now(),
         sent_term = term()](std::optional<QCborMap> const& answer)
        {
            if (!alive.expired() && term() == sent_term)
            {
                take_append_reply(id, sent, answer);
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
    message[QLatin1String("bytes")] = snapshot.state.mid(
        peer.snapshot_offset, settings_.snapshot_chunk_bytes);
    std::weak_ptr<bool> const alive = is_alive_;
    transport_.send(
        peer.member.address, std::move(message), settings_.call_timeout * 4,
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
    peer.is_failing = !answer.has_value();
    if (!answer || answer->contains(QLatin1String("other_identity")) ||
        adopt_term(log_term(cbor_number(*answer, "term"))))
    {
        return false;
    }
    peer.acknowledged = std::max(peer.acknowledged, sent);
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
    auto const silence = elapsed(majority_acknowledged(), clock_.now());
    if (silence > settings_.election_timeout &&
        elapsed(leader_since_, clock_.now()) > settings_.election_timeout)
    {
        raft_log.warn(QStringLiteral("No majority answers; stepping down."));
        step_down(term(), std::nullopt);
    }
}

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

QCborMap raft_node::handle_append(QCborMap const& message)
{
    if (!accept_leader(message))
    {
        return reply(false);
    }
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

// Membership.

bool raft_node::may_take_part(QString const& name) const
{
    return settings_.known_names.isEmpty() ||
           settings_.known_names.contains(name);
}

QCborMap raft_node::handle_join(QCborMap const& message)
{
    if (!is_leader())
    {
        return reply(false);
    }
    auto const address = parse_socket_address(cbor_text(message, "address"));
    raft_member const joining{cbor_text(message, "name"),
                              replica_id(cbor_text(message, "from")),
                              address.value_or(socket_address{})};
    if (!address || !may_take_part(joining.name) || joining.name == own_name_ ||
        has_identity(members_, joining.identity))
    {
        return reply(false);
    }
    for (auto const& [id, peer] : peers_)
    {
        bool const is_in_use =
            peer.member.name == joining.name && id != joining.identity &&
            elapsed(peer.acknowledged, clock_.now()) < name_in_use_for;
        if (is_in_use)
        {
            return reply(false);
        }
    }
    auto& peer = peers_[joining.identity];
    if (peer.member.identity != joining.identity)
    {
        raft_log.info(
            QStringLiteral("%1 starts to learn.").arg(named(joining)));
        peer.member = joining;
        peer.next = next_index(storage_.last_index());
    }
    peer.asked = clock_.now();
    return reply(true);
}

void raft_node::ask_to_join()
{
    auto const now = clock_.now();
    if (elapsed(join_asked_, now) < join_interval)
    {
        return;
    }
    join_asked_ = now;
    for (auto const& address : settings_.known_addresses)
    {
        if (address != own_address_)
        {
            transport_.send(address, message_to({}, "raft.join"),
                            settings_.call_timeout, [](auto const&) {});
        }
    }
}

void raft_node::promote_learners()
{
    refresh_progress();
    bool const is_settled = members_index_ <= commit_index_ &&
                            storage_.term_at(commit_index_) == term();
    if (!is_settled)
    {
        return;
    }
    for (auto const& [id, peer] : peers_)
    {
        // Under constant load a learner is always a message behind.
        bool const is_ready = !peer.is_voter && peer.match.value() > 0 &&
                              peer.match >= committed_before_;
        if (is_ready && promote(peer))
        {
            return;
        }
    }
}

bool raft_node::promote(peer_progress const& learner)
{
    // The former identity goes first, so that no majority of the old set
    // misses one of the new set.
    auto members = members_;
    auto const removed = std::erase_if(
        members, [name = learner.member.name](raft_member const& member)
        { return member.name == name; });
    if (removed == 0 && members.size() >= settings_.maximum_voters)
    {
        return remove_lost_voter();
    }
    if (removed == 0)
    {
        members.push_back(learner.member);
    }
    propose_members(std::move(members));
    return true;
}

// Makes room for a learner; it is promoted by a change of its own.
bool raft_node::remove_lost_voter()
{
    auto const lost =
        std::find_if(members_.begin(), members_.end(),
                     [this](raft_member const& member)
                     {
                         auto const peer = peers_.find(member.identity);
                         return peer != peers_.end() &&
                                elapsed(peer->second.acknowledged,
                                        clock_.now()) > settings_.replace_after;
                     });
    if (lost == members_.end())
    {
        return false;
    }
    auto members = members_;
    std::erase(members, *lost);
    propose_members(std::move(members));
    return true;
}

void raft_node::propose_members(raft_members members)
{
    QStringList names;
    for (auto const& member : members)
    {
        names += named(member);
    }
    raft_log.info(QStringLiteral("New voting replicas: %1.")
                      .arg(names.join(QStringLiteral(", "))));
    queued_.emplace_back(raft_entry{log_index(0), term(),
                                    raft_entry_kind::members, to_cbor(members)},
                         nullptr);
    flush();
}

void raft_node::refresh_members()
{
    members_ = storage_.members_at(storage_.last_index());
    members_index_ = storage_.snapshot().index;
    for (auto index = storage_.last_index();
         index > storage_.snapshot().index && index > commit_index_;
         index = previous_index(index))
    {
        if (storage_.entry_at(index).kind == raft_entry_kind::members)
        {
            members_index_ = index;
            break;
        }
    }
    if (is_leader())
    {
        refresh_progress();
    }
}

// Both roles.

void raft_node::apply_committed()
{
    while (applied_index_ < commit_index_)
    {
        applied_index_ = next_index(applied_index_);
        // Copied: a callback may compact the log.
        auto const entry = storage_.entry_at(applied_index_);
        QCborMap result;
        if (entry.kind == raft_entry_kind::command)
        {
            result = machine_.apply(entry.content, entry.index);
        }
        auto const waiting = pending_.extract(entry.index);
        if (!waiting.empty())
        {
            bool const is_same = waiting.mapped().term == entry.term;
            waiting.mapped().done(is_same ? proposal_end::committed
                                          : proposal_end::not_taken,
                                  result);
        }
    }
    compact();
}

void raft_node::compact()
{
    bool const is_recent =
        elapsed(compacted_, clock_.now()) < compaction_interval;
    if (storage_.log_bytes() < settings_.snapshot_after_bytes || is_recent ||
        applied_index_ <= storage_.snapshot().index)
    {
        return;
    }
    // Also when it fails: a full disk must not make each entry cost one.
    compacted_ = clock_.now();
    raft_snapshot snapshot{
        applied_index_, storage_.term_at(applied_index_).value_or(log_term(0)),
        storage_.members_at(applied_index_), machine_.snapshot()};
    if (!storage_.save_snapshot(std::move(snapshot)))
    {
        raft_log.error(QStringLiteral("Cannot store a snapshot."));
    }
}

void raft_node::fail_pending(proposal_end end)
{
    auto const queued = std::exchange(queued_, {});
    auto const pending = std::exchange(pending_, {});
    auto const confirmations = std::exchange(confirmations_, {});
    for (auto const& [entry, done] : queued)
    {
        if (done)
        {
            done(proposal_end::not_taken, {});
        }
    }
    for (auto const& [index, waiting] : pending)
    {
        waiting.done(end, {});
    }
    for (auto const& waiting : confirmations)
    {
        waiting.done(false);
    }
}

QCborMap raft_node::message_to(raft_member const& to, char const* kind) const
{
    return {{QLatin1String("m"), QLatin1String(kind)},
            {QLatin1String("to"), to.identity.value()},
            {QLatin1String("from"), identity().value()},
            {QLatin1String("name"), own_name_},
            {QLatin1String("address"), own_address_.text()},
            {QLatin1String("term"), term().value()}};
}

QCborMap raft_node::reply(bool is_ok) const
{
    return {{QLatin1String("ok"), is_ok},
            {QLatin1String("term"), term().value()}};
}

raft_member raft_node::own_member() const
{
    return {own_name_, identity(), own_address_};
}

} // namespace verbenacove
