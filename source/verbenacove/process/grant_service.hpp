#ifndef VERBENACOVE_PROCESS_GRANT_SERVICE_HPP
#define VERBENACOVE_PROCESS_GRANT_SERVICE_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/process/control_state.hpp"
#include "verbenacove/process/grant_ledger.hpp"
#include "verbenacove/process/raft_node.hpp"

#include <QCborArray>

#include <functional>
#include <set>

namespace verbenacove
{

/** Answers entries' requests for grants while its replica leads.

    Grants are not part of the replicated log: a new leader makes none until
    those of earlier leaders have run out.

    @see grant_ledger, region_budget
*/
class grant_service
{
public:
    /** Gets the answers, or nothing when this replica does not lead. */
    using callback = std::function<void(std::optional<QCborArray>)>;

    /** All that is handed in must outlive the service. */
    grant_service(control_state const& state, raft_node& node,
                  clock_source const& clock);

    /** Answers requests once a majority has confirmed the leader. */
    void answer(QCborArray const& requests, callback done);

private:
    void refresh();
    void refresh_limits();
    QCborArray answers(QCborArray const& requests, monotonic_time as_of);

    control_state const& state_;
    raft_node& node_;
    clock_source const& clock_;
    grant_ledger ledger_;
    log_term term_;
    config_version limits_version_;
    std::set<resource_name> limited_;
};

} // namespace verbenacove

#endif
