#include "verbenacove/connection/upstream_client.hpp"

#include "verbenacove/connection/caller_budget.hpp"
#include "verbenacove/connection/upstream_attempt.hpp"
#include "verbenacove/core/timer_service.hpp"

#include <QPointer>
#include <QSocketNotifier>
#include <QTimer>

#include <curl/curl.h>

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr long maximum_kept_connections = 256;
/** Kept connections are at most this part of the process's descriptors. */
constexpr long kept_descriptor_share = 8;
constexpr std::size_t maximum_attempts = 4096;
constexpr milliseconds stall_check_interval{250};
/** On a link that sends a slice in less, a large body holds up nothing. */
constexpr milliseconds shortest_slice_time{3};

long kept_connections()
{
    auto const descriptors = static_cast<long>(process_descriptors());
    return descriptors == 0 ? maximum_kept_connections
                            : std::clamp(descriptors / kept_descriptor_share,
                                         1L, maximum_kept_connections);
}

void start_library()
{
    static CURLcode const started = curl_global_init(CURL_GLOBAL_NOTHING);
    Q_ASSERT(started == CURLE_OK);
    Q_UNUSED(started)
}

} // namespace

/** Drives libcurl's multi interface by Qt's event loop. */
class upstream_client::core
{
public:
    explicit core(qint64 maximum_held_bytes)
        : memory_{0, maximum_held_bytes}
    {
        start_library();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &watch_socket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &set_timer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_PIPELINING,
                          static_cast<long>(CURLPIPE_NOTHING));
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kept_connections());
        timer_.setSingleShot(true);
        timer_.setTimerType(Qt::PreciseTimer);
        QObject::connect(&timer_, &QTimer::timeout, &context_,
                         [this] { act(CURL_SOCKET_TIMEOUT, 0); });
        QObject::connect(&ended_timer_, &QTimer::timeout, &context_,
                         [this] { call_back_ended(); });
        stall_timer_ =
            timers_.call_every(stall_check_interval, [this] { end_stalled(); });
    }

    ~core()
    {
        for (auto const& [id, attempt] : attempts_)
        {
            curl_multi_remove_handle(multi_, attempt->handle());
        }
        attempts_.clear();
        curl_multi_cleanup(multi_);
    }

    core(core const&) = delete;
    core& operator=(core const&) = delete;

    void pace_bodies(double link_bytes_per_second)
    {
        body_pacer const pacer(link_bytes_per_second);
        if (pacer.slice_time() >= shortest_slice_time)
        {
            pacer_ = pacer;
        }
    }

    attempt_id start(attempt_request request, callback call)
    {
        attempt_id const id(++last_id_);
        bool const has_time = request.time_left.count() > 0;
        auto attempt = std::make_unique<upstream_attempt>(
            std::move(request), std::move(call), open_sockets_, memory_,
            pacer_ ? &*pacer_ : nullptr, clock_.now());
        auto& started = *attempt;
        if (started.is_paced() && !slice_timer_.is_active())
        {
            slice_timer_ = timers_.call_every(pacer_->slice_time(),
                                              [this] { continue_bodies(); });
        }
        attempts_.emplace(id.value(), std::move(attempt));
        if (attempts_.size() > maximum_attempts)
        {
            end_later(id, attempt_end::connect_failed,
                      QStringLiteral("Too many attempts are in flight."));
        }
        else if (!started.is_valid())
        {
            end_later(id, attempt_end::connect_failed,
                      QStringLiteral("The request cannot be written."));
        }
        else if (!has_time)
        {
            end_later(id, attempt_end::timed_out_before_send,
                      QStringLiteral("No time is left."));
        }
        else
        {
            // libcurl only sets its timer here; nothing is sent within start.
            add(id, started);
        }
        return id;
    }

    void cancel(attempt_id id)
    {
        auto const found = attempts_.find(id.value());
        if (found == attempts_.end() || is_ending(id))
        {
            return;
        }
        bool const is_sent = found->second->is_sent();
        end_later(id,
                  is_sent ? attempt_end::cancelled_after_send
                          : attempt_end::cancelled_before_send,
                  QStringLiteral("The attempt was cancelled."));
    }

    int attempts_in_flight() const
    {
        return static_cast<int>(attempts_.size());
    }

