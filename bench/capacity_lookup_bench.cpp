#include "capacity_measure.hpp"

#include "verbenacove/request/lookup_ranking.hpp"
#include "verbenacove/request/upstream_chooser.hpp"

#include <algorithm>
#include <cstdint>
#include <random>

// Usage: capacity_lookup_bench
// Prints what the decisions cost on a traffic thread: ranking the entries for
// a look-up and choosing an upstream, against their numbers; and, as a trial
// of a table that is not built yet, finding a client block's zone.

namespace
{

using namespace verbenacove;

constexpr int zones_of_region = 3;
constexpr int zones = 29;

constexpr int repeats = 5;

/** Returns the processor time of one call, in microseconds; the least of some
    repeats, for other processes only add to it. */
template <class Call>
double microseconds_of(int count, Call call)
{
    double least = 0;
    for (int repeat = 0; repeat < repeats; ++repeat)
    {
        auto const start = bench::thread_cpu_seconds();
        for (int i = 0; i < count; ++i)
        {
            call(i);
        }
        auto const spent = 1e6 * (bench::thread_cpu_seconds() - start) / count;
        least = repeat == 0 ? spent : std::min(least, spent);
    }
    return least;
}

entry_view entry(int number, monotonic_time now)
{
    int const zone = number % zones;
    entry_view view;
    view.id = entry_id(QStringLiteral("entry-%1").arg(number));
    view.address = {QHostAddress(0x0a000000U + quint32(number)), 8080};
    view.region =
        region_name(QStringLiteral("region-%1").arg(zone / zones_of_region));
    view.zone = zone_name(QStringLiteral("zone-%1").arg(zone));
    view.headroom = 0.5;
    view.reported_at = now;
    return view;
}

void measure_ranking()
{
    std::printf("Ranking the entries for one look-up\n%9s %9s\n", "entries",
                "us");
    manual_clock_source const clock;
    bench::line_fit fit;
    for (int const count : {12, 100, 250, 500, 1000})
    {
        std::vector<entry_view> entries;
        for (int i = 0; i < count; ++i)
        {
            entries.push_back(entry(i, clock.now()));
        }
        lookup_ranking ranking(clock, 1);
        location const caller{entries[0].region, entries[0].zone};
        std::size_t ranked = 0;
        auto const cost = microseconds_of(
            200000 / count, [&](int)
            { ranked += ranking.rank(caller, entries[0], entries).size(); });
        std::printf("%9d %9.2f%s\n", count, cost, ranked > 0 ? "" : " none");
        fit.add(count, cost);
    }
    fit.print("time", "us", "entry");
}

upstream_view upstream(int number, monotonic_time now)
{
    upstream_view view;
    view.id = upstream_id(QStringLiteral("gradebook-%1").arg(number));
    view.service = service_name(QStringLiteral("gradebook"));
    view.address = {QHostAddress(0x0a000000U + quint32(number)), 8080};
    view.region = region_name(QStringLiteral("region-0"));
    view.zone = zone_name(QStringLiteral("zone-%1").arg(number % 2));
    view.slots = slot_count(6);
    view.connections = 400;
    view.load = 0.3;
    view.reported_at = now;
    view.first_seen = now - milliseconds(60000);
    view.state = upstream_state::serving;
    view.incarnation = incarnation(1);
    return view;
}

void measure_choice()
{
    std::printf("Choosing an upstream for one attempt, and taking in a new "
                "set\n%9s %9s %9s\n",
                "pool", "us", "us/update");
    manual_clock_source const clock;
    bench::line_fit choose_fit;
    bench::line_fit update_fit;
    for (int const count : {4, 16, 64, 128, 256})
    {
        chooser_settings settings;
        settings.region = region_name(QStringLiteral("region-0"));
        settings.zone = zone_name(QStringLiteral("zone-0"));
        upstream_chooser chooser(settings, clock, 1);
        std::vector<upstream_view> upstreams;
        for (int i = 0; i < count; ++i)
        {
            upstreams.push_back(upstream(i, clock.now()));
        }
        chooser.update(upstreams);
        auto const choose = microseconds_of(
            100000 / count,
            [&](int)
            {
                auto choice = chooser.choose(request_class::interactive);
                if (choice)
                {
                    choice->finish(attempt_outcome::answered,
                                   std::chrono::microseconds(900));
                }
            });
        auto const update = microseconds_of(20000 / count, [&](int)
                                            { chooser.update(upstreams); });
        std::printf("%9d %9.2f %9.2f\n", count, choose, update);
        choose_fit.add(count, choose);
        update_fit.add(count, update);
    }
    choose_fit.print("choice", "us", "upstream");
    update_fit.print("update", "us", "upstream");
}

/** A trial: client blocks as sorted first addresses, and a zone for each. */
class block_table
{
public:
    explicit block_table(int count)
    {
        std::mt19937 random(1);
        for (int i = 0; i < count; ++i)
        {
            first_.push_back(random());
        }
        std::sort(first_.begin(), first_.end());
        for (int i = 0; i < count; ++i)
        {
            zone_.push_back(std::uint8_t(random() % zones));
        }
    }

    std::uint8_t zone_of(std::uint32_t address) const
    {
        auto const next =
            std::upper_bound(first_.begin(), first_.end(), address);
        return next == first_.begin()
                   ? std::uint8_t(0)
                   : zone_[std::size_t(next - first_.begin()) - 1];
    }

    double megabytes() const
    {
        return 1e-6 * double(first_.size() * sizeof(std::uint32_t) +
                             zone_.size() * sizeof(std::uint8_t));
    }

private:
    std::vector<std::uint32_t> first_;
    std::vector<std::uint8_t> zone_;
};

void measure_blocks()
{
    std::printf("Trial, not built: a client block's zone by binary search\n"
                "%9s %9s %9s %9s\n",
                "blocks", "MB", "us", "ms/copy");
    bench::line_fit memory;
    bench::line_fit time;
    for (int const count : {100000, 250000, 500000, 790000})
    {
        block_table const table(count);
        std::mt19937 random(2);
        unsigned sum = 0;
        auto const cost = microseconds_of(1000000, [&](int)
                                          { sum += table.zone_of(random()); });
        auto const copy =
            microseconds_of(20,
                            [&](int)
                            {
                                // As at a change: a new table, made of the old
                                // one.
                                std::vector<block_table> const next(1, table);
                                sum += next.front().zone_of(random());
                            });
        std::printf("%9d %9.2f %9.3f %9.2f%s\n", count, table.megabytes(), cost,
                    copy / 1000, sum > 0 ? "" : " none");
        memory.add(count, table.megabytes());
        time.add(std::log2(count), cost);
    }
    memory.print("memory", "MB", "block");
    time.print("look-up", "us", "doubling of the blocks");
}

} // namespace

int main()
{
    measure_ranking();
    measure_choice();
    measure_blocks();
    return 0;
}
