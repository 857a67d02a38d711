#ifndef VERBENACOVE_VERSION_ROUTE_STORE_HPP
#define VERBENACOVE_VERSION_ROUTE_STORE_HPP

#include "verbenacove/core/strong_type.hpp"
#include "verbenacove/version/route_configuration.hpp"

#include <QHash>
#include <QSet>

#include <deque>
#include <optional>

namespace verbenacove
{

/** The number of evacuation orders that have been carried out. */
using order_count = strong_type<struct order_count_tag, qint64>;

/** What became of an operator's order. */
enum class order_outcome
{
    /** It is in force, or was when it came first. */
    accepted,
    /** Another version is current, or a later order of the zone is in
        force. */
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
    `maximum_signatures` accepted ones, however many changes came since. An
    evacuation order bears no signature; a late copy is recognised by the count
    of orders at a time when its caller was still waiting.
*/
class route_store
{
public:
    /** The accepted changes that are remembered, 32 bytes each. */
    static constexpr std::size_t maximum_signatures = 4096;

    /** Maximum number of zones whose last order is remembered. */
    static constexpr qsizetype maximum_ordered_zones = 2048;

    route_store();

    /** Carries out a change of the configuration. */
    order_result apply(route_change const& change);

    /** Marks a zone as evacuated, or ends that.

        @param seen  count of orders at a time when the caller was still
                     waiting for this one; a conflict when the opposite has been
                     ordered since. Absent for an order that is carried out in
                     any case.
    */
    order_result evacuate(zone_name const& zone, bool is_evacuated,
                          std::optional<order_count> seen = std::nullopt);

    /** Returns the configuration in force; never null. */
    route_configuration_ptr const& current() const { return current_; }

    /** Returns the zones whose upstreams get no requests. */
    QSet<zone_name> const& evacuated() const { return evacuated_; }

    /** Returns the number of evacuation orders that have been carried out,
        those that changed nothing included. */
    order_count evacuation_orders() const { return orders_; }

    /** Starts to count evacuation orders from zero; the count must be the same
        at all replicas, also at those that have not counted so far. */
    void reset_evacuation_orders();

    /** Returns whether a change may take the last team away; true as well if it
        builds on a version that is not in force yet. */
    bool may_leave_no_team(route_change const& change) const;

    /** Treats an empty table of teams, and a removed one, as if there had never
        been one; the state must be the same at all replicas, also at those that
        have not kept it so far. */
    void reset_team_table();

    /** Returns how many orders changed the state; grows with each. */
    qint64 revision() const { return revision_; }

    /** Returns the whole state, and reads it back; false when the map holds
        none, and then the state is as it was. */
    QCborMap snapshot() const;
    bool restore(QCborMap const& state);

private:
    void remember(QByteArray const& signature);
    void count_order(zone_name const& zone);
    QCborMap orders_to_cbor() const;
    void restore_orders(QCborMap const& orders);

    route_configuration_ptr current_;
    QSet<zone_name> evacuated_;
    qint64 revision_ = 0;
    order_count orders_;
    /** Count at the last order of each zone. */
    QHash<zone_name, order_count> last_orders_;
    /** The same for all zones that are no longer remembered. */
    order_count last_forgotten_order_;
    QHash<QByteArray, route_version> accepted_;
    std::deque<QByteArray> accepted_order_;
};

/** Returns a result as CBOR, and reads it back. */
QCborMap to_cbor(order_result const& result);
order_result parse_order_result(QCborMap const& map);

} // namespace verbenacove

#endif
