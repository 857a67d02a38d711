#ifndef VERBENACOVE_TEAMS_KEY_CONFIRMATION_SERVICE_HPP
#define VERBENACOVE_TEAMS_KEY_CONFIRMATION_SERVICE_HPP

#include "verbenacove/core/timer_service.hpp"
#include "verbenacove/process/control_server.hpp"
#include "verbenacove/teams/key_confirmer.hpp"

#include <vector>

namespace verbenacove
{

/** Lets a control replica know up to which time its keys are confirmed, as
    long as keys are used.

    The leader asks a majority of the voters about every 300 ms. Each other
    replica asks the leader as often, which answers with its next confirmation:
    one round of the voters serves all.

    @see key_confirmer, key_lease
*/
class key_confirmation_service
{
public:
    /** Creates a service and registers its handler.

        @param server  must outlive the service, and not have been started
    */
    explicit key_confirmation_service(control_server& server);
    key_confirmation_service(key_confirmation_service const&) = delete;
    key_confirmation_service&
    operator=(key_confirmation_service const&) = delete;

    /** Starts asking. */
    void start();

    /** Maximum number of replicas that wait for an answer; further ones get the
        latest confirmation at once. */
    static constexpr std::size_t maximum_waiting = 64;

    /** Returns the latest confirmation; nothing without any, or while
        no keys are used. */
    std::optional<key_confirmation> const& latest() const
    {
        return confirmer_.latest();
    }

private:
    using question = key_confirmer::question;
    using reply_function = control_server::reply_function;

    /** Replica that asked this one. */
    struct waiting_replica
    {
        boot_time received;
        reply_function reply;
    };

    void handle_tick();
    /** Returns whom this replica asks; empty for nobody. */
    QString respondent() const;
    void ask_voters(question const& asked);
    void ask_leader(question const& asked);
    void handle_request(QCborMap const& request, reply_function const& reply);
    void answer(waiting_replica const& waiting) const;
    void answer_waiting();
    /** Logs that confirmations no longer come, or come again. */
    void log_changes(bool has_keys, boot_time now);

    control_server& server_;
    key_confirmer confirmer_;
    std::vector<waiting_replica> waiting_;
    /** Time since which keys are used; that of the last tick while they are
        not. */
    std::optional<boot_time> keys_since_;
    /** Time since which the latest confirmation has been too old. */
    std::optional<boot_time> stale_since_;
    timer_service timers_;
    timer_service::subscription tick_;
};

} // namespace verbenacove

#endif
