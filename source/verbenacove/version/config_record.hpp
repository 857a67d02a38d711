#ifndef VERBENACOVE_VERSION_CONFIG_RECORD_HPP
#define VERBENACOVE_VERSION_CONFIG_RECORD_HPP

#include "verbenacove/core/ids.hpp"
#include "verbenacove/version/service_record.hpp"

#include <QJsonObject>

#include <boost/leaf/result.hpp>

#include <optional>
#include <variant>
#include <vector>

namespace verbenacove
{

/** Counts the accepted changes of the whole configuration, from 1. */
using config_version = strong_type<struct config_version_tag, qint64>;

/** The newest schema version of records that this program knows; it reads
    and writes all older ones down to 1 as well. */
constexpr int newest_schema = 2;

/** The kinds of record; each kind has names of its own. */
enum class record_kind
{
    service,
    place,
    limit,
    rule,
    drain
};

/** Returns the word for a kind, such as `service`. */
QString record_kind_word(record_kind kind);

/** Returns the kind of a word, or nothing when there is none. */
std::optional<record_kind> parse_record_kind(QString const& word);

/** Returns all kinds' words, in the order of record_kind. */
QStringList const& record_kind_words();

/** A region and its availability zones. */
struct place_record
{
    region_name name;
    std::vector<zone_name> zones;

    friend bool operator==(place_record const&, place_record const&) = default;
};

/** The most that may flow from one region to another. */
struct bandwidth_limit
{
    region_name from;
    region_name to;
    megabits_per_second cap;

    friend bool operator==(bandwidth_limit const&,
                           bandwidth_limit const&) = default;
};

/** The most requests that may run in a region at the same time. */
struct slot_limit
{
    region_name region;
    slot_count cap;

    friend bool operator==(slot_limit const&, slot_limit const&) = default;
};

/** A cap, and the share of it that needs no grant. */
struct limit_record
{
    QString name;
    std::variant<bandwidth_limit, slot_limit> limit;
    /** From 0 to 1: what all holders together may use when cut off. */
    double floor_share = 0;

    friend bool operator==(limit_record const&, limit_record const&) = default;
};

/** A region's part of a service's traffic. */
struct region_weight
{
    region_name region;
    /** From 0 to 1000; parts are in proportion to weights. */
    int weight = 0;

    friend bool operator==(region_weight const&,
                           region_weight const&) = default;
};

/** A steering rule: which regions a service's requests should go to. */
struct steering_rule
{
    QString name;
    service_name service;
    std::vector<region_weight> regions;

    friend bool operator==(steering_rule const&,
                           steering_rule const&) = default;
};

/** What a drain can be of. */
enum class drain_scope
{
    upstream,
    zone,
    region
};

/** Returns all scopes' words, in the order of drain_scope. */
QStringList const& drain_scope_words();

/** Returns the word for a scope, such as `zone`. */
QString drain_scope_word(drain_scope scope);

/** Returns the scope of a word, or nothing when there is none. */
std::optional<drain_scope> parse_drain_scope(QString const& word);

/** An upstream, zone or region that an operator takes out of use.

    It is in force for as long as the record stands.
*/
struct drain_record
{
    drain_scope scope = drain_scope::upstream;
    /** The name of the upstream, zone or region. */
    QString target;

    friend bool operator==(drain_record const&, drain_record const&) = default;
};

/** Returns the record's name for a drain, such as `zone:wcape-a`. */
QString drain_name(drain_scope scope, QString const& target);

/** The content of a record of any kind, in the order of record_kind. */
using config_record = std::variant<service_record, place_record, limit_record,
                                   steering_rule, drain_record>;

/** Returns the kind of a record. */
record_kind kind_of(config_record const& record);

/** Returns the name of a record, unique within its kind. */
QString name_of(config_record const& record);

/** Reads a record of a kind in the form of a schema version.

    @param current  the record that stands, if there is one; what the schema
                    cannot say keeps its value from here
    @return the record; schema_unknown when the version is not 1 to
            newest_schema; or record_errors
    @see record_to_json
*/
boost::leaf::result<config_record>
parse_record(record_kind kind, QJsonObject const& object, int schema,
             config_record const* current = nullptr);

/** Returns a record in the form of a schema version, which must be known. */
QJsonObject record_to_json(config_record const& record, int schema);

} // namespace verbenacove

#endif
