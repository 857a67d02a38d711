#include "verbenacove/process/routing/route_entry_process.hpp"

#include "verbenacove/core/epoll_event_dispatcher.hpp"
#include "verbenacove/core/event_log.hpp"
#include "verbenacove/core/stable_hash.hpp"
#include "verbenacove/request/entry_lookup.hpp"

#include <QMetaObject>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

event_log const entry_log{"entry"};

/** The view is also published at this interval because warm-up periods end
    without an update from the replica. */
constexpr milliseconds refresh_interval{1000};
/** Minimum interval between two views: making one takes time for each upstream
    and each entry. */
constexpr milliseconds minimum_publish_interval{200};
/** The same while an upstream has turned cold. */
constexpr milliseconds expedited_publish_interval{40};
constexpr milliseconds stop_poll_interval{50};
/** Callers may use a look-up response for up to three times its TTL. */
constexpr int maximum_lookup_age_in_ttls = 3;
/** The time allowed for the replicas to learn that this entry is leaving. */
constexpr milliseconds leave_propagation_time{300};
/** The part of the grace period that is still left when the process exits on
    its own. */
constexpr milliseconds grace_margin{250};
/** The fraction of the warm-up rate of a cold upstream that this entry uses.
    The rest is reserved for an entry that has not yet learned that another
    entry warms the upstream. */
constexpr double usable_warmup_fraction = 0.8;
/** Time for which this entry reaches no upstream before callers are sent to
    other entries. */
constexpr milliseconds reported_outage{500};
/** Maximum number of entries among which a relayed request's is selected. */
constexpr std::size_t maximum_relays = 16;
/** Maximum number of those of each other region. */
constexpr std::size_t maximum_relays_per_region = 4;
/** The smallest rate, in requests per second, that an entry gets of an
    upstream's rate limit, unless the limit itself is smaller. */
constexpr double smallest_rate_share = 1;
/** A lower rate limit, in requests per second, is treated as this one: without
    any request nobody would learn that the limit has ended. */
constexpr double slowest_rate_limit = 0.1;

} // namespace

route_entry_process::route_entry_process(route_entry_settings settings,
                                         route_header_codec const& header_codec)
    : settings_(std::move(settings))
    , header_codec_(header_codec)
    , link_({settings_.name,
             {settings_.callers, settings_.zone, settings_.region},
             settings_.replicas,
             settings_.revocation},
            {[this] { handle_update(); },
             [this](quarantine_update reports)
             {
                 call_on_traffic([this, reports = std::move(reports)]
                                 { traffic_->merge_crash_reports(reports); });
             },
             [this](key_confirmation const& confirmation)
             {
                 call_on_traffic([this, confirmation]
                                 { traffic_->confirm_keys(confirmation); });
             },
             [this]
             {
                 is_publish_expedited_ = true;
             }})
{
}

route_entry_process::~route_entry_process()
{
    if (!traffic_thread_.isRunning())
    {
        return;
    }
    // Objects that live on the traffic thread must be destroyed there.
    QMetaObject::invokeMethod(
        traffic_context_.get(), [this] { traffic_.reset(); },
        Qt::BlockingQueuedConnection);
    traffic_thread_.quit();
    traffic_thread_.wait();
}

QString route_entry_process::start()
{
    traffic_context_ = std::make_unique<QObject>();
    traffic_context_->moveToThread(&traffic_thread_);
    // The thread deletes it.
    traffic_thread_.setEventDispatcher(
        std::make_unique<epoll_event_dispatcher>().release());
    traffic_thread_.start();
    QString error;
    QMetaObject::invokeMethod(
        traffic_context_.get(),
        [&]
        {
            traffic_ = std::make_unique<route_traffic>(
                settings_, header_codec_,
                route_traffic::listener{
                    [this](quarantine_update const& reports) {
                        call_on_control([this, reports]
                                        { link_.report_crashes(reports); });
                    },
                    [this](rate_limit_report const& report) {
                        call_on_control([this, report]
                                        { link_.report_rate_limit(report); });
                    },
                    [this](bool is_cut_off)
                    {
                        call_on_control(
                            [this, is_cut_off]
                            { handle_reachability_change(is_cut_off); });
                    },
                    [this](allowance_report const& report)
                    {
                        call_on_control([this, report]
                                        { report_allowances(report); });
                    }});
            error = traffic_->start();
        },
        Qt::BlockingQueuedConnection);
    if (!error.isEmpty())
    {
        return error;
    }
    refresh_timer_ =
        timers_.call_every(refresh_interval, [this] { publish(); });
    link_.start();
    return {};
}

void route_entry_process::reload(route_entry_settings settings)
{
    link_.set_seeds(settings.replicas);
}

