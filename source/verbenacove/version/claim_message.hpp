#ifndef VERBENACOVE_VERSION_CLAIM_MESSAGE_HPP
#define VERBENACOVE_VERSION_CLAIM_MESSAGE_HPP

#include "verbenacove/core/ids.hpp"
#include "verbenacove/core/verdict.hpp"
#include "verbenacove/request/fingerprint.hpp"

#include <QByteArray>
#include <QCborMap>

#include <boost/leaf/result.hpp>

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

/** The longest name of a service or an entry, and the longest key, in
    characters. */
constexpr qsizetype longest_claim_name = 64;
constexpr qsizetype longest_claim_key = 128;

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

/** Returns an outcome as the bytes that a record and a snapshot hold. */
QByteArray encode_outcome(claim_outcome const& outcome);

/** Reads what `encode_outcome` wrote; other bytes are a claim_format_error. */
boost::leaf::result<claim_outcome> decode_outcome(QByteArray const& bytes);

/** Returns the size of an outcome's headers and body, in bytes. */
qsizetype content_size(claim_outcome const& outcome);

} // namespace verbenacove

#endif
