#ifndef VERBENACOVE_BENCH_STEERING_WORLD_HPP
#define VERBENACOVE_BENCH_STEERING_WORLD_HPP

#include "steering_fakes.hpp"

#include <cmath>
#include <map>

namespace steering
{

/** One run: twelve entries and twelve upstreams of one service in three
    regions of two zones, and events in the order of their times. */
class world
{
public:
    world(chooser_settings const& settings, double load, quint64 seed)
        : load_(load)
        , random_(seed)
    {
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            add_upstream(i);
        }
        for (std::size_t i = 0; i < entry_count; ++i)
        {
            add_entry(i, settings, seed * entry_count + i);
        }
        at(0us, [this] { arrive(); });
    }

    void at(microseconds when, std::function<void()> act)
    {
        events_.emplace(std::max(when, now_), std::move(act));
    }

    figures run(microseconds from, microseconds to)
    {
        from_ = from;
        to_ = to;
        at(from, [this] { sample_headroom(); });
        while (events_.begin()->first < to + 2 * attempt_timeout)
        {
            auto const next = events_.extract(events_.begin());
            clock_.advance(next.key() - now_);
            now_ = next.key();
            next.mapped()();
        }
        return std::move(figures_);
    }

    /** Sends what an upstream says of itself to every entry. */
    void announce(std::size_t number)
    {
        auto& one = upstreams[number];
        if (one.is_lost)
        {
            return;
        }
        one.view.reported_at = clock_.now();
        for (auto& entry : entries)
        {
            at(now_ + announce_lag + way(one.zone, entry.zone),
               [this, &entry, number, view = one.view]
               { hear(entry, entry.views[number], view); });
        }
    }

    void set_state(std::size_t number, upstream_state state)
    {
        upstreams[number].view.state = state;
        announce(number);
    }

    void lose(std::size_t number)
    {
        auto& one = upstreams[number];
        count_busy(one);
        one.is_lost = true;
        one.busy = 0;
        one.waiting.clear();
    }

    /** Starts a new incarnation with a cold cache. */
    void restart(std::size_t number)
    {
        lose(number);
        auto& one = upstreams[number];
        one.is_lost = false;
        one.refuses = false;
        one.served = 0;
        one.view.incarnation = incarnation(one.view.incarnation.value() + 1);
        set_state(number, upstream_state::serving);
    }

    /** Announces that an upstream leaves; it refuses work 5 s later. */
    void drain(std::size_t number)
    {
        set_state(number, upstream_state::draining);
        drain_started_ = now_;
        at(now_ + 5s, [this, number] { upstreams[number].refuses = true; });
    }

    std::vector<fake_upstream> upstreams;
    std::vector<fake_entry> entries;
    microseconds region_way = 35ms;
    double region_loss = 0;
    double first_region_share = 1.0 / double(region_count);

private:
    void add_upstream(std::size_t number)
    {
        fake_upstream one;
        one.zone = number / upstreams_per_zone;
        one.view.id = upstream_id(numbered("u", number));
        one.view.region = region_at(one.zone);
        one.view.zone = zone_at(one.zone);
        one.view.slots = slot_count(slots_each);
        one.view.state = upstream_state::serving;
        one.view.first_seen = clock_.now() - 10min;
        one.view.reported_at = clock_.now();
        upstreams.push_back(std::move(one));
        at(microseconds(int(uniform() * double(announce_interval.count()))),
           [this, number] { report(number); });
    }

    void add_entry(std::size_t number, chooser_settings settings, quint64 seed)
    {
        fake_entry one;
        one.zone = number / entries_per_zone;
        settings.region = region_at(one.zone);
        settings.zone = zone_at(one.zone);
        one.chooser =
            std::make_unique<upstream_chooser>(settings, clock_, seed);
        one.budget =
            std::make_unique<retry_budget>(retry_budget_settings(), clock_);
        for (auto const& upstream : upstreams)
        {
            one.views.push_back(upstream.view);
        }
        one.chooser->update(one.views);
        entries.push_back(std::move(one));
    }

    double uniform() { return std::uniform_real_distribution<>()(random_); }

    bool is_measured(microseconds when) const
    {
        return when >= from_ && when < to_;
    }

    microseconds way(std::size_t from_zone, std::size_t to_zone)
    {
        auto const jitter = 1 + 0.2 * uniform();
        if (from_zone / 2 == to_zone / 2)
        {
            auto const way_us = from_zone == to_zone ? 500 : 4000;
            return microseconds(int(way_us * jitter));
        }
        auto const resend = uniform() < region_loss ? 200ms : 0ms;
        return microseconds(int(double(region_way.count()) * jitter)) + resend;
    }

