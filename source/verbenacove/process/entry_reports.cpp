#include "verbenacove/process/entry_reports.hpp"

#include "verbenacove/core/cbor.hpp"

#include <utility>

namespace verbenacove
{

namespace
{

constexpr qsizetype reports_per_part = 500;

QLatin1String state_word(upstream_state state)
{
    switch (state)
    {
    case upstream_state::starting:
        return QLatin1String("starting");
    case upstream_state::serving:
        return QLatin1String("serving");
    case upstream_state::draining:
        break;
    }
    return QLatin1String("draining");
}

} // namespace

entry_reports::entry_reports(clock_source const& clock)
    : clock_(clock)
    , upstreams_(clock)
{
}

void entry_reports::take(QCborMap const& report)
{
    auto const name = cbor_text(report, "entry");
    bool const is_full =
        entries_.size() >= maximum_entries && entries_.count(name) == 0;
    if (name.isEmpty() || is_full)
    {
        return;
    }
    auto& entry = entries_[name];
    entry.heard = clock_.now();
    entry.is_fresh = true;
    for (auto const& [key, value] : report)
    {
        entry.latest[key] = value;
    }
    for (auto const& value : cbor_array(report, "ups"))
    {
        if (auto const news = parse_upstream_news(value.toMap(), clock_.now()))
        {
            upstreams_.merge(*news);
        }
    }
}

void entry_reports::forget_old()
{
    std::erase_if(entries_, [now = clock_.now()](auto const& item)
                  { return elapsed(item.second.heard, now) > forget_after; });
    upstreams_.forget_old();
}

std::vector<QCborArray> entry_reports::fresh_parts()
{
    std::vector<QCborArray> parts;
    for (auto& [name, entry] : entries_)
    {
        if (!std::exchange(entry.is_fresh, false))
        {
            continue;
        }
        if (parts.empty() || parts.back().size() >= reports_per_part)
        {
            parts.emplace_back();
        }
        parts.back().append(entry.latest);
    }
    return parts;
}

QCborArray entry_reports::entries() const
{
    QCborArray result;
    for (auto const& [name, entry] : entries_)
    {
        auto const age = elapsed(entry.heard, clock_.now());
        result.append(QCborMap{
            {QLatin1String("entry"), name},
            {QLatin1String("address"), cbor_text(entry.latest, "address")},
            {QLatin1String("zone"), cbor_text(entry.latest, "zone")},
            {QLatin1String("serving"), cbor_flag(entry.latest, "serving")},
            {QLatin1String("config_version"),
             cbor_number(entry.latest, "config_version")},
            {QLatin1String("age_ms"), qint64(age.count())}});
    }
    return result;
}

QCborArray entry_reports::upstreams() const
{
    QCborArray result;
    for (auto const& [service, upstreams] :
         upstreams_.by_service().asKeyValueRange())
    {
        for (auto const& upstream : upstreams)
        {
            auto const age = elapsed(upstream.reported_at, clock_.now());
            result.append(
                QCborMap{{QLatin1String("upstream"), upstream.id.value()},
                         {QLatin1String("service"), service.value()},
                         {QLatin1String("zone"), upstream.zone.value()},
                         {QLatin1String("address"), upstream.address.text()},
                         {QLatin1String("state"), state_word(upstream.state)},
                         {QLatin1String("slots"), upstream.slots.value()},
                         {QLatin1String("load"), upstream.load},
                         {QLatin1String("age_ms"), qint64(age.count())}});
        }
    }
    return result;
}

} // namespace verbenacove
