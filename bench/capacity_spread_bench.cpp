#include "capacity_measure.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <utility>

// Usage: capacity_spread_bench
// Trials of what is not built: the relays of a zone by rendezvous hashing, and
// how many rounds of probes it takes until all nodes of a zone have heard of a
// version, when each node probes two others drawn at random and both ends
// learn the higher one.

namespace
{

using namespace verbenacove;

constexpr int relays = 2;
constexpr int epochs = 200;
constexpr int seeds = 200;
constexpr int probes_of_round = 2;
constexpr double lost_share = 0.05;
constexpr int most_rounds = 100;

std::uint64_t hash_of(std::uint64_t node, std::uint64_t epoch)
{
    std::uint64_t value = node * 0x9e3779b97f4a7c15ULL ^ epoch;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/** Returns the nodes with the highest hashes of an epoch. */
std::vector<int> relays_of(std::vector<int> const& nodes, int epoch)
{
    std::vector<std::pair<std::uint64_t, int>> order;
    for (int const node : nodes)
    {
        order.emplace_back(hash_of(std::uint64_t(node), std::uint64_t(epoch)),
                           node);
    }
    std::partial_sort(order.begin(), order.begin() + relays, order.end(),
                      std::greater<>());
    std::vector<int> result;
    for (int i = 0; i < relays; ++i)
    {
        result.push_back(order[std::size_t(i)].second);
    }
    return result;
}

void measure_relays()
{
    std::printf("Trial, not built: %d relays of a zone for an epoch\n"
                "%9s %9s %9s\n",
                relays, "nodes", "us", "disagree");
    bench::line_fit fit;
    for (int const count : {32, 64, 128, 252, 512})
    {
        std::vector<int> nodes;
        for (int i = 0; i < count; ++i)
        {
            nodes.push_back(i);
        }
        // Another node has not yet heard that node 0 is gone.
        std::vector<int> const others(nodes.begin() + 1, nodes.end());
        int disagreements = 0;
        auto const start = bench::thread_cpu_seconds();
        for (int epoch = 0; epoch < epochs; ++epoch)
        {
            disagreements +=
                relays_of(nodes, epoch) == relays_of(others, epoch) ? 0 : 1;
        }
        auto const cost =
            1e6 * (bench::thread_cpu_seconds() - start) / (2 * epochs);
        std::printf("%9d %9.2f %8.1f%%\n", count, cost,
                    100.0 * disagreements / epochs);
        fit.add(count, cost);
    }
    fit.print("time", "us", "node");
}

/** Returns the rounds until all nodes know what one of them knew first. */
int rounds_until_all_know(int count, std::mt19937& random)
{
    std::vector<bool> knows(std::size_t(count), false);
    knows[0] = true;
    std::uniform_int_distribution<int> other(0, count - 1);
    std::bernoulli_distribution is_lost(lost_share);
    for (int round = 1; round <= most_rounds; ++round)
    {
        auto next = knows;
        for (int node = 0; node < count; ++node)
        {
            for (int i = 0; i < probes_of_round; ++i)
            {
                auto const to = std::size_t(other(random));
                auto const from = std::size_t(node);
                bool const is_heard = !is_lost(random);
                bool const is_answered = is_heard && !is_lost(random);
                next[to] = next[to] || (knows[from] && is_heard);
                next[from] = next[from] || (knows[to] && is_answered);
            }
        }
        knows = next;
        if (std::find(knows.begin(), knows.end(), false) == knows.end())
        {
            return round;
        }
    }
    return most_rounds;
}

void measure_spread()
{
    std::printf("Trial, not built: rounds until all nodes have heard of a "
                "version, %.0f%% of datagrams lost, %d seeds\n"
                "%9s %9s %9s\n",
                100 * lost_share, seeds, "nodes", "median", "most");
    bench::line_fit fit;
    for (int const count : {32, 64, 128, 252, 512})
    {
        std::vector<int> rounds;
        for (int seed = 1; seed <= seeds; ++seed)
        {
            std::mt19937 random{std::uint32_t(seed)};
            rounds.push_back(rounds_until_all_know(count, random));
        }
        std::sort(rounds.begin(), rounds.end());
        auto const median = rounds[rounds.size() / 2];
        std::printf("%9d %9d %9d\n", count, median, rounds.back());
        fit.add(std::log2(count), median);
    }
    fit.print("median", "rounds", "doubling of the nodes");
}

} // namespace

int main()
{
    measure_relays();
    measure_spread();
    return 0;
}
