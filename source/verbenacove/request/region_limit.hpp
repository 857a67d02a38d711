#ifndef VERBENACOVE_REQUEST_REGION_LIMIT_HPP
#define VERBENACOVE_REQUEST_REGION_LIMIT_HPP

#include "verbenacove/core/ids.hpp"

#include <QtGlobal>

namespace verbenacove
{

/** Interface that decides whether attempts may go to a region, within the
    limits that operators set, and counts the attempts that do.

    @see region_budget
*/
class region_limit
{
public:
    virtual ~region_limit() = default;

    /** Returns whether one more attempt may go to a region now. */
    virtual bool permits(region_name const& region) = 0;

    /** Counts the start of an attempt and the bytes that it sends. */
    virtual void begin(region_name const& region, qint64 sent_bytes) = 0;

    /** Counts the end of an attempt and the bytes that it received. */
    virtual void end(region_name const& region, qint64 received_bytes) = 0;
};

} // namespace verbenacove

#endif
