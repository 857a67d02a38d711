#ifndef VERBENACOVE_PROCESS_CONTROL_CLIENT_HPP
#define VERBENACOVE_PROCESS_CONTROL_CLIENT_HPP

#include "verbenacove/connection/rpc_client.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace verbenacove
{

/** Calls the control replicas from an entry, and finds their leader.

    Every request that goes through it must be one that may be carried out
    twice with the effect of once, since it is sent again when no reply came.
*/
class control_client
{
public:
    /** Gets a reply whose status is `ok`, or nothing when the time ran out:
        then the request may or may not have been carried out. */
    using callback = std::function<void(std::optional<QCborMap>)>;

    /** @param addresses  the replicas' internal addresses, nearest first */
    explicit control_client(std::vector<socket_address> const& addresses);
    control_client(control_client const&) = delete;
    control_client& operator=(control_client const&) = delete;

    /** Calls the leader, looking for it until the time has run out. */
    void call_leader(QCborMap request, milliseconds time_left, callback done);

    /** Calls the replica that answered last, and another one next time when
        it does not answer or does not say `ok`. */
    void call_any(QCborMap request, milliseconds timeout, callback done);

private:
    struct search
    {
        QCborMap request;
        monotonic_time deadline;
        callback done;
    };

    void try_leader(std::shared_ptr<search> const& wanted);
    void take_reply(std::shared_ptr<search> const& wanted, std::size_t asked,
                    std::optional<QCborMap> const& reply);
    void try_again_later(std::shared_ptr<search> const& wanted);

    std::vector<std::unique_ptr<rpc_client>> clients_;
    std::size_t leader_ = 0;
    std::size_t any_ = 0;
    QObject context_;
};

} // namespace verbenacove

#endif
