#ifndef VERBENACOVE_TEAMS_ALLOWANCE_SERVICE_HPP
#define VERBENACOVE_TEAMS_ALLOWANCE_SERVICE_HPP

#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/process/control_server.hpp"
#include "verbenacove/teams/allowance_ledger.hpp"
#include "verbenacove/teams/allowance_relay.hpp"

#include <QHash>

namespace verbenacove
{

/** Answers the entries' reports of allowances at a control replica: by its
    ledger while it leads, by the leader's otherwise.

    @see allowance_ledger, allowance_relay
*/
class allowance_service
{
public:
    /** Creates a service and registers its handlers.

        @param server  must outlive the service, and not have been started
    */
    explicit allowance_service(control_server& server);
    allowance_service(allowance_service const&) = delete;
    allowance_service& operator=(allowance_service const&) = delete;

    /** Starts following the leader and the configuration. */
    void start();

    /** Returns the number of teams that this replica restricts as leader. */
    qint64 restricted_teams() const { return restricted_.size(); }

private:
    using reply_function = control_server::reply_function;

    void handle_tick();
    void handle_report(QCborMap const& request, reply_function const& reply);
    void handle_sum(QCborMap const& request, reply_function const& reply);
    /** Applies the current term and configuration to the ledger; returns
        whether this replica leads. */
    bool refresh();
    allowance_answer record(std::vector<allowance_use> const& uses);
    void schedule_exchange();
    /** Sends the sum of reports to the leader. */
    void exchange();
    void log_changes(monotonic_time now);

    control_server& server_;
    steady_clock_source clock_;
    allowance_ledger ledger_;
    allowance_relay relay_;
    /** Term that this replica leads; absent while it does not lead. */
    std::optional<log_term> term_;
    qint64 routes_revision_ = -1;
    /** Restricted teams, with the time at which each one was last seen
        restricted. */
    QHash<team_name, monotonic_time> restricted_;
    monotonic_time last_log_{};
    monotonic_time last_exchange_{};
    timer_service timers_;
    timer_service::subscription tick_;
    timer_service::subscription exchange_timer_;
};

} // namespace verbenacove

#endif
