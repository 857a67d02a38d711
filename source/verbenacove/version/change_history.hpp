#ifndef VERBENACOVE_VERSION_CHANGE_HISTORY_HPP
#define VERBENACOVE_VERSION_CHANGE_HISTORY_HPP

#include "verbenacove/version/stored_record.hpp"

#include <QCborArray>

#include <deque>
#include <optional>

namespace verbenacove
{

/** The latest accepted changes, for operators to read. */
class change_history
{
public:
    /** One accepted change. */
    struct entry
    {
        config_version config;
        record_key key;
        change_action action = change_action::put;
        record_version version;
        change_winner changed_by;
        /** When it was asked for, for people to read. */
        QString changed_at;
        /** Its place in the log. */
        log_index index;

        friend bool operator==(entry const&, entry const&) = default;
    };

    /** Creates an empty history of at most so many changes. */
    explicit change_history(std::size_t most);

    /** Adds the latest change, and drops the oldest when there are too many. */
    void add(entry change);

    /** Returns the latest changes as maps, the latest first.

        @param kind  only changes of this kind; all kinds without it
        @param name  only changes of this name; all names when empty
        @param most  how many at most
    */
    QCborArray latest(std::optional<record_kind> kind, QString const& name,
                      qsizetype most) const;

    /** Returns all of it, the oldest first. */
    QCborArray snapshot() const;

    /** Replaces all of it by what a snapshot holds.

        @return nothing, or record_errors
    */
    boost::leaf::result<void> restore(QCborArray const& snapshot);

private:
    std::size_t most_;
    std::deque<entry> entries_;
};

} // namespace verbenacove

#endif
