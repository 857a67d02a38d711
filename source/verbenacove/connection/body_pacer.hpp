#ifndef VERBENACOVE_CONNECTION_BODY_PACER_HPP
#define VERBENACOVE_CONNECTION_BODY_PACER_HPP

#include "verbenacove/core/clock.hpp"

#include <QtGlobal>

namespace verbenacove
{

/** Paces the large bodies that go out by one link, so that short messages get
    between their parts.

    The load pattern: a body of 60 KB on a link of 3 Mbit/s keeps the link for
    160 ms. Where it is written at once, each connection, request and response
    that comes after it waits that long. All paced bodies together get a part of
    the link's rate, in slices that take the link for some milliseconds.

    Time is passed in; all calls must come from one thread.
*/
class body_pacer
{
public:
    /** The bytes that are sent at once. */
    static constexpr qint64 slice_bytes = 4096;

    /** A body up to this size is not paced. */
    static constexpr qint64 short_body_bytes = 2 * slice_bytes;

    /** Creates a pacer.

        @param link_bytes_per_second  rate of the link; above 0
    */
    explicit body_pacer(double link_bytes_per_second);

    /** Takes up to this many bytes from what may be sent now.

        @return how many may be sent; 0 if the next slice is not due
    */
    qint64 take(qint64 wanted, monotonic_time now);

    /** Returns the time in which one slice may be sent, at least 1 ms. */
    milliseconds slice_time() const;

private:
    double bytes_per_second_;
    double available_ = slice_bytes;
    monotonic_time refilled_{};
};

} // namespace verbenacove

#endif
