// The backends of one zone go down together while both run the same lookup.

#include "../support-2/lab.hpp"

namespace
{

using namespace lab;

constexpr milliseconds outage{4500};
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
    tally before;
    tally reports_before;
    for (int i = 0; i < 4; ++i)
    {
        round(before, reports_before);
    }
    log.note("Before: lookups " + before.text() + ", reports " +
             reports_before.text());
    if (before.served * 10 < before.asked * 9)
    {
        return could_not_run;
    }
    tally during;
    tally reports_during;
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
                    backends[i]->keep_checking_in(system.controls());
                }
                log.note("Both are back.");
            });
    }
    for (int i = 0; i < 6; ++i)
    {
        round(during, reports_during);
    }
    log.note("During: lookups " + during.text() + ", reports " +
             reports_during.text());
    tally after;
    tally reports_after;
    tally far_after;
    tally other_after;
    for (int i = 0; i < 15; ++i)
    {
        far_lookups.ask_once(far_after);
        other_host.ask_once(other_after);
        round(after, reports_after);
    }
    log.note("From then on: lookups " + after.text() + ", in another zone " +
             far_after.text());
    log.note("The same path of another host and service: " +
             other_after.text() + ", reports " + reports_after.text());
    long const asked = after.asked + far_after.asked;
    long const served = after.served + far_after.served;
    long const all_asked = asked + other_after.asked + reports_after.asked;
    long const all_served = served + other_after.served + reports_after.served;
    auto const is_starved = [&](long kind_served, long kind_asked)
    {
        return 4 * kind_served * all_asked < all_served * kind_asked;
    };
    return is_starved(served, asked) ||
                   is_starved(other_after.served, other_after.asked)
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
