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

auto const order_method = QLatin1String("order");
/** The same for changes that earlier builds would read only in part; they do
    not know the method of their form. */
auto const team_order_method = QLatin1String("team_order");
auto const table_order_method = QLatin1String("table_order");
/** Operators go to another replica after 1 s without an answer. */
constexpr milliseconds longest_call{900};
/** Added for each item of a change; operators wait longer for large ones. */
constexpr milliseconds longest_call_per_item{3};
/** Maximum number of calls that wait for the same order. */
constexpr std::size_t maximum_waiting_calls = 256;

QLatin1String method_for(control_state::form needed)
{
    return needed >= control_state::form::team_tables ? table_order_method
           : needed >= control_state::form::teams     ? team_order_method
                                                      : order_method;
}
constexpr milliseconds retry_interval{30};
/** Time after which the end of a caller's connection has been read: a partition
    that has held up both lets the call through one round trip earlier. */
constexpr milliseconds caller_check_delay{100};
/** How soon a change that came by the log is seen. */
constexpr milliseconds watch_interval{20};

} // namespace

route_service::route_service(control_server& server,
                             std::function<void()> changed)
    : server_(server)
    , changed_(std::move(changed))
{
    for (auto const& method :
         {order_method, team_order_method, table_order_method})
    {
        server_.add_handler(
            method, [this](QCborMap const& request, reply_function const& reply)
            { handle_order(request, reply); });
    }
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
                route_log.note(
                    "routes.in_force",
                    {{"revision", revision},
                     {"version", routes.current()->version.value()},
                     {"team_table", to_word(team_table_of(*routes.current()))},
                     {"evacuated", routes.evacuated().size()}});
                changed_();
            }
        });
}

void route_service::change(route_change const& change, order_callback done)
{
    auto const items =
        change.routes.size() + change.services.size() + change.teams.size();
    order(control_state::route_command(change, server_.state().used_form()),
          change.version,
          clock_.now() + longest_call +
              longest_call_per_item * static_cast<qint64>(items),
          std::move(done));
}

void route_service::evacuate(zone_name const& zone, bool is_evacuated,
                             caller_check is_awaited, order_callback done)
{
    auto const now = clock_.now();
    begin_evacuation(std::make_shared<pending_evacuation>(
        pending_evacuation{zone, is_evacuated, std::move(is_awaited),
                           std::move(done), now, now + longest_call}));
}

void route_service::begin_evacuation(
    std::shared_ptr<pending_evacuation> const& order)
{
    auto call = std::make_shared<pending_call>();
    call->request = {{QLatin1String("m"), QLatin1String("routes")},
                     {QLatin1String("revision_only"), true}};
    call->until = order->until;
    call->done = [this, order](std::optional<QCborMap> const& reply)
    {
        if (!reply)
        {
            order->done(std::nullopt);
            return;
        }
        // Not while a replica of an earlier build takes part.
        auto const count = reply->value(QLatin1String("evacuation_orders"));
        send_evacuation(order,
                        count.isInteger()
                            ? std::optional(order_count(count.toInteger()))
                            : std::nullopt);
    };
    call_leader(call);
}

void route_service::send_evacuation(
    std::shared_ptr<pending_evacuation> const& order,
    std::optional<order_count> seen)
{
    auto const now = clock_.now();
    auto const wait = caller_check_delay - elapsed(order->received, now);
    if (wait.count() > 0)
    {
        QTimer::singleShot(wait, &context_,
                           [this, order, seen]
                           { send_evacuation(order, seen); });
        return;
    }
    if (!order->is_awaited())
    {
        route_log.note(
            "order.abandoned",
            {{"zone", order->zone.value()},
             {"is_evacuated", order->is_evacuated},
             {"waited_ms", qint64{elapsed(order->received, now).count()}}});
        order->done(std::nullopt);
        return;
    }
    this->order(control_state::evacuation_command(order->zone,
                                                  order->is_evacuated, seen),
                route_version(0), order->until,
                [this, order](std::optional<order_result> const& result)
                {
                    if (result && result->outcome == order_outcome::conflict)
                    {
                        // The opposite was ordered at the same time.
                        QTimer::singleShot(retry_interval, &context_,
                                           [this, order]
                                           { begin_evacuation(order); });
                        return;
                    }
                    order->done(result);
                });
}

