#ifndef VERBENACOVE_VERSION_SERVICE_RECORD_HPP
#define VERBENACOVE_VERSION_SERVICE_RECORD_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <boost/leaf/result.hpp>

#include <vector>

namespace verbenacove
{

/** How a service's requests are to be treated. */
enum class service_class
{
    /** Someone waits for the answer; may run more than once. */
    interactive,
    /** Must run at most once, under a request key. */
    non_idempotent,
    /** May wait within its deadline; may run more than once. */
    batch
};

/** Returns the word in records: `interactive`, `non-idempotent`, `batch`. */
QString service_class_word(service_class value);

/** Where a non-idempotent request's key is taken from. */
struct request_key_source
{
    /** The request header; used when `segment` is 0. */
    QString header = QStringLiteral("Idempotency-Key");
    /** The segment of the path, from 1; 0 means the header. */
    int segment = 0;

    friend bool operator==(request_key_source const&,
                           request_key_source const&) = default;
};

/** Treats the requests of one method under one path in a way of their own. */
struct request_rule
{
    /** The method in capitals, or `*` for any. */
    QString method = QStringLiteral("*");
    /** The path's first segments, such as `/bales`; `/` matches all. */
    QString path_prefix = QStringLiteral("/");
    service_class request_class = service_class::interactive;
    request_key_source key;

    friend bool operator==(request_rule const&, request_rule const&) = default;
};

/** A service, as operators describe it.

    The first group is the whole of schema 1; the second came with schema 2.
*/
struct service_record
{
    service_name name;
    service_class default_class = service_class::interactive;
    /** The longest time for a request that brings no deadline. */
    milliseconds timeout{10000};
    /** The largest request body. */
    qint64 max_body_bytes = 1024 * 1024;

    std::vector<request_rule> rules;
    /** Whether requests that may run more than once are tried again. */
    bool retry = true;
    /** The largest answer that is stored whole for a resend. */
    qint64 max_response_store_bytes = 64 * 1024;
    /** How many upstreams a request may crash before it is refused. */
    int quarantine_after = 2;

    friend bool operator==(service_record const&,
                           service_record const&) = default;
};

/** Reads a service from a record.

    @param schema   1 or 2, which the caller has checked
    @param current  what stands now, or defaults; a field that the schema
                    cannot say keeps its value from here
    @return the service, or record_errors
    @see service_to_json
*/
boost::leaf::result<service_record>
parse_service(QJsonObject const& object, int schema, service_record current);

/** Returns a service in the form of a schema version, 1 or 2. */
QJsonObject service_to_json(service_record const& service, int schema);

/** Says how one request of a service is to be treated. */
struct request_policy
{
    service_class request_class = service_class::interactive;
    request_key_source key;
};

/** Returns the policy of the rule with the longest matching path, a named
    method before `*`; or that of the service itself.

    Paths are compared by their decoded segments, so that `//bales/` and
    `/%62ales` are `/bales`.
*/
request_policy policy_for(service_record const& service,
                          QByteArray const& method, QByteArray const& path);

/** Returns the decoded segments of a path, without empty and dot ones. */
QList<QByteArray> path_segments(QByteArray const& path);

} // namespace verbenacove

#endif
