#include "verbenacove/process/control_state.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/log.hpp"
#include "verbenacove/core/packed_cbor.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace verbenacove
{

namespace
{

log_part const state_log{"state"};

auto const form_key = QLatin1String("form");
auto const change_key = QLatin1String("change");
auto const claim_key_name = QLatin1String("claim");
auto const route_key = QLatin1String("route");
auto const packed_route_key = QLatin1String("packed_route");
auto const evacuation_key = QLatin1String("evacuation");
auto const seen_orders_key = QLatin1String("seen_orders");
auto const routes_key = QLatin1String("routes");
auto const config_key = QLatin1String("config");
auto const claims_key = QLatin1String("claims");
auto const holders_key = QLatin1String("holders");
auto const caps_key = QLatin1String("highest_caps");

/** A change of more items is packed. */
constexpr std::size_t maximum_plain_items = 64;

QCborMap route_change_of(QCborMap const& command)
{
    return command.contains(route_key)
               ? command.value(route_key).toMap()
               : unpack_cbor(command.value(packed_route_key).toByteArray())
                     .value_or(QCborMap());
}

} // namespace

QCborMap control_state::form_command(form used)
{
    return {{form_key, static_cast<int>(used)}};
}

QCborMap control_state::change_command(QCborMap const& change)
{
    return {{change_key, change}};
}

QCborMap control_state::claim_command(QCborMap const& command)
{
    return {{claim_key_name, command}};
}

QCborMap control_state::route_command(route_change const& change, form used)
{
    bool const is_small =
        change.routes.size() + change.services.size() + change.teams.size() <=
        maximum_plain_items;
    if (is_small || used < form::packed_routes)
    {
        return {{route_key, to_cbor(change)}};
    }
    return {{packed_route_key, pack_cbor(to_cbor(change))}};
}

QCborMap control_state::in_form(QCborMap const& command, form used)
{
    if (used < form::counted_orders && command.contains(evacuation_key))
    {
        auto order = command.value(evacuation_key).toMap();
        order.remove(seen_orders_key);
        return {{evacuation_key, order}};
    }
    if (used >= form::packed_routes || !command.contains(packed_route_key))
    {
        return command;
    }
    auto const change =
        unpack_cbor(command.value(packed_route_key).toByteArray());
    return change ? QCborMap{{route_key, *change}} : command;
}

control_state::form control_state::lowest_form(QCborMap const& command)
{
    if (!is_route_command(command))
    {
        return form::first;
    }
    auto const change = route_change_of(command);
    if (change.contains(QLatin1String("team_table")))
    {
        return form::team_tables;
    }
    auto const routes = cbor_array(change, "routes");
    bool const has_public_route =
        std::any_of(routes.begin(), routes.end(),
                    [](QCborValue const& route)
                    { return cbor_flag(route.toMap(), "public"); });
    return has_public_route || change.contains(QLatin1String("teams"))
               ? form::teams
               : form::first;
}

control_state::form control_state::needed_form(QCborMap const& command) const
{
    auto const lowest = lowest_form(command);
    if (form_ >= form::team_tables || !is_route_command(command))
    {
        return lowest;
    }
    auto const change = parse_route_change(route_change_of(command));
    return change && routes_.may_leave_no_team(*change) ? form::team_tables
                                                        : lowest;
}

bool control_state::is_route_command(QCborMap const& command)
{
    return command.contains(route_key) || command.contains(packed_route_key);
}

QCborMap control_state::evacuation_command(zone_name const& zone,
                                           bool is_evacuated,
                                           std::optional<order_count> seen)
{
    QCborMap order{{QLatin1String("zone"), zone.value()},
                   {QLatin1String("is_evacuated"), is_evacuated}};
    if (seen)
    {
        order[seen_orders_key] = seen->value();
    }
    return {{evacuation_key, order}};
}

bool control_state::is_uncounted_order(QCborMap const& command)
{
    return command.contains(evacuation_key) &&
           !command.value(evacuation_key).toMap().contains(seen_orders_key);
}

bool control_state::can_apply(QCborMap const& command) const
{
    if (command.contains(form_key))
    {
        return command.value(form_key).toInteger() <=
               static_cast<int>(form::latest);
    }
    static std::array<QLatin1String, 5> const known{change_key, claim_key_name,
                                                    route_key, packed_route_key,
                                                    evacuation_key};
    return std::any_of(known.begin(), known.end(),
                       [&command](QLatin1String key)
                       { return command.contains(key); });
}

QCborMap control_state::apply(QCborMap const& command, log_index index)
{
    if (command.contains(form_key))
    {
        apply_form(static_cast<form>(command.value(form_key).toInteger()));
        return {};
    }
    if (command.contains(change_key))
    {
        auto const result =
            config_.apply(command.value(change_key).toMap(), index);
        refresh_limits();
        return result;
    }
    if (command.contains(route_key))
    {
        return apply_route(command.value(route_key).toMap(), index);
    }
    if (command.contains(packed_route_key))
    {
        auto const change =
            unpack_cbor(command.value(packed_route_key).toByteArray());
        return apply_route(change.value_or(QCborMap()), index);
    }
    if (command.contains(evacuation_key))
    {
        return apply_evacuation(command.value(evacuation_key).toMap());
    }
    return apply_claim(command, index);
}

void control_state::apply_form(form used)
{
    // Replicas of earlier builds have not counted, nor those that got their
    // state from one.
    if (form_ < form::counted_orders && used >= form::counted_orders)
    {
        routes_.reset_evacuation_orders();
    }
    // Replicas of earlier builds know teams alone, not their table.
    if (form_ < form::team_tables && used >= form::team_tables)
    {
        routes_.reset_team_table();
    }
    form_ = std::max(form_, used);
}

QCborMap control_state::apply_evacuation(QCborMap const& order)
{
    std::optional<order_count> seen;
    if (order.contains(seen_orders_key))
    {
        seen = order_count(order.value(seen_orders_key).toInteger());
    }
    return to_cbor(routes_.evacuate(zone_name(cbor_text(order, "zone")),
                                    cbor_flag(order, "is_evacuated"), seen));
}

QCborMap control_state::apply_route(QCborMap const& change, log_index index)
{
    auto const parsed = parse_route_change(change);
    if (!parsed)
    {
        // Checked before it was proposed, so every replica ends here alike.
        state_log.error(QStringLiteral("Entry %1 of the log is no change.")
                            .arg(index.value()));
        return {};
    }
    return to_cbor(routes_.apply(*parsed));
}

QCborMap control_state::apply_claim(QCborMap const& command, log_index index)
{
    auto const parsed =
        parse_claim_log_command(command.value(claim_key_name).toMap());
    if (!parsed)
    {
        // Checked before it was proposed, so every replica ends here alike.
        state_log.error(QStringLiteral("Entry %1 of the log is unknown.")
                            .arg(index.value()));
        return {};
    }
    if (auto const* gone = std::get_if<abandon_command>(&parsed->command))
    {
        // Each entry's process begins with this command.
        note_holder(gone->entry);
    }
    return to_cbor(claims_.apply(*parsed));
}

void control_state::note_holder(entry_id const& entry)
{
    bool const is_known =
        std::find(holders_.begin(), holders_.end(), entry) != holders_.end();
    if (!is_known && holders_.size() < maximum_holders)
    {
        holders_.push_back(entry);
    }
}

void control_state::refresh_limits()
{
    if (view_->version() == config_.version())
    {
        return;
    }
    auto const next = view_->apply_delta(config_.delta_since(view_->version()),
                                         view_->term());
    if (!next)
    {
        state_log.error(QStringLiteral("The configuration has no view."));
        return;
    }
    view_ = *next;
    limits_ = limited_resources(*view_);
    for (auto& [name, limit] : limits_)
    {
        auto& highest = highest_caps_[name];
        highest = std::max(highest, limit.cap.value());
        limit.highest_cap = grant_amount(highest);
    }
}

QByteArray control_state::snapshot() const
{
    QCborArray holders;
    for (auto const& holder : holders_)
    {
        holders.append(holder.value());
    }
    QCborMap caps;
    for (auto const& [name, cap] : highest_caps_)
    {
        caps[name.value()] = cap;
    }
    QCborMap const state{{config_key, config_.snapshot()},
                         {claims_key, claims_.snapshot()},
                         {routes_key, routes_.snapshot()},
                         {holders_key, holders},
                         {caps_key, caps},
                         {form_key, static_cast<int>(form_)}};
    return state.toCborValue().toCbor();
}

bool control_state::restore(QByteArray const& state)
{
    auto const parsed = parse_cbor_map(state);
    if (!parsed)
    {
        return false;
    }
    auto const& map = *parsed;
    auto const used = cbor_number(map, "form", static_cast<int>(form::first));
    if (used > static_cast<int>(form::latest))
    {
        state_log.error(
            QStringLiteral("The state has form %1, which a later version has "
                           "written; this version reads up to %2.")
                .arg(used)
                .arg(static_cast<int>(form::latest)));
        return false;
    }
    auto config = config_store::restore(map.value(config_key).toMap());
    auto claims = claim_table::restore(map.value(claims_key).toByteArray());
    if (!config || !claims)
    {
        return false;
    }
    // Snapshots from before there were routes hold none.
    route_store routes;
    if (map.contains(routes_key) &&
        !routes.restore(map.value(routes_key).toMap()))
    {
        return false;
    }
    form_ = static_cast<form>(used);
    routes_ = std::move(routes);
    config_ = std::move(*config);
    claims_ = std::move(*claims);
    holders_.clear();
    for (auto const& holder : map.value(holders_key).toArray())
    {
        holders_.emplace_back(holder.toString());
    }
    highest_caps_.clear();
    for (auto const& cap : map.value(caps_key).toMap())
    {
        highest_caps_[resource_name(cap.first.toString())] =
            cap.second.toInteger();
    }
    view_ = config_view::empty();
    refresh_limits();
    return true;
}

} // namespace verbenacove
