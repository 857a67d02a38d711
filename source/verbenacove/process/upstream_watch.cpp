#include "verbenacove/process/upstream_watch.hpp"

#include "verbenacove/core/json_bounds.hpp"
#include "verbenacove/process/upstream_directory.hpp"

#include <QJsonObject>

#include <utility>

namespace verbenacove
{

namespace
{

constexpr milliseconds question_timeout{500};
constexpr milliseconds silence_interval{250};
/** The age of news from which an upstream is asked directly. */
constexpr milliseconds silence_timeout{1500};
/** An upstream silent for this many leases is asked no more. */
constexpr int longest_silence_leases = 4;
constexpr int maximum_questions = 64;
constexpr json_bounds health_bounds{16, 256};
constexpr milliseconds crash_interval{250};
/** News are told this many times, since a datagram may be lost. */
constexpr std::size_t crash_repeats = 12;
/** News of crashes that fit a datagram. */
constexpr std::size_t crashes_per_round = 8;

} // namespace

upstream_watch::upstream_watch(upstream_client& client, quarantine& crashes,
                               clock_source const& clock, timer_service& timers,
                               milliseconds lease, listener calls)
    : client_(client)
    , crashes_(crashes)
    , clock_(clock)
    , lease_(lease)
    , calls_(std::move(calls))
    , silence_timer_(
          timers.call_every(silence_interval, [this] { ask_silent(); }))
    , crash_timer_(
          timers.call_every(crash_interval, [this] { tell_crashes(); }))
{
}

void upstream_watch::update(steering_view_ptr const& view)
{
    view_ = view;
    note_restarts();
}

void upstream_watch::check_crash(upstream_view const& upstream)
{
    ask_health(upstream,
               [this, id = upstream.id, known = upstream.incarnation](
                   attempt_result const& result, incarnation now,
                   std::optional<upstream_state>)
               {
                   bool const is_gone =
                       result.end == attempt_end::connect_failed || now > known;
                   if (is_gone)
                   {
                       crashes_.upstream_gone(id, known);
                   }
                   else if (now == known)
                   {
                       crashes_.upstream_alive(id, known);
                   }
               });
}

void upstream_watch::ask_silent()
{
    auto const now = clock_.now();
    for (auto const& upstreams : view_->upstreams)
    {
        for (auto const& upstream : upstreams)
        {
            auto const age = elapsed(upstream.reported_at, now);
            bool const is_due = age >= silence_timeout &&
                                age < lease_ * longest_silence_leases &&
                                asked_.size() < maximum_questions &&
                                !asked_.contains(upstream.id);
            if (is_due)
            {
                ask_news(upstream);
            }
        }
    }
}

void upstream_watch::ask_news(upstream_view const& upstream)
{
    asked_.insert(upstream.id);
    ask_health(upstream,
               [this, upstream, asked_at = clock_.now()](
                   attempt_result const& result, incarnation now,
                   std::optional<upstream_state> state)
               {
                   asked_.remove(upstream.id);
                   bool const is_news = result.end == attempt_end::answered &&
                                        state && now == upstream.incarnation;
                   if (!is_news)
                   {
                       return;
                   }
                   auto fresh = upstream;
                   fresh.state = *state;
                   fresh.reported_at = asked_at;
                   calls_.answered(std::move(fresh));
               });
}

void upstream_watch::ask_health(upstream_view const& upstream,
                                health_callback done)
{
    attempt_request health;
    health.address = upstream.address;
    health.method = "GET";
    health.target = "/health";
    health.connect_timeout = question_timeout;
    health.time_left = question_timeout;
    client_.start(
        std::move(health),
        [done = std::move(done)](attempt_result const& result)
        {
            auto const body =
                parse_json_object(result.response.body, health_bounds).object;
            done(result,
                 incarnation(
                     body.value(QStringLiteral("incarnation")).toInteger()),
                 parse_upstream_state(
                     body.value(QStringLiteral("state")).toString()));
        });
}

void upstream_watch::note_restarts()
{
    QHash<upstream_id, incarnation> known;
    for (auto const& upstreams : view_->upstreams)
    {
        for (auto const& upstream : upstreams)
        {
            auto const before =
                incarnations_.value(upstream.id, upstream.incarnation);
            if (before < upstream.incarnation)
            {
                crashes_.upstream_gone(upstream.id, before);
            }
            known.insert(upstream.id, upstream.incarnation);
        }
    }
    incarnations_ = std::move(known);
}

void upstream_watch::tell_crashes()
{
    auto const since =
        told_crashes_.empty() ? quarantine_cursor(0) : told_crashes_.front();
    auto news = crashes_.export_update(since);
    if (news.records.size() > crashes_per_round)
    {
        news.records.resize(crashes_per_round);
    }
    told_crashes_.push_back(news.next);
    if (told_crashes_.size() > crash_repeats)
    {
        told_crashes_.pop_front();
    }
    if (!news.records.empty())
    {
        calls_.crashed(std::move(news));
    }
}

} // namespace verbenacove
