#include "verbenacove/teams/key_confirmation_service.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/event_log.hpp"

#include <utility>

namespace verbenacove
{

namespace
{

event_log const keys_log{"keys"};

constexpr milliseconds tick_interval{100};
/** Age of the latest confirmation from which on it is logged as missing; longer
    than a change of leader. */
constexpr milliseconds stale_age{2500};

qint64 in_milliseconds(boot_clock::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace

key_confirmation_service::key_confirmation_service(control_server& server)
    : server_(server)
{
    server_.add_handler(
        QStringLiteral("confirmation"),
        [this](QCborMap const& request, reply_function const& reply)
        { handle_request(request, reply); });
}

void key_confirmation_service::start()
{
    tick_ = timers_.call_every(tick_interval, [this] { handle_tick(); });
}

void key_confirmation_service::handle_tick()
{
    work_meter::scope const scope(server_.work(), work_kind::housekeeping);
    bool const has_keys = uses_keys(*server_.state().routes().current());
    auto const now = boot_clock::now();
    if (auto const due = confirmer_.start_due(has_keys, respondent(), now))
    {
        server_.node().is_leader() ? ask_voters(*due) : ask_leader(*due);
    }
    if (!has_keys || !server_.node().is_leader())
    {
        answer_waiting();
    }
    log_changes(has_keys, now);
}

QString key_confirmation_service::respondent() const
{
    auto const leader = server_.node().leader();
    return server_.node().is_leader() ? server_.settings().listen.text()
           : leader                   ? leader->address.text()
                                      : QString();
}

void key_confirmation_service::ask_voters(question const& asked)
{
    server_.confirm_current(
        [this, asked](bool is_confirmed)
        {
            auto const revision = server_.state().routes().revision();
            confirmer_.finish(asked, is_confirmed
                                         ? std::optional(key_confirmation{
                                               asked.asked, revision})
                                         : std::nullopt);
            answer_waiting();
        });
}

void key_confirmation_service::ask_leader(question const& asked)
{
    QCborMap request{{QLatin1String("m"), QLatin1String("confirmation")}};
    add_age_to(request, confirmer_.latest(), asked.asked);
    server_.call(server_.node().leader()->address, std::move(request),
                 key_confirmer::patience,
                 [this, asked](std::optional<QCborMap> const& reply)
                 {
                     confirmer_.finish(asked, reply ? parse_key_confirmation(
                                                          *reply, asked.asked,
                                                          boot_clock::now())
                                                    : std::nullopt);
                 });
}

void key_confirmation_service::handle_request(QCborMap const& request,
                                              reply_function const& reply)
{
    auto const now = boot_clock::now();
    auto const& known = confirmer_.latest();
    bool const has_next = known && server_.node().is_leader();
    waiting_replica const asking{now, reply};
    if (!has_next || is_wanted_at_once(request, *known, now) ||
        waiting_.size() >= maximum_waiting)
    {
        answer(asking);
        return;
    }
    waiting_.push_back(asking);
}

void key_confirmation_service::answer(waiting_replica const& waiting) const
{
    QCborMap result{{QLatin1String("status"), QLatin1String("ok")}};
    if (auto const& known = confirmer_.latest())
    {
        add_to(result, *known, waiting.received);
    }
    waiting.reply(result);
}

void key_confirmation_service::answer_waiting()
{
    for (auto const& each : std::exchange(waiting_, {}))
    {
        answer(each);
    }
}

void key_confirmation_service::log_changes(bool has_keys, boot_time now)
{
    auto const& known = confirmer_.latest();
    keys_since_ = has_keys ? keys_since_.value_or(now) : now;
    auto const latest = known ? known->as_of : *keys_since_;
    bool const is_stale = has_keys && now - latest > stale_age;
    if (is_stale == stale_since_.has_value())
    {
        return;
    }
    if (is_stale)
    {
        stale_since_ = now;
        keys_log.note("keys.unconfirmed",
                      {{"age_ms", known ? in_milliseconds(now - known->as_of)
                                        : qint64{-1}},
                       {"leader", respondent()}});
        return;
    }
    auto const since = std::exchange(stale_since_, std::nullopt);
    keys_log.note("keys.confirmed",
                  {{"missing_ms", in_milliseconds(now - *since)},
                   {"leader", respondent()}});
}

} // namespace verbenacove
