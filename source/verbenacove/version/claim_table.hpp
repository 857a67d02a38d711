#ifndef VERBENACOVE_VERSION_CLAIM_TABLE_HPP
#define VERBENACOVE_VERSION_CLAIM_TABLE_HPP

#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/verdict.hpp"
#include "verbenacove/request/fingerprint.hpp"

#include <QByteArray>
#include <QCborArray>
#include <QCborMap>
#include <QHash>
#include <QSet>

#include <boost/leaf/result.hpp>

#include <array>
#include <list>
#include <optional>
#include <variant>
#include <vector>

namespace verbenacove
{

/** The time of the replicated log, in ms; the leader proposes it with each
    command, and it never goes back. */
using log_time = strong_type<struct log_time_tag, qint64>;

/** Tells one attempt of an entry's process from all its others. */
using attempt_nonce = strong_type<struct attempt_nonce_tag, qint64>;

/** The one attempt that may send a claimed request. */
struct claim_holder
{
    entry_id entry;
    incarnation entry_incarnation;
    attempt_nonce nonce;

    friend bool operator==(claim_holder const&, claim_holder const&) = default;
};

/** Hashes a holder, for QHash. */
size_t qHash(claim_holder const& holder, size_t seed = 0);

/** What identifies a claim: a key is unique within its service. */
struct claim_key
{
    service_name service;
    request_key key;

    friend bool operator==(claim_key const&, claim_key const&) = default;
};

/** Hashes a claim's key, for QHash. */
size_t qHash(claim_key const& key, size_t seed = 0);

/** One header of a stored answer. */
struct outcome_header
{
    QByteArray name;
    QByteArray value;

    friend bool operator==(outcome_header const&,
                           outcome_header const&) = default;
};

/** How a claimed request ended. */
struct claim_outcome
{
    /** `ran` or `may_have_run`; a request that was not run is released. */
    run_verdict verdict = run_verdict::may_have_run;
    /** The status the upstream answered with; 0 when there is no answer. */
    int status = 0;
    std::vector<outcome_header> headers;
    QByteArray body;
    /** False when headers and body were too large to store; both are empty
        then, and verdict and status still hold. */
    bool is_stored = true;

    friend bool operator==(claim_outcome const&,
                           claim_outcome const&) = default;
};

/** Asks that a holder may send a request. */
struct claim_command
{
    claim_key key;
    request_fingerprint fingerprint;
    claim_holder holder;
};

/** Tells how a claimed request ended; only the holder may. */
struct outcome_command
{
    claim_key key;
    claim_holder holder;
    claim_outcome outcome;
};

/** Gives a claim up: the holder has sent no byte of it and never will. */
struct release_command
{
    claim_key key;
    claim_holder holder;
};

/** Tells that an entry's process is gone, this incarnation and all before. */
struct abandon_command
{
    entry_id entry;
    incarnation last_gone;
};

/** One command of the replicated log to the claim table. */
struct claim_log_command
{
    /** Set by the leader that proposes the command. */
    log_time at;
    std::variant<claim_command, outcome_command, release_command,
                 abandon_command>
        command;
};

/** Says what is wrong in a command, an answer or a snapshot. */
struct claim_format_error
{
    QString reason;
};

/** Returns a command as a CBOR map, for the replicated log. */
QCborMap to_cbor(claim_log_command const& command);

/** Reads a command; a missing, ill-typed or oversized field is a
    claim_format_error. */
boost::leaf::result<claim_log_command>
parse_claim_log_command(QCborMap const& map);

/** What a command came to. */
enum class claim_result
{
    /** The holder, and nobody else, may send the request. */
    granted,
    /** Another attempt holds it; the fingerprint is the same. */
    held,
    /** The key came before with another fingerprint; this one was not run. */
    mismatch,
    /** The request has ended; the answer carries its outcome. */
    finished,
    /** Its holder's process is gone: it may have run, and never runs again. */
    abandoned,
    /** The attempt was released, or its process is gone: it must not send. */
    fenced,
    /** The table is full; the attempt must not send. */
    full,
    /** The outcome is stored; the answer carries the first one. */
    recorded,
    /** The attempt is given up, and a later claim may be granted. */
    released,
    /** The claim is another attempt's; nothing was changed. */
    not_holder,
    /** No such claim, or one kept for longer than its time. */
    unknown
};

/** What a command came to, and what the table knows of the claim. */
struct claim_answer
{
    claim_result result = claim_result::unknown;
    /** The holder, for `held`, `mismatch` and `abandoned`. */
    std::optional<claim_holder> holder;
    /** The outcome, for `finished` and `recorded`. */
    std::optional<claim_outcome> outcome;

