#ifndef VERBENACOVE_REQUEST_OBJECT_PLACEMENT_HPP
#define VERBENACOVE_REQUEST_OBJECT_PLACEMENT_HPP

#include "verbenacove/core/ids.hpp"

#include <QByteArray>

namespace verbenacove
{

/** Ranks upstreams for an object by weighted rendezvous hashing.

    The upstream with the highest rank is the one that the object prefers. Each
    upstream is preferred by a share of the objects that is proportional to its
    size. Ranks depend on the object and the upstream alone, so all entries
    agree, whatever else is in their lists: an upstream that joins takes over
    only objects that now prefer it, and one that leaves gives up only its own.
*/
class object_placement
{
public:
    /** Returns the rank of an upstream for an object: Gumbel noise plus the
        logarithm of the size.

        The maximum of such ranks falls on an upstream with a probability
        proportional to its size. A value that is added to the rank, divided by
        the scale of the noise, multiplies the share like a size.

        @param key   the object's affinity key
        @param id    the upstream
        @param size  number of requests that it processes at the same time; a
                     smaller one than 1 counts as 1
    */
    static double rank(QByteArray const& key, upstream_id const& id,
                       slot_count size);

    /** Returns a rank from a random number, for requests without an object. */
    static double random_rank(quint64 number, slot_count size);
};

} // namespace verbenacove

#endif
