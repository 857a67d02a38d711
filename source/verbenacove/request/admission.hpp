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

/** Tells one request of this process that entered admission from all others.
 */
using admission_ticket = strong_type<struct admission_ticket_tag, qint64>;

/** What became of a request that asked to be admitted. */
enum class admission_decision
{
    /** It has a slot until it leaves. */
    admitted,
    /** It waits; the decision comes later. */
    waiting,
    /** No slot is in reach in time, or too many wait: it was not run. */
    overloaded,
    /** Its deadline has passed: it was not run. */
    deadline
};

/** How the requests of one class are admitted. */
struct class_policy
{
    /** The slots its requests may take together, in percent of those in
        reach, but one at least; the rest stays free for other classes. */
    int slot_percent = 100;
    /** How many may wait. */
    std::size_t waiting = 0;
    /** How long one waits at most; its deadline ends it sooner. */
    milliseconds longest_wait{0};
    /** Whether one that is not likely to get a slot in time is refused at
        once; else it waits, and only a full queue refuses it. */
    bool is_refused_early = true;
};

/** The policies of all classes, in the order of request_class. */
using class_policies = std::array<class_policy, request_class_count>;

/** The policies that suit people who wait and reports that can. */
class_policies default_class_policies();

/** Returns the time that is left before a deadline, 1 ms at least; nothing
    when it has passed. Ask before each send. */
std::optional<milliseconds> time_left(monotonic_time deadline,
                                      monotonic_time now);

/** Admits requests into the slots that are in reach, by class.

    A class that stands earlier in request_class gets a free slot first. A
    request that waits is decided exactly once: it gets a slot, or is told that
    its time is over; none is dropped without a word. Whatever is refused here
    was not run.

    Use it on one thread. Callbacks come from within `leave`, `set_slots` and
    `expire`, and may call any of them.
*/
class admission
{
public:
    /** Tells a waiting request's decision: admitted, overloaded or deadline. */
    using callback = std::function<void(admission_decision)>;

    /** What `enter` decided, and the ticket to leave with. */
    struct result
    {
        admission_decision decision = admission_decision::overloaded;
        admission_ticket ticket;
    };

    /** The most services; requests for more are refused. */
    static constexpr qsizetype maximum_services = 1024;

    /** Creates an admission without slots; the clock must outlive it. */
    explicit admission(
        clock_source const& clock,
        class_policies const& policies = default_class_policies());

    admission(admission const&) = delete;
    admission& operator=(admission const&) = delete;

    /** Sets how many requests of a service may run now.

        Fewer than run now is right: running ones end, and none is admitted
        meanwhile.
    */
    void set_slots(service_name const& service, slot_count slots);

    /** Asks for a slot.

        @param deadline  when the caller gives up
        @param decided   called once, later, only when the result is `waiting`
                         and the request has not left before
    */
    result enter(service_name const& service, request_class kind,
                 monotonic_time deadline, callback decided);

    /** Frees the slot of an admitted request, or ends the wait of one whose
        caller has gone; does nothing for one that was refused. */
    void leave(admission_ticket ticket);

    /** Refuses what has waited for too long; call it at `next_expiry`. */
    void expire();

    /** Returns when the next waiting request is over; nothing when none is. */
    std::optional<monotonic_time> next_expiry() const;

    /** Returns how many requests of a service hold a slot. */
    int running_count(service_name const& service) const;

    /** Returns how many requests of a service and class wait. */
    std::size_t waiting_count(service_name const& service,
                              request_class kind) const;

private:
    struct waiting_request
    {
        admission_ticket ticket;
        monotonic_time deadline;
        monotonic_time end;
        callback decided;
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
        /** The mean time a slot is held. */
        monotonic_time::duration mean_run{0};
    };

    struct decided_request
    {
        callback decided;
        admission_decision decision;
    };

    using decisions = std::vector<decided_request>;

    bool has_slot(pool const& from, request_class kind) const;
    bool is_hopeless(pool const& from, request_class kind,
                     monotonic_time end) const;
    void run(pool& in, service_name const& service, request_class kind,
             admission_ticket ticket);
    void end_run(running_request const& ended);
    void end_wait(admission_ticket ticket);
    void admit_waiting(pool& in, service_name const& service, decisions& made);
    void expire_waiting(pool& in, decisions& made);

    static int running(pool const& in);
    static void tell(decisions const& made);

    clock_source const& clock_;
    class_policies policies_;
    QHash<service_name, pool> pools_;
    QHash<admission_ticket, running_request> running_;
    QHash<admission_ticket, service_name> waiting_;
    admission_ticket last_ticket_;
};

} // namespace verbenacove

#endif