    friend bool operator==(claim_answer const&, claim_answer const&) = default;
};

/** Returns an answer as a CBOR map, for the way back to an entry. */
QCborMap to_cbor(claim_answer const& answer);

/** Reads an answer; a wrong field is a claim_format_error. */
boost::leaf::result<claim_answer> parse_claim_answer(QCborMap const& map);

/** The bounds of a claim table; the same on every replica. */
struct claim_limits
{
    /** How long a key is kept after its claim or, later, its end, in ms. */
    qint64 retention_ms = 24LL * 60 * 60 * 1000;
    /** The claims kept at most, in any state. */
    qsizetype claims = 1'000'000;
    /** The released attempts kept at most. */
    qsizetype fences = 100'000;
    /** The entries whose gone incarnations are kept at most. */
    qsizetype entries = 20'000;
    /** The headers and body of one outcome at most, in bytes. */
    qsizetype outcome_bytes = 64LL * 1024;
    /** The headers and bodies of all outcomes at most, in bytes. */
    qsizetype stored_bytes = 256LL * 1024 * 1024;
    /** How far one command can move the log time, in ms, so that one wrong
        clock cannot expire all keys at once. */
    qint64 time_step_ms = 60'000;
};

/** Decides, inside the replicated log, who may send a non-idempotent request.

    A deterministic state machine: every replica that applies the same
    commands holds the same state. It reads no clock and does no I/O. Use one
    on each control replica, and answer an entry only once its command is
    committed and applied.

    At most one attempt is ever granted a key, unless that attempt has released
    it, which means that it has sent nothing. A key whose time is over is
    forgotten: a resend of it is a new request.
*/
class claim_table
{
public:
    /** Creates an empty table at log time 0. */
    explicit claim_table(claim_limits const& limits = {});

    claim_table(claim_table&&) = default;
    claim_table& operator=(claim_table&&) = default;
    claim_table(claim_table const&) = delete;
    claim_table& operator=(claim_table const&) = delete;

    /** Carries out one committed command and returns what it came to.

        Applying a command again changes nothing and gives the same result, or
        what has become of the claim since. An `abandon` answers `released`.
    */
    claim_answer apply(claim_log_command const& command);

    /** Returns what a new claim of this key would meet: `unknown` when it is
        free, else `held`, `finished` or `abandoned`. */
    claim_answer find(claim_key const& key) const;

    /** Returns the bounds the table was created with. */
    claim_limits const& limits() const { return limits_; }

    /** Returns the log time of the last command; a leader proposes from it. */
    log_time now() const { return now_; }

    /** Returns how many claims are kept, in any state. */
    qsizetype claim_count() const { return claims_.size(); }

    /** Returns how many claims have neither ended nor been abandoned. */
    qsizetype open_count() const { return qsizetype(open_.size()); }

    /** Returns the size of all stored headers and bodies, in bytes. */
    qsizetype stored_bytes() const { return stored_bytes_; }

    /** Returns the whole state as CBOR; the same bytes for the same state. */
    QByteArray snapshot() const;

    /** Creates the table a snapshot was taken of, under the same limits.

        @return the table, or a claim_format_error
    */
    static boost::leaf::result<claim_table>
    restore(QByteArray const& bytes, claim_limits const& limits = {});

private:
    // A million of them fit only if each is small: names are shared, and an
    // outcome is held as the bytes that a snapshot needs.
    struct record
    {
        claim_key key;
        std::array<char, fingerprint_bytes> fingerprint{};
        claim_holder holder;
        log_time since;
        bool is_abandoned = false;
        /** Empty while there is none. */
        QByteArray outcome;
        /** The size of the outcome's headers and body. */
        qsizetype stored = 0;
    };

    /** Finds a record by its key without a second copy of the key. */
    struct key_view
    {
        claim_key const* key;

        friend bool operator==(key_view a, key_view b)
        {
            return *a.key == *b.key;
        }
        friend size_t qHash(key_view view, size_t seed = 0)
        {
            return verbenacove::qHash(*view.key, seed);
        }
    };

    using record_list = std::list<record>;

    struct fence
    {
        claim_holder holder;
        log_time since;
    };

    struct gone_entry
    {
        entry_id entry;
        incarnation last_gone;
        log_time since;
    };

    claim_answer apply_command(claim_command const& command);
    claim_answer apply_command(outcome_command const& command);
    claim_answer apply_command(release_command const& command);
    claim_answer apply_command(abandon_command const& command);

    void move_time(log_time at);
    void expire();
    void expire_front(record_list& records);
    bool is_over(log_time since) const;
    bool is_fenced(claim_holder const& holder) const;
    bool add_fence(claim_holder const& holder);
    void add_record(record added, bool is_open);
    void close(record_list::iterator found);
    void erase(record_list& records, record_list::iterator found);
    void note_gone(entry_id const& entry, incarnation last_gone);
    bool has_room_for(qsizetype stored) const;
    claim_outcome store(record& found, claim_outcome const& outcome);
    QString shared_name(QString const& name);
    boost::leaf::result<void> restore_record(QCborArray const& fields,
                                             bool is_open);
    boost::leaf::result<void> restore_fence(QCborArray const& fields);
    boost::leaf::result<void> restore_gone(QCborArray const& fields);

    static bool is_open(record const& found);
    static claim_answer state_of(record const& found);
    static std::optional<claim_outcome> outcome_of(record const& found);

    claim_limits limits_;
    log_time now_;
    qsizetype stored_bytes_ = 0;
    // Each list is in the order of `since`, so that what is over is in front.
    record_list open_;
    record_list closed_;
    std::list<fence> fences_;
    std::list<gone_entry> gone_;
    QHash<key_view, record_list::iterator> claims_;
    QSet<claim_holder> fenced_;
    QHash<entry_id, std::list<gone_entry>::iterator> gone_entries_;
    // One copy of each service's and entry's name.
    QSet<QString> names_;
};

} // namespace verbenacove

#endif