private:
    struct ended_attempt
    {
        attempt_id id;
        attempt_result result;
    };

    struct watched_socket
    {
        std::unique_ptr<QSocketNotifier> reads;
        std::unique_ptr<QSocketNotifier> writes;
    };

    bool is_ending(attempt_id id) const
    {
        return attempts_.contains(id.value()) &&
               !ids_.contains(attempts_.at(id.value())->handle());
    }

    // Closes the connection now, and calls back from the event loop.
    void end_later(attempt_id id, attempt_end end, QString const& reason)
    {
        auto& attempt = *attempts_.at(id.value());
        remove(attempt);
        call_back_later(id, attempt.give_up(end, reason, clock_.now()));
    }

    void call_back_later(attempt_id id, attempt_result result)
    {
        ended_.push_back({id, std::move(result)});
        ended_timer_.start(0);
    }

    // Calls back for all that have ended by now: with one each turn of the
    // event loop, a loop whose turns are long falls behind. A callback may
    // start attempts, cancel others, or delete the client.
    void call_back_ended()
    {
        ended_timer_.stop();
        QPointer<QObject> const is_alive(&context_);
        for (auto left = ended_.size(); left > 0 && is_alive && !ended_.empty();
             --left)
        {
            auto next = std::move(ended_.front());
            ended_.pop_front();
            auto node = attempts_.extract(next.id.value());
            node.mapped()->call_back(std::move(next.result));
        }
    }

    void add(attempt_id id, upstream_attempt const& attempt)
    {
        ids_.emplace(attempt.handle(), id.value());
        curl_multi_add_handle(multi_, attempt.handle());
    }

    void remove(upstream_attempt& attempt)
    {
        if (ids_.erase(attempt.handle()) > 0)
        {
            curl_multi_remove_handle(multi_, attempt.handle());
        }
    }

    void act(curl_socket_t socket, int events)
    {
        int running = 0;
        curl_multi_socket_action(multi_, socket, events, &running);
        take_ended();
        end_largest();
    }

    // Responses without end grow to be the largest; ordinary ones stay.
    void end_largest()
    {
        while (memory_.held > memory_.maximum)
        {
            upstream_attempt const* largest = nullptr;
            attempt_id id;
            for (auto const& [number, attempt] : attempts_)
            {
                bool const is_larger =
                    largest == nullptr || attempt->held_response_bytes() >
                                              largest->held_response_bytes();
                if (ids_.contains(attempt->handle()) && is_larger)
                {
                    largest = attempt.get();
                    id = attempt_id(number);
                }
            }
            if (largest == nullptr || largest->held_response_bytes() == 0)
            {
                // All of it is of responses that are about to be handed on.
                return;
            }
            end_later(
                id, attempt_end::oversized,
                QStringLiteral("The responses in hand are over the bound."));
        }
    }

    void take_ended()
    {
        int left = 0;
        while (auto const* const message = curl_multi_info_read(multi_, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            auto const code = message->data.result;
            attempt_id const id(ids_.at(message->easy_handle));
            auto& attempt = *attempts_.at(id.value());
            remove(attempt);
            if (attempt.needs_new_connection())
            {
                attempt.use_new_connection(clock_.now());
                add(id, attempt);
            }
            else
            {
                call_back_later(id, attempt.finish(code, clock_.now()));
            }
        }
    }

    // The oldest first, so that it ends soonest.
    void continue_bodies()
    {
        bool has_paced = false;
        for (auto const& [id, attempt] : attempts_)
        {
            has_paced = has_paced || attempt->is_paced();
            if (ids_.contains(attempt->handle()))
            {
                attempt->continue_body();
            }
        }
        if (!has_paced)
        {
            slice_timer_.cancel();
        }
    }

    void end_stalled()
    {
        auto const now = clock_.now();
        std::vector<attempt_id> stalled;
        for (auto const& [id, attempt] : attempts_)
        {
            if (ids_.contains(attempt->handle()) && attempt->is_stalled(now))
            {
                stalled.emplace_back(id);
            }
        }
        for (auto const id : stalled)
        {
            end_later(id, attempt_end::timed_out_after_send,
                      QStringLiteral("The answer stopped half-way."));
        }
    }

    static int watch_socket(CURL*, curl_socket_t socket, int events,
                            void* client, void*)
    {
        static_cast<core*>(client)->watch(socket, events);
        return 0;
    }

    void watch(curl_socket_t socket, int events)
    {
        if (events == CURL_POLL_REMOVE)
        {
            release(socket);
            return;
        }
        auto& watched = sockets_[socket];
        bool const wants_read = (events & CURL_POLL_IN) != 0;
        bool const wants_write = (events & CURL_POLL_OUT) != 0;
        if (wants_read && !watched.reads)
        {
            watched.reads =
                notifier(socket, QSocketNotifier::Read, CURL_CSELECT_IN);
        }
        if (wants_write && !watched.writes)
        {
            watched.writes =
                notifier(socket, QSocketNotifier::Write, CURL_CSELECT_OUT);
        }
        enable(watched.reads, wants_read);
        enable(watched.writes, wants_write);
    }

    static void enable(std::unique_ptr<QSocketNotifier> const& notifier,
                       bool is_enabled)
    {
        if (notifier)
        {
            notifier->setEnabled(is_enabled);
        }
    }

    std::unique_ptr<QSocketNotifier>
    notifier(curl_socket_t socket, QSocketNotifier::Type type, int event)
    {
        auto result = std::make_unique<QSocketNotifier>(socket, type);
        QObject::connect(result.get(), &QSocketNotifier::activated, &context_,
                         [this, socket, event] { act(socket, event); });
        return result;
    }

    // A notifier may be in the middle of its own call.
    void release(curl_socket_t socket)
    {
        auto node = sockets_.extract(socket);
        if (node.empty())
        {
            return;
        }
        for (auto* const each : {&node.mapped().reads, &node.mapped().writes})
        {
            if (*each)
            {
                (*each)->setEnabled(false);
                each->release()->deleteLater();
            }
        }
    }

    static int set_timer(CURLM*, long delay_ms, void* client)
    {
        auto& timer = static_cast<core*>(client)->timer_;
        if (delay_ms < 0)
        {
            timer.stop();
        }
        else
        {
            timer.start(milliseconds(delay_ms));
        }
        return 0;
    }

    upstream_sockets open_sockets_;
    response_memory memory_;
    std::optional<body_pacer> pacer_;
    timer_service::subscription slice_timer_;
    QObject context_;
    QTimer timer_;
    QTimer ended_timer_;
    std::deque<ended_attempt> ended_;
    CURLM* multi_ = nullptr;
    steady_clock_source clock_;
    timer_service timers_;
    timer_service::subscription stall_timer_;
    quint64 last_id_ = 0;
    std::map<quint64, std::unique_ptr<upstream_attempt>> attempts_;
    /** The attempts that libcurl still works on. */
    std::unordered_map<CURL*, quint64> ids_;
    std::unordered_map<curl_socket_t, watched_socket> sockets_;
};

bool may_have_been_sent(attempt_end end)
{
    return end != attempt_end::connect_failed &&
           end != attempt_end::timed_out_before_send &&
           end != attempt_end::cancelled_before_send;
}

upstream_client::upstream_client(qint64 maximum_held_bytes)
    : core_(std::make_unique<core>(maximum_held_bytes))
{
}

upstream_client::~upstream_client() = default;

void upstream_client::pace_bodies(double link_bytes_per_second)
{
    core_->pace_bodies(link_bytes_per_second);
}

upstream_client::attempt_id upstream_client::start(attempt_request request,
                                                   callback call)
{
    return core_->start(std::move(request), std::move(call));
}

void upstream_client::cancel(attempt_id id)
{
    core_->cancel(id);
}

int upstream_client::attempts_in_flight() const
{
    return core_->attempts_in_flight();
}

} // namespace verbenacove
