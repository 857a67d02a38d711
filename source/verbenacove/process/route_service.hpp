#ifndef VERBENACOVE_PROCESS_ROUTE_SERVICE_HPP
#define VERBENACOVE_PROCESS_ROUTE_SERVICE_HPP

#include "verbenacove/process/control_server.hpp"

#include <QHash>

#include <functional>
#include <memory>
#include <optional>

namespace verbenacove
{

/** Takes operators' orders about routes and zones at any replica.

    A follower hands an order to the leader, so operators need not know who
    leads. An order whose end is not known may have been carried out; sending
    it again is safe.
*/
class route_service
{
public:
    /** Gets the result, or nothing when it is not known. */
    using order_callback = std::function<void(std::optional<order_result>)>;

    /** Gets the newest configuration, or nothing when this replica cannot be
        sure which that is. */
    using read_callback =
        std::function<void(std::optional<route_configuration>)>;

    /** The server must outlive the service, and not have been started.

        @param changed  called when an order changed what is in force here
    */
    route_service(control_server& server, std::function<void()> changed);
    route_service(route_service const&) = delete;
    route_service& operator=(route_service const&) = delete;

    /** Begins to watch for changes. */
    void start();

    /** Changes the configuration. */
    void change(route_change const& change, order_callback done);

    /** Returns whether the caller of an order still waits for the result. */
    using caller_check = std::function<bool()>;

    /** Evacuates a zone, or ends that.

        The order is dropped when its caller has left: it may have gone to
        another replica and ordered the opposite since.
    */
    void evacuate(zone_name const& zone, bool is_evacuated,
                  caller_check is_awaited, order_callback done);

    /** Returns the configuration that is in force at this replica. */
    route_configuration const& current() const
    {
        return *server_.state().routes().current();
    }

    /** Reads the configuration that was newest when this was called. */
    void read(read_callback done);

private:
    using reply_function = control_server::reply_function;

    /** One call that the leader is to answer. */
    struct pending_call
    {
        QCborMap request;
        monotonic_time until;
        std::function<void(std::optional<QCborMap>)> done;
        /** Number of times that it was sent to a leader. */
        int sent = 0;
        /** Number of times that no leader was known. */
        int leaderless = 0;
    };

    /** An evacuation order whose result is not known yet. */
    struct pending_evacuation
    {
        zone_name zone;
        bool is_evacuated = false;
        caller_check is_awaited;
        order_callback done;
        monotonic_time received;
        monotonic_time until;
    };

    /** Reads how many orders have been carried out; what is sent then is
        refused when the opposite is ordered in between. */
    void begin_evacuation(std::shared_ptr<pending_evacuation> const& order);
    void send_evacuation(std::shared_ptr<pending_evacuation> const& order,
                         std::optional<order_count> seen);
    void handle_order(QCborMap const& request, reply_function const& reply);
    /** Returns whether a change may be proposed, and comes from a build that
        reads all of it; if not, asks for the form that it needs. */
    bool is_readable_by_all(QCborMap const& request, QCborMap const& command,
                            control_state::form used);
    /** Replies to all that have sent the same order. */
    void finish_order(QByteArray const& key, QCborMap const& answer);
    /** Returns the same key for a change that is sent again, and for each
        other order one of its own. */
    QByteArray key_of(QCborMap const& command);
    void handle_read(QCborMap const& request, reply_function const& reply);
    /** @param version  version that the order makes, for the log; 0 for none
        @param until    time after which the result counts as unknown */
    void order(QCborMap command, route_version version, monotonic_time until,
               order_callback done);
    /** Logs how an order of an operator ended at this replica. */
    void log_order(pending_call const& call, route_version version,
                   monotonic_time received,
                   std::optional<order_result> const& result) const;
    void call_leader(std::shared_ptr<pending_call> const& call);
    /** Gives the own configuration once it is of the revision that was newest
        at the leader. */
    void finish_read(QCborMap const& reply, read_callback const& done,
                     monotonic_time until);
    void take_reply(std::shared_ptr<pending_call> const& call,
                    std::optional<QCborMap> const& reply);
    void try_again(std::shared_ptr<pending_call> const& call);

    control_server& server_;
    std::function<void()> changed_;
    steady_clock_source clock_;
    timer_service timers_;
    timer_service::subscription watch_;
    qint64 seen_revision_ = 0;
    /** The calls that wait for each order that is not decided yet, by its
        key. */
    QHash<QByteArray, std::vector<reply_function>> undecided_;
    qint64 last_order_ = 0;
    QObject context_;
};

} // namespace verbenacove

#endif