    void count_busy(fake_upstream& one)
    {
        one.busy_us += one.busy * double((now_ - one.last_change).count());
        one.last_change = now_;
    }

    // The load reported is the average since the report before.
    void report(std::size_t number)
    {
        at(now_ + announce_interval, [this, number] { report(number); });
        auto& one = upstreams[number];
        count_busy(one);
        auto const busy = (one.busy_us - one.busy_us_reported) /
                          double(announce_interval.count());
        one.busy_us_reported = one.busy_us;
        one.view.load = one.stuck_load.value_or(busy / slots_each);
        announce(number);
    }

    void hear(fake_entry& entry, upstream_view& known,
              upstream_view const& said)
    {
        if (!entry.hears_news || said.reported_at < known.reported_at)
        {
            return;
        }
        auto const is_new = said.incarnation != known.incarnation;
        auto const first_seen = is_new ? clock_.now() : known.first_seen;
        known = said;
        known.first_seen = first_seen;
        entry.chooser->update(entry.views);
    }

    std::size_t draw_entry()
    {
        constexpr auto in_region = entry_count / region_count;
        auto const is_first = uniform() < first_region_share;
        auto const drawn =
            std::size_t(uniform() * double(entry_count - in_region));
        auto const entry = is_first ? drawn % in_region : in_region + drawn;
        // Callers of a lost zone turn to the other zone of the region.
        auto const zone = entry / entries_per_zone;
        return upstreams[zone * upstreams_per_zone].is_lost
                   ? entry ^ entries_per_zone
                   : entry;
    }

    void arrive()
    {
        constexpr double mean_us = 1000 * (bulk_share * bulk_service_ms +
                                           (1 - bulk_share) * service_ms);
        std::exponential_distribution<> gap(load_ * upstream_count *
                                            slots_each / mean_us);
        at(now_ + microseconds(1 + int(gap(random_))), [this] { arrive(); });
        auto const kind = uniform();
        auto const one = std::make_shared<attempt>();
        one->kind = kind < interactive_share ? request_class::interactive
                    : kind < 1 - bulk_share  ? request_class::non_idempotent
                                             : request_class::batch;
        one->arrived = now_;
        one->entry = draw_entry();
        entries[one->entry].budget->count_request();
        figures_.requests += is_measured(now_);
        figures_.non_idempotent +=
            is_measured(now_) && one->kind == request_class::non_idempotent;
        send(one);
    }

    void send(attempt_pointer const& one)
    {
        auto& entry = entries[one->entry];
        auto const permit = [&entry](region_name const& region)
        {
            auto const number = region.value().mid(1).toUInt();
            return entry.remote_in_flight.at(number) < remote_in_flight_cap;
        };
        one->taken = entry.chooser->choose(one->kind, one->tried, permit);
        if (!one->taken)
        {
            count_failure(*one);
            return;
        }
        one->sent = now_;
        one->tried.push_back(one->taken->upstream().id);
        one->upstream = one->tried.back().value().mid(1).toUInt();
        auto const zone = upstreams[one->upstream].zone;
        if (one->taken->is_in_other_region())
        {
            ++entry.remote_in_flight.at(zone / 2);
            figures_.remote += is_measured(one->arrived);
        }
        at(now_ + way(entry.zone, zone), [this, one] { receive(one); });
        at(now_ + attempt_timeout,
           [this, one] { end(one, attempt_outcome::failed, false); });
    }

    void receive(attempt_pointer const& one)
    {
        auto& upstream = upstreams[one->upstream];
        if (upstream.is_lost)
        {
            at(one->sent + connect_timeout,
               [this, one] { end(one, attempt_outcome::failed, true); });
        }
        else if (upstream.refuses || upstream.waiting.size() >= queue_bound)
        {
            respond(one, attempt_outcome::refused);
        }
        else if (uniform() < upstream.failing_share)
        {
            respond(one, attempt_outcome::failed);
        }
        else if (upstream.busy < slots_each)
        {
            serve(upstream, one);
        }
        else
        {
            upstream.waiting.push_back(one);
        }
    }

