#ifndef VERBENACOVE_PROCESS_CONTROL_STATE_HPP
#define VERBENACOVE_PROCESS_CONTROL_STATE_HPP

#include "verbenacove/process/limited_resources.hpp"
#include "verbenacove/process/state_machine.hpp"
#include "verbenacove/version/claim_table.hpp"
#include "verbenacove/version/config_store.hpp"
#include "verbenacove/version/config_view.hpp"
#include "verbenacove/version/route_store.hpp"

#include <map>
#include <optional>
#include <vector>

namespace verbenacove
{

/** All that the control replicas agree on: the configuration, the routes, the
    evacuated zones and the claims.

    @see raft_node
*/
class control_state : public state_machine
{
public:
    /** The forms of commands and snapshots, each of which includes all before
        it. A form is used once all replicas have said that they can read it. */
    enum class form : int
    {
        /** That of builds which say nothing about forms. */
        first = 1,
        /** Changes of many routes are packed. */
        packed_routes = 2,
        /** Evacuation orders are counted, and name the count at a time when
            their caller was still waiting. */
        counted_orders = 3,
        /** Changes of the routes have teams and public routes, which earlier
            builds would leave out. */
        teams = 4,
        /** An empty table of teams is told from none, and from one that was
            removed. */
        team_tables = 5,
        latest = team_tables
    };

    /** Returns the log command that puts a form into use. */
    static QCborMap form_command(form used);

    /** Returns the log command of an operator's change. */
    static QCborMap change_command(QCborMap const& change);

    /** Returns the log command of a claim or what follows on one. */
    static QCborMap claim_command(QCborMap const& command);

    /** Returns the log command of a change of the routes; applying it gives
        an order_result. */
    static QCborMap route_command(route_change const& change, form used);

    /** Returns a command of an operator in a form that may be used. */
    static QCborMap in_form(QCborMap const& command, form used);

    /** Returns the lowest form in which a command may be proposed, whatever
        the state is when it is applied.

        @see needed_form
    */
    static form lowest_form(QCborMap const& command);

    /** Returns the lowest form in which a command may be proposed to the state
        as it is. */
    form needed_form(QCborMap const& command) const;

    /** Returns whether a log command is a change of the routes. */
    static bool is_route_command(QCborMap const& command);

    /** Returns the log command that evacuates a zone, or ends that.

        @see route_store::evacuate
    */
    static QCborMap evacuation_command(zone_name const& zone, bool is_evacuated,
                                       std::optional<order_count> seen);

    /** Returns whether a command is an evacuation order that does not name the
        count of orders; a late copy of it cannot be recognised. */
    static bool is_uncounted_order(QCborMap const& command);

    bool can_apply(QCborMap const& command) const override;
    QCborMap apply(QCborMap const& command, log_index index) override;
    QByteArray snapshot() const override;
    bool restore(QByteArray const& state) override;

    /** Returns the form that all replicas can read. */
    form used_form() const { return form_; }

    config_store const& config() const { return config_; }
    claim_table const& claims() const { return claims_; }
    route_store const& routes() const { return routes_; }

    /** Returns the entries that have ever been here, oldest first; each may
        hold floors of limits. At most `maximum_holders`. */
    std::vector<entry_id> const& holders() const { return holders_; }

    /** Returns the limits in force, with the highest cap that each ever had.
     */
    std::map<resource_name, grant_limit> const& limits() const
    {
        return limits_;
    }

    /** The most entries that hold grants; further ones get none. */
    static constexpr std::size_t maximum_holders = 16;

private:
    QCborMap apply_claim(QCborMap const& command, log_index index);
    QCborMap apply_route(QCborMap const& change, log_index index);
    QCborMap apply_evacuation(QCborMap const& order);
    void apply_form(form used);
    void note_holder(entry_id const& entry);
    void refresh_limits();

    form form_ = form::first;
    config_store config_;
    claim_table claims_;
    route_store routes_;
    std::vector<entry_id> holders_;
    /** Of all resources that ever had a limit. */
    std::map<resource_name, qint64> highest_caps_;
    std::map<resource_name, grant_limit> limits_;
    config_view_ptr view_ = config_view::empty();
};

} // namespace verbenacove

#endif
