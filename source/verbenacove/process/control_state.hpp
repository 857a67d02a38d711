#ifndef VERBENACOVE_PROCESS_CONTROL_STATE_HPP
#define VERBENACOVE_PROCESS_CONTROL_STATE_HPP

#include "verbenacove/process/state_machine.hpp"
#include "verbenacove/version/claim_table.hpp"
#include "verbenacove/version/config_store.hpp"

namespace verbenacove
{

/** All that the control replicas agree on: the configuration and the claims.

    @see raft_node
*/
class control_state : public state_machine
{
public:
    /** Returns the log command of an operator's change. */
    static QCborMap change_command(QCborMap const& change);

    /** Returns the log command of a claim or what follows on one. */
    static QCborMap claim_command(QCborMap const& command);

    QCborMap apply(QCborMap const& command, log_index index) override;
    QByteArray snapshot() const override;
    bool restore(QByteArray const& state) override;

    config_store const& config() const { return config_; }
    claim_table const& claims() const { return claims_; }

private:
    config_store config_;
    claim_table claims_;
};

} // namespace verbenacove

#endif
