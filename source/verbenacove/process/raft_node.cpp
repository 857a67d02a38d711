#include "verbenacove/process/raft_node_detail.hpp"

#include <utility>

namespace verbenacove
{

using namespace raft_detail;

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
        halt(QStringLiteral("The stored snapshot cannot be read."));
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
    if (is_halted_)
    {
        return;
    }
    allow_for_own_pause(now);
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
    // A voter that was replaced while it was away cannot know that from its own
    // log; the leader takes it in as a learner.
    if (!has_live_leader())
    {
        ask_to_join();
    }
    if (now >= election_deadline_ && now >= unread_until_)
    {
        start_pre_vote();
    }
}

void raft_node::allow_for_own_pause(monotonic_time now)
{
    bool const has_paused = elapsed(last_tick_, now) >= settings_.heartbeat;
    last_tick_ = now;
    // Once per election timeout: a replica that always runs late must not put
    // off its checks for good.
    if (has_paused && now >= unread_until_ + settings_.election_timeout)
    {
        unread_until_ = now + 2 * settings_.heartbeat;
    }
}

QCborMap raft_node::handle(QCborMap const& message)
{
    auto const kind = cbor_text(message, "m");
    if (is_halted_)
    {
        return reply(false);
    }
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

int raft_node::common_form() const
{
    if (!is_leader())
    {
        return 1;
    }
    int result = settings_.readable_form;
    for (auto const& [id, peer] : peers_)
    {
        bool const is_heard = elapsed(peer.acknowledged, clock_.now()) <
                              settings_.election_timeout;
        result = std::min(result, is_heard ? peer.readable_form : 1);
    }
    return result;
}

int raft_node::answering_form() const
{
    auto const now = clock_.now();
    if (!is_leader() ||
        elapsed(majority_acknowledged(), now) >= settings_.election_timeout)
    {
        return 1;
    }
    int result = settings_.readable_form;
    for (auto const& [id, peer] : peers_)
    {
        bool const is_heard =
            elapsed(peer.acknowledged, now) < settings_.election_timeout;
        result = is_heard ? std::min(result, peer.readable_form) : result;
    }
    return result;
}

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
        result.push_back({peer.member, peer.match, peer.is_voter, is_heard,
                          peer.readable_form});
    }
    return result;
}

// Both roles.

bool raft_node::can_apply(raft_entry const& entry) const
{
    bool const is_known_kind = entry.kind == raft_entry_kind::command ||
                               entry.kind == raft_entry_kind::members ||
                               entry.kind == raft_entry_kind::no_operation;
    return is_known_kind && (entry.kind != raft_entry_kind::command ||
                             machine_.can_apply(entry.content));
}

// What this build cannot read must not be skipped: the states of the replicas
// would differ from then on.
void raft_node::halt(QString const& reason)
{
    if (is_halted_)
    {
        return;
    }
    raft_log.error(reason + QStringLiteral(" This replica takes no part."));
    is_halted_ = true;
    if (is_leader())
    {
        step_down(term(), std::nullopt);
    }
}

void raft_node::apply_committed()
{
    while (applied_index_ < commit_index_)
    {
        // Copied: a callback may compact the log.
        auto const entry = storage_.entry_at(next_index(applied_index_));
        if (!can_apply(entry))
        {
            halt(QStringLiteral("Entry %1 of the log was written by a later "
                                "version. Upgrade this VM.")
                     .arg(entry.index.value()));
            return;
        }
        applied_index_ = entry.index;
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
            {QLatin1String("reads"), settings_.readable_form},
            {QLatin1String("term"), term().value()}};
}

raft_member raft_node::own_member() const
{
    return {own_name_, identity(), own_address_};
}

} // namespace verbenacove
