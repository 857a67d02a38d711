#include "verbenacove/request/request_history.hpp"

#include "verbenacove/core/stable_hash.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

/** The first class covers fewer than this many requests ago; each further class
    covers twice as many as the one before. */
constexpr qint64 first_class_limit = 8;
/** The weight of the newest value in the moving averages. */
constexpr double newest_weight = 0.05;

// Two objects with one digest only make an estimate less exact.
quint64 digest_of(QByteArray const& key)
{
    return stable_hash(key, {});
}

} // namespace

void object_history::record(QByteArray const& key)
{
    if (key.isEmpty())
    {
        return;
    }
    latest_[digest_of(key)] = ++requests_;
    if (latest_.size() > maximum_keys)
    {
        auto const oldest = requests_ - maximum_keys / 2;
        latest_.removeIf([oldest](auto const& item)
                         { return item.value() < oldest; });
    }
}

recency_class object_history::classify(QByteArray const& key) const
{
    auto const found = latest_.constFind(digest_of(key));
    if (found == latest_.cend())
    {
        return never_handled;
    }
    std::size_t result = 0;
    auto limit = first_class_limit;
    while (requests_ - *found >= limit && result + 2 < recency_class_count)
    {
        limit *= 2;
        ++result;
    }
    return recency_class(result);
}

double service_cost_averages::average_ms(recency_class recency,
                                         double fallback_ms) const
{
    auto const class_average = averages_[recency.value()];
    if (class_average > 0)
    {
        return class_average;
    }
    // A class without responses so far uses the next more recent class that has
    // some, and if there is none, the most recent class that has.
    for (auto index = recency.value(); index-- > 0;)
    {
        if (averages_[index] > 0)
        {
            return averages_[index];
        }
    }
    auto const any = std::find_if(averages_.begin(), averages_.end(),
                                  [](double each) { return each > 0; });
    return any == averages_.end() ? fallback_ms : *any;
}

void service_cost_averages::record_duration(recency_class recency,
                                            double duration_ms)
{
    auto& average = averages_[recency.value()];
    auto const bounded_ms = std::max(1.0, duration_ms);
    mean_ms_ = mean_ms_ > 0 ? mean_ms_ + newest_weight * (bounded_ms - mean_ms_)
                            : bounded_ms;
    average = average > 0 ? average + newest_weight * (bounded_ms - average)
                          : bounded_ms;
}

void service_cost_averages::record_size(qint64 bytes)
{
    constexpr double kib = 1024;
    average_kib_ +=
        newest_weight * (static_cast<double>(bytes) / kib - average_kib_);
}

} // namespace verbenacove
