#include "verbenacove/version/route_store.hpp"

#include "verbenacove/core/cbor.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

constexpr int maximum_evacuated_zones = 1024;

} // namespace

route_store::route_store()
    : current_(std::make_shared<route_configuration const>())
{
}

order_result route_store::apply(route_change const& change)
{
    auto const version = current_->version;
    if (accepted_.contains(change.signature))
    {
        return {order_outcome::accepted, version, {}};
    }
    if (change.base != version)
    {
        return {order_outcome::conflict, version,
                QStringLiteral("version %1 is current").arg(version.value())};
    }
    if (change.version <= version)
    {
        return {order_outcome::invalid, version,
                QStringLiteral("the version is not above the current one, %1")
                    .arg(version.value())};
    }
    auto next = changed(*current_, change);
    auto const reason = invalid_reason(next);
    if (!reason.isEmpty())
    {
        return {order_outcome::invalid, version, reason};
    }
    current_ = std::make_shared<route_configuration const>(std::move(next));
    ++revision_;
    remember(change.signature);
    return {order_outcome::accepted, current_->version, {}};
}

order_result route_store::evacuate(zone_name const& zone, bool is_evacuated,
                                   std::optional<order_count> seen)
{
    auto const last = last_orders_.value(zone, last_forgotten_order_);
    bool const is_change = is_evacuated != evacuated_.contains(zone);
    if (seen && *seen < last && is_change)
    {
        return {order_outcome::conflict, current_->version,
                QStringLiteral("a later order of the zone is in force")};
    }
    bool const is_over = is_evacuated && !evacuated_.contains(zone) &&
                         evacuated_.size() >= maximum_evacuated_zones;
    if (is_over)
    {
        return {order_outcome::invalid, current_->version,
                QStringLiteral("too many zones are evacuated")};
    }
    revision_ += is_change ? 1 : 0;
    count_order(zone);
    if (is_evacuated)
    {
        evacuated_.insert(zone);
    }
    else
    {
        evacuated_.remove(zone);
    }
    return {order_outcome::accepted, current_->version, {}};
}

// Orders that change nothing count as well: after one that was acknowledged, no
// earlier order may change the zone.
void route_store::count_order(zone_name const& zone)
{
    orders_ = order_count(orders_.value() + 1);
    last_orders_[zone] = orders_;
    if (last_orders_.size() > maximum_ordered_zones)
    {
        auto const oldest =
            std::min_element(last_orders_.begin(), last_orders_.end());
        last_forgotten_order_ = std::max(last_forgotten_order_, *oldest);
        last_orders_.erase(oldest);
    }
}

void route_store::reset_evacuation_orders()
{
    orders_ = order_count();
    last_orders_.clear();
    last_forgotten_order_ = order_count();
}

bool route_store::may_leave_no_team(route_change const& change) const
{
    bool const removes = change.is_whole || !change.removed_teams.empty();
    if (!removes || !change.teams.empty() || change.base < current_->version)
    {
        return false;
    }
    return change.base > current_->version ||
           (!current_->teams.isEmpty() &&
            changed(*current_, change).teams.isEmpty());
}

void route_store::reset_team_table()
{
    if (current_->team_table != team_table_state::never)
    {
        auto next = *current_;
        next.team_table = team_table_state::never;
        current_ = std::make_shared<route_configuration const>(std::move(next));
    }
}

void route_store::remember(QByteArray const& signature)
{
    accepted_.insert(signature, current_->version);
    accepted_order_.push_back(signature);
    if (accepted_order_.size() > maximum_signatures)
    {
        accepted_.remove(accepted_order_.front());
        accepted_order_.pop_front();
    }
}

QCborMap route_store::orders_to_cbor() const
{
    QCborMap zones;
    for (auto item = last_orders_.begin(); item != last_orders_.end(); ++item)
    {
        zones[item.key().value()] = item.value().value();
    }
    return {{QLatin1String("count"), orders_.value()},
            {QLatin1String("forgotten"), last_forgotten_order_.value()},
            {QLatin1String("zones"), zones}};
}

void route_store::restore_orders(QCborMap const& orders)
{
    orders_ = order_count(cbor_number(orders, "count"));
    last_forgotten_order_ = order_count(cbor_number(orders, "forgotten"));
    last_orders_.clear();
    for (auto const& zone : cbor_map(orders, "zones"))
    {
        last_orders_.insert(zone_name(zone.first.toString()),
                            order_count(zone.second.toInteger()));
    }
}

QCborMap route_store::snapshot() const
{
    QCborArray zones;
    for (auto const& zone : evacuated_)
    {
        zones.append(zone.value());
    }
    QCborArray signatures;
    for (auto const& signature : accepted_order_)
    {
        signatures.append(signature);
    }
    return {{QLatin1String("configuration"),
             to_cbor(*current_, route_detail::with_source)},
            {QLatin1String("evacuated"), zones},
            {QLatin1String("evacuation_orders"), orders_to_cbor()},
            {QLatin1String("revision"), revision_},
            {QLatin1String("signatures"), signatures}};
}

bool route_store::restore(QCborMap const& state)
{
    auto configuration =
        parse_route_configuration(cbor_map(state, "configuration"));
    if (!configuration)
    {
        return false;
    }
    current_ =
        std::make_shared<route_configuration const>(std::move(*configuration));
    revision_ = cbor_number(state, "revision");
    evacuated_.clear();
    for (auto const& zone : cbor_array(state, "evacuated"))
    {
        evacuated_.insert(zone_name(zone.toString()));
    }
    // A snapshot of an earlier build holds none.
    restore_orders(cbor_map(state, "evacuation_orders"));
    accepted_.clear();
    accepted_order_.clear();
    for (auto const& signature : cbor_array(state, "signatures"))
    {
        remember(signature.toByteArray());
    }
    return true;
}

QCborMap to_cbor(order_result const& result)
{
    return {{QLatin1String("outcome"), static_cast<int>(result.outcome)},
            {QLatin1String("version"), result.version.value()},
            {QLatin1String("reason"), result.reason}};
}

order_result parse_order_result(QCborMap const& map)
{
    auto const outcome = cbor_number(map, "outcome", 2);
    return {outcome == 0   ? order_outcome::accepted
            : outcome == 1 ? order_outcome::conflict
                           : order_outcome::invalid,
            route_version(cbor_number(map, "version")),
            cbor_text(map, "reason")};
}

} // namespace verbenacove
