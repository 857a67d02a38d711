#include "verbenacove/process/raft_node_detail.hpp"

#include <utility>

namespace verbenacove
{

using namespace raft_detail;

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
    inherit_silent_voters();
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
    if (is_halted_)
    {
        return false;
    }
    if (is_leader())
    {
        return has_live_leader() && storage_.term_at(commit_index_) == term();
    }
    return has_live_leader() &&
           elapsed(caught_up_, clock_.now()) < settings_.election_timeout;
}

} // namespace verbenacove