void route_entry_process::handle_update()
{
    bool const has_routes = link_.has_synchronised() && link_.routes();
    if (has_routes && !is_ready_ && !is_stopping_)
    {
        is_ready_ = true;
        entry_log.note("entry.ready",
                       {{"version", link_.routes()->version.value()}});
        link_.set_phase(member_phase::serving);
        publish();
        return;
    }
    schedule_publish();
}

void route_entry_process::schedule_publish()
{
    auto const interval = is_publish_expedited_ ? expedited_publish_interval
                                                : minimum_publish_interval;
    auto const waited = elapsed(last_publish_, clock_.now());
    if (waited >= interval)
    {
        publish();
        return;
    }
    if (is_publish_expedited_ || !publish_timer_.is_active())
    {
        publish_timer_ =
            timers_.call_after(interval - waited, [this] { publish(); });
    }
}

// Requests are relayed at once. A short outage is not reported: each report
// goes to all entries.
void route_entry_process::handle_reachability_change(bool is_cut_off)
{
    cut_off_report_timer_.cancel();
    if (!is_cut_off)
    {
        link_.set_reaches_upstreams(true);
        return;
    }
    cut_off_report_timer_ = timers_.call_after(
        reported_outage, [this] { link_.set_reaches_upstreams(false); });
}

void route_entry_process::report_allowances(allowance_report const& report)
{
    link_.report_allowances(
        report,
        [this,
         number = report.number](std::optional<allowance_answer> const& answer)
        {
            call_on_traffic(
                [this, number, answer]
                { traffic_->handle_allowance_answer(number, answer); });
        });
}

std::vector<entry_view> route_entry_process::other_entries() const
{
    std::vector<std::pair<quint64, entry_view>> order;
    for (auto const& entry : link_.membership().entries().records())
    {
        bool const is_usable = entry.id != settings_.name.value() &&
                               entry.phase == member_phase::serving &&
                               !entry.is_silent;
        if (!is_usable)
        {
            continue;
        }
        entry_view view;
        view.id = entry_id(entry.id);
        view.address = entry.content.address;
        view.region = entry.content.region;
        view.zone = entry.content.zone;
        view.reaches_upstreams = entry.content.reaches_upstreams;
        // Differs between entries, so that each has its own part of a large
        // zone's entries.
        auto const rank =
            stable_hash(settings_.name.value().toUtf8(), entry.id.toUtf8());
        order.emplace_back(rank, std::move(view));
    }
    std::sort(order.begin(), order.end(),
              [](auto const& a, auto const& b) { return a.first < b.first; });
    std::vector<entry_view> entries;
    for (auto& [rank, view] : order)
    {
        entries.push_back(std::move(view));
    }
    return entries;
}

void route_entry_process::add_relays(routing_view& view) const
{
    auto const entries = other_entries();
    view.relays = nearest_entries({settings_.region, settings_.zone}, entries,
                                  maximum_relays);
    QHash<region_name, std::size_t> counts;
    for (auto const& entry : entries)
    {
        bool const is_remote =
            entry.region != settings_.region && entry.reaches_upstreams;
        if (is_remote && counts[entry.region] < maximum_relays_per_region)
        {
            ++counts[entry.region];
            view.remote_relays.push_back(entry);
        }
    }
}

void route_entry_process::publish()
{
    publish_timer_.cancel();
    is_publish_expedited_ = false;
    last_publish_ = clock_.now();
    reopened_zones_.update(link_.evacuated(), clock_.now());
    auto view = std::make_shared<routing_view>();
    view->routes = link_.routes();
    view->routes_revision = link_.routes_revision();
    view->is_ready = is_ready_ && !is_stopping_;
    view->published_at = clock_.now();
    add_relays(*view);
    count_entries(*view);
    if (view->routes)
    {
        entry_ranking const ranking(settings_.name,
                                    link_.membership().entries());
        for (auto const& service : view->routes->services)
        {
            view->members.insert(service.name,
                                 usable_members(service.name, ranking));
        }
    }
    call_on_traffic([this, view = routing_view_ptr(std::move(view))]
                    { traffic_->update(view); });
}

void route_entry_process::count_entries(routing_view& view) const
{
    view.live_entries = 0;
    view.region_entries = 0;
    for (auto const& entry : link_.membership().entries().records())
    {
        bool const is_live =
            !entry.is_silent && entry.phase == member_phase::serving;
        bool const is_local_region = entry.content.region == settings_.region;
        view.live_entries += is_live ? 1 : 0;
        view.region_entries += is_live && is_local_region ? 1 : 0;
    }
    view.live_entries = std::max(1, view.live_entries);
    view.region_entries = std::max(1, view.region_entries);
}

