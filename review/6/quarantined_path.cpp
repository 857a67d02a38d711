// The backends of one zone go down together while both run the same lookup.

#include "../support-2/lab.hpp"

namespace
{

using namespace lab;

constexpr milliseconds outage{4500};
/** `ColdStart` of the configuration. */
constexpr milliseconds cold_start{3000};
constexpr milliseconds round_interval{2000};
constexpr int clients_of_zone = 4;

struct tally
{
    std::atomic<int> asked{0};
    std::atomic<int> served{0};

    std::string text() const
    {
        return std::to_string(served) + " of " + std::to_string(asked);
    }
};

/** Terminals of one zone that all ask for the same page every 2 s. */
class terminals
{
public:
    terminals(address front, std::string host, std::string target)
        : front_(std::move(front))
        , host_(std::move(host))
        , target_(std::move(target))
    {
    }

    void ask_once(tally& counted)
    {
        std::vector<std::jthread> threads;
        for (int i = 0; i < clients_of_zone; ++i)
        {
            static std::atomic<int> number{0};
            threads.emplace_back(
                [this, &counted, id = "q-" + std::to_string(++number)]
                {
                    auto const answer = send(
                        {front_,
                         "GET",
                         target_,
                         {"Host: " + host_, "Verbenacove-Request-Id: " + id,
                          "Verbenacove-Deadline-Ms: 2500"},
                         {},
                         milliseconds(2600)});
                    ++counted.asked;
                    counted.served += answer.status == 200 ? 1 : 0;
                });
        }
    }

private:
    address front_;
    std::string host_;
    std::string target_;
};

int run(std::string const& folder, record& log)
{
    deployment system(folder, 5, 3);
    bool const is_configured = system.configure(
        configuration(
            3, {{"r-1", "/lookup/", "safe", "stock"},
                {"r-2", "/report/", "safe", "ledger"},
                {"r-3", "/lookup/", "safe", "ledger", 2000, "other.example"}}),
        "r0");
    if (!is_configured)
    {
        return could_not_run;
    }
    static char const* const zones[] = {"wcape-a", "gauteng-a", "ecape-a"};
    std::vector<std::unique_ptr<backend>> backends;
    for (int i = 0; i < 12; ++i)
    {
        backends.push_back(std::make_unique<backend>(
            "i-" + std::to_string(i), i < 6 ? "stock" : "ledger",
            system.backend_address(i), zones[i / 2 % 3]));
        backends.back()->work_ms = 400;
        backends.back()->keep_checking_in(system.controls());
    }
    if (!system.are_fronts_ready())
    {
        return could_not_run;
    }
    std::this_thread::sleep_for(milliseconds(4000));
    terminals lookups(system.frontend(0), "lab.example", "/lookup/prices");
    terminals far_lookups(system.frontend(1), "lab.example", "/lookup/prices");
    terminals other_host(system.frontend(1), "other.example", "/lookup/prices");
    terminals reports(system.frontend(0), "lab.example", "/report/today");
    auto const round = [&](tally& looked_up, tally& reported)
    {
        auto const next = clock::now() + round_interval;
        lookups.ask_once(looked_up);
        reports.ask_once(reported);
        std::this_thread::sleep_until(next);
    };
    // All requests of the run count, as the rule is of a whole day.
    tally looked_up;
    tally reported;
    tally asked_other;
    for (int i = 0; i < 2; ++i)
    {
        other_host.ask_once(asked_other);
        round(looked_up, reported);
    }
    log.note("Before: lookups " + looked_up.text() + ", reports " +
             reported.text());
    if (looked_up.served * 10 < looked_up.asked * 9)
    {
        return could_not_run;
    }
    std::jthread outage_of_zone;
    if (has_trouble())
    {
        outage_of_zone = std::jthread(
            [&]
            {
                bool const run_both = wait_until(
                    [&] {
                        return backends[0]->running() > 0 &&
                               backends[1]->running() > 0;
                    },
                    milliseconds(20000));
                log.note(run_both ? "Both backends of wcape-a crash."
                                  : "They never ran it together.");
                std::jthread other([&] { backends[1]->crash(); });
                backends[0]->crash();
                other.join();
                std::this_thread::sleep_for(outage);
                for (std::size_t i = 0; i < 2; ++i)
                {
                    auto const where = backends[i]->where();
                    backends[i] =
                        std::make_unique<backend>("i-new-" + std::to_string(i),
                                                  "stock", where, "wcape-a");
                    backends[i]->work_ms = 400;
                    backends[i]->be_cold(cold_start);
                    backends[i]->keep_checking_in(system.controls());
                }
                log.note("Both are back.");
            });
    }
    for (int i = 0; i < 33; ++i)
    {
        // While the outage may begin, the terminals of one zone ask alone.
        if (i > 5)
        {
            far_lookups.ask_once(looked_up);
            other_host.ask_once(asked_other);
        }
        round(looked_up, reported);
    }
    log.note("In the whole run: lookups " + looked_up.text() +
             ", the same path of another host " + asked_other.text() +
             ", reports " + reported.text());
    long const asked = looked_up.asked;
    long const served = looked_up.served;
    long const all_asked = asked + asked_other.asked + reported.asked;
    long const all_served = served + asked_other.served + reported.served;
    auto const is_starved = [&](long kind_served, long kind_asked)
    {
        return 4 * kind_served * all_asked < all_served * kind_asked;
    };
    return is_starved(served, asked) ||
                   is_starved(asked_other.served, asked_other.asked)
               ? rule_broken
               : rule_held;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 3)
    {
        return could_not_run;
    }
    record log(arguments[2]);
    int const result = run(arguments[1], log);
    log.note("Result: " + std::to_string(result));
    return result;
}
