#include "verbenacove/teams/allowance_service.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/event_log.hpp"

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

event_log const allowance_log{"allowance"};

constexpr milliseconds tick_interval{100};
/** Minimum interval between two sums; reports that come meanwhile go
    together. */
constexpr milliseconds exchange_interval{120};
/** Time to wait for the leader's answer. */
constexpr milliseconds leader_timeout{500};
constexpr milliseconds log_interval{1000};
/** Time without a restriction after which a team is logged as free. */
constexpr milliseconds free_after{5000};

QCborMap no_answer()
{
    return {{QLatin1String("status"), QLatin1String("no-leader")}};
}

} // namespace

allowance_service::allowance_service(control_server& server)
    : server_(server)
{
    server_.add_handler(
        QStringLiteral("allowance"),
        [this](QCborMap const& request, reply_function const& reply)
        {
            work_meter::scope const scope(server_.work(),
                                          work_kind::entry_requests);
            handle_report(request, reply);
        });
    server_.add_handler(
        QStringLiteral("allowance_sum"),
        [this](QCborMap const& request, reply_function const& reply)
        {
            work_meter::scope const scope(server_.work(),
                                          work_kind::replica_requests);
            handle_sum(request, reply);
        });
}

void allowance_service::start()
{
    tick_ = timers_.call_every(tick_interval, [this] { handle_tick(); });
}

void allowance_service::handle_tick()
{
    if (!refresh())
    {
        restricted_.clear();
        return;
    }
    auto const now = clock_.now();
    // Also after the last allowance was taken away: its team is free.
    bool const has_changes = ledger_.has_allowances() || !restricted_.isEmpty();
    if (has_changes && elapsed(last_log_, now) >= log_interval)
    {
        last_log_ = now;
        log_changes(now);
    }
}

bool allowance_service::refresh()
{
    auto const& node = server_.node();
    if (!node.is_leader())
    {
        term_.reset();
        return false;
    }
    auto const now = clock_.now();
    auto const& routes = server_.state().routes();
    if (routes_revision_ != routes.revision())
    {
        routes_revision_ = routes.revision();
        ledger_.set_teams(routes.current()->teams, now);
    }
    if (term_ != node.term())
    {
        term_ = node.term();
        ledger_.start_term(now);
    }
    return true;
}

allowance_answer
allowance_service::record(std::vector<allowance_use> const& uses)
{
    auto const now = clock_.now();
    for (auto const& use : uses)
    {
        ledger_.record(use, now);
    }
    return ledger_.answer(now);
}

void allowance_service::handle_report(QCborMap const& request,
                                      reply_function const& reply)
{
    auto const uses = parse_allowance_uses(request);
    if (refresh())
    {
        reply(to_cbor(record(uses)));
        return;
    }
    relay_.add(uses, [reply](std::optional<allowance_answer> const& answer)
               { reply(answer ? to_cbor(*answer) : no_answer()); });
    schedule_exchange();
}

void allowance_service::handle_sum(QCborMap const& request,
                                   reply_function const& reply)
{
    reply(refresh() ? to_cbor(record(parse_allowance_uses(request)))
                    : no_answer());
}

void allowance_service::schedule_exchange()
{
    if (exchange_timer_.is_active() || !relay_.is_due())
    {
        return;
    }
    auto const waited = elapsed(last_exchange_, clock_.now());
    exchange_timer_ = timers_.call_after(
        std::max(milliseconds(0), exchange_interval - waited),
        [this] { exchange(); });
}

void allowance_service::exchange()
{
    last_exchange_ = clock_.now();
    auto uses = relay_.take();
    auto const finish = [this](std::optional<allowance_answer> const& answer)
    {
        relay_.finish(answer);
        schedule_exchange();
    };
    if (refresh())
    {
        finish(record(uses));
        return;
    }
    auto const leader = server_.node().leader();
    if (!leader)
    {
        finish(std::nullopt);
        return;
    }
    auto request = to_cbor(uses);
    request[QLatin1String("m")] = QLatin1String("allowance_sum");
    server_.call(
        leader->address, std::move(request), leader_timeout,
        [finish](std::optional<QCborMap> const& reply)
        { finish(reply ? parse_allowance_answer(*reply) : std::nullopt); });
}

void allowance_service::log_changes(monotonic_time now)
{
    for (auto const& each : ledger_.answer(now).restrictions)
    {
        if (!restricted_.contains(each.team))
        {
            allowance_log.note("team.restricted",
                               {{"team", each.team.value()},
                                {"fraction", each.fraction},
                                {"debt_ms", qint64{each.debt_time.count()}}});
        }
        restricted_[each.team] = now;
    }
    restricted_.removeIf(
        [now](auto const& item)
        {
            bool const is_free = elapsed(item.value(), now) >= free_after;
            if (is_free)
            {
                allowance_log.note("team.free", {{"team", item.key().value()}});
            }
            return is_free;
        });
}

} // namespace verbenacove
