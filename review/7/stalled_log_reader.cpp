// The reader of one entry's log stops for some seconds.

#include "../support-2/lab.hpp"

namespace
{

using namespace lab;

constexpr milliseconds pause_of_reader{15000};
constexpr int route_timeout_ms = 2500;
/** The rule allows half a second more. */
constexpr long long longest_answer_ms = route_timeout_ms + 500;
constexpr milliseconds request_interval{20};

struct tally
{
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    /** Unanswered when the route's timeout was over. */
    std::atomic<int> overdue{0};
    /** Still so half a second later. */
    std::atomic<int> late{0};

    std::string text() const
    {
        return std::to_string(served) + " of " + std::to_string(asked) +
               " served, unanswered at the timeout " + std::to_string(overdue) +
               ", half a second later " + std::to_string(late);
    }
};

/** Asks one entry 50 times a second for what may not be repeated: clients of
    such requests wait for their whole time limit of 4 s. */
void ask_for(address const& front, milliseconds span, tally& counted)
{
    static std::atomic<int> number{0};
    std::vector<std::jthread> threads;
    auto const end = clock::now() + span;
    while (clock::now() < end)
    {
        threads.emplace_back(
            [&counted, front, id = "q-" + std::to_string(++number)]
            {
                auto const began = clock::now();
                auto const answer =
                    send({front,
                          "POST",
                          "/release/" + id,
                          {"Host: lab.example", "Verbenacove-Request-Id: " + id,
                           "Verbenacove-Deadline-Ms: 4000"},
                          {},
                          milliseconds(4000)});
                auto const took = std::chrono::duration_cast<milliseconds>(
                                      clock::now() - began)
                                      .count();
                ++counted.asked;
                counted.served += answer.status == 200 ? 1 : 0;
                counted.overdue += took >= route_timeout_ms ? 1 : 0;
                counted.late += took >= longest_answer_ms ? 1 : 0;
            });
        std::this_thread::sleep_for(request_interval);
    }
}

int run(std::string const& folder, record& log)
{
    deployment system(folder, 5, 3);
    if (!system.configure(configuration(3, {{"r-1", "/release/", "unsafe",
                                             "dispatch", route_timeout_ms}}),
                          "r0"))
    {
        return could_not_run;
    }
    std::vector<std::unique_ptr<backend>> backends;
    for (int i = 0; i < 4; ++i)
    {
        backends.push_back(std::make_unique<backend>(
            "i-" + std::to_string(i), "dispatch", system.backend_address(i),
            i < 2 ? "wcape-a" : "gauteng-a"));
        backends.back()->keep_checking_in(system.controls());
    }
    if (!system.are_fronts_ready())
    {
        return could_not_run;
    }
    std::this_thread::sleep_for(milliseconds(4000));
    tally before;
    ask_for(system.frontend(0), milliseconds(5000), before);
    log.note("Before: " + before.text());
    if (before.served * 10 < before.asked * 9)
    {
        return could_not_run;
    }
    if (has_trouble())
    {
        log.note("The reader of front-0's log stops.");
        system.front(0).pause_log_reader(true);
    }
    tally during;
    tally other;
    {
        std::jthread beside(
            [&] { ask_for(system.frontend(1), pause_of_reader, other); });
        ask_for(system.frontend(0), pause_of_reader, during);
    }
    log.note("In 15 s, at front-0: " + during.text());
    log.note("In 15 s, at front-1: " + other.text());
    system.front(0).pause_log_reader(false);
    log.note("The reader goes on.");
    std::this_thread::sleep_for(milliseconds(2000));
    tally after;
    ask_for(system.frontend(0), milliseconds(3000), after);
    log.note("After: " + after.text());
    int const overdue =
        before.overdue + during.overdue + other.overdue + after.overdue;
    int const late = before.late + during.late + other.late + after.late;
    log.note("In the whole run, unanswered at the timeout: " +
             std::to_string(overdue) +
             ", half a second later: " + std::to_string(late));
    return late * 2 > overdue ? rule_broken : rule_held;
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
