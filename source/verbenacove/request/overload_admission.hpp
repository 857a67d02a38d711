#ifndef VERBENACOVE_REQUEST_OVERLOAD_ADMISSION_HPP
#define VERBENACOVE_REQUEST_OVERLOAD_ADMISSION_HPP

#include "verbenacove/core/clock.hpp"
#include "verbenacove/request/route_header_codec.hpp"
#include "verbenacove/request/shortage.hpp"

#include <QByteArray>
#include <QHash>
#include <QString>

#include <array>
#include <cstddef>

namespace verbenacove
{

/** What the admission of a request depends on. */
struct admission_subject
{
    /** The priority of its route; 0 is the most urgent. */
    int priority = 0;
    /** The team that sent it; empty if there are no teams. */
    QString team;
    /** The latency objective of its route. */
    milliseconds objective{1000};
    /** A number from 0 to 1 that is uniform over requests and does not depend
        on their other properties. */
    double lot = 0;
};

/** The decision on a request that has just arrived. */
struct overload_decision
{
    bool is_admitted = true;
    /** When a refused request may come back; 0 if it is admitted. */
    milliseconds retry_after{0};
};

/** Returns a number from 0 to 1 that is uniform over requests and always the
   same for one of them. */
double admission_lot(QByteArray const& request_id);

/** Returns the share of a resource that a request must leave free for more
    urgent ones, 0 to 1. It depends on the request's lot, so that requests of no
    priority are refused together.

    @param lot  a number from 0 to 1 that is uniform over requests
*/
double share_kept_for_urgent(int priority, double lot);

/** Decides which requests of one service this entry admits while the service's
    upstreams have too little room for all.

    The load pattern: for some seconds several times as many requests arrive as
    the upstreams can run. Where all are sent, they wait in the upstreams'
    queues until nearly all of them are late. Here, once upstreams report queues
    that the latency objective leaves little time for, requests are admitted at
    the rate at which responses come, and at a lower one while the queues are
    longer than the objective allows.

    The room goes to the most urgent requests first, except for a minimum share
    of each priority. Within a priority, teams that ask for little are served
    before one that asks for much (max-min fairness by recent demand). A request
    that is not admitted is refused at once.

    Each entry decides by its own requests and the reports in their responses.
    Upstreams that report no load leave everything admitted. Time is passed in;
    all calls must come from one thread.
*/
class overload_admission
{
public:
    /** The number of priorities that are told apart; higher ones count as the
        last. */
    static constexpr std::size_t priority_count = 4;

    /** The maximum number of teams that are told apart; further ones count as
        one team. */
    static constexpr qsizetype maximum_teams = 256;

    /** The numbers of decisions on one priority's requests. */
    struct counts
    {
        qint64 admitted = 0;
        qint64 refused = 0;
    };

    /** Counts a request and decides whether it is admitted. */
    overload_decision decide(admission_subject const& subject,
                             monotonic_time now);

    /** Records what an upstream reported in a response.

        @param duration  the time from sending the request to its response, or 0
                         if the upstream did not run it
    */
    void record_load(upstream_load const& load, milliseconds duration,
                     monotonic_time now);

    /** Returns the share of the requests for which there is room, more than 0
        and at most 1. */
    double room() const { return room_; }

    /** Returns the mean number of requests that wait at an upstream, divided by
        its slots, by recent reports. */
    double queue() const { return queue_weight_ > 0 ? queue_ : 0; }

    /** Returns the number of teams with recent requests. */
    qsizetype team_count() const { return demand_.size(); }

    /** Returns the decisions so far, by priority. */
    std::array<counts, priority_count> const& decisions() const
    {
        return decisions_;
    }

private:
    using demand_by_priority = std::array<double, priority_count>;

    /** Updates all shares if the last update is old enough. */
    void update(milliseconds objective, monotonic_time now);
    void update_room(milliseconds objective);
    double total_demand() const;
    /** Divides the room among priorities and teams. */
    void divide_room();
    void decay_demand(double seconds);
    double tolerable_queue(milliseconds objective) const;
    /** Returns the largest demand of one team that can be served in full when
        `room` is divided fairly among the teams of a priority. */
    double fair_level(std::size_t priority, double room) const;
    demand_by_priority& demand_of(QString const& team);

    double room_ = 1;
    double queue_ = 0;
    /** The part of the reports that tell of waiting requests. */
    double queued_part_ = 0;
    /** The decaying number of reports in `queue_`. */
    double queue_weight_ = 0;
    monotonic_time queue_at_{};
    /** The mean time of a response without a queue, in milliseconds; 0 before
        the first response. */
    double processing_ms_ = 0;
    monotonic_time updated_{};
    /** The decaying number of responses, over the same time as the demand. */
    double responses_ = 0;
    shortage shortage_;
    /** The decaying numbers of requests. */
    QHash<QString, demand_by_priority> demand_;
    /** For each priority, the demand up to which a team is served in full. */
    demand_by_priority levels_{};
    std::array<counts, priority_count> decisions_{};
};

} // namespace verbenacove

#endif
