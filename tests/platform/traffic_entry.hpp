#ifndef VERBENACOVE_TESTS_PLATFORM_TRAFFIC_ENTRY_HPP
#define VERBENACOVE_TESTS_PLATFORM_TRAFFIC_ENTRY_HPP

#include "platform/platform_upstream.hpp"
#include "platform_dialect.hpp"

#include "verbenacove/process/routing/route_traffic.hpp"

#include <doctest/doctest.h>

#include <QThread>
#include <QTimer>

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace verbenacove::support
{

/** The part of an entry that serves callers, on a thread of its own. */
class traffic_entry
{
public:
    /** @param revocation  that of its settings, if any */
    explicit traffic_entry(
        char const* name, std::optional<milliseconds> revocation = std::nullopt)
        : name_(entry_id(QString::fromLatin1(name)))
        , address_(local(free_port()))
    {
        thread_.start();
        context_.moveToThread(&thread_);
        run(
            [this, revocation]
            {
                route_entry_settings settings;
                settings.revocation = revocation;
                settings.name = name_;
                settings.callers = address_;
                settings.readiness = local(free_port());
                traffic_ = std::make_unique<route_traffic>(
                    settings, dialect_,
                    route_traffic::listener{[](quarantine_update const&) {},
                                            [](rate_limit_report const&) {},
                                            [this](bool is_cut_off)
                                            {
                                                is_cut_off_ = is_cut_off;
                                            }});
                REQUIRE(traffic_->start().isEmpty());
            });
    }

    ~traffic_entry()
    {
        run(
            [this]
            {
                slow_.reset();
                traffic_.reset();
            });
        thread_.quit();
        thread_.wait();
    }

    traffic_entry(traffic_entry const&) = delete;
    traffic_entry& operator=(traffic_entry const&) = delete;

    /** Replaces the upstreams and the entries that it may relay to. */
    void update(std::vector<socket_address> const& upstreams,
                std::vector<traffic_entry const*> const& relays,
                qint64 routes_version = 3)
    {
        std::vector<entry_view> views;
        for (auto const* relay : relays)
        {
            views.push_back(relay->view());
        }
        update_views(upstreams, std::move(views), routes_version);
    }

    void update_views(std::vector<socket_address> const& upstreams,
                      std::vector<entry_view> relays, qint64 routes_version = 3)
    {
        use(configuration(routes_version), upstreams, std::move(relays));
    }

    /** Puts a configuration into force. */
    void use(route_configuration_ptr routes,
             std::vector<socket_address> const& upstreams,
             std::vector<entry_view> relays)
    {
        auto view = std::make_shared<routing_view>();
        view->routes_revision = routes->version.value();
        view->routes = std::move(routes);
        view->is_ready = true;
        auto& members = view->members[service_name(QStringLiteral("grades"))];
        for (auto const& address : upstreams)
        {
            pool_member member;
            member.id = upstream_id(
                QStringLiteral("i-%1").arg(qint64(members.size()) + 1));
            member.started = incarnation(1);
            member.address = address;
            member.slots = slot_count(4);
            member.health_path = QStringLiteral("/health");
            member.region = region_;
            members.push_back(member);
        }
        view->relays = std::move(relays);
        run([this, &view] { traffic_->update(view); });
    }

    /** @param headers  further lines */
    http_answer call(QByteArray const& id, QByteArray const& method = "GET",
                     QList<QByteArray> const& headers = {})
    {
        return call_http({address_, method,
                          method == "POST" ? "/bales/7" : "/grades/7",
                          QList<QByteArray>{"Host: g.example",
                                            "Verbenacove-Request-Id: " + id,
                                            "Verbenacove-Deadline-Ms: 2500"} +
                              headers,
                          method == "POST" ? "bale of " + id : QByteArray()});
    }

    /** Returns how other entries see it. */
    entry_view view() const
    {
        entry_view result;
        result.id = name_;
        result.address = address_;
        return result;
    }

    /** Sets the region of the upstreams that it is told of from now on. */
    void set_upstream_region(char const* region)
    {
        region_ = region_name(QString::fromLatin1(region));
    }

    /** Confirms its keys as of some time ago. */
    void confirm_keys(milliseconds age, qint64 revision)
    {
        run(
            [this, age, revision] {
                traffic_->confirm_keys({boot_clock::now() - age, revision});
            });
    }

    void refuse_requests()
    {
        run([this] { traffic_->refuse_requests(); });
    }

    bool is_cut_off() const { return is_cut_off_; }

    socket_address const& address() const { return address_; }

    /** Lets its event loop pause for so long in each round, as a process does
        that uses up its share of the processor. */
    void slow_down(milliseconds pause)
    {
        run(
            [this, pause]
            {
                slow_ = std::make_unique<QTimer>();
                QObject::connect(slow_.get(), &QTimer::timeout, &context_,
                                 [pause]
                                 { std::this_thread::sleep_for(pause); });
                slow_->start(0);
            });
    }

    /** Keeps its thread busy for a while; returns once that has begun. */
    void stall(milliseconds time)
    {
        auto const began = std::make_shared<std::promise<void>>();
        QMetaObject::invokeMethod(
            &context_,
            [began, time]
            {
                began->set_value();
                std::this_thread::sleep_for(time);
            },
            Qt::QueuedConnection);
        began->get_future().wait();
    }

    /** Returns a configuration with an idempotent route and another one. */
    static std::shared_ptr<route_configuration> configuration(qint64 version)
    {
        auto result = std::make_shared<route_configuration>();
        result->version = route_version(version);
        service_name const service(QStringLiteral("grades"));
        result->services[service.value()].name = service;
        for (bool const is_idempotent : {true, false})
        {
            route_record route;
            route.name = QString::number(is_idempotent ? 1 : 0);
            route.host = QStringLiteral("g.example");
            route.path_prefix = is_idempotent ? QStringLiteral("/grades/")
                                              : QStringLiteral("/bales/");
            route.is_idempotent = is_idempotent;
            route.maximum_attempts = 2;
            route.split = {{service, 1}};
            result->routes[route.name] = route;
        }
        return result;
    }

private:
    template <class Function>
    void run(Function function)
    {
        QMetaObject::invokeMethod(&context_, function,
                                  Qt::BlockingQueuedConnection);
    }

    entry_id name_;
    socket_address address_;
    region_name region_;
    platform::platform_dialect dialect_;
    std::atomic<bool> is_cut_off_ = false;
    QThread thread_;
    QObject context_;
    std::unique_ptr<QTimer> slow_;
    std::unique_ptr<route_traffic> traffic_;
};

} // namespace verbenacove::support

#endif
