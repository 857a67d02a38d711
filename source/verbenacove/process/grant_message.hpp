#ifndef VERBENACOVE_PROCESS_GRANT_MESSAGE_HPP
#define VERBENACOVE_PROCESS_GRANT_MESSAGE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QCborMap>

#include <boost/leaf/result.hpp>

namespace verbenacove
{

/** The name of a capped resource, such as `link:wcape>gauteng`. */
using resource_name = strong_type<struct resource_name_tag, QString>;

/** An amount of a capped resource in its own unit: kbit/s or slots. */
using grant_amount = strong_type<struct grant_amount_tag, qint64>;

/** Counts the requests of one holder's process for one resource, from 1. */
using grant_sequence = strong_type<struct grant_sequence_tag, qint64>;

/** Asks the grantor for a share of a resource.

    @see grant_answer
*/
struct grant_request
{
    resource_name resource;
    entry_id holder;
    incarnation holder_incarnation;
    grant_sequence sequence;
    /** The newest answer in force; older ones are never used again. */
    grant_sequence adopted;
    /** The grant in force, without the floor. */
    grant_amount held;
    /** The floor in force. */
    grant_amount floor;
    /** What running work takes now, at most what was allowed at its start. */
    grant_amount in_use;
    /** What could be used now, floor included. */
    grant_amount demand;
};

/** Grants a share of a resource for a short time. */
struct grant_answer
{
    resource_name resource;
    incarnation holder_incarnation;
    /** The request that is answered. */
    grant_sequence sequence;
    /** What may be used on top of the floor. */
    grant_amount amount;
    /** What may be used always, also when cut off. */
    grant_amount floor;
    /** How long the amount holds from the sending of the request. */
    milliseconds duration{0};
    /** True when the answer only prolongs the grant in force, which it must
        not increase. */
    bool is_renewal = false;
};

/** Says what is wrong in a request or an answer. */
struct grant_format_error
{
    QString reason;
};

/** Returns a request as a CBOR map. */
QCborMap to_cbor(grant_request const& request);

/** Reads a request; a wrong field is a grant_format_error. */
boost::leaf::result<grant_request> parse_grant_request(QCborMap const& map);

/** Returns an answer as a CBOR map. */
QCborMap to_cbor(grant_answer const& answer);

/** Reads an answer; a wrong field is a grant_format_error. */
boost::leaf::result<grant_answer> parse_grant_answer(QCborMap const& map);

} // namespace verbenacove

#endif
