#include "verbenacove/process/raft_node_detail.hpp"

#include <utility>

namespace verbenacove
{

using namespace raft_detail;

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
    std::vector<raft_member> learners;
    for (auto const& [id, peer] : peers_)
    {
        // Under constant load a learner is always a message behind.
        if (!peer.is_voter && peer.match.value() > 0 &&
            peer.match >= committed_before_)
        {
            learners.push_back(peer.member);
        }
    }
    // A former identity goes first, so that no majority of the old set misses
    // one of the new set.
    auto const successor =
        std::find_if(learners.begin(), learners.end(),
                     [this](raft_member const& learner)
                     { return has_name(members_, learner.name); });
    if (successor != learners.end())
    {
        auto members = members_;
        std::erase_if(members, [&successor](raft_member const& member)
                      { return member.name == successor->name; });
        propose_members(std::move(members));
        return;
    }
    if (learners.empty())
    {
        return;
    }
    if (members_.size() < settings_.maximum_voters)
    {
        voter_placement const placement(members_, settings_.maximum_voters,
                                        location_of_);
        promote(*placement.choose_learner(learners));
        return;
    }
    // Makes room for a learner; it is promoted by a change of its own.
    auto const* voter = lost_voter();
    voter = voter != nullptr ? voter : surplus_voter(learners);
    if (voter != nullptr)
    {
        auto members = members_;
        std::erase(members, *voter);
        propose_members(std::move(members));
    }
}

void raft_node::promote(raft_member const& learner)
{
    auto members = members_;
    members.push_back(learner);
    propose_members(std::move(members));
}

raft_member const* raft_node::lost_voter() const
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
    return lost == members_.end() ? nullptr : &*lost;
}

raft_member const*
raft_node::surplus_voter(std::vector<raft_member> const& learners)
{
    auto const now = clock_.now();
    if (elapsed(placement_checked_, now) < placement_interval)
    {
        return nullptr;
    }
    placement_checked_ = now;
    voter_placement const placement(members_, settings_.maximum_voters,
                                    location_of_);
    return placement.surplus_voter(learners, identity());
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

} // namespace verbenacove
