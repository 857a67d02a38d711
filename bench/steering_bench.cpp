// Measures the steering decisions: the real upstream_chooser and retry_budget
// of twelve entries, driven by a manual clock against queueing upstreams.
#include "steering_world.hpp"

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

using namespace steering;

namespace
{

struct scenario
{
    char const* name;
    double load;
    microseconds from;
    microseconds to;
    void (*prepare)(world&);
};

struct variant
{
    char const* name;
    void (*change)(chooser_settings&);
};

template <class Act>
void each_of_first_zone(world& in, microseconds when, Act act)
{
    in.at(when,
          [&in, act]
          {
              for (std::size_t i = 0; i < upstreams_per_zone; ++i)
              {
                  act(in, i);
              }
          });
}

void lose_and_return(world& in)
{
    each_of_first_zone(in, 10s, [](world& w, std::size_t i) { w.lose(i); });
    each_of_first_zone(in, 25s, [](world& w, std::size_t i) { w.restart(i); });
}

void rolling_restart(world& in)
{
    for (std::size_t i = 0; i < 2 * upstreams_per_zone; ++i)
    {
        auto const when = 10s + int(i) * 7s;
        in.at(when, [&in, i] { in.drain(i); });
        in.at(when + 6s, [&in, i] { in.restart(i); });
    }
}

void hear_nothing(world& in, bool is_only_load)
{
    in.at(10s,
          [&in, is_only_load]
          {
              for (auto& one : in.upstreams)
              {
                  if (is_only_load)
                  {
                      one.stuck_load = one.view.load;
                  }
              }
              for (std::size_t i = 0; i < in.entries.size() / 3; ++i)
              {
                  in.entries[i].hears_news = is_only_load;
              }
          });
}

fake_upstream& first(world& in)
{
    return in.upstreams.front();
}

scenario const scenarios[] = {
    {"steady60", 0.6, 10s, 40s,
     [](world&) {
     }},
    {"steady90", 0.9, 10s, 40s,
     [](world&) {
     }},
    {"slow", 0.6, 10s, 40s,
     [](world& in)
     {
         in.at(10s, [&in] { first(in).slowdown = 10; });
     }},
    {"lying", 0.6, 10s, 40s,
     [](world& in)
     {
         in.at(10s,
               [&in]
               {
                   first(in).slowdown = 10;
                   first(in).stuck_load = 0;
               });
     }},
    {"fails-fast", 0.6, 10s, 40s,
     [](world& in)
     {
         in.at(10s, [&in] { first(in).failing_share = 1; });
     }},
    {"fails-half", 0.6, 10s, 40s,
     [](world& in)
     {
         in.at(10s, [&in] { first(in).failing_share = 0.5; });
     }},
    {"cold-starts", 0.6, 10s, 40s, rolling_restart},
    {"zone-drain", 0.6, 10s, 40s,
     [](world& in)
     {
         each_of_first_zone(in, 10s,
                            [](world& w, std::size_t i) { w.drain(i); });
     }},
    {"zone-loss", 0.6, 10s, 25s, lose_and_return},
    {"zone-return", 0.6, 25s, 40s, lose_and_return},
    {"stuck-load", 0.6, 10s, 40s,
     [](world& in)
     {
         hear_nothing(in, true);
     }},
    {"no-news", 0.6, 10s, 16s,
     [](world& in)
     {
         hear_nothing(in, false);
     }},
    {"hot-region", 0.6, 10s, 40s,
     [](world& in)
     {
         in.first_region_share = 0.6;
     }},
    {"bad-link", 0.6, 10s, 40s,
     [](world& in)
     {
         in.first_region_share = 0.6;
         in.region_way = 100ms;
         in.region_loss = 0.05;
     }},
};

variant const variants[] = {
    {"chosen",
     [](chooser_settings&) {
     }},
    {"random",
     [](chooser_settings& s)
     {
         s.policy = chooser_policy::random;
     }},
    {"round-robin",
     [](chooser_settings& s)
     {
         s.policy = chooser_policy::round_robin;
     }},
    {"least-reported",
     [](chooser_settings& s)
     {
         s.policy = chooser_policy::least_reported_load;
     }},
    {"least-in-flight",
     [](chooser_settings& s)
     {
         s.policy = chooser_policy::least_in_flight;
     }},
    {"-in-flight",
     [](chooser_settings& s)
     {
         s.parts.in_flight = false;
     }},
    {"-latency",
     [](chooser_settings& s)
     {
         s.parts.latency = false;
     }},
    {"-failures",
     [](chooser_settings& s)
     {
         s.parts.failures = false;
     }},
    {"-reported",
     [](chooser_settings& s)
     {
         s.parts.reported_load = false;
     }},
    {"-distance",
     [](chooser_settings& s)
     {
         s.parts.zone_distance = false;
     }},
    {"-ramp",
     [](chooser_settings& s)
     {
         s.parts.ramp = false;
     }},
    {"-ejection",
     [](chooser_settings& s)
     {
         s.parts.ejection = false;
     }},
    {"-comparison",
     [](chooser_settings& s)
     {
         s.parts.region_comparison = false;
     }},
};

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    auto const index = std::size_t(share * double(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + qint64(index),
                     values.end());
    return values[index];
}

constexpr char const* columns[] = {
    "p50 ms",    "p99 ms",  "p99.9 ms", "r0 p99 ms", "ni p99 ms", "fail %",
    "ni fail %", "retry %", "region %", "free %",    "drain ms"};
constexpr std::size_t column_count = std::size(columns);
using row = std::array<double, column_count>;

row row_of(figures run)
{
    auto const percent = 100 / std::max(1.0, run.requests);
    auto& interactive = run.latencies_ms.at(0);
    return {quantile(interactive, 0.5),
            quantile(interactive, 0.99),
            quantile(interactive, 0.999),
            quantile(run.first_region_ms, 0.99),
            quantile(run.latencies_ms.at(1), 0.99),
            run.failures * percent,
            run.non_idempotent_failures * 100 /
                std::max(1.0, run.non_idempotent),
            run.retries * percent,
            run.remote * percent,
            run.smallest_free_share * 100,
            run.drain_ms};
}

void print_row(char const* name, std::vector<row> const& rows)
{
    std::printf("| %-15s |", name);
    for (std::size_t i = 0; i < column_count; ++i)
    {
        std::vector<double> values;
        values.reserve(rows.size());
        for (auto const& one : rows)
        {
            values.push_back(one.at(i));
        }
        std::sort(values.begin(), values.end());
        auto const is_share = columns[i][std::strlen(columns[i]) - 1] == '%';
        auto const digits = is_share ? 2 : 0;
        std::printf(" %.*f [%.*f-%.*f] |", digits, values[values.size() / 2],
                    digits, values.front(), digits, values.back());
    }
    std::printf("\n");
}

struct options
{
    int repeats = 5;
    quint64 seed = 1;
    std::string scenario;
    std::string variant;
};

options parse_options(int argc, char** argv)
{
    option const known[] = {{"repeats", required_argument, nullptr, 'r'},
                            {"seed", required_argument, nullptr, 's'},
                            {"scenario", required_argument, nullptr, 'c'},
                            {"variant", required_argument, nullptr, 'v'},
                            {nullptr, 0, nullptr, 0}};
    options result;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        switch (letter)
        {
        case 'r':
            result.repeats = std::clamp(std::atoi(optarg), 1, 100);
            break;
        case 's':
            result.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'c':
            result.scenario = optarg;
            break;
        case 'v':
            result.variant = optarg;
            break;
        default:
            std::exit(2);
        }
    }
    return result;
}

