// Calls of a legal size made of very many short fields at the control door:
// each replica must stay within the memory of its machine.

#include "harness.hpp"

#include <atomic>
#include <exception>
#include <iostream>
#include <thread>

using namespace review;

namespace
{

/** What the control door takes at most is 8 MiB. */
constexpr std::size_t body_bytes = std::size_t{8} * 1024 * 1024 - 1024;

constexpr char configuration[] =
    R"({"Version":"r1","Routes":{)"
    R"("r-stock":{"Hostname":"a.example","PathPrefix":"/stock/",)"
    R"("Kind":"safe","Timeout":"1500ms","TargetLatency":"400ms",)"
    R"("Priority":2,"Service":"souk-stock","MaxAttempts":2,)"
    R"("SessionAffinity":false,"HomeRegions":[]}},)"
    R"("Services":{"souk-stock":{"HealthPath":"/health",)"
    R"("MaxConnections":390,"Protocol":"h1","Tls":false,"ColdStart":"3s",)"
    R"("WarmupPerS":5.4}},)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
    R"("HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";

/** Returns a check-in with very many short fields, or the same size as one
    long field. */
std::string check_in_body(bool has_short_fields)
{
    std::string result = R"({"Service":"none","x":)";
    if (!has_short_fields)
    {
        return result + '"' + std::string(body_bytes, 'x') + "\"}";
    }
    result.reserve(body_bytes + 64);
    result += '[';
    while (result.size() < body_bytes)
    {
        result += R"({"":[0]},)";
    }
    return result + "0]}";
}

int run(std::string const& record_path)
{
    record log(record_path);
    deployment system({}, log);
    backend stock("i-stock-1", "souk-stock", system.backend_address(), log);
    if (!system.put(configuration, "0"))
    {
        log.line("no configuration");
        return could_not_run;
    }
    beats const check_ins({&stock}, system.controls());
    if (!system.wait_until_ready(milliseconds(20000)))
    {
        log.line("not ready");
        return could_not_run;
    }
    sleep_for(milliseconds(2000));
    auto const body = check_in_body(has_trouble());
    log.line("a client sends check-ins of " + std::to_string(body.size()) +
             " bytes, one at a time, to each replica three times");
    std::atomic<bool> is_over{false};
    std::thread sender(
        [&]
        {
            for (int i = 0; i < 3 * system.replica_count(); ++i)
            {
                int const number = i % system.replica_count();
                auto const got = call(system.control(number),
                                      {"PUT", "/api/instances/x-1", {}, body},
                                      milliseconds(5000));
                log.line("check-in to replica-" + std::to_string(number) +
                         " answered " + std::to_string(got.status));
                sleep_for(milliseconds(1000));
            }
            is_over = true;
        });
    while (!is_over)
    {
        system.enforce_memory();
        sleep_for(milliseconds(2));
    }
    sender.join();
    int often_ended = 0;
    for (int i = 0; i < system.replica_count(); ++i)
    {
        auto const& each = system.replica(i);
        often_ended += each.kills >= 3 ? 1 : 0;
        log.line(each.name + ": memory of the machine " +
                 std::to_string(each.memory_mb) + " MB, most used " +
                 std::to_string(each.peak_kb / 1000) + " MB, killed " +
                 std::to_string(each.kills) + " times");
    }
    // The rule: on half of the core, processes end three times in the day.
    log.line("replicas that ended three times or more: " +
             std::to_string(often_ended));
    return often_ended * 2 >= system.replica_count() ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return argc == 2 ? run(argv[1]) : could_not_run;
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << '\n';
        return could_not_run;
    }
}
