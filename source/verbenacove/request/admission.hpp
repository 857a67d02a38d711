#ifndef VERBENACOVE_REQUEST_ADMISSION_HPP
#define VERBENACOVE_REQUEST_ADMISSION_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/core/ids.hpp"
#include "verbenacove/request/request_class.hpp"

#include <QHash>

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace verbenacove
{

/** The number of a request in admission control, unique within this process.
 */
using admission_ticket = strong_type<struct admission_ticket_tag, qint64>;

/** The decision on a request for a slot, the right to run one request of a
    service. */
enum class admission_decision
{
    /** The request holds a slot until it leaves. */
    admitted,
    /** The request waits; the callback receives the decision later. */
    waiting,
    /** No slot is expected in time or the queue is full; the request was not
        run. */
    overloaded,
    /** The deadline has passed; the request was not run. */
    deadline
};

/** The admission rules of one request class. */
struct class_policy
{
    /** The share of a service's slots that requests of the class may hold
        together, in percent, at least one slot; the rest is reserved for other
        classes. */
    int maximum_slot_percent = 100;
    /** The maximum number of waiting requests. */
    std::size_t maximum_waiting = 0;
    /** The maximum time a request waits, in milliseconds; an earlier deadline
        ends the wait sooner. */
    milliseconds maximum_wait{0};
    /** True when a request that is not expected to get a slot in time is
        refused at once; otherwise only a full queue refuses it. */
    bool refuses_early = true;
};

/** The policies of all classes, in the order of request_class. */
using class_policies = std::array<class_policy, request_class_count>;

/** Returns the default policies: short waits for interactive requests, long
    waits for batch requests. */
class_policies default_class_policies();

/** Returns the time left before a deadline, at least 1 ms; nothing when the
    deadline has passed. To be checked before each send. */
std::optional<milliseconds> time_left(monotonic_time deadline,
                                      monotonic_time now);

/** Admission control: assigns the slots of each service to requests, by
    request class.

    A free slot goes to the waiting class that comes first in request_class.
    The callback of a waiting request is called exactly once, with a slot or
    with a refusal, unless the request leaves first. A refused request was not
    run.

    Not thread-safe: use it on one thread. Callbacks are called from `leave`,
    `set_slots` and `expire`, and may call any member function.
*/
class admission
{
public:
    /** Called with the decision on a waiting request: admitted, overloaded or
        deadline. */
    using callback = std::function<void(admission_decision)>;

    /** The decision of `enter`, and the ticket to pass to `leave`. */
    struct result
    {
        admission_decision decision = admission_decision::overloaded;
        admission_ticket ticket;
    };

    /** The maximum number of services; requests for further ones are refused.
     */
    static constexpr qsizetype maximum_services = 1024;

    /** Creates an admission control without slots; the clock must outlive it.
     */
    explicit admission(
        clock_source const& clock,
        class_policies const& policies = default_class_policies());

    admission(admission const&) = delete;
    admission& operator=(admission const&) = delete;

    /** Sets how many requests of a service may run at the same time.

        The number may be below the number of running requests: those keep
        their slots, and no request is admitted until enough have left.
    */
    void set_slots(service_name const& service, slot_count slots);

    /** Requests a slot of a service.

        @param deadline     the time at which the caller gives up
        @param on_decision  called once, later, only when the result is
                            `waiting` and the request has not left by then
    */
    result enter(service_name const& service, request_class kind,
                 monotonic_time deadline, callback on_decision);

    /** Releases the slot of an admitted request, or removes a waiting request
        whose caller has disconnected; does nothing for a refused request. */
    void leave(admission_ticket ticket);

    /** Refuses the requests whose wait has expired; to be called at
        `next_expiry`. */
    void expire();

    /** Returns the earliest time at which a wait expires; nothing when no
        request waits. */
    std::optional<monotonic_time> next_expiry() const;

    /** Returns the number of requests of a service that hold a slot. */
    int running_count(service_name const& service) const;

    /** Returns the number of waiting requests of a service and class. */
    std::size_t waiting_count(service_name const& service,
                              request_class kind) const;

private:
    struct waiting_request
    {
        admission_ticket ticket;
        monotonic_time deadline;
        /** The end of the wait, at the deadline or earlier. */
        monotonic_time expiry;
        callback on_decision;
    };

    struct running_request
    {
        service_name service;
        request_class kind;
        monotonic_time start;
    };

    struct pool
    {
        int slots = 0;
        std::array<int, request_class_count> running{};
        std::array<std::deque<waiting_request>, request_class_count> waiting;
        /** The moving average of the time a slot is held. */
        monotonic_time::duration mean_hold_time{0};
    };

    struct decided_request
    {
        callback on_decision;
        admission_decision decision;
    };

    using decisions = std::vector<decided_request>;

    bool has_free_slot(pool const& service_pool, request_class kind) const;
    bool is_unlikely_in_time(pool const& service_pool, request_class kind,
                             monotonic_time expiry) const;
    void assign_slot(pool& service_pool, service_name const& service,
                     request_class kind, admission_ticket ticket);
    void release_slot(running_request const& ended);
    void remove_waiting(admission_ticket ticket);
    void admit_waiting(pool& service_pool, service_name const& service,
                       decisions& decided);
    void expire_waiting(pool& service_pool, decisions& decided);

    static int running(pool const& service_pool);
    static void notify(decisions const& decided);

    clock_source const& clock_;
    class_policies policies_;
    QHash<service_name, pool> pools_;
    QHash<admission_ticket, running_request> running_;
    // The service of each waiting request.
    QHash<admission_ticket, service_name> waiting_;
    admission_ticket last_ticket_;
};

} // namespace verbenacove

#endif
