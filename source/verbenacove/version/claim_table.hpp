#ifndef VERBENACOVE_VERSION_CLAIM_TABLE_HPP
#define VERBENACOVE_VERSION_CLAIM_TABLE_HPP

#include "verbenacove/version/claim_message.hpp"

#include <QByteArray>
#include <QCborArray>
#include <QHash>
#include <QSet>

#include <boost/leaf/result.hpp>

#include <array>
#include <list>
#include <optional>

namespace verbenacove
{

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
