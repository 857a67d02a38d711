#include "verbenacove/process/control_server.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/log.hpp"

#include <QMetaObject>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace verbenacove
{

namespace
{

log_part const control_log{"control"};

constexpr milliseconds tick_interval{20};
constexpr milliseconds stop_poll_interval{20};
constexpr milliseconds longest_hand_over{3000};
constexpr milliseconds report_interval{1000};

/** Returns whether a call is a message of the replicated log. */
bool is_consensus(QCborMap const& request)
{
    return cbor_text(request, "m").startsWith(QLatin1String("raft."));
}

/** Returns whether a call goes before others: those of the replicated log, and
    orders that another replica hands on. */
bool is_urgent(QCborMap const& request)
{
    auto const name = cbor_text(request, "m");
    return is_consensus(request) || name == QLatin1String("order") ||
           name == QLatin1String("routes") || name == QLatin1String("push");
}

raft_settings seeded(raft_settings settings)
{
    settings.seed = std::random_device{}();
    settings.readable_form = static_cast<int>(control_state::form::latest);
    return settings;
}

} // namespace

control_server::control_server(control_settings settings, raft_storage& storage)
    : settings_(std::move(settings))
    , node_(seeded(settings_.raft), storage, transport_, state_, clock_,
            settings_.listen, settings_.name)
    , rpc_([this](QCborMap const& request, reply_function const& reply)
           { handle(request, reply); })
    , log_time_seen_(clock_.now())
    , reports_(clock_)
    , grants_(state_, node_, clock_)
{
    rpc_.set_urgent_calls(&is_urgent);
}

bool control_server::start()
{
    if (!rpc_.listen(settings_.listen))
    {
        return false;
    }
    tick_ = timers_.call_every(tick_interval,
                               [this]
                               {
                                   work_meter::scope const scope(
                                       work_, work_kind::consensus);
                                   node_.tick();
                               });
    report_ = timers_.call_every(report_interval, [this] { send_report(); });
    return true;
}

void control_server::add_handler(QString const& name, call_handler handle)
{
    handlers_.insert(name, std::move(handle));
}

void control_server::call(socket_address const& to, QCborMap request,
                          milliseconds timeout, raft_transport::callback done)
{
    transport_.send(to, std::move(request), timeout, std::move(done));
}

void control_server::call_bulk(socket_address const& to, QCborMap request,
                               milliseconds timeout,
                               raft_transport::callback done)
{
    transport_.send_bulk(to, std::move(request), timeout, std::move(done));
}

void control_server::set_known_addresses(std::vector<socket_address> addresses)
{
    node_.set_known_addresses(std::move(addresses));
}

void control_server::set_location_lookup(
    voter_placement::location_lookup lookup)
{
    node_.set_location_lookup(std::move(lookup));
}

void control_server::stop(std::function<void()> stopped)
{
    auto const deadline = clock_.now() + longest_hand_over;
    node_.hand_over_leadership();
    stopping_ = timers_.call_every(
        stop_poll_interval,
        [this, deadline, stopped = std::move(stopped)]
        {
            // Tried again when the first one did not take over.
            node_.hand_over_leadership();
            bool const is_alone = node_.members().size() <= 1;
            if (!node_.is_leader() || is_alone || clock_.now() >= deadline)
            {
                stopping_.cancel();
                stopped();
            }
        });
}

void control_server::submit_change(QCborMap const& change,
                                   raft_node::proposal_callback done)
{
    submit(control_state::change_command(change), std::move(done));
}

void control_server::confirm_current(raft_node::confirm_callback done)
{
    node_.confirm_leadership(std::move(done));
}

QString control_server::leader_name() const
{
    auto const leader = node_.leader();
    return leader ? leader->name : QString();
}

void control_server::handle(QCborMap const& request,
                            reply_function const& reply)
{
    struct named_handler
    {
        QLatin1String name;
        handler handle;
    };
    static std::array<named_handler, 4> const handlers{
        {{QLatin1String("sync"), &control_server::handle_sync},
         {QLatin1String("report"), &control_server::handle_report},
         {QLatin1String("grant"), &control_server::handle_grants},
         {QLatin1String("claim"), &control_server::handle_claim}}};
    auto const name = cbor_text(request, "m");
    if (is_consensus(request))
    {
        work_meter::scope const scope(work_, work_kind::consensus);
        reply(node_.handle(request));
        return;
    }
    if (auto const added = handlers_.constFind(name); added != handlers_.cend())
    {
        (*added)(request, reply);
        return;
    }
    auto const found = std::find_if(handlers.begin(), handlers.end(),
                                    [&name](named_handler const& candidate)
                                    { return candidate.name == name; });
    if (found == handlers.end())
    {
        reply({{QLatin1String("status"), QLatin1String("unknown-method")}});
        return;
    }
    (this->*found->handle)(request, reply);
}

void control_server::handle_sync(QCborMap const& request,
                                 reply_function const& reply)
{
    reports_.take(request);
    // What an entry takes first must not be older than what is in force.
    if (cbor_flag(request, "first"))
    {
        node_.confirm_leadership(
            [this, request, reply](bool is_confirmed)
            {
                if (!is_confirmed)
                {
                    reply(refusal());
                    return;
                }
                abandon_former(request);
                answer_sync(request, reply);
            });
        return;
    }
    if (!node_.is_current())
    {
        reply(refusal());
        return;
    }
    answer_sync(request, reply);
}

void control_server::answer_sync(QCborMap const& request,
                                 reply_function const& reply)
{
    config_version const have(cbor_number(request, "config_version"));
    QCborMap answer{
        {QLatin1String("status"), QLatin1String("ok")},
        {QLatin1String("term"), node_.term().value()},
        {QLatin1String("config_version"), state_.config().version().value()}};
    if (have < state_.config().version() || cbor_flag(request, "first"))
    {
        answer[QLatin1String("config")] = state_.config().delta_since(have);
    }
    reply(answer);
}

void control_server::handle_report(QCborMap const& request,
                                   reply_function const& reply)
{
    for (auto const& report : cbor_array(request, "entries"))
    {
        reports_.take(report.toMap());
    }
    reply({{QLatin1String("status"), QLatin1String("ok")}});
}

void control_server::handle_grants(QCborMap const& request,
                                   reply_function const& reply)
{
    grants_.answer(cbor_array(request, "requests"),
                   [this, reply](std::optional<QCborArray> const& answers)
                   {
                       if (!answers)
                       {
                           reply(refusal());
                           return;
                       }
                       reply({{QLatin1String("status"), QLatin1String("ok")},
                              {QLatin1String("answers"), *answers}});
                   });
}

void control_server::send_report()
{
    // Also notes when the log's time was last seen to move.
    next_log_time();
    reports_.forget_old();
    raise_form();
    auto const leader = node_.leader();
    if (!leader || node_.is_leader())
    {
        return;
    }
    for (auto const& part : reports_.fresh_parts())
    {
        transport_.send(leader->address,
                        {{QLatin1String("m"), QLatin1String("report")},
                         {QLatin1String("entries"), part}},
                        report_interval, [](std::optional<QCborMap> const&) {});
    }
}

void control_server::raise_form()
{
    raise_form_to(node_.common_form());
}

void control_server::request_form(control_state::form wanted)
{
    if (node_.answering_form() >= static_cast<int>(wanted))
    {
        raise_form_to(static_cast<int>(wanted));
    }
}

void control_server::raise_form_to(int common)
{
    if (is_raising_form_ || common <= static_cast<int>(state_.used_form()))
    {
        return;
    }
    is_raising_form_ = true;
    submit(
        control_state::form_command(static_cast<control_state::form>(common)),
        [this, common](raft_node::proposal_end end, QCborMap const&)
        {
            is_raising_form_ = false;
            control_log.info(
                QStringLiteral("Form %1 for all replicas: %2.")
                    .arg(common)
                    .arg(end == raft_node::proposal_end::committed
                             ? QStringLiteral("in use")
                             : QStringLiteral("not put into use")));
        });
}

QCborMap control_server::status() const
{
    QCborArray replicas;
    replicas.append(
        QCborMap{{QLatin1String("replica"), settings_.name},
                 {QLatin1String("role"), QLatin1String("leader")},
                 {QLatin1String("applied"), node_.applied_index().value()},
                 {QLatin1String("heard"), true}});
    for (auto const& peer : node_.peers())
    {
        replicas.append(
            QCborMap{{QLatin1String("replica"), peer.member.name},
                     {QLatin1String("role"),
                      QLatin1String(peer.is_voter ? "follower" : "learner")},
                     {QLatin1String("applied"), peer.match.value()},
                     {QLatin1String("heard"), peer.is_heard},
                     {QLatin1String("reads"), peer.readable_form}});
    }
    return {
        {QLatin1String("outcome"), QLatin1String("found")},
        {QLatin1String("leader"), settings_.name},
        {QLatin1String("term"), node_.term().value()},
        {QLatin1String("config_version"), state_.config().version().value()},
        {QLatin1String("form"), static_cast<int>(state_.used_form())},
        {QLatin1String("claims"), state_.claims().claim_count()},
        {QLatin1String("replicas"), replicas},
        {QLatin1String("entries"), reports_.entries()},
        {QLatin1String("upstreams"), reports_.upstreams()}};
}

void control_server::abandon_former(QCborMap const& request)
{
    claim_log_command const command{
        log_time(next_log_time()),
        abandon_command{entry_id(cbor_text(request, "entry")),
                        incarnation(cbor_number(request, "incarnation") - 1)}};
    submit(control_state::claim_command(to_cbor(command)),
           [](raft_node::proposal_end, QCborMap const&) {});
}

void control_server::handle_claim(QCborMap const& request,
                                  reply_function const& reply)
{
    auto parsed = parse_claim_log_command(cbor_map(request, "command"));
    if (!parsed)
    {
        reply({{QLatin1String("status"), QLatin1String("malformed")}});
        return;
    }
    parsed->at = log_time(next_log_time());
    submit(control_state::claim_command(to_cbor(*parsed)),
           [this, reply](raft_node::proposal_end end, QCborMap const& result)
           {
               if (end != raft_node::proposal_end::committed)
               {
                   reply(refusal());
                   return;
               }
               reply({{QLatin1String("status"), QLatin1String("ok")},
                      {QLatin1String("answer"), result}});
           });
}

void control_server::submit(QCborMap command, raft_node::proposal_callback done)
{
    node_.propose(std::move(command), std::move(done));
    schedule_flush();
}

void control_server::schedule_flush()
{
    if (is_flush_due_)
    {
        return;
    }
    is_flush_due_ = true;
    // After the events at hand, so that they share one sync.
    QMetaObject::invokeMethod(
        &context_,
        [this]
        {
            is_flush_due_ = false;
            work_meter::scope const scope(work_, work_kind::consensus);
            node_.flush();
        },
        Qt::QueuedConnection);
}

QCborMap control_server::refusal() const
{
    QCborMap answer{{QLatin1String("status"), QLatin1String("not-leader")}};
    auto const leader = node_.leader();
    if (leader && !node_.is_leader())
    {
        answer[QLatin1String("leader")] = leader->address.text();
    }
    return answer;
}

qint64 control_server::next_log_time()
{
    auto const known = state_.claims().now();
    if (known != log_time_)
    {
        log_time_ = known;
        log_time_seen_ = clock_.now();
    }
    // By this process's monotonic clock: a wrong time of day on one VM must
    // not let keys run out early.
    return known.value() + elapsed(log_time_seen_, clock_.now()).count();
}

} // namespace verbenacove
