// Another writer checks in entries of a service that the installation does not
// name, with the addresses of backends that serve.

#include "../support-2/lab.hpp"

#include <iostream>
#include <sstream>

namespace
{

using namespace lab;

constexpr milliseconds calm{3000};
constexpr milliseconds rest_of_run{45000};
constexpr milliseconds contact{4000};

struct tally
{
    int asked = 0;
    int served = 0;

    std::string text() const
    {
        return std::to_string(served) + " of " + std::to_string(asked);
    }
};

/** Asks for both services in turn at all entries. */
void observe(deployment& system, record& log, milliseconds span, tally& lookups,
             tally& reports)
{
    static int number = 0;
    auto const end = clock::now() + span;
    while (clock::now() < end)
    {
        bool const is_lookup = ++number % 2 == 0;
        auto& counted = is_lookup ? lookups : reports;
        auto const answer =
            ask(system.frontend(number / 2 % system.front_count()),
                is_lookup ? "/lookup/" : "/report/",
                "q-" + std::to_string(number), log.now());
        ++counted.asked;
        counted.served += answer.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(20));
    }
    log.note("Served: lookups " + lookups.text() + ", reports " +
             reports.text());
}

response check_in_foreign(address const& control, int number,
                          address const& where)
{
    std::ostringstream body;
    body << R"({"Service":"another-system","Address":")" << where.text()
         << R"(","Zone":"wcape-a","Version":"v1","Slots":4,"State":"ready",)"
            R"("ColdRemaining":"0ms","Sequence":1,"born":)"
         << std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()
         << '}';
    return send({control,
                 "PUT",
                 "/api/instances/foreign-" + std::to_string(number),
                 {"Host: control", "Content-Type: application/json"},
                 body.str()});
}

int run(std::string const& folder, record& log)
{
    deployment system(folder, 5, 3);
    if (!system.configure(
            configuration(3, {{"r-1", "/lookup/", "safe", "stock"},
                              {"r-2", "/report/", "safe", "ledger"}}),
            "r0"))
    {
        return could_not_run;
    }
    std::vector<std::unique_ptr<backend>> backends;
    for (int i = 0; i < 6; ++i)
    {
        backends.push_back(std::make_unique<backend>(
            "i-" + std::to_string(i), i < 3 ? "stock" : "ledger",
            system.backend_address(i), "wcape-a"));
        backends.back()->keep_checking_in(system.controls());
    }
    bool const is_used = system.are_fronts_ready();
    std::this_thread::sleep_for(contact);
    tally lookups;
    tally reports;
    observe(system, log, calm, lookups, reports);
    if (!is_used || lookups.served * 10 < lookups.asked * 9)
    {
        return could_not_run;
    }
    if (has_trouble())
    {
        for (int i = 0; i < 3; ++i)
        {
            auto const answer = check_in_foreign(
                system.control(i), i,
                backends.at(static_cast<std::size_t>(i))->where());
            log.note("Foreign check-in " + std::to_string(i) + ": " +
                     std::to_string(answer.status));
        }
    }
    // All requests of the run count, as the rule is of a whole day.
    observe(system, log, rest_of_run, lookups, reports);
    long const asked = lookups.asked + reports.asked;
    long const served = lookups.served + reports.served;
    return 4 * lookups.served * asked < served * lookups.asked ? rule_broken
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
