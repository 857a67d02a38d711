#include "verbenacove/request/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

namespace
{

constexpr milliseconds shortest_window{10};

} // namespace

retry_budget::retry_budget(retry_budget_settings settings,
                           clock_source const& clock)
    : settings_(settings)
    , clock_(clock)
    , bucket_length_(std::max(settings.window, shortest_window) /
                     qint64(bucket_count))
{
    latest_ = clock_.now().time_since_epoch() / bucket_length_;
}

void retry_budget::count_request()
{
    ++current().requests;
}

bool retry_budget::take_retry()
{
    if (retries_left() < 1)
    {
        return false;
    }
    ++current().retries;
    return true;
}

int retry_budget::retries_left()
{
    current();
    bucket sum;
    for (auto const& one : buckets_)
    {
        sum.requests += one.requests;
        sum.retries += one.retries;
    }
    auto const earned =
        qint64(std::floor(settings_.retry_share * double(sum.requests)));
    auto const allowed = std::max<qint64>(settings_.retry_floor, earned);
    return int(std::max<qint64>(0, allowed - sum.retries));
}

retry_budget::bucket& retry_budget::current()
{
    auto const index = clock_.now().time_since_epoch() / bucket_length_;
    auto const passed = std::min<qint64>(index - latest_, bucket_count);
    for (qint64 i = 1; i <= passed; ++i)
    {
        buckets_.at(std::size_t(latest_ + i) % bucket_count) = {};
    }
    // After a long pause every bucket was cleared; the index just jumps.
    latest_ = index;
    return buckets_.at(std::size_t(latest_) % bucket_count);
}

} // namespace verbenacove
