#include "verbenacove/request/work_memory.hpp"

#include <algorithm>

namespace verbenacove
{

namespace
{

/** An object is recent among so many requests of the upstream. */
constexpr qint64 recent_requests = 48;
constexpr double newest_weight = 0.05;
constexpr double default_ms = 300;

std::size_t index_of(work_class kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

void upstream_work_memory::note(QByteArray const& key)
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

work_class upstream_work_memory::classify(QByteArray const& key) const
{
    auto const found = latest_.constFind(key);
    if (found == latest_.cend())
    {
        return work_class::unseen;
    }
    return requests_ - *found <= recent_requests ? work_class::recent
                                                 : work_class::earlier;
}

double service_work::average_ms(work_class kind) const
{
    auto const known = average_[index_of(kind)];
    if (known > 0)
    {
        return known;
    }
    auto const any = *std::max_element(average_.begin(), average_.end());
    return any > 0 ? any : default_ms;
}

void service_work::add(work_class kind, double duration_ms)
{
    auto& average = average_[index_of(kind)];
    auto const taken = std::max(1.0, duration_ms);
    average = average > 0 ? average + newest_weight * (taken - average) : taken;
}

} // namespace verbenacove
