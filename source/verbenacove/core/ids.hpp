#ifndef VERBENACOVE_CORE_IDS_HPP
#define VERBENACOVE_CORE_IDS_HPP

#include "verbenacove/core/strong_type.hpp"

namespace verbenacove
{

/** The name of a service, such as `gradebook`. */
using service_name = strong_type<struct service_name_tag, QString>;

/** The name of a region, such as `wcape`. */
using region_name = strong_type<struct region_name_tag, QString>;

/** The name of an availability zone, such as `wcape-a`. */
using zone_name = strong_type<struct zone_name_tag, QString>;

/** The name of a team: callers that share keys and an allowance. */
using team_name = strong_type<struct team_name_tag, QString>;

/** The name of one VM's entry process, unique among all entries. */
using entry_id = strong_type<struct entry_id_tag, QString>;

/** The identity of one control replica; a replica that lost its disk gets a
    new one. */
using replica_id = strong_type<struct replica_id_tag, QString>;

/** The name under which an upstream announces itself. */
using upstream_id = strong_type<struct upstream_id_tag, QString>;

/** What identifies a non-idempotent request within its service. */
using request_key = strong_type<struct request_key_tag, QString>;

/** What identifies an operator's change, so that it can be sent again. */
using change_id = strong_type<struct change_id_tag, QString>;

/** Counts the starts of one process; a higher one replaces a lower one. */
using incarnation = strong_type<struct incarnation_tag, qint64>;

/** The position of an entry in the replicated log, from 1. */
using log_index = strong_type<struct log_index_tag, qint64>;

/** An election period of the replicated log, from 1. */
using log_term = strong_type<struct log_term_tag, qint64>;

/** The version of one configuration record, from 1. */
using record_version = strong_type<struct record_version_tag, qint64>;

/** A number of requests that an upstream can run at the same time. */
using slot_count = strong_type<struct slot_count_tag, int>;

/** A rate of requests. */
using requests_per_second = strong_type<struct requests_per_second_tag, double>;

/** A rate over a link, in megabits per second. */
using megabits_per_second = strong_type<struct megabits_tag, double>;

} // namespace verbenacove

#endif