void run_scenario(scenario const& script, options const& wanted)
{
    std::vector<std::vector<row>> rows(std::size(variants));
    for (int repeat = 0; repeat < wanted.repeats; ++repeat)
    {
        for (std::size_t i = 0; i < std::size(variants); ++i)
        {
            if (!wanted.variant.empty() && wanted.variant != variants[i].name)
            {
                continue;
            }
            chooser_settings settings;
            variants[i].change(settings);
            world run(settings, script.load, wanted.seed + quint64(repeat));
            script.prepare(run);
            rows[i].push_back(row_of(run.run(script.from, script.to)));
        }
    }
    std::printf("\n### %s\n\n| variant |", script.name);
    for (auto const* column : columns)
    {
        std::printf(" %s |", column);
    }
    std::printf("\n|---|");
    for (std::size_t i = 0; i < column_count; ++i)
    {
        std::printf("---|");
    }
    std::printf("\n");
    for (std::size_t i = 0; i < std::size(variants); ++i)
    {
        if (!rows[i].empty())
        {
            print_row(variants[i].name, rows[i]);
        }
    }
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    auto const wanted = parse_options(argc, argv);
    for (auto const& script : scenarios)
    {
        if (wanted.scenario.empty() || wanted.scenario == script.name)
        {
            run_scenario(script, wanted);
        }
    }
    return 0;
}
