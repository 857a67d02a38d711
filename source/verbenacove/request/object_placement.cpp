#include "verbenacove/request/object_placement.hpp"

#include "verbenacove/core/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace verbenacove
{

double object_placement::random_rank(quint64 number, slot_count size)
{
    constexpr double range = 18446744073709551616.0;
    double const uniform = (static_cast<double>(number) + 1) / (range + 2);
    // The noise plus the logarithm of the size, by one logarithm less.
    return -std::log(-std::log(uniform) / std::max(1, size.value()));
}

double object_placement::rank(QByteArray const& key, upstream_id const& id,
                              slot_count size)
{
    return random_rank(stable_hash(key, id.value().toUtf8()), size);
}

} // namespace verbenacove
