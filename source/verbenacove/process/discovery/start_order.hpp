#ifndef VERBENACOVE_PROCESS_DISCOVERY_START_ORDER_HPP
#define VERBENACOVE_PROCESS_DISCOVERY_START_ORDER_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QHash>
#include <QString>

namespace verbenacove
{

/** Decides whether a start that claims an earlier time than the known one is
    the later one all the same: clocks may be set back between two starts.

    A start that was never seen is the later one. It has to show that it is
   alive if it has been replaced before, if the known one has said that it
   leaves, or if it claims another service or address: by a second heartbeat
   with a higher number, while the known one is not heard. A delayed heartbeat
   does not do that.
*/
class start_order
{
public:
    /** What is known of the process. */
    struct known_start
    {
        /** Whether the start at hand was replaced by a later one. */
        bool has_replaced = false;
        /** Whether the process is leaving or has left. */
        bool is_leaving = false;
        /** Whether it has another service or address than the start at hand. */
        bool is_elsewhere = false;
        /** Time of its latest heartbeat or departure. */
        monotonic_time last_heard;
    };

    /** Maximum number of starts that have yet to show that they are alive. */
    static constexpr qsizetype maximum_claims = 1000;

    /** Minimum time between the two heartbeats; below the interval at which
        processes send them. */
    static constexpr milliseconds minimum_proof{1000};

    /** Returns whether a start takes the place of the known one.

        @param id        the process, or the address that two processes claim
        @param start     what it says of its start
        @param sequence  the number of its heartbeat
    */
    bool takes_over(QString const& id, incarnation start, qint64 sequence,
                    known_start const& known, monotonic_time now);

private:
    /** First heartbeat of a start that has to show that it is alive. */
    struct claim
    {
        incarnation start;
        qint64 sequence = 0;
        monotonic_time at;
    };

    bool has_room(QString const& id, monotonic_time now);

    QHash<QString, claim> claims_;
};

} // namespace verbenacove

#endif