void route_service::order(QCborMap command, route_version version,
                          monotonic_time until, order_callback done)
{
    auto call = std::make_shared<pending_call>();
    auto const received = clock_.now();
    call->request = {
        {QLatin1String("m"), method_for(server_.state().needed_form(command))},
        {QLatin1String("reads"), static_cast<int>(control_state::form::latest)},
        {QLatin1String("command"), std::move(command)}};
    call->until = until;
    call->done = [this, done = std::move(done), version, received,
                  ended = call.get()](std::optional<QCborMap> const& reply)
    {
        auto const result =
            reply
                ? std::optional(parse_order_result(cbor_map(*reply, "result")))
                : std::nullopt;
        log_order(*ended, version, received, result);
        done(result);
    };
    call_leader(call);
}

void route_service::log_order(pending_call const& call, route_version version,
                              monotonic_time received,
                              std::optional<order_result> const& result) const
{
    auto const leader = server_.node().leader();
    route_log.note(
        "order.ended",
        {{"version", version.value()},
         {"outcome", result ? static_cast<int>(result->outcome) : -1},
         {"took_ms", qint64{elapsed(received, clock_.now()).count()}},
         {"sent", call.sent},
         {"leaderless", call.leaderless},
         {"leader", leader ? leader->name : QString()}});
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
        ++call->sent;
        bool const is_order = call->request.contains(QLatin1String("command"));
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
        ++call->leaderless;
        try_again(call);
        return;
    }
    ++call->sent;
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
    auto const form = server_.state().used_form();
    auto const command =
        control_state::in_form(cbor_map(request, "command"), form);
    // Sent before the form was raised, which may be long ago.
    if (form >= control_state::form::counted_orders &&
        control_state::is_uncounted_order(command))
    {
        order_result const refusal{
            order_outcome::conflict,
            server_.state().routes().current()->version,
            QStringLiteral("the order names no count of orders")};
        reply({{QLatin1String("status"), QLatin1String("ok")},
               {QLatin1String("result"), to_cbor(refusal)}});
        return;
    }
    if (!is_readable_by_all(request, command, form))
    {
        reply({{QLatin1String("status"), QLatin1String("form-not-in-use")}});
        return;
    }
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
    auto const answer = [this, key, received = clock_.now()](
                            raft_node::proposal_end end, QCborMap const& result)
    {
        auto const took = elapsed(received, clock_.now());
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
                        {"reason", parsed.reason},
                        {"took_ms", qint64{took.count()}}});
        finish_order(key, {{QLatin1String("status"), QLatin1String("ok")},
                           {QLatin1String("result"), result}});
    };
    server_.submit(command, answer);
}

// Earlier builds leave out what they do not know: of what they read from the
// log, and of what operators send them.
bool route_service::is_readable_by_all(QCborMap const& request,
                                       QCborMap const& command,
                                       control_state::form used)
{
    auto constexpr teams = control_state::form::teams;
    if (used >= teams)
    {
        bool const is_whole_to_sender =
            !control_state::is_route_command(command) ||
            cbor_number(request, "reads", 1) >= static_cast<int>(used);
        if (!is_whole_to_sender)
        {
            return false;
        }
    }
    auto const needed = server_.state().needed_form(command);
    if (needed > used)
    {
        server_.request_form(needed);
    }
    return needed <= used;
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
            if (server_.state().used_form() >=
                control_state::form::counted_orders)
            {
                answer[QLatin1String("evacuation_orders")] =
                    routes.evacuation_orders().value();
            }
            if (!is_revision_only)
            {
                answer[QLatin1String("configuration")] =
                    to_cbor(*routes.current(), route_detail::with_source);
            }
            reply(answer);
        });
}

} // namespace verbenacove
