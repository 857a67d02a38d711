#include "verbenacove/request/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

namespace
{

constexpr milliseconds minimum_window{10};

} // namespace

retry_budget::retry_budget(retry_budget_settings settings,
                           clock_source const& clock)
    : settings_(settings)
    , clock_(clock)
    , bucket_length_(std::max(settings.window, minimum_window) /
                     qint64(bucket_count))
{
    current_index_ = clock_.now().time_since_epoch() / bucket_length_;
}

void retry_budget::count_request()
{
    ++current_bucket().requests;
}

bool retry_budget::take_retry()
{
    if (retries_left() < 1)
    {
        return false;
    }
    ++current_bucket().retries;
    return true;
}

int retry_budget::retries_left()
{
    // Clears the buckets that have left the window.
    current_bucket();
    bucket sum;
    for (auto const& one : buckets_)
    {
        sum.requests += one.requests;
        sum.retries += one.retries;
    }
    auto const proportional =
        qint64(std::floor(settings_.retry_share * double(sum.requests)));
    auto const allowed =
        std::max<qint64>(settings_.minimum_retries, proportional);
    return int(std::max<qint64>(0, allowed - sum.retries));
}

retry_budget::bucket& retry_budget::current_bucket()
{
    auto const index = clock_.now().time_since_epoch() / bucket_length_;
    auto const steps = std::min<qint64>(index - current_index_, bucket_count);
    for (qint64 i = 1; i <= steps; ++i)
    {
        buckets_.at(std::size_t(current_index_ + i) % bucket_count) = {};
    }
    // After a pause longer than the window all buckets have been cleared, and
    // the index skips the steps in between.
    current_index_ = index;
    return buckets_.at(std::size_t(current_index_) % bucket_count);
}

} // namespace verbenacove
