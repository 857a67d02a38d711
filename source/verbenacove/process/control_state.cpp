#include "verbenacove/process/control_state.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/log.hpp"

#include <utility>

namespace verbenacove
{

namespace
{

log_part const state_log{"state"};

auto const change_key = QLatin1String("change");
auto const claim_key_name = QLatin1String("claim");
auto const config_key = QLatin1String("config");
auto const claims_key = QLatin1String("claims");

} // namespace

QCborMap control_state::change_command(QCborMap const& change)
{
    return {{change_key, change}};
}

QCborMap control_state::claim_command(QCborMap const& command)
{
    return {{claim_key_name, command}};
}

QCborMap control_state::apply(QCborMap const& command, log_index index)
{
    if (command.contains(change_key))
    {
        return config_.apply(command.value(change_key).toMap(), index);
    }
    auto const parsed =
        parse_claim_log_command(command.value(claim_key_name).toMap());
    if (!parsed)
    {
        // Checked before it was proposed, so every replica ends here alike.
        state_log.error(QStringLiteral("Entry %1 of the log is unknown.")
                            .arg(index.value()));
        return {};
    }
    return to_cbor(claims_.apply(*parsed));
}

QByteArray control_state::snapshot() const
{
    QCborMap const state{{config_key, config_.snapshot()},
                         {claims_key, claims_.snapshot()}};
    return state.toCborValue().toCbor();
}

bool control_state::restore(QByteArray const& state)
{
    auto const map = QCborValue::fromCbor(state).toMap();
    auto config = config_store::restore(map.value(config_key).toMap());
    auto claims = claim_table::restore(map.value(claims_key).toByteArray());
    if (!config || !claims)
    {
        return false;
    }
    config_ = std::move(*config);
    claims_ = std::move(*claims);
    return true;
}

} // namespace verbenacove
