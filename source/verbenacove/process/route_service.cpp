#include "verbenacove/process/route_service.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/event_log.hpp"

#include <QCryptographicHash>
#include <QTimer>

#include <utility>

namespace verbenacove
{

namespace
{

event_log const route_log{"routes"};

/** Operators go to another replica after 1 s without an answer. */
constexpr milliseconds longest_call{900};
/** Added for each item of a change; operators wait longer for large ones. */
constexpr milliseconds longest_call_per_item{3};
/** Maximum number of calls that wait for the same order. */
constexpr std::size_t maximum_waiting_calls = 256;
constexpr milliseconds retry_interval{30};
/** How soon a change that came by the log is seen. */
constexpr milliseconds watch_interval{20};

} // namespace

route_service::route_service(control_server& server,
                             std::function<void()> changed)
    : server_(server)
    , changed_(std::move(changed))
{
    server_.add_handler(
        QStringLiteral("order"),
        [this](QCborMap const& request, reply_function const& reply)
        { handle_order(request, reply); });
    server_.add_handler(
        QStringLiteral("routes"),
        [this](QCborMap const& request, reply_function const& reply)
        { handle_read(request, reply); });
}

void route_service::start()
{
    watch_ = timers_.call_every(
        watch_interval,
        [this]
        {
            auto const revision = server_.state().routes().revision();
            if (std::exchange(seen_revision_, revision) != revision)
            {
                auto const& routes = server_.state().routes();
                route_log.note("routes.in_force",
                               {{"revision", revision},
                                {"version", routes.current()->version.value()},
                                {"evacuated", routes.evacuated().size()}});
                changed_();
            }
        });
}

void route_service::change(route_change const& change, order_callback done)
{
    auto const items = change.routes.size() + change.services.size();
    order(control_state::route_command(change, server_.state().used_form()),
          longest_call + longest_call_per_item * static_cast<qint64>(items),
          std::move(done));
}

void route_service::evacuate(zone_name const& zone, bool is_evacuated,
                             order_callback done)
{
    order(control_state::evacuation_command(zone, is_evacuated), longest_call,
          std::move(done));
}

void route_service::order(QCborMap command, milliseconds limit,
                          order_callback done)
{
    auto call = std::make_shared<pending_call>();
    call->request = {{QLatin1String("m"), QLatin1String("order")},
                     {QLatin1String("command"), std::move(command)}};
    call->until = clock_.now() + limit;
    call->done = [done = std::move(done)](std::optional<QCborMap> const& reply)
    {
        if (!reply)
        {
            done(std::nullopt);
            return;
        }
        done(parse_order_result(cbor_map(*reply, "result")));
    };
    call_leader(call);
}

void route_service::read(read_callback done)
{
    auto call = std::make_shared<pending_call>();
    call->request = {{QLatin1String("m"), QLatin1String("routes")},
                     {QLatin1String("revision_only"), true}};
    call->until = clock_.now() + longest_call;
    call->done = [this, done = std::move(done),
                  until = call->until](std::optional<QCborMap> const& reply)
    {
        if (!reply)
        {
            done(std::nullopt);
            return;
        }
        finish_read(*reply, done, until);
    };
    call_leader(call);
}

void route_service::finish_read(QCborMap const& reply,
                                read_callback const& done, monotonic_time until)
{
    if (reply.contains(QLatin1String("configuration")))
    {
        // From a leader of an earlier version.
        done(parse_route_configuration(cbor_map(reply, "configuration")));
        return;
    }
    auto const& routes = server_.state().routes();
    if (routes.revision() >= cbor_number(reply, "revision"))
    {
        done(*routes.current());
        return;
    }
    if (clock_.now() >= until)
    {
        done(std::nullopt);
        return;
    }
    QTimer::singleShot(retry_interval, &context_,
                       [this, reply, done, until]
                       { finish_read(reply, done, until); });
}

void route_service::call_leader(std::shared_ptr<pending_call> const& call)
{
    auto const left = elapsed(clock_.now(), call->until);
    if (left.count() <= 0)
    {
        call->done(std::nullopt);
        return;
    }
    auto const reply = [this, call](std::optional<QCborMap> const& answer)
    {
        take_reply(call, answer);
    };
    if (server_.node().is_leader())
    {
        bool const is_order =
            cbor_text(call->request, "m") == QLatin1String("order");
        auto const own = [reply](QCborMap answer)
        {
            reply(std::move(answer));
        };
        is_order ? handle_order(call->request, own)
                 : handle_read(call->request, own);
        return;
    }
    auto const leader = server_.node().leader();
    if (!leader)
    {
        try_again(call);
        return;
    }
    server_.call_bulk(leader->address, call->request, left, reply);
}

void route_service::take_reply(std::shared_ptr<pending_call> const& call,
                               std::optional<QCborMap> const& reply)
{
    if (reply && cbor_text(*reply, "status") == QLatin1String("ok"))
    {
        call->done(*reply);
        return;
    }
    try_again(call);
}

void route_service::try_again(std::shared_ptr<pending_call> const& call)
{
    QTimer::singleShot(retry_interval, &context_,
                       [this, call] { call_leader(call); });
}

void route_service::handle_order(QCborMap const& request,
                                 reply_function const& reply)
{
    // A replica of an earlier build packs changes whatever the others can read.
    auto const command = control_state::in_form(cbor_map(request, "command"),
                                                server_.state().used_form());
    auto const key = key_of(command);
    auto& waiting = undecided_[key];
    if (waiting.size() >= maximum_waiting_calls)
    {
        reply({{QLatin1String("status"), QLatin1String("not-leader")}});
        return;
    }
    waiting.push_back(reply);
    if (waiting.size() > 1)
    {
        route_log.note("order.repeated",
                       {{"calls", static_cast<qint64>(waiting.size())}});
        return;
    }
    auto const answer =
        [this, key](raft_node::proposal_end end, QCborMap const& result)
    {
        if (end != raft_node::proposal_end::committed)
        {
            finish_order(
                key, {{QLatin1String("status"), QLatin1String("not-leader")}});
            return;
        }
        auto const parsed = parse_order_result(result);
        route_log.note("order.decided",
                       {{"outcome", static_cast<int>(parsed.outcome)},
                        {"version", parsed.version.value()},
                        {"reason", parsed.reason}});
        finish_order(key, {{QLatin1String("status"), QLatin1String("ok")},
                           {QLatin1String("result"), result}});
    };
    server_.submit(command, answer);
}

// An evacuation that is ordered, ended and ordered again is not one that is
// sent again.
QByteArray route_service::key_of(QCborMap const& command)
{
    if (!control_state::is_route_command(command))
    {
        return QByteArray::number(++last_order_);
    }
    return QCryptographicHash::hash(command.toCborValue().toCbor(),
                                    QCryptographicHash::Sha256);
}

void route_service::finish_order(QByteArray const& key, QCborMap const& answer)
{
    auto const waiting = undecided_.take(key);
    for (auto const& reply : waiting)
    {
        reply(answer);
    }
}

void route_service::handle_read(QCborMap const& request,
                                reply_function const& reply)
{
    server_.confirm_current(
        [this, reply, is_revision_only = cbor_flag(request, "revision_only")](
            bool is_current)
        {
            if (!is_current)
            {
                reply({{QLatin1String("status"), QLatin1String("not-leader")}});
                return;
            }
            auto const& routes = server_.state().routes();
            QCborMap answer{{QLatin1String("status"), QLatin1String("ok")},
                            {QLatin1String("revision"), routes.revision()}};
            if (!is_revision_only)
            {
                answer[QLatin1String("configuration")] =
                    to_cbor(*routes.current(), route_detail::with_source);
            }
            reply(answer);
        });
}

} // namespace verbenacove
