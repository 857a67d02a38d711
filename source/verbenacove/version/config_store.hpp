#ifndef VERBENACOVE_VERSION_CONFIG_STORE_HPP
#define VERBENACOVE_VERSION_CONFIG_STORE_HPP

#include "verbenacove/version/change_history.hpp"
#include "verbenacove/version/change_memory.hpp"
#include "verbenacove/version/stored_record.hpp"

#include <QCborMap>

#include <boost/leaf/result.hpp>

#include <map>
#include <optional>

namespace verbenacove
{

/** The bounds of a config_store; all replicas must have the same. */
struct config_store_limits
{
    /** How many records may stand at the same time. */
    std::size_t records = 20'000;
    /** How many deleted records' versions are kept. */
    std::size_t tombstones = 20'000;
    /** How many change ids are remembered with their results. */
    std::size_t change_ids = 100'000;
    /** How many accepted changes the history goes back. */
    std::size_t history = 10'000;
};

/** The error for a snapshot that cannot be read. */
struct snapshot_invalid
{
    /** What is wrong, as a short sentence. */
    QString reason;
};

/** The whole configuration, as a deterministic state machine.

    Replicas that apply the same changes in the same order hold the same
    state and give the same results: there is no clock, no I/O and no random
    number here. Not thread-safe; the control thread owns it.

    @see config_view
*/
class config_store
{
public:
    /** Creates an empty configuration at version 0. */
    explicit config_store(config_store_limits limits = {});

    config_store(config_store&&) = default;
    config_store& operator=(config_store&&) = default;
    config_store(config_store const&) = delete;
    config_store& operator=(config_store const&) = delete;

    /** Applies a committed change, in O(log n).

        A change whose id came before, among the latest ones that are
        remembered, gets its first result again and changes nothing; with
        another content it is refused. An older one meets a version that has
        moved on: a conflict, never a second application.

        @param change  as parse_change reads it; a malformed one is refused
        @param index   its place in the log
        @return as change_result_to_cbor writes it
    */
    QCborMap apply(QCborMap const& change, log_index index);

    /** Answers a question, changing nothing:

        - `{what: "read", kind, name, schema}`: `{outcome: "found", …}` with
          the record's members, or `{outcome: "absent", version, …}` with the
          version that a new record must expect.
        - `{what: "list", kind, schema, after, limit}`: `{outcome: "found",
          records, more}`, in the order of names, from the one behind `after`.
        - `{what: "history", kind, name, limit}`: `{outcome: "found",
          changes}`, the latest first; kind and name may be left out.

        A malformed one gets `{outcome: "refused", reason, errors}`. `schema`
        and `limit` may be left out. All answers hold `config_version`.
    */
    QCborMap query(QCborMap const& question) const;

    /** Returns `{schema, config_version, since, whole, records}`: the records
        changed after a version, deleted ones too; or all records that stand,
        when the version is older than the deletions that are kept.

        Takes time in proportion to the records returned.

        @param schema  the newest schema version that the reader knows
        @see config_view::apply_delta
    */
    QCborMap delta_since(config_version since,
                         int schema = newest_schema) const;

    /** Returns the version: how many changes were accepted. */
    config_version version() const { return version_; }

    /** Returns the place in the log of the change applied last. */
    log_index applied_index() const { return applied_index_; }

    /** Returns the whole state, with a schema version. */
    QCborMap snapshot() const;

    /** Returns the store that a snapshot was taken of.

        @return the store, or snapshot_invalid, schema_unknown or
                record_errors
    */
    static boost::leaf::result<config_store>
    restore(QCborMap const& snapshot, config_store_limits limits = {});

private:
    /** What a put's record is, or why there is none. */
    struct checked_record
    {
        std::optional<config_record> record;
        refusal reason = refusal::none;
        std::vector<record_error> errors;
    };

    change_result apply_new(config_change const& change, log_index index);
    change_result put(config_change const& change, log_index index);
    change_result remove(config_change const& change, log_index index);
    change_result accept(config_change const& change,
                         std::optional<config_record> content, log_index index);
    static checked_record check(config_change const& change,
                                config_record const* current);
    static change_result repeat(config_change const& change,
                                change_result result);
    change_result conflict(config_change const& change) const;
    change_result refuse_reused(config_change const& change) const;
    change_result refuse(refusal reason,
                         std::vector<record_error> errors) const;

    void store(stored_record record);
    void drop_oldest_tombstone();
    std::size_t standing_records() const;
    stored_record const* find(record_key const& key) const;
    record_version version_of(record_key const& key) const;

    QCborMap read(record_reader& reader) const;
    QCborMap list(record_reader& reader) const;
    QCborMap history(record_reader& reader) const;
    boost::leaf::result<void> restore_parts(QCborMap const& snapshot);

    config_store_limits limits_;
    config_version version_;
    log_index applied_index_;
    std::map<record_key, stored_record> records_;
    /** The records by the version of their latest change. */
    std::map<config_version, record_key> by_change_;
    std::map<config_version, record_key> tombstones_;
    /** The highest version of a tombstone that was dropped. */
    record_version absent_version_;
    /** The latest change whose tombstone was dropped. */
    config_version oldest_delta_;
    change_memory memory_;
    change_history history_;
};

} // namespace verbenacove

#endif
