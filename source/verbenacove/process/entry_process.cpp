#include "verbenacove/process/entry_process.hpp"

#include "verbenacove/core/cbor.hpp"
#include "verbenacove/core/log.hpp"

#include <QDateTime>
#include <QMetaObject>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

log_part const entry_log{"entry"};

constexpr milliseconds read_interval{250};
/** What an operator asks after goes along with every so many reads. */
constexpr int reads_per_report = 4;
constexpr milliseconds read_timeout{600};
constexpr milliseconds first_read_timeout{2000};
constexpr milliseconds refresh_interval{1000};
constexpr milliseconds publish_delay{100};
constexpr milliseconds stop_poll_interval{50};
/** In this time each other entry tells of its upstreams more than once. */
constexpr milliseconds hearing_time = 3 * peer_mesh::round_interval;
/** A look-up's answer and a request of its last moment take time as well. */
constexpr milliseconds stop_margin{500};
/** How long an upstream that announces here is this entry's to spread. */
constexpr milliseconds announced_here_lease{3000};

} // namespace

entry_process::entry_process(entry_settings settings)
    : settings_(std::move(settings))
    , started_(QDateTime::currentMSecsSinceEpoch())
    , control_(settings_.control)
    , mesh_(settings_.name, settings_.peers, clock_,
            {[this](upstream_view const& upstream) { take_news(upstream); },
             [this] { publish(); },
             [this](QCborMap const& news) { take_crashes(news); },
             [this] { return status(); }, [this] { return own_upstreams(); },
             [this]
             {
                 return std::exchange(crashes_, {});
             }})
    , directory_(clock_)
{
}

entry_process::~entry_process()
{
    if (!traffic_thread_.isRunning())
    {
        return;
    }
    // What lives on the traffic thread is destroyed there.
    QMetaObject::invokeMethod(
        traffic_context_.get(), [this] { traffic_.reset(); },
        Qt::BlockingQueuedConnection);
    traffic_thread_.quit();
    traffic_thread_.wait();
}

QString entry_process::start()
{
    if (!mesh_.start(settings_.peer))
    {
        return settings_.peer.text() + QStringLiteral(": ") +
               mesh_.error_text();
    }
    traffic_context_ = std::make_unique<QObject>();
    traffic_context_->moveToThread(&traffic_thread_);
    traffic_thread_.start();
    QString error;
    auto const announced = [this](upstream_view upstream)
    {
        QMetaObject::invokeMethod(
            &context_,
            [this, upstream = std::move(upstream)]
            { take_announcement(upstream); },
            Qt::QueuedConnection);
    };
    auto const answered = [this](upstream_view upstream)
    {
        QMetaObject::invokeMethod(
            &context_,
            [this, upstream = std::move(upstream)] { take_news(upstream); },
            Qt::QueuedConnection);
    };
    auto const crashed = [this](quarantine_update const& news)
    {
        QMetaObject::invokeMethod(
            &context_,
            [this, attached = to_cbor(news)]
            {
                crashes_ = attached;
                mesh_.send_now();
            },
            Qt::QueuedConnection);
    };
    QMetaObject::invokeMethod(
        traffic_context_.get(),
        [&]
        {
            traffic_ = std::make_unique<traffic_server>(
                settings_, started_,
                traffic_server::listener{announced, answered, crashed});
            if (!traffic_->start())
            {
                error = settings_.http.text() + QStringLiteral(": ") +
                        traffic_->error_text();
            }
        },
        Qt::BlockingQueuedConnection);
    if (!error.isEmpty())
    {
        return error;
    }
    refresh_timer_ = timers_.call_every(refresh_interval,
                                        [this]
                                        {
                                            directory_.forget_old();
                                            publish();
                                        });
    hearing_timer_ = timers_.call_after(hearing_time,
                                        [this]
                                        {
                                            has_heard_others_ = true;
                                            take_readiness();
                                        });
    read_first_configuration();
    publish();
    return {};
}

void entry_process::stop(std::function<void()> stopped)
{
    if (is_stopping_)
    {
        return;
    }
    is_stopping_ = true;
    stopped_ = std::move(stopped);
    entry_log.info(QStringLiteral("Leaving the look-ups."));
    mesh_.send_now();
    publish();
    call_on_traffic([this] { traffic_->prepare_stop(); });
    // The others may name this entry until they hear of it or believe it
    // gone, and callers keep that answer for its time to live.
    stop_timer_ = timers_.call_after(settings_.lookup_ttl +
                                         peer_mesh::entry_lease + stop_margin,
                                     [this] { finish_stop(); });
}

void entry_process::finish_stop()
{
    entry_log.info(QStringLiteral("Ending the requests in hand."));
    call_on_traffic([this] { traffic_->stop_accepting(); });
    stop_timer_ = timers_.call_every(
        stop_poll_interval,
        [this]
        {
            int open = 0;
            QMetaObject::invokeMethod(
                traffic_context_.get(),
                [this, &open] { open = traffic_->busy_connections(); },
                Qt::BlockingQueuedConnection);
            if (open == 0)
            {
                stop_timer_.cancel();
                stopped_();
            }
        });
}

// Configuration.