    void serve(fake_upstream& upstream, attempt_pointer const& one)
    {
        count_busy(upstream);
        ++upstream.busy;
        auto const mean_ms =
            one->kind == request_class::batch ? bulk_service_ms : service_ms;
        std::lognormal_distribution<> draw(
            std::log(mean_ms) - service_sigma * service_sigma / 2,
            service_sigma);
        auto const cold =
            1 + cold_slowdown * std::exp(-upstream.served / cold_requests);
        upstream.served += 1;
        auto const span_ms = draw(random_) * upstream.slowdown * cold;
        at(now_ + microseconds(int(span_ms * 1000)),
           [this, one, &upstream, run = upstream.view.incarnation]
           {
               if (!upstream.is_lost && upstream.view.incarnation == run)
               {
                   complete(upstream, one);
               }
           });
    }

    // An attempt that its entry gave up is run to its end all the same.
    void complete(fake_upstream& upstream, attempt_pointer const& one)
    {
        count_busy(upstream);
        --upstream.busy;
        if (upstream.view.state == upstream_state::draining)
        {
            figures_.drain_ms = double((now_ - drain_started_).count()) / 1000;
        }
        respond(one, attempt_outcome::answered);
        if (!upstream.waiting.empty())
        {
            auto const next = std::move(upstream.waiting.front());
            upstream.waiting.pop_front();
            serve(upstream, next);
        }
    }

    void respond(attempt_pointer const& one, attempt_outcome outcome)
    {
        auto const back =
            way(upstreams[one->upstream].zone, entries[one->entry].zone);
        auto const is_not_run = outcome == attempt_outcome::refused;
        at(now_ + back,
           [this, one, outcome, is_not_run] { end(one, outcome, is_not_run); });
    }

    void end(attempt_pointer const& one, attempt_outcome outcome,
             bool is_not_run)
    {
        if (!one->taken)
        {
            return;
        }
        auto& entry = entries[one->entry];
        if (one->taken->is_in_other_region())
        {
            --entry.remote_in_flight.at(upstreams[one->upstream].zone / 2);
        }
        one->taken->finish(outcome, now_ - one->sent);
        one->taken.reset();
        if (outcome == attempt_outcome::answered)
        {
            count_answer(*one);
            return;
        }
        auto const is_safe =
            is_not_run || one->kind != request_class::non_idempotent;
        auto const is_last = one->tried.size() >= largest_attempts;
        if (!is_safe || is_last || !entry.budget->take_retry())
        {
            count_failure(*one);
            return;
        }
        figures_.retries += is_measured(one->arrived);
        auto const again = std::make_shared<attempt>();
        again->kind = one->kind;
        again->arrived = one->arrived;
        again->entry = one->entry;
        again->tried = one->tried;
        send(again);
    }

    void count_answer(attempt const& one)
    {
        if (!is_measured(one.arrived))
        {
            return;
        }
        auto const took_ms = double((now_ - one.arrived).count()) / 1000;
        figures_.latencies_ms.at(std::size_t(one.kind)).push_back(took_ms);
        auto const is_first = one.entry < entry_count / region_count;
        if (is_first && one.kind == request_class::interactive)
        {
            figures_.first_region_ms.push_back(took_ms);
        }
    }

    void count_failure(attempt const& one)
    {
        auto const is_non_idempotent =
            one.kind == request_class::non_idempotent;
        figures_.failures += is_measured(one.arrived);
        figures_.non_idempotent_failures +=
            is_measured(one.arrived) && is_non_idempotent;
    }

    // The smallest share of free slots of any region, averaged over a second.
    void sample_headroom()
    {
        std::array<double, region_count> busy{};
        std::array<double, region_count> slots{};
        for (auto& one : upstreams)
        {
            count_busy(one);
            auto const busy_us = one.busy_us - one.busy_us_sampled;
            one.busy_us_sampled = one.busy_us;
            auto const is_in_use =
                !one.is_lost && one.view.state == upstream_state::serving;
            busy.at(one.zone / 2) += busy_us / 1e6;
            slots.at(one.zone / 2) += is_in_use || busy_us > 0 ? slots_each : 0;
        }
        for (std::size_t i = 0; i < region_count && now_ > from_; ++i)
        {
            auto const free =
                slots.at(i) > 0 ? 1 - busy.at(i) / slots.at(i) : 0;
            figures_.smallest_free_share =
                std::min(figures_.smallest_free_share, free);
        }
        if (now_ < to_)
        {
            at(now_ + 1s, [this] { sample_headroom(); });
        }
    }

    double load_;
    std::mt19937_64 random_;
    manual_clock_source clock_;
    microseconds now_{0};
    microseconds from_{0};
    microseconds to_{0};
    microseconds drain_started_{0};
    std::multimap<microseconds, std::function<void()>> events_;
    figures figures_;
};

} // namespace steering

#endif
