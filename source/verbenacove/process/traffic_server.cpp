#include "verbenacove/process/traffic_server.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/json_bounds.hpp"
#include "verbenacove/process/upstream_directory.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrlQuery>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace verbenacove
{

namespace
{

constexpr int announcement_interval_ms = 1000;
/** How often requests that wait for a slot are looked through. */
constexpr milliseconds expiry_interval{20};
constexpr milliseconds grant_interval{1000};
constexpr qsizetype longest_announcement = 4096;
constexpr json_bounds announcement_bounds{16, 256};
QByteArray const call_prefix = "/v1/call/";

http_response json_response(int status, QByteArray body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

QByteArray json_bytes(QJsonObject const& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

QByteArray json_of(entry_view const& entry)
{
    return json_bytes({{QStringLiteral("entry"), entry.id.value()},
                       {QStringLiteral("address"), entry.address.text()},
                       {QStringLiteral("region"), entry.region.value()},
                       {QStringLiteral("zone"), entry.zone.value()}});
}

} // namespace

traffic_server::traffic_server(entry_settings settings, incarnation started,
                               listener calls)
    : settings_(std::move(settings))
    , crashes_(clock_)
    , slots_(clock_)
    , regions_(settings_.name, started, settings_.region, clock_)
    , calls_(std::move(calls))
    , ranking_(clock_, std::random_device{}())
    , claims_(settings_.control, settings_.name, started)
    , control_(settings_.control)
    , watch_(upstreams_, crashes_, clock_, timers_, settings_.upstream_lease,
             {calls_.answered, calls_.crashed})
    , http_(settings_.limits,
            [this](exchange_ptr const& exchange) { handle(exchange); })
{
}

bool traffic_server::start()
{
    expiry_ = timers_.call_every(expiry_interval, [this] { slots_.expire(); });
    grant_timer_ =
        timers_.call_every(grant_interval, [this] { ask_for_grants(); });
    return http_.listen(settings_.http);
}

void traffic_server::update(steering_view_ptr const& view)
{
    view_ = view;
    // A service that is no more keeps no pool; its requests in hand do.
    pools_.removeIf([this](auto const& item)
                    { return view_->config->service(item.key()) == nullptr; });
    for (auto const& name : view_->config->services())
    {
        pool(name)->chooser.update(view_->upstreams.value(name));
    }
    render_entries();
    regions_.update(*view_->config);
    update_slots();
    watch_.update(view_);
}

void traffic_server::update_slots()
{
    auto const now = clock_.now();
    for (auto const& name : view_->config->services())
    {
        int slots = 0;
        for (auto const& upstream : view_->upstreams.value(name))
        {
            bool const is_usable =
                upstream.state == upstream_state::serving &&
                elapsed(upstream.reported_at, now) <= settings_.upstream_lease;
            slots += is_usable ? upstream.slots.value() : 0;
        }
        slots_.set_slots(name, slot_count(slots));
    }
}

void traffic_server::ask_for_grants()
{
    QCborArray requests;
    for (auto const& request : regions_.next_requests())
    {
        requests.append(to_cbor(request));
    }
    if (requests.isEmpty())
    {
        return;
    }
    control_.call_leader(
        {{QLatin1String("m"), QLatin1String("grant")},
         {QLatin1String("requests"), requests}},
        grant_interval,
        [this](std::optional<QCborMap> const& reply)
        {
            for (auto const& value :
                 reply ? cbor_array(*reply, "answers") : QCborArray())
            {
                if (auto const answer = parse_grant_answer(value.toMap()))
                {
                    regions_.take(*answer);
                }
            }
        });
}

request_services traffic_server::services()
{
    return {{upstreams_, clock_, timers_, crashes_,
             [this](upstream_view const& upstream)
             { watch_.check_crash(upstream); },
             regions_},
            claims_,
            slots_,
            settings_.connect_timeout,
            settings_.keeps_connections,
            settings_.trace_one_in,
            [this](service_name const& answered, run_verdict verdict,
                   int status, std::chrono::microseconds duration)
            {
                metrics_.count_request(answered.value(), verdict_word(verdict),
                                       status, duration);
            },
            [this](service_name const& attempted, int sent)
            {
                metrics_.count_attempts(attempted.value(), sent);
            }};
}

void traffic_server::handle(exchange_ptr const& exchange)
{
    struct route
    {
        QByteArrayView method;
        QByteArrayView path;
        handler handle;
    };
    static std::array<route, 5> const routes{
        {{"GET", "/v1/lookup", &traffic_server::handle_lookup},
         {"POST", "/v1/announce", &traffic_server::handle_announcement},
         {"GET", "/healthz", &traffic_server::handle_health},
         {"GET", "/readyz", &traffic_server::handle_readiness},
         {"GET", "/metrics", &traffic_server::handle_metrics}}};
    auto const& request = exchange->request();
    if (request.path.startsWith(call_prefix))
    {
        handle_call(exchange);
        return;
    }
    auto const found =
        std::find_if(routes.begin(), routes.end(),
                     [&request](route const& candidate)
                     {
                         return candidate.method == request.method &&
                                candidate.path == request.path;
                     });
    if (found == routes.end())
    {
        handle_unknown(exchange);
        return;
    }
    (this->*found->handle)(exchange);
}

void traffic_server::handle_lookup(exchange_ptr const& exchange)
{
    QUrlQuery const query(QString::fromLatin1(exchange->request().query));
    service_name const service(query.queryItemValue(QStringLiteral("service")));
    if (!view_->is_ready)
    {
        handle_readiness(exchange);
        return;
    }
    if (view_->config->service(service) == nullptr)
    {
        exchange->respond(not_run_response(404, "unknown-service",
                                           "There is no such service."));
        return;
    }
    location const caller{
        region_name(query.queryItemValue(QStringLiteral("region"))),
        zone_name(query.queryItemValue(QStringLiteral("zone")))};
    metrics_.count_lookup();
    exchange->respond(json_response(200, lookup_body(service, caller)));
}

QByteArray traffic_server::lookup_body(service_name const& service,
                                       location const& caller)
{
    QByteArrayList entries;
    for (auto const& entry : ranking_.rank(caller, view_->self, view_->entries))
    {
        entries += entry_json_.value(entry.id).json;
    }
    // The name is a record's, which holds nothing that JSON must escape.
    return "{\"service\":\"" + service.value().toUtf8() + "\",\"ttl_ms\":" +
           QByteArray::number(qint64(settings_.lookup_ttl.count())) +
           ",\"entries\":[" + entries.join(',') + "]}";
}

void traffic_server::render_entries()
{
    QHash<entry_id, rendered_entry> rendered;
    auto const render = [&](entry_view const& entry)
    {
        auto const known = entry_json_.value(entry.id);
        bool const is_same = known.address == entry.address &&
                             known.region == entry.region &&
                             known.zone == entry.zone;
        rendered[entry.id] = is_same
                                 ? known
                                 : rendered_entry{entry.address, entry.region,
                                                  entry.zone, json_of(entry)};
    };
    render(view_->self);
    std::for_each(view_->entries.begin(), view_->entries.end(), render);
    entry_json_ = std::move(rendered);
}

void traffic_server::handle_call(exchange_ptr const& exchange)
{
    auto const& path = exchange->request().path;
    auto const name_end = path.indexOf('/', call_prefix.size());
    auto const name_size = name_end < 0 ? -1 : name_end - call_prefix.size();
    service_name const name(
        QString::fromLatin1(path.mid(call_prefix.size(), name_size)));
    auto const* service = view_->config->service(name);
    if (!view_->is_ready)
    {
        handle_readiness(exchange);
        return;
    }
    if (service == nullptr)
    {
        exchange->respond(not_run_response(404, "unknown-service",
                                           "There is no such service."));
        return;
    }
    request_flow::start(services(), exchange, *service,
                        name_end < 0 ? QByteArray("/") : path.mid(name_end),
                        pool(name));
}

void traffic_server::handle_announcement(exchange_ptr const& exchange)
{
    auto const& body = exchange->request().body;
    auto const document = parse_json_object(
        body.size() <= longest_announcement ? body : QByteArray(),
        announcement_bounds);
    if (!document.error.isEmpty())
    {
        exchange->respond(not_run_response(
            400, "bad-announcement",
            "The body must be a JSON object of at most 4096 bytes."));
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(upstream,
                            parse_announcement(document.object, clock_.now()));
            metrics_.count_announcement();
            calls_.announced(std::move(upstream));
            QJsonArray entries;
            for (auto const& entry :
                 ranking_.rank({settings_.region, settings_.zone}, view_->self,
                               view_->entries))
            {
                entries.append(entry.address.text());
            }
            exchange->respond(json_response(
                200, json_bytes(
                         {{QStringLiteral("next_ms"), announcement_interval_ms},
                          {QStringLiteral("entries"), entries}})));
            return {};
        },
        [&](announcement_error const& wrong)
        {
            exchange->respond(not_run_response(
                400, "bad-announcement",
                (wrong.key + QStringLiteral(" must be ") + wrong.allowed)
                    .toUtf8()));
        },
        [&]
        {
            exchange->respond(not_run_response(400, "bad-announcement",
                                               "The body is not valid."));
        });
}

void traffic_server::handle_health(exchange_ptr const& exchange)
{
    exchange->respond(json_response(200, "{\"status\":\"ok\"}"));
}

void traffic_server::handle_readiness(exchange_ptr const& exchange)
{
    if (!view_->is_ready)
    {
        exchange->respond(not_run_response(
            503, "not-ready",
            "This entry has yet to read the configuration or to "
            "hear the others."));
        return;
    }
    if (!view_->self.is_serving)
    {
        exchange->respond(
            not_run_response(503, "stopping", "This entry is to stop."));
        return;
    }
    exchange->respond(json_response(200, "{\"status\":\"ready\"}"));
}

void traffic_server::handle_metrics(exchange_ptr const& exchange)
{
    std::size_t upstreams = 0;
    for (auto const& of_service : view_->upstreams)
    {
        upstreams += of_service.size();
    }
    metrics_.set_state(view_->config->version().value(), view_->entries.size(),
                       upstreams, http_.open_exchanges());
    exchange->respond({200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       metrics_.text()});
}

void traffic_server::handle_unknown(exchange_ptr const& exchange)
{
    exchange->respond(
        not_run_response(404, "unknown-path", "There is nothing here."));
}

std::shared_ptr<service_pool> traffic_server::pool(service_name const& service)
{
    auto& found = pools_[service];
    if (!found)
    {
        chooser_settings chooser;
        chooser.region = settings_.region;
        chooser.zone = settings_.zone;
        chooser.report_lease = settings_.upstream_lease;
        found = std::make_shared<service_pool>(service_pool{
            upstream_chooser(chooser, clock_, std::random_device{}()),
            retry_budget({}, clock_)});
    }
    return found;
}

} // namespace verbenacove
