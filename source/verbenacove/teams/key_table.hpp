#ifndef VERBENACOVE_TEAMS_KEY_TABLE_HPP
#define VERBENACOVE_TEAMS_KEY_TABLE_HPP

#include "verbenacove/teams/team_record.hpp"

#include <QMap>

#include <vector>

namespace verbenacove
{

/** The keys of all teams of one configuration, for look-ups by callers' keys.

    Built once for each configuration. The time that a look-up takes does not
    tell how much of a key is right: it depends on the key's digest alone, whole
    digests are compared, and the comparison does not end at the first
    difference.

    @see key_digest
*/
class key_table
{
public:
    key_table() = default;
    explicit key_table(QMap<QString, team_record> teams);

    /** Returns whether the configuration has teams, so that requests need
        keys. */
    bool has_teams() const { return !teams_.isEmpty(); }

    /** Returns the team that holds a key; null if none does. Valid as long as
        the table. */
    team_record const* find(QByteArray const& key) const;

private:
    struct entry
    {
        /** First bytes of the digest. */
        quint64 prefix = 0;
        QByteArray digest;
        team_record const* team = nullptr;
    };

    /** Shared with the configuration, and never changed here: the entries point
        into it. */
    QMap<QString, team_record> teams_;
    /** By prefix. */
    std::vector<entry> entries_;
};

} // namespace verbenacove

#endif