std::vector<pool_member>
route_entry_process::usable_members(service_name const& service,
                                    entry_ranking const& ranking) const
{
    std::vector<pool_member> result;
    auto const& service_configuration =
        link_.routes()->services[service.value()];
    for (auto const& upstream : link_.membership().upstreams().records())
    {
        bool const is_usable =
            upstream.content.service == service &&
            upstream.phase == member_phase::serving &&
            !link_.evacuated().contains(upstream.content.zone);
        if (is_usable)
        {
            result.push_back(
                make_member(upstream, service_configuration, ranking));
        }
    }
    return result;
}

pool_member route_entry_process::make_member(upstream_member const& upstream,
                                             routed_service const& service,
                                             entry_ranking const& ranking) const
{
    pool_member member;
    member.id = upstream_id(upstream.id);
    member.started = upstream.started;
    member.address = upstream.content.address;
    member.zone = upstream.content.zone;
    member.region = region_of(upstream.content.zone);
    member.slots = upstream.content.slots;
    member.is_silent = upstream.is_silent;
    member.cold_until = std::max(
        upstream.content.cold_until,
        reopened_zones_.cold_until(upstream.content.zone, service.cold_start));
    // The warm-up rate holds for all entries together, so only one of them
    // warms an upstream.
    bool const is_assigned_to_warm =
        member.cold_until > clock_.now() &&
        ranking.is_among_first(1, member.id, location_of(upstream));
    member.cold_rate = is_assigned_to_warm
                           ? service.warmup_per_second * usable_warmup_fraction
                           : 0;
    member.rate_limit = rate_limit_of(upstream, ranking);
    member.health_path = service.health_path;
    return member;
}

// The limit holds for all entries together. It is divided among few of them, so
// that each of these gets whole requests often enough to notice a change.
std::optional<rate_limit_share>
route_entry_process::rate_limit_of(upstream_member const& upstream,
                                   entry_ranking const& ranking) const
{
    auto const* known = link_.membership().rate_limits().find(upstream.id);
    if (known == nullptr || known->started != upstream.started ||
        !known->content.rate)
    {
        return std::nullopt;
    }
    auto const whole = *known->content.rate;
    auto const shares = std::clamp(
        static_cast<std::size_t>(whole.value() / smallest_rate_share),
        std::size_t{1}, std::max(std::size_t{1}, ranking.size()));
    bool const has_share = ranking.is_among_first(
        shares, upstream_id(upstream.id), location_of(upstream));
    auto const share = std::max(whole.value(), slowest_rate_limit) /
                       static_cast<double>(shares);
    return rate_limit_share{whole, requests_per_second(has_share ? share : 0)};
}

location route_entry_process::location_of(upstream_member const& upstream) const
{
    return {region_of(upstream.content.zone), upstream.content.zone};
}

region_name route_entry_process::region_of(zone_name const& zone) const
{
    return settings_.zones.value(zone);
}

// Graceful stop.

void route_entry_process::stop(std::function<void()> on_stopped)
{
    if (is_stopping_)
    {
        return;
    }
    is_stopping_ = true;
    on_stopped_ = std::move(on_stopped);
    auto const now = clock_.now();
    stop_deadline_ = now + settings_.stop_grace - grace_margin;
    entry_log.note("entry.stopping", {});
    link_.set_phase(member_phase::draining);
    publish();
    call_on_traffic([this] { traffic_->prepare_stop(); });
    auto const lookup_expiry =
        settings_.lookup_ttl * maximum_lookup_age_in_ttls +
        leave_propagation_time;
    stop_timer_ =
        timers_.call_after(std::min(lookup_expiry, settings_.stop_grace / 2),
                           [this] { finish_stop(); });
}

void route_entry_process::finish_stop()
{
    // A request that comes this late might not end before the process does.
    call_on_traffic([this] { traffic_->refuse_requests(); });
    stop_timer_ = timers_.call_every(
        stop_poll_interval,
        [this]
        {
            int busy = 0;
            QMetaObject::invokeMethod(
                traffic_context_.get(),
                [this, &busy] { busy = traffic_->busy_connections(); },
                Qt::BlockingQueuedConnection);
            bool const is_overdue = clock_.now() >= stop_deadline_;
            if (busy == 0 || is_overdue)
            {
                entry_log.note("entry.stopped", {{"cut_off", busy}});
                stop_timer_.cancel();
                on_stopped_();
            }
        });
}

void route_entry_process::call_on_control(std::function<void()> call)
{
    QMetaObject::invokeMethod(&control_context_, std::move(call),
                              Qt::QueuedConnection);
}

void route_entry_process::call_on_traffic(std::function<void()> call)
{
    QMetaObject::invokeMethod(traffic_context_.get(), std::move(call),
                              Qt::QueuedConnection);
}

} // namespace verbenacove
