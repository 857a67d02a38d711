#include "verbenacove/request/request_history.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

/** The first class covers fewer than this many requests ago; each further class
    covers twice as many as the one before. */
constexpr qint64 shortest_distance = 8;
constexpr double newest_weight = 0.05;

} // namespace

void object_history::note(QByteArray const& key)
{
    if (key.isEmpty())
    {
        return;
    }
    latest_[key] = ++requests_;
    if (latest_.size() > maximum_keys)
    {
        auto const oldest = requests_ - maximum_keys / 2;
        latest_.removeIf([oldest](auto const& item)
                         { return item.value() < oldest; });
    }
}

recency_class object_history::classify(QByteArray const& key) const
{
    auto const found = latest_.constFind(key);
    if (found == latest_.cend())
    {
        return never_handled;
    }
    std::size_t result = 0;
    auto reach = shortest_distance;
    while (requests_ - *found >= reach && result + 2 < recency_class_count)
    {
        reach *= 2;
        ++result;
    }
    return recency_class(result);
}

double service_cost_averages::average_ms(recency_class kind,
                                         double fallback_ms) const
{
    auto const known = average_[kind.value()];
    if (known > 0)
    {
        return known;
    }
    // A class without responses so far uses the next more recent class that has
    // some, and if there is none, the most recent class that has.
    for (auto index = kind.value(); index-- > 0;)
    {
        if (average_[index] > 0)
        {
            return average_[index];
        }
    }
    auto const any = std::find_if(average_.begin(), average_.end(),
                                  [](double each) { return each > 0; });
    return any == average_.end() ? fallback_ms : *any;
}

void service_cost_averages::add(recency_class kind, double duration_ms)
{
    auto& average = average_[kind.value()];
    auto const taken = std::max(1.0, duration_ms);
    mean_ms_ =
        mean_ms_ > 0 ? mean_ms_ + newest_weight * (taken - mean_ms_) : taken;
    average = average > 0 ? average + newest_weight * (taken - average) : taken;
}

void service_cost_averages::add_size(qint64 bytes)
{
    constexpr double kib = 1024;
    average_kib_ +=
        newest_weight * (static_cast<double>(bytes) / kib - average_kib_);
}

} // namespace verbenacove
