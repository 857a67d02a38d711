// Measures the CPU time of one choice, against the number of upstreams.
#include "verbenacove/request/upstream_chooser.hpp"

#include <algorithm>
#include <cstdio>

using namespace verbenacove;

namespace
{

constexpr int repeats = 5;
constexpr int choices = 20000;

std::vector<upstream_view> upstreams(int count, monotonic_time now)
{
    std::vector<upstream_view> result;
    for (int i = 0; i < count; ++i)
    {
        upstream_view one;
        one.id = upstream_id(QStringLiteral("u%1").arg(i));
        one.region = region_name(QStringLiteral("r%1").arg(i % 3));
        one.zone = zone_name(QStringLiteral("z%1").arg(i % 6));
        one.slots = slot_count(5);
        one.state = upstream_state::serving;
        one.reported_at = now;
        one.first_seen = now - std::chrono::minutes(10);
        result.push_back(std::move(one));
    }
    return result;
}

double microseconds_per_choice(int count)
{
    manual_clock_source clock;
    steady_clock_source stopwatch;
    chooser_settings settings;
    settings.region = region_name(QStringLiteral("r0"));
    settings.zone = zone_name(QStringLiteral("z0"));
    upstream_chooser chooser(settings, clock, 1);
    chooser.update(upstreams(count, clock.now()));
    auto const allow = [](region_name const&)
    {
        return true;
    };
    auto const started = stopwatch.now();
    for (int i = 0; i < choices; ++i)
    {
        auto taken = chooser.choose(request_class::interactive, {}, allow);
        taken->finish(attempt_outcome::answered, std::chrono::milliseconds(20));
    }
    std::chrono::duration<double, std::micro> const took =
        stopwatch.now() - started;
    return took.count() / choices;
}

} // namespace

int main()
{
    std::printf(
        "| upstreams | us for each choice [lowest-highest] |\n|---|---|\n");
    for (int const count : {12, 16, 64, 128, 256})
    {
        std::vector<double> times;
        times.reserve(repeats);
        for (int i = 0; i < repeats; ++i)
        {
            times.push_back(microseconds_per_choice(count));
        }
        std::sort(times.begin(), times.end());
        std::printf("| %d | %.2f [%.2f-%.2f] |\n", count, times.at(repeats / 2),
                    times.front(), times.back());
    }
    return 0;
}
