#ifndef VERBENACOVE_PROCESS_WORK_METER_HPP
#define VERBENACOVE_PROCESS_WORK_METER_HPP

#include <QtGlobal>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>

namespace verbenacove
{

/** A kind of work of a control replica, by what asks for it. */
enum class work_kind
{
    /** Anything that is not measured: reading sockets, the timers. */
    other,
    /** The replicated log: messages, replies and the clock. */
    consensus,
    /** Requests of other replicas for this one's membership view. */
    replica_requests,
    /** What other replicas have answered to this one's requests. */
    replica_responses,
    /** Requests of entries for updates. */
    entry_requests,
    /** Responses to them. */
    entry_responses,
    /** Departures of upstreams that other replicas pass on. */
    departures,
    /** Calls of upstreams and operators. */
    control_calls,
    lookups,
    /** What is checked at intervals. */
    housekeeping
};

constexpr std::size_t work_kind_count = 10;

/** Divides the processor time of a thread among kinds of work.

    Work that is done within other work counts for its own kind only.
*/
class work_meter
{
public:
    /** Returns the processor time that the thread has used. */
    using processor_clock = std::function<std::chrono::nanoseconds()>;

    /** Amount of one kind of work. */
    struct amount
    {
        std::chrono::nanoseconds processor_time{0};
        /** Number of times that it was begun. */
        qint64 count = 0;
    };

    using amounts = std::array<amount, work_kind_count>;

    /** Counts the time until its end for a kind of work. */
    class scope
    {
    public:
        scope(work_meter& meter, work_kind kind);
        ~scope();
        scope(scope const&) = delete;
        scope& operator=(scope const&) = delete;

    private:
        work_meter& meter_;
        work_kind outer_;
    };

    /** Creates a meter of the calling thread. */
    work_meter();

    /** Creates a meter that reads a given clock. */
    explicit work_meter(processor_clock clock);

    work_meter(work_meter const&) = delete;
    work_meter& operator=(work_meter const&) = delete;

    /** Returns what was done since the previous call. */
    amounts take();

private:
    /** Counts the time since the last switch for the current kind. */
    void switch_to(work_kind next);

    processor_clock clock_;
    work_kind current_ = work_kind::other;
    std::chrono::nanoseconds switched_{0};
    amounts amounts_{};
};

/** Returns the name of a kind of work, as logs have it. */
char const* work_kind_name(work_kind kind);

} // namespace verbenacove

#endif
