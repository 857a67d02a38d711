#include "verbenacove/teams/key_table.hpp"

#include <QtEndian>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

/** Size of a digest, in bytes. */
constexpr qsizetype digest_size = 32;

quint64 prefix_of(QByteArray const& digest)
{
    return qFromBigEndian<quint64>(digest.constData());
}

// Does not end at the first difference.
bool are_equal_digests(QByteArray const& a, QByteArray const& b)
{
    unsigned difference = 0;
    for (qsizetype i = 0; i < digest_size; ++i)
    {
        difference |=
            static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

} // namespace

key_table::key_table(QMap<QString, team_record> teams)
    : teams_(std::move(teams))
{
    for (auto team = teams_.cbegin(); team != teams_.cend(); ++team)
    {
        for (auto const& digest : team->key_digests)
        {
            if (digest.size() == digest_size)
            {
                entries_.push_back({prefix_of(digest), digest, &*team});
            }
        }
    }
    std::sort(entries_.begin(), entries_.end(),
              [](entry const& a, entry const& b)
              { return a.prefix < b.prefix; });
}

team_record const* key_table::find(QByteArray const& key) const
{
    auto const digest = key_digest(key);
    auto const prefix = prefix_of(digest);
    auto candidate = std::lower_bound(entries_.begin(), entries_.end(), prefix,
                                      [](entry const& each, quint64 wanted)
                                      { return each.prefix < wanted; });
    team_record const* result = nullptr;
    for (; candidate != entries_.end() && candidate->prefix == prefix;
         ++candidate)
    {
        if (are_equal_digests(candidate->digest, digest))
        {
            result = candidate->team;
        }
    }
    return result;
}

} // namespace verbenacove
