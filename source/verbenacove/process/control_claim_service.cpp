#include "verbenacove/process/control_claim_service.hpp"

#include "verbenacove/core/cbor.hpp"

#include <QTimer>

#include <utility>
#include <variant>

namespace verbenacove
{

control_claim_service::control_claim_service(
    std::vector<socket_address> const& control, entry_id own_id,
    incarnation started)
    : client_(control)
    , own_id_(std::move(own_id))
    , started_(started)
{
}

void control_claim_service::propose(command_type command,
                                    milliseconds time_left, callback done)
{
    bool const is_claim = std::holds_alternative<claim_command>(command);
    if (is_claim && open_proposals_ >= maximum_open_proposals)
    {
        QTimer::singleShot(0, &context_,
                           [done = std::move(done)] {
                               done(claim_answer{claim_result::full, {}, {}});
                           });
        return;
    }
    ++open_proposals_;
    claim_log_command const proposed{log_time(0), std::move(command)};
    QCborMap request{{QLatin1String("m"), QLatin1String("claim")},
                     {QLatin1String("command"), to_cbor(proposed)}};
    client_.call_leader(
        std::move(request), time_left,
        [this, done = std::move(done)](std::optional<QCborMap> const& reply)
        {
            --open_proposals_;
            if (!reply)
            {
                done(std::nullopt);
                return;
            }
            auto const answer = parse_claim_answer(cbor_map(*reply, "answer"));
            done(answer ? std::optional(*answer) : std::nullopt);
        });
}

claim_holder control_claim_service::next_holder()
{
    return {own_id_, started_, attempt_nonce(next_nonce_++)};
}

} // namespace verbenacove
