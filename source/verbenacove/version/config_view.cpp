#include "verbenacove/version/config_view.hpp"

#include <QCborArray>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

template <class Value>
Value const* find(std::map<QString, Value> const& values, QString const& name)
{
    auto const found = values.find(name);
    return found == values.end() ? nullptr : &found->second;
}

/** Returns the limit whose cap is the lowest among those that a predicate
    picks by their kind, or null. */
template <class Kind, class Predicate>
limit_record const* lowest(std::map<QString, limit_record> const& limits,
                           Predicate is_meant)
{
    limit_record const* best = nullptr;
    for (auto const& [name, record] : limits)
    {
        auto const* limit = std::get_if<Kind>(&record.limit);
        if (limit == nullptr || !is_meant(*limit))
        {
            continue;
        }
        if (best == nullptr || limit->cap < std::get<Kind>(best->limit).cap)
        {
            best = &record;
        }
    }
    return best;
}

} // namespace

config_view_ptr config_view::empty()
{
    return config_view_ptr(new config_view);
}

boost::leaf::result<config_view_ptr>
config_view::apply_delta(QCborMap const& delta, log_term term) const
{
    BOOST_LEAF_CHECK(check(delta, term));
    std::shared_ptr<config_view> next(new config_view(*this));
    if (delta.value(QStringLiteral("whole")).toBool())
    {
        next->clear();
    }
    for (auto const& item : delta.value(QStringLiteral("records")).toArray())
    {
        BOOST_LEAF_AUTO(record, parse_stored_record(item.toMap()));
        next->apply(record);
    }
    next->regions_.clear();
    for (auto const& [name, place] : next->places_)
    {
        for (auto const& zone : place.zones)
        {
            next->regions_.insert(zone, place.name);
        }
    }
    next->term_ = term;
    next->version_ = config_version(
        delta.value(QStringLiteral("config_version")).toInteger());
    return config_view_ptr(std::move(next));
}

boost::leaf::result<void> config_view::check(QCborMap const& delta,
                                             log_term term) const
{
    auto const refuse = [](QString const& reason)
    {
        return boost::leaf::new_error(delta_refused{reason});
    };
    auto const version = delta.value(QStringLiteral("config_version"));
    auto const since = delta.value(QStringLiteral("since"));
    auto const schema = delta.value(QStringLiteral("schema"));
    if (!version.isInteger() || !since.isInteger() || !schema.isInteger() ||
        !delta.value(QStringLiteral("whole")).isBool() ||
        !delta.value(QStringLiteral("records")).isArray())
    {
        return refuse(QStringLiteral("the delta is malformed"));
    }
    if (schema.toInteger() < 1 || schema.toInteger() > newest_schema)
    {
        return boost::leaf::new_error(schema_unknown{
            static_cast<int>(schema.toInteger()), newest_schema});
    }
    if (term < term_)
    {
        return refuse(QStringLiteral("term %1 is lower than %2")
                          .arg(term.value())
                          .arg(term_.value()));
    }
    if (version.toInteger() < version_.value())
    {
        return refuse(QStringLiteral("version %1 is lower than %2")
                          .arg(version.toInteger())
                          .arg(version_.value()));
    }
    bool const is_whole = delta.value(QStringLiteral("whole")).toBool();
    if (!is_whole && since.toInteger() > version_.value())
    {
        return refuse(QStringLiteral("it begins at version %1, after %2")
                          .arg(since.toInteger())
                          .arg(version_.value()));
    }
    return {};
}

service_record const* config_view::service(service_name const& name) const
{
    auto const found = services_.constFind(name);
    return found == services_.cend() ? nullptr : &*found;
}

std::vector<service_name> config_view::services() const
{
    return {services_.keyBegin(), services_.keyEnd()};
}

bool config_view::is_drained(upstream_id const& upstream, zone_name const& zone,
                             region_name const& region) const
{
    return is_drained(drain_scope::upstream, upstream.value()) ||
           is_drained(drain_scope::zone, zone.value()) ||
           is_drained(drain_scope::region, region.value());
}

bool config_view::is_drained(drain_scope scope, QString const& target) const
{
    return !drains_.isEmpty() && drains_.contains(drain_name(scope, target));
}

place_record const* config_view::place(region_name const& region) const
{
    return find(places_, region.value());
}

region_name const* config_view::region_of(zone_name const& zone) const
{
    auto const found = regions_.constFind(zone);
    return found == regions_.cend() ? nullptr : &*found;
}

limit_record const* config_view::bandwidth(region_name const& from,
                                           region_name const& to) const
{
    return lowest<bandwidth_limit>(
        limits_, [&](bandwidth_limit const& limit)
        { return limit.from == from && limit.to == to; });
}

limit_record const* config_view::slots(region_name const& region) const
{
    return lowest<slot_limit>(limits_, [&](slot_limit const& limit)
                              { return limit.region == region; });
}

steering_rule const* config_view::rule(service_name const& service) const
{
    auto const found = std::find_if(
        rules_.begin(), rules_.end(),
        [&](auto const& entry) { return entry.second.service == service; });
    return found == rules_.end() ? nullptr : &found->second;
}

void config_view::clear()
{
    services_.clear();
    places_.clear();
    limits_.clear();
    rules_.clear();
    drains_.clear();
}

void config_view::apply(stored_record const& record)
{
    auto const& name = record.key.name;
    auto const set = [&](auto& table, auto const* content)
    {
        if (content != nullptr)
        {
            table.insert_or_assign(name, *content);
        }
        else
        {
            table.erase(name);
        }
    };
    auto const* content = record.content ? &*record.content : nullptr;
    switch (record.key.kind)
    {
    case record_kind::service:
        services_.remove(service_name(name));
        if (content != nullptr)
        {
            services_.insert(service_name(name),
                             std::get<service_record>(*content));
        }
        break;
    case record_kind::place:
        set(places_, std::get_if<place_record>(content));
        break;
    case record_kind::limit:
        set(limits_, std::get_if<limit_record>(content));
        break;
    case record_kind::rule:
        set(rules_, std::get_if<steering_rule>(content));
        break;
    case record_kind::drain:
        drains_.remove(name);
        if (content != nullptr)
        {
            drains_.insert(name, std::get<drain_record>(*content));
        }
        break;
    }
}

} // namespace verbenacove
