#ifndef VERBENACOVE_VERSION_ROUTE_STORE_HPP
#define VERBENACOVE_VERSION_ROUTE_STORE_HPP

#include "verbenacove/version/route_configuration.hpp"

#include <QHash>
#include <QSet>

#include <deque>

namespace verbenacove
{

/** What became of an operator's order. */
enum class order_outcome
{
    /** It is in force, or was when it came first. */
    accepted,
    /** Another version is current. */
    conflict,
    /** It can never be in force. */
    invalid
};

/** The answer to an operator's order. */
struct order_result
{
    order_outcome outcome = order_outcome::invalid;
    /** The version in force after the order. */
    route_version version;
    /** Why it was refused; empty when it was accepted. */
    QString reason;
};

/** The route configuration and the evacuated zones, as all replicas agree.

    The same orders in the same sequence give the same state everywhere. A
    change that comes again is recognised by its signature among the last
    `maximum_signatures` accepted ones, however many changes came since.
*/
class route_store
{
public:
    /** The accepted changes that are remembered, 32 bytes each. */
    static constexpr std::size_t maximum_signatures = 4096;

    route_store();

    /** Carries out a change of the configuration. */
    order_result apply(route_change const& change);

    /** Marks a zone as evacuated, or ends that. */
    order_result evacuate(zone_name const& zone, bool is_evacuated);

    /** Returns the configuration in force; never null. */
    route_configuration_ptr const& current() const { return current_; }

    /** Returns the zones whose upstreams get no requests. */
    QSet<zone_name> const& evacuated() const { return evacuated_; }

    /** Returns how many orders changed the state; grows with each. */
    qint64 revision() const { return revision_; }

    /** Returns the whole state, and reads it back; false when the map holds
        none, and then the state is as it was. */
    QCborMap snapshot() const;
    bool restore(QCborMap const& state);

private:
    void remember(QByteArray const& signature);

    route_configuration_ptr current_;
    QSet<zone_name> evacuated_;
    qint64 revision_ = 0;
    QHash<QByteArray, route_version> accepted_;
    std::deque<QByteArray> accepted_order_;
};

/** Returns a result as CBOR, and reads it back. */
QCborMap to_cbor(order_result const& result);
order_result parse_order_result(QCborMap const& map);

} // namespace verbenacove

#endif
