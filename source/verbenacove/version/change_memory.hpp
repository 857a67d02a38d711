#ifndef VERBENACOVE_VERSION_CHANGE_MEMORY_HPP
#define VERBENACOVE_VERSION_CHANGE_MEMORY_HPP

#include "verbenacove/version/config_change.hpp"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace verbenacove
{

/** Remembers the first result of each of the latest change ids.

    It keeps digests in place of ids and contents, about 150 bytes for each.
    Errors are not kept: the same content has the same faults.
*/
class change_memory
{
public:
    /** What is remembered of a change. */
    struct known_change
    {
        /** Whether the content is the same as the first time. */
        bool is_same = false;
        /** The first result, without its errors. */
        change_result result;
    };

    /** Creates an empty memory for at most so many change ids. */
    explicit change_memory(std::size_t most);

    /** Returns what is known of a change's id; nothing when it is new, or so
        old that it was forgotten. */
    std::optional<known_change> find(config_change const& change) const;

    /** Remembers the result of a change whose id is not known, and forgets
        the oldest when there are too many. */
    void remember(config_change const& change, change_result const& result);

    /** Returns how many ids are remembered. */
    std::size_t size() const { return order_.size(); }

    /** Returns all of it, encoded as CBOR. */
    QByteArray snapshot() const;

    /** Replaces all of it by what a snapshot holds.

        @return false when the bytes are no snapshot
    */
    bool restore(QByteArray const& bytes);

private:
    /** The first half of a SHA-256. */
    using digest = std::array<char, 16>;

    struct digest_hash
    {
        std::size_t operator()(digest const& value) const;
    };

    struct remembered
    {
        digest content{};
        change_outcome outcome = change_outcome::accepted;
        refusal reason = refusal::none;
        qint64 version = 0;
        qint64 config = 0;
        std::unique_ptr<change_winner const> winner;
    };

    static digest shorten(QByteArray const& bytes);
    static digest id_digest(change_id const& id);
    void insert(digest const& id, remembered entry);

    std::size_t most_;
    std::unordered_map<digest, remembered, digest_hash> entries_;
    std::deque<digest> order_;
};

} // namespace verbenacove

#endif
