// A backend that has come back under its id leaves with DELETE right after all
// core processes were killed at the same moment.

#include "../support-2/lab.hpp"

#include <cstdlib>

namespace
{

using namespace lab;

constexpr long long contact_ms = 4000;
constexpr long long drain_ms = 2500;
constexpr long long heartbeat_ms = 1500;
/** Time in which each entry gets one request once the second boot serves. */
constexpr int seldom_ms = 10000;
/** How long the backend serves on after its departure. */
constexpr milliseconds service_after_departure{16000};

/** Clients that ask each of the entries, one after the other, once in a time.
 */
class clients
{
public:
    clients(deployment& system, record& log)
        : thread_(
              [this, &system, &log](std::stop_token const& stop)
              {
                  for (int number = 0; !stop.stop_requested(); ++number)
                  {
                      ask(system.frontend(number % system.front_count()),
                          "/dispatch/", "q-" + std::to_string(number),
                          log.now());
                      std::this_thread::sleep_for(
                          milliseconds(turn_ms.load() / system.front_count()));
                  }
              })
    {
    }

    /** Time in which each entry gets one request. */
    std::atomic<int> turn_ms{300};

private:
    std::jthread thread_;
};

/** Sends DELETE to each node in turn, allowing one second for each. */
bool leave(deployment const& system, std::string const& id, record& log)
{
    for (int turn = 0; turn < 40; ++turn)
    {
        int const node = turn % system.core_count();
        auto const answer = send({system.control(node),
                                  "DELETE",
                                  "/api/instances/" + id,
                                  {"Host: control"}});
        log.note("DELETE of " + id + " at core-" + std::to_string(node) + ": " +
                 std::to_string(answer.status));
        if (answer.status >= 200 && answer.status < 300)
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

int run(std::string const& folder, record& log)
{
    deployment system(folder, 5, 6);
    if (!system.configure(
            configuration(3, {{"r-1", "/dispatch/", "safe", "dispatch"}}),
            "r0"))
    {
        log.note("The configuration was not acknowledged.");
        return could_not_run;
    }
    backend staying("i-staying", "dispatch", system.backend_address(0),
                    "wcape-a");
    auto leaving = std::make_unique<backend>(
        "i-leaving", "dispatch", system.backend_address(1), "gauteng-a");
    staying.keep_checking_in(system.controls());
    leaving->keep_checking_in(system.controls());
    clients traffic(system, log);
    bool const is_used =
        system.are_fronts_ready() &&
        wait_until([&] { return leaving->runs() > 20; }, milliseconds(20000));
    if (!is_used)
    {
        log.note("The first boot of i-leaving got no requests.");
        return could_not_run;
    }
    log.note("The first boot leaves.");
    leaving->stop_checking_in();
    leaving->begin_leaving();
    if (!leave(system, "i-leaving", log))
    {
        return could_not_run;
    }
    std::this_thread::sleep_for(milliseconds(drain_ms + 1500));
    leaving.reset();
    log.note("The first boot has ended; the next one starts under its id.");
    std::this_thread::sleep_for(milliseconds(1000));
    leaving = std::make_unique<backend>("i-leaving", "dispatch",
                                        system.backend_address(1), "gauteng-a");
    leaving->keep_checking_in(system.controls());
    if (!wait_until([&] { return leaving->runs() > 40; }, milliseconds(20000)))
    {
        log.note("The next boot of i-leaving got no requests.");
        return could_not_run;
    }
    traffic.turn_ms = seldom_ms;
    std::this_thread::sleep_for(milliseconds(contact_ms));
    // The next check-in is due 1.5 s after this one.
    int const check_ins = leaving->acknowledged_check_ins();
    if (!wait_until([&]
                    { return leaving->acknowledged_check_ins() > check_ins; },
                    milliseconds(5000)))
    {
        return could_not_run;
    }
    auto const last_check_in = log.now();
    leaving->stop_checking_in();
    if (has_trouble())
    {
        log.note("All core processes are killed.");
        for (int i = 0; i < system.core_count(); ++i)
        {
            system.kill_core(i);
        }
        std::this_thread::sleep_for(milliseconds(300));
        for (int i = 0; i < system.core_count(); ++i)
        {
            system.start_core(i, false);
        }
        log.note("All core processes are started again.");
    }
    auto const back = log.now();
    log.note("The next boot leaves.");
    leaving->begin_leaving();
    if (!leave(system, "i-leaving", log))
    {
        log.note("The departure was not acknowledged.");
        return could_not_run;
    }
    auto const acknowledged = log.now();
    log.note("Since the last check-in: " +
             std::to_string(acknowledged - last_check_in) + " ms");
    if (acknowledged - last_check_in > heartbeat_ms)
    {
        log.note("A check-in was due before.");
        return could_not_run;
    }
    // Later than `Drain` after the acknowledgement, and sent on by entries that
    // are in touch.
    auto const from = std::max(acknowledged + drain_ms, back + contact_ms);
    std::this_thread::sleep_for(service_after_departure);
    int const late = leaving->runs_of_later(from);
    log.note("Requests sent later than " + std::to_string(from) +
             " ms that reached i-leaving: " + std::to_string(late));
    return late > 0 ? rule_broken : rule_held;
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
