#ifndef VERBENACOVE_VERSION_CONFIG_VIEW_HPP
#define VERBENACOVE_VERSION_CONFIG_VIEW_HPP

#include "verbenacove/version/stored_record.hpp"

#include <QCborMap>
#include <QHash>
#include <QString>

#include <boost/leaf/result.hpp>

#include <map>
#include <memory>
#include <vector>

namespace verbenacove
{

class config_view;

/** Shares a view among threads; whoever holds it can read it. */
using config_view_ptr = std::shared_ptr<config_view const>;

/** The error for a delta that would take a view back or leave a gap. */
struct delta_refused
{
    /** What is wrong, as a short sentence. */
    QString reason;
};

/** One version of the configuration, as entries hold it; it never changes.

    @see config_store
*/
class config_view
{
public:
    /** Returns the view of an empty configuration, at version 0. */
    static config_view_ptr empty();

    /** Returns the view that a delta makes of this one.

        @param delta  what config_store::delta_since returned
        @param term   the term of the leader that gave it
        @return the new view; delta_refused when its term or version is lower
                than this view's, or when it begins after this version;
                schema_unknown; or record_errors
    */
    boost::leaf::result<config_view_ptr> apply_delta(QCborMap const& delta,
                                                     log_term term) const;

    /** Returns the configuration's version. */
    config_version version() const { return version_; }

    /** Returns the term of the leader that gave the latest delta. */
    log_term term() const { return term_; }

    /** Returns a service, or null when there is none of this name. */
    service_record const* service(service_name const& name) const;

    /** Returns all services, in no order. */
    std::vector<service_name> services() const;

    /** Returns true while an operator drains this upstream, its zone or its
        region. */
    bool is_drained(upstream_id const& upstream, zone_name const& zone,
                    region_name const& region) const;

    /** Returns true while an operator drains just this target. */
    bool is_drained(drain_scope scope, QString const& target) const;

    /** Returns a region's place, or null when there is none. */
    place_record const* place(region_name const& region) const;

    /** Returns all places, by their names. */
    std::map<QString, place_record> const& places() const { return places_; }

    /** Returns the region that a zone belongs to, or null. */
    region_name const* region_of(zone_name const& zone) const;

    /** Returns the limit with the lowest cap from one region to another, or
        null when there is none. */
    limit_record const* bandwidth(region_name const& from,
                                  region_name const& to) const;

    /** Returns the limit with the lowest cap on a region's slots, or null
        when there is none. */
    limit_record const* slots(region_name const& region) const;

    /** Returns all limits, by their names. */
    std::map<QString, limit_record> const& limits() const { return limits_; }

    /** Returns the first steering rule for a service, by name, or null. */
    steering_rule const* rule(service_name const& service) const;

private:
    config_view() = default;
    config_view(config_view const&) = default;

    boost::leaf::result<void> check(QCborMap const& delta, log_term term) const;
    void clear();
    void apply(stored_record const& record);

    config_version version_;
    log_term term_;
    QHash<service_name, service_record> services_;
    std::map<QString, place_record> places_;
    std::map<QString, limit_record> limits_;
    std::map<QString, steering_rule> rules_;
    QHash<QString, drain_record> drains_;
    QHash<zone_name, region_name> regions_;
};

} // namespace verbenacove

#endif
