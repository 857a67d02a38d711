#ifndef VERBENACOVE_PROCESS_RAFT_NODE_DETAIL_HPP
#define VERBENACOVE_PROCESS_RAFT_NODE_DETAIL_HPP

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/log.hpp"
#include "verbenacove/process/raft_node.hpp"

#include <algorithm>

/** What the parts of raft_node share and nobody else uses. */
namespace verbenacove::raft_detail
{

inline log_part const raft_log{"raft"};

constexpr milliseconds join_interval{500};
constexpr milliseconds learner_expiry{5000};
/** A replica that answers does so with each heartbeat. */
constexpr milliseconds name_in_use_for{2000};
/** Silence of a voter beyond this makes no difference. */
constexpr milliseconds longest_silence{3600000};
constexpr milliseconds compaction_interval{1000};
constexpr milliseconds placement_interval{1000};
constexpr int hand_over_timeouts = 2;
/** A larger message may take longer than a heartbeat may be late. */
constexpr qint64 maximum_small_message_bytes = 32 * 1024;

inline QString named(raft_member const& member)
{
    return member.name + QLatin1Char('/') + member.identity.value().left(8);
}

inline bool has_identity(raft_members const& members, replica_id const& id)
{
    return std::any_of(members.begin(), members.end(),
                       [&id](raft_member const& member)
                       { return member.identity == id; });
}

inline bool has_name(raft_members const& members, QString const& name)
{
    return std::any_of(members.begin(), members.end(),
                       [&name](raft_member const& member)
                       { return member.name == name; });
}

} // namespace verbenacove::raft_detail

#endif
