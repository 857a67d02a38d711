#ifndef VERBENACOVE_PROCESS_RAFT_NODE_HPP
#define VERBENACOVE_PROCESS_RAFT_NODE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/process/raft_storage.hpp"
#include "verbenacove/process/raft_types.hpp"
#include "verbenacove/process/state_machine.hpp"
#include "verbenacove/process/voter_placement.hpp"

#include <QSet>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace verbenacove
{

/** What a replica is in its term. */
enum class raft_role
{
    follower,
    pre_candidate,
    candidate,
    leader
};

/** Times and bounds of the replicated log. */
struct raft_settings
{
    milliseconds heartbeat{100};
    /** A follower that hears nothing for this long, to twice as long, asks
        for votes; a leader without a majority for this long steps down. */
    milliseconds election_timeout{600};
    /** Time in which a small message is answered. */
    milliseconds call_timeout{500};
    /** Rate at which a large message is expected to be transferred at least,
        in bytes per second; added to `call_timeout`. */
    qint64 minimum_bulk_rate = 256 * 1024;
    /** A log larger than this is replaced by a snapshot, in bytes. */
    qint64 snapshot_after_bytes = 32 * 1024 * 1024;
    int maximum_batch_entries = 512;
    qint64 maximum_batch_bytes = 1024 * 1024;
    qint64 snapshot_chunk_bytes = 512 * 1024;
    int maximum_pending_proposals = 8192;
    /** Names that may take part; empty lets any take part. */
    QSet<QString> known_names;
    /** The form of commands that this build can read; told to the leader. */
    int readable_form = 1;
    /** The most voting replicas; further ones learn, and replace a voter that
        was lost. */
    std::size_t maximum_voters = 7;
    /** A voter that was not heard for so long gives its place to a learner
        that is ready; longer than a restart. A voter that was only cut off
        learns again and takes the next place. */
    milliseconds replace_after{2000};
    /** Where a replica without a vote asks to be taken in. */
    std::vector<socket_address> known_addresses;
    quint64 seed = 0;
};

/** Carries a replica's messages to the others.

    @see raft_rpc_transport
*/
class raft_transport
{
public:
    /** Gets the reply, or nothing when none came in time. */
    using callback = std::function<void(std::optional<QCborMap>)>;

    virtual ~raft_transport() = default;

    /** Sends a message; calls back once, never from within this call. */
    virtual void send(socket_address const& to, QCborMap message,
                      milliseconds timeout, callback done) = 0;

    /** Like `send`, for a message that takes long to transfer: messages of
        `send` do not wait for it, and it may arrive after later ones. */
    virtual void send_bulk(socket_address const& to, QCborMap message,
                           milliseconds timeout, callback done)
    {
        send(to, std::move(message), timeout, std::move(done));
    }
};

/** One replica of the log: elects a leader, replicates commands, applies
    them once a majority has them on its disks.

    The protocol is Raft with pre-vote, a leader that steps down without a
    majority, reads confirmed by a majority, snapshots in chunks, and changes
    of one voting replica at a time. A replica whose disk was lost starts with
    a new identity and no vote: it asks to join, learns all that is committed,
    and only then takes the place of its former identity.

    It does nothing by itself: call `tick` every 10 to 50 ms, and hand in
    the messages of the others.
*/
class raft_node
{
public:
    /** What became of a proposal. */
    enum class proposal_end
    {
        /** A majority holds it, and it was applied. */
        committed,
        /** It was not taken: nothing will come of it. */
        not_taken,
        /** It may or may not be committed later. */
        unknown
    };

    /** Gets what became of a proposal, and the result of applying it. */
    using proposal_callback = std::function<void(proposal_end, QCborMap)>;

    /** Gets true when a majority confirmed the leader after the question. */
    using confirm_callback = std::function<void(bool)>;

    /** The others, as a leader sees them; for operators. */
    struct peer_status
    {
        raft_member member;
        log_index match;
        bool is_voter = false;
        bool is_heard = false;
        /** The form of commands that it says it can read. */
        int readable_form = 1;
    };

    /** All parts handed in must outlive the node. */
    raft_node(raft_settings settings, raft_storage& storage,
              raft_transport& transport, state_machine& machine,
              clock_source const& clock, socket_address own_address,
              QString own_name);
    raft_node(raft_node const&) = delete;
    raft_node& operator=(raft_node const&) = delete;

    // Operations of the leader.

    /** Proposes a command; calls back exactly once, perhaps much later. */
    void propose(QCborMap command, proposal_callback done);

    /** Writes and sends what was proposed, all with one sync.

        Proposals gather until then; call it once the events at hand have been
        handled. `tick` calls it too.
    */
    void flush();

    /** Asks a majority whether this replica still leads. */
    void confirm_leadership(confirm_callback done);

    /** Hands leadership to the replica that is furthest, to stop without an
        election; does nothing on a follower.

        Nothing is taken meanwhile. When no other has taken over within two
        election timeouts, this replica leads on.
    */
    void hand_over_leadership();

    /** Sets where a replica without a vote asks to be taken in. */
    void set_known_addresses(std::vector<socket_address> addresses)
    {
        settings_.known_addresses = std::move(addresses);
    }

    /** Sets where the location of a replica is looked up, to spread the voting
        ones; unknown by default. */
    void set_location_lookup(voter_placement::location_lookup lookup)
    {
        location_of_ = std::move(lookup);
    }

    /** Returns the form of commands that all replicas can read: the lowest that
        one of them has told, while each voter answers. On a follower the
        first one. */
    int common_form() const;

    /** Returns the lowest form that a replica which answers now has told, while
        a majority does. One that does not answer, and cannot read a form that
       is raised, takes no part any more when it is back. */
    int answering_form() const;

    /** Returns whether this replica takes no part, because it has met what a
        later build has written. */
    bool is_halted() const { return is_halted_; }

    // Driving the node.

    /** Acts on the time that has passed. */
    void tick();

    /** Handles a message of another replica and returns the reply. */
    QCborMap handle(QCborMap const& message);

    // What the node knows.

    raft_role role() const { return role_; }
    bool is_leader() const { return role_ == raft_role::leader; }
    log_term term() const { return storage_.vote().term; }
    log_index commit_index() const { return commit_index_; }
    log_index applied_index() const { return applied_index_; }
    replica_id const& identity() const { return storage_.identity(); }
    raft_members const& members() const { return members_; }

    /** Returns whether this replica's vote counts. */
    bool is_voter() const;

    /** Returns whether a leader was heard of within the election timeout; on
        the leader, whether a majority answered it within that time. */
    bool has_live_leader() const;

    /** Returns whether this replica's state is at most an election timeout
        behind all that was committed, as far as a live leader knows.

        A replica that hears the leader but cannot store, or still learns, is
        not current.
    */
    bool is_current() const;

    /** Returns the leader as last heard of, nothing when there is none. */
    std::optional<raft_member> leader() const;

    /** Returns what the leader knows of the others; empty on a follower. */
    std::vector<peer_status> peers() const;

private:
    struct peer_progress
    {
        raft_member member;
        bool is_voter = false;
        bool is_waiting = false;
        /** The message in flight is a large one; heartbeats are sent beside
            it. */
        bool is_waiting_for_bulk = false;
        bool is_waiting_for_heartbeat = false;
        /** The last message was lost or not taken; the next waits. */
        bool is_failing = false;
        log_index next;
        log_index match;
        monotonic_time last_sent{};
        /** When the latest message that was answered had been sent. */
        monotonic_time acknowledged{};
        /** When a learner last asked to join. */
        monotonic_time asked{};
        int readable_form = 1;
        std::shared_ptr<raft_snapshot const> snapshot;
        qint64 snapshot_offset = 0;
    };

    struct pending_proposal
    {
        log_term term;
        proposal_callback done;
    };

    struct pending_confirmation
    {
        monotonic_time asked;
        confirm_callback done;
    };

    struct vote_count
    {
        log_term term;
        QSet<replica_id> granted;
    };

    /** Gives messages that came while this process did not run the time to be
        read before anybody counts as silent. */
    void allow_for_own_pause(monotonic_time now);

    // Elections.
    void reset_election_deadline();
    void start_pre_vote();
    void start_election(bool is_transfer);
    void ask_for_votes(bool is_pre_vote, bool is_transfer);
    void take_vote_reply(bool is_pre_vote, log_term asked_term,
                         std::optional<QCborMap> const& reply);
    void become_leader();
    void step_down(log_term term, std::optional<raft_member> leader);
    bool adopt_term(log_term term);
    QCborMap handle_vote(QCborMap const& message, bool is_pre_vote);
    bool has_current_log(QCborMap const& message) const;

    void try_hand_over();

    // Replication by the leader.
    void replicate();
    void replicate_to(replica_id const& id);
    void send_entries(peer_progress& peer);
    /** Sends a message without entries while a large one is in flight, so that
        the leader and the follower still hear of each other. */
    void send_heartbeat(peer_progress& peer);
    /** Sends entries or a part of a snapshot.

        @param bytes  size of what the message carries
    */
    void send_content(peer_progress& peer, QCborMap message, qint64 bytes,
                      raft_transport::callback done);
    void send_snapshot(peer_progress& peer);
    void take_append_reply(replica_id const& id, monotonic_time sent,
                           std::optional<QCborMap> const& reply);
    void take_heartbeat_reply(replica_id const& id, monotonic_time sent,
                              std::optional<QCborMap> const& reply);
    void take_snapshot_reply(replica_id const& id, monotonic_time sent,
                             std::optional<QCborMap> const& reply);
    bool take_reply_header(peer_progress& peer, monotonic_time sent,
                           std::optional<QCborMap> const& reply);
    void advance_commit();
    void refresh_progress();
    monotonic_time majority_acknowledged() const;
    void answer_confirmations();
    void check_majority();
    /** Names the voters that do not answer, for the next leader. */
    void add_silent_voters(QCborMap& message) const;

    // Replication by a follower.
    QCborMap handle_append(QCborMap const& message);
    QCborMap handle_snapshot(QCborMap const& message);
    bool accept_leader(QCborMap const& message);
    void take_silent_voters(QCborMap const& message);
    /** Counts the silence of voters from before this replica led. */
    void inherit_silent_voters();
    bool store_entries(QCborMap const& message);
    QCborMap refuse_entries(log_index previous) const;
    bool take_over_snapshot(raft_snapshot snapshot);

    // Membership.
    QCborMap handle_join(QCborMap const& message);
    void ask_to_join();
    void promote_learners();
    bool may_take_part(QString const& name) const;
    void promote(raft_member const& learner);
    /** Returns a voter that has been silent for too long, or null. */
    raft_member const* lost_voter() const;
    /** Returns a voter that makes its region hold a majority, or null; checked
        at intervals. */
    raft_member const* surplus_voter(std::vector<raft_member> const& learners);
    void propose_members(raft_members members);
    void refresh_members();

    bool can_apply(raft_entry const& entry) const;
    void halt(QString const& reason);
    void apply_committed();
    void compact();
    void fail_pending(proposal_end end);
    QCborMap message_to(raft_member const& to, char const* kind) const;
    QCborMap reply(bool is_ok) const;
    raft_member own_member() const;

    raft_settings settings_;
    raft_storage& storage_;
    raft_transport& transport_;
    state_machine& machine_;
    clock_source const& clock_;
    socket_address own_address_;
    QString own_name_;
    std::mt19937_64 random_;

    raft_role role_ = raft_role::follower;
    std::optional<raft_member> leader_;
    monotonic_time leader_heard_{};
    /** When voters that were silent were last heard, as far as leaders have
        told; the former leader among them. */
    std::map<replica_id, monotonic_time> silent_voters_;
    /** When all that the leader had committed was applied here. */
    monotonic_time caught_up_{};
    monotonic_time election_deadline_{};
    monotonic_time leader_since_{};
    monotonic_time last_tick_{};
    /** Time until which messages may be waiting unread; see
        allow_for_own_pause. */
    monotonic_time unread_until_{};
    vote_count votes_;

    raft_members members_;
    log_index members_index_;
    log_index commit_index_;
    log_index applied_index_;

    std::map<replica_id, peer_progress> peers_;
    std::deque<std::pair<raft_entry, proposal_callback>> queued_;
    std::map<log_index, pending_proposal> pending_;
    std::vector<pending_confirmation> confirmations_;
    bool is_halted_ = false;
    bool is_handing_over_ = false;
    monotonic_time hand_over_until_{};
    /** What was committed at the tick before; see promote_learners. */
    log_index committed_before_;
    monotonic_time compacted_{};

    QByteArray incoming_snapshot_;
    log_index incoming_snapshot_index_;
    monotonic_time join_asked_{};
    monotonic_time placement_checked_{};
    voter_placement::location_lookup location_of_ = [](raft_member const&)
    {
        return std::optional<location>();
    };
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

} // namespace verbenacove

#endif
