#include "verbenacove/request/object_placement.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace verbenacove;

namespace
{

constexpr int object_count = 10000;

struct sized_upstream
{
    upstream_id id;
    slot_count slots;
};

using upstream_list = std::vector<sized_upstream>;

double total_size(upstream_list const& upstreams)
{
    double total = 0;
    for (auto const& each : upstreams)
    {
        total += each.slots.value();
    }
    return total;
}

upstream_id chosen(QByteArray const& key, upstream_list const& upstreams)
{
    auto const best = std::max_element(
        upstreams.begin(), upstreams.end(),
        [&key](sized_upstream const& first, sized_upstream const& second)
        {
            return object_placement::rank(key, first.id, first.slots) <
                   object_placement::rank(key, second.id, second.slots);
        });
    return best->id;
}

std::vector<upstream_id> place_all(upstream_list const& upstreams)
{
    std::vector<upstream_id> result;
    for (int object = 0; object < object_count; ++object)
    {
        result.push_back(chosen(QByteArray::number(object), upstreams));
    }
    return result;
}

int count_moves(std::vector<upstream_id> const& before,
                std::vector<upstream_id> const& after)
{
    int moves = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        moves += before[i] != after[i] ? 1 : 0;
    }
    return moves;
}

/** Lists of 3 to 400 upstreams of 1 to 16 slots, drawn from a seed. */
class placement_fixture
{
protected:
    sized_upstream draw_upstream()
    {
        std::uniform_int_distribution<int> slots(1, 16);
        return {
            upstream_id(QStringLiteral("i-%1").arg(quint64{random_()}, 0, 16)),
            slot_count(slots(random_))};
    }

    upstream_list draw_list(int count)
    {
        upstream_list result;
        for (int i = 0; i < count; ++i)
        {
            result.push_back(draw_upstream());
        }
        return result;
    }

    std::size_t draw_position(upstream_list const& upstreams)
    {
        return std::uniform_int_distribution<std::size_t>(0, upstreams.size() -
                                                                 1)(random_);
    }

    // Four standard deviations of the number of objects that prefer a share:
    // some 75 shares are compared.
    static double chance(double share)
    {
        return 4 * std::sqrt(object_count * share * (1 - share));
    }

    std::vector<int> const counts_{3, 8, 24, 112, 400};

private:
    std::mt19937_64 random_{20261207};
};

} // namespace

TEST_CASE_FIXTURE(placement_fixture,
                  "object placement: one upstream joins: moves at most 1.3 "
                  "times its share, and only to it")
{
    for (int const count : counts_)
    {
        CAPTURE(count);
        auto upstreams = draw_list(count);
        auto const before = place_all(upstreams);
        upstreams.push_back(draw_upstream());
        auto const& added = upstreams.back();
        auto const after = place_all(upstreams);
        double const share = added.slots.value() / total_size(upstreams);
        CHECK(count_moves(before, after) <=
              std::max(1.3 * share * object_count,
                       share * object_count + chance(share)));
        for (std::size_t i = 0; i < before.size(); ++i)
        {
            CHECK((before[i] == after[i] || after[i] == added.id));
        }
    }
}

TEST_CASE_FIXTURE(placement_fixture,
                  "object placement: one upstream leaves: moves no objects but "
                  "its own")
{
    for (int const count : counts_)
    {
        CAPTURE(count);
        auto upstreams = draw_list(count);
        auto const before = place_all(upstreams);
        auto const position = draw_position(upstreams);
        auto const removed = upstreams[position].id;
        upstreams.erase(upstreams.begin() +
                        static_cast<std::ptrdiff_t>(position));
        auto const after = place_all(upstreams);
        for (std::size_t i = 0; i < before.size(); ++i)
        {
            CHECK((before[i] == after[i] || before[i] == removed));
        }
    }
}

TEST_CASE_FIXTURE(placement_fixture,
                  "object placement: upstreams are replaced one by one: at "
                  "most two moves of an object on average")
{
    for (int const count : {3, 8, 24})
    {
        CAPTURE(count);
        auto upstreams = draw_list(count);
        auto current = place_all(upstreams);
        int moves = 0;
        for (auto& each : upstreams)
        {
            each.id = draw_upstream().id;
            auto const next = place_all(upstreams);
            moves += count_moves(current, next);
            current = next;
        }
        CHECK(moves <= 2 * object_count);
    }
}

TEST_CASE_FIXTURE(placement_fixture,
                  "object placement: sizes differ: shares follow them within a "
                  "tenth")
{
    for (int const count : counts_)
    {
        CAPTURE(count);
        auto const upstreams = draw_list(count);
        // By size, so that each group has enough objects to be counted.
        std::vector<double> expected(17);
        std::vector<double> counted(17);
        auto const placed = place_all(upstreams);
        for (auto const& each : upstreams)
        {
            auto const size = static_cast<std::size_t>(each.slots.value());
            expected[size] += each.slots.value() / total_size(upstreams);
            counted[size] += static_cast<double>(
                std::count(placed.begin(), placed.end(), each.id));
        }
        for (std::size_t size = 1; size < expected.size(); ++size)
        {
            CAPTURE(size);
            CHECK(std::abs(counted[size] - expected[size] * object_count) <=
                  std::max(0.1 * expected[size] * object_count,
                           chance(expected[size])));
        }
    }
}

TEST_CASE_FIXTURE(placement_fixture,
                  "object placement: two lists that differ by one: agree on "
                  "what neither lacks")
{
    for (int const count : {24, 112, 400})
    {
        CAPTURE(count);
        auto const first = draw_list(count);
        auto second = first;
        second.erase(second.begin() +
                     static_cast<std::ptrdiff_t>(draw_position(first)));
        CHECK(count_moves(place_all(first), place_all(second)) <=
              0.05 * object_count +
                  (count < 100 ? object_count * 16 / total_size(first) : 0));
    }
}