void entry_process::read_first_configuration()
{
    QCborMap request{{QLatin1String("m"), QLatin1String("sync")},
                     {QLatin1String("entry"), settings_.name.value()},
                     {QLatin1String("incarnation"), started_.value()},
                     {QLatin1String("first"), true}};
    control_.call_leader(
        std::move(request), first_read_timeout,
        [this](std::optional<QCborMap> const& reply)
        {
            if (!reply)
            {
                read_first_configuration();
                return;
            }
            if (!take_configuration(*reply, true))
            {
                read_timer_ = timers_.call_after(
                    read_interval, [this] { read_first_configuration(); });
                return;
            }
            read_timer_ = timers_.call_every(read_interval,
                                             [this] { read_configuration(); });
        });
}

void entry_process::read_configuration()
{
    if (is_reading_)
    {
        return;
    }
    is_reading_ = true;
    QCborMap request{
        {QLatin1String("m"), QLatin1String("sync")},
        {QLatin1String("entry"), settings_.name.value()},
        {QLatin1String("incarnation"), started_.value()},
        {QLatin1String("config_version"), config_->version().value()}};
    if (++reads_ % reads_per_report == 0)
    {
        add_report(request);
    }
    control_.call_any(std::move(request), read_timeout,
                      [this](std::optional<QCborMap> const& reply)
                      {
                          is_reading_ = false;
                          if (reply)
                          {
                              take_configuration(*reply, false);
                          }
                      });
}

void entry_process::add_report(QCborMap& request)
{
    QCborArray upstreams;
    for (auto const& upstream : own_upstreams())
    {
        upstreams.append(to_cbor(upstream, clock_.now()));
    }
    request[QLatin1String("address")] = settings_.http.text();
    request[QLatin1String("zone")] = settings_.zone.value();
    request[QLatin1String("serving")] = is_ready_ && !is_stopping_;
    request[QLatin1String("ups")] = upstreams;
}

bool entry_process::take_configuration(QCborMap const& reply, bool is_first)
{
    if (reply.contains(QLatin1String("config")))
    {
        auto const next = config_->apply_delta(
            cbor_map(reply, "config"), log_term(cbor_number(reply, "term")));
        if (!next)
        {
            entry_log.warn(QStringLiteral("Refused a configuration."));
            return false;
        }
        config_ = *next;
    }
    if (is_first)
    {
        has_configuration_ = true;
        take_readiness();
    }
    publish();
    return true;
}

// An entry that knows no upstream yet would refuse the requests that the
// look-ups send it.
void entry_process::take_readiness()
{
    if (is_ready_ || !has_configuration_ || !has_heard_others_)
    {
        return;
    }
    is_ready_ = true;
    entry_log.info(QStringLiteral("Ready, with configuration %1.")
                       .arg(config_->version().value()));
    mesh_.send_now();
    publish();
}

// Upstreams.

void entry_process::take_announcement(upstream_view upstream)
{
    announced_here_[upstream.id] = clock_.now();
    bool const is_changed = directory_.merge(std::move(upstream));
    if (is_changed)
    {
        mesh_.send_now();
        publish();
        return;
    }
    publish_soon();
}

void entry_process::take_news(upstream_view const& upstream)
{
    if (directory_.merge(upstream))
    {
        publish();
        return;
    }
    publish_soon();
}

void entry_process::take_crashes(QCborMap const& news)
{
    auto const parsed = parse_quarantine_update(news);
    if (!parsed || !traffic_)
    {
        return;
    }
    call_on_traffic([this, parsed = *parsed]
                    { traffic_->merge_crashes(parsed); });
}

std::vector<upstream_view> entry_process::own_upstreams()
{
    std::vector<upstream_view> result;
    auto const now = clock_.now();
    announced_here_.removeIf(
        [now](auto const& item)
        { return elapsed(item.value(), now) > announced_here_lease; });
    for (auto item = announced_here_.cbegin(); item != announced_here_.cend();
         ++item)
    {
        if (auto const* upstream = directory_.find(item.key()))
        {
            result.push_back(*upstream);
        }
    }
    return result;
}

own_entry_status entry_process::status() const
{
    own_entry_status status;
    status.view.id = settings_.name;
    status.view.address = settings_.http;
    status.view.region = settings_.region;
    status.view.zone = settings_.zone;
    status.view.is_serving = is_ready_ && !is_stopping_;
    status.view.reported_at = clock_.now();
    status.started = started_;
    status.peer_address = settings_.peer;
    status.config_version = config_->version().value();
    return status;
}

// Publishing.

void entry_process::publish_soon()
{
    if (is_publish_due_)
    {
        return;
    }
    is_publish_due_ = true;
    publish_timer_ = timers_.call_after(publish_delay, [this] { publish(); });
}

void entry_process::publish()
{
    is_publish_due_ = false;
    if (!traffic_)
    {
        return;
    }
    auto view = std::make_shared<steering_view>();
    view->config = config_;
    view->upstreams = directory_.by_service();
    for (auto& upstreams : view->upstreams)
    {
        for (auto& upstream : upstreams)
        {
            if (config_->is_drained(upstream.id, upstream.zone,
                                    upstream.region))
            {
                upstream.state = upstream_state::draining;
            }
        }
    }
    view->entries = mesh_.entries();
    view->self = status().view;
    view->is_ready = is_ready_;
    call_on_traffic([this, view = steering_view_ptr(std::move(view))]
                    { traffic_->update(view); });
}

void entry_process::call_on_traffic(std::function<void()> call)
{
    QMetaObject::invokeMethod(traffic_context_.get(), std::move(call),
                              Qt::QueuedConnection);
}

} // namespace verbenacove
