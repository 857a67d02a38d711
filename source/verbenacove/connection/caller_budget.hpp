#ifndef VERBENACOVE_CONNECTION_CALLER_BUDGET_HPP
#define VERBENACOVE_CONNECTION_CALLER_BUDGET_HPP

#include "verbenacove/core/clock.hpp"

#include <QtGlobal>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace verbenacove
{

/** Memory and connections that the callers of one process may make it hold. */
struct caller_share
{
    /** Maximum number of bytes that all connections hold together. */
    qint64 memory_bytes = qint64{64} * 1024 * 1024;
    /** Maximum number of connections of all endpoints together; with those to
        upstreams, a quarter more. */
    int connections = 65536;
};

/** Returns the most descriptors that this process may open; 0 if there is no
    limit. */
qint64 process_descriptors();

/** Returns the limits of a machine.

    Callers get a quarter of its memory and half of its descriptors: the rest
    is for the process itself, upstreams, peers and files.

    @param memory_bytes  the machine's memory; 0 if it is not known
    @param descriptors   the most descriptors that the process may open; 0 for
                         the limit of the running process
*/
caller_share caller_share_of(qint64 memory_bytes, qint64 descriptors);

/** Divides one process's memory and connections among the callers of all its
    endpoints.

    When there is no room, the connection that has gone longest without
    progress is released, on whatever endpoint it is. A part of the memory is
    left to connections that hold little. Not thread-safe: all endpoints of a
    budget belong to one thread.
*/
class caller_budget
{
public:
    /** An endpoint whose connections draw on the budget. */
    class endpoint
    {
    public:
        virtual ~endpoint() = default;

        /** Returns how many connections are open. */
        virtual int open_connections() const = 0;

        /** Returns when the connection without progress for longest last made
            some; nothing if none can be released.

            @param for_connections  whether a descriptor is needed; otherwise
                                    memory, of which idle connections hold next
                                    to nothing
        */
        virtual std::optional<monotonic_time>
        longest_stalled(bool for_connections) const = 0;

        /** Refuses the request of that connection, or closes it.

            @param is_closed_at_once  whether its descriptor is to be free on
                                      return
        */
        virtual void release_longest_stalled(bool is_closed_at_once) = 0;
    };

    /** How often the budget had to act since the start. */
    struct counts
    {
        qint64 released_for_memory = 0;
        qint64 released_for_connections = 0;
        qint64 refused = 0;
    };

    /** Creates a budget without endpoints.

        @param count_upstreams  returns the number of connections to upstreams
                                on behalf of callers; none if empty
    */
    explicit caller_budget(caller_share const& limits,
                           std::function<int()> count_upstreams = {})
        : limits_(limits)
        , count_upstreams_(std::move(count_upstreams))
    {
    }
    caller_budget(caller_budget const&) = delete;
    caller_budget& operator=(caller_budget const&) = delete;

    /** Adds an endpoint; it must be removed before its end. */
    void add(endpoint& each) { endpoints_.push_back(&each); }
    void remove(endpoint& each) { std::erase(endpoints_, &each); }

    /** Adds to the bytes that connections hold, or subtracts from them. */
    void charge(qint64 change);

    /** Returns whether connections are to take no further request while one
        is in hand. */
    bool is_scarce() const;

    /** Returns whether descriptors are left for one more request to an
        upstream; a quarter is kept for callers that wait for each response.

        @param is_followed  whether the caller has sent more behind it
    */
    bool has_upstream_room(bool is_followed) const;

    /** Makes room in memory for a connection by releasing others.

        @param own_bytes  what the connection has been charged
        @return  whether the connection may keep what it holds
    */
    bool make_room(qint64 own_bytes, monotonic_time now);

    /** Makes room for a new connection by releasing another one.

        @return  whether there is room
    */
    bool make_connection_room(monotonic_time now);

    /** Returns the bytes that connections hold at the moment. */
    qint64 charged_bytes() const { return charged_bytes_; }

    counts const& totals() const { return totals_; }

private:
    bool release_one(monotonic_time stalled_before, bool is_closed_at_once);
    bool has_room(qint64 own_bytes);
    int open_connections() const;
    int used_connections() const;
    int maximum_used_connections() const;

    caller_share const limits_;
    std::function<int()> const count_upstreams_;
    std::vector<endpoint*> endpoints_;
    qint64 charged_bytes_ = 0;
    /** What a request that was alone holds beyond the bound. */
    qint64 exempt_bytes_ = 0;
    bool is_releasing_ = false;
    counts totals_;
};

} // namespace verbenacove

#endif
