#ifndef VERBENACOVE_PROCESS_CONTROL_CLAIM_SERVICE_HPP
#define VERBENACOVE_PROCESS_CONTROL_CLAIM_SERVICE_HPP

#include "verbenacove/process/control_client.hpp"
#include "verbenacove/request/claim_service.hpp"

namespace verbenacove
{

/** Has an entry's claims committed by the control replicas' leader. */
class control_claim_service : public claim_service
{
public:
    /** The proposals that may wait for their commit when a further claim is
        made; it is answered `full` then, without having been proposed. An
        outcome or a release is proposed all the same: each follows a claim. */
    static constexpr int maximum_open_proposals = 1000;

    /** @param started  differs from that of every earlier process of this
                        entry, and is higher */
    control_claim_service(std::vector<socket_address> const& control,
                          entry_id own_id, incarnation started);

    void propose(command_type command, milliseconds time_left,
                 callback done) override;
    claim_holder next_holder() override;

private:
    control_client client_;
    entry_id own_id_;
    incarnation started_;
    qint64 next_nonce_ = 1;
    int open_proposals_ = 0;
    QObject context_;
};

} // namespace verbenacove

#endif
