// Measures the CPU time of ranking upstreams for an object by size, beside
// that of a rank that ignores sizes.
#include "verbenacove/core/stable_hash.hpp"
#include "verbenacove/request/object_placement.hpp"

#include <cmath>
#include <cstdio>
#include <ctime>
#include <vector>

using namespace verbenacove;

namespace
{

constexpr int objects = 20000;
constexpr int repeats = 5;

double unsized_rank(QByteArray const& key, upstream_id const& id, slot_count)
{
    constexpr double range = 18446744073709551616.0;
    auto const hash = stable_hash(key, id.value().toUtf8());
    double const uniform = (static_cast<double>(hash) + 1) / (range + 2);
    return -std::log(-std::log(uniform));
}

template <class Rank>
double nanoseconds_per_rank(int count, Rank rank)
{
    std::vector<upstream_id> ids;
    for (int i = 0; i < count; ++i)
    {
        ids.emplace_back(QStringLiteral("i-%1").arg(i));
    }
    double sum = 0;
    auto const started = std::clock();
    for (int object = 0; object < objects; ++object)
    {
        auto const key = QByteArray::number(object);
        for (int i = 0; i < count; ++i)
        {
            sum += rank(key, ids[static_cast<std::size_t>(i)],
                        slot_count(1 + i % 16));
        }
    }
    double const took =
        1e9 * static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
    // Keeps the sum from being optimised away.
    return took / objects / count + (sum == 0.5 ? 1 : 0);
}

} // namespace

int main()
{
    std::puts("upstreams  unsized ns  sized ns");
    for (int repeat = 0; repeat < repeats; ++repeat)
    {
        for (int const count : {24, 112})
        {
            std::printf("%9d  %10.1f  %8.1f\n", count,
                        nanoseconds_per_rank(count, unsized_rank),
                        nanoseconds_per_rank(count, object_placement::rank));
        }
    }
}
