// A check-in of another writer, with fields missing, under the id of a backend
// in use: the backend must not be given the requests of another service.

#include "harness.hpp"

#include <exception>
#include <iostream>
#include <thread>
#include <vector>

using namespace review;

namespace
{

constexpr char configuration[] =
    R"({"Version":"r1","Routes":{)"
    R"("r-stock":{"Hostname":"a.example","PathPrefix":"/stock/",)"
    R"("Kind":"safe","Timeout":"1500ms","TargetLatency":"400ms",)"
    R"("Priority":2,"Service":"souk-stock","MaxAttempts":2,)"
    R"("SessionAffinity":false,"HomeRegions":[]},)"
    R"("r-bales":{"Hostname":"a.example","PathPrefix":"/bales/",)"
    R"("Kind":"unsafe","Timeout":"2000ms","TargetLatency":"500ms",)"
    R"("Priority":1,"Service":"bale-desk","MaxAttempts":2,)"
    R"("SessionAffinity":false,"HomeRegions":[]}},)"
    R"("Services":{"souk-stock":{"HealthPath":"/health",)"
    R"("MaxConnections":390,"Protocol":"h1","Tls":false,"ColdStart":"3s",)"
    R"("WarmupPerS":5.4},"bale-desk":{"HealthPath":"/health",)"
    R"("MaxConnections":390,"Protocol":"h1","Tls":false,"ColdStart":"3s",)"
    R"("WarmupPerS":5.4}},)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
    R"("HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";

/** Sends requests on both routes, one after the other. */
void send_requests(deployment& system, record& log, std::string const& phase,
                   int count)
{
    for (int i = 0; i < count; ++i)
    {
        bool const is_stock = i % 2 == 0;
        auto id = phase;
        id.append("-").append(std::to_string(i));
        request sent{is_stock ? "GET" : "POST",
                     is_stock ? "/stock/7" : "/bales/7",
                     {{"Host", "a.example"},
                      {"Verbenacove-Request-Id", id},
                      {"Verbenacove-Deadline-Ms", "2500"}},
                     is_stock ? std::string() : "bale " + id};
        auto const got = call(system.frontend(i / 2 % system.entry_count()),
                              sent, milliseconds(2500));
        log.line("request " + id + ' ' + sent.method + ' ' + sent.target +
                 " answered " + std::to_string(got.status) + ' ' + got.body);
        sleep_for(milliseconds(30));
    }
}

/** Sends a check-in without Version, Slots and ColdRemaining. */
void send_incomplete_check_in(deployment& system, record& log,
                              backend const& named)
{
    std::string const body =
        R"({"Service":"bale-desk","Address":")" + named.at().text() +
        R"(","Zone":"casa-port","State":"ready","Sequence":1,"born":)" +
        std::to_string(unix_ms()) + '}';
    auto const got = call(system.control(0),
                          {"PUT",
                           "/api/instances/" + named.id(),
                           {{"Content-Type", "application/json"}},
                           body},
                          milliseconds(1000));
    log.line("check-in of another writer for " + named.id() + ' ' + body +
             " answered " + std::to_string(got.status));
}

/** Returns how many requests a backend has run that its service is not
    allowed to. */
int count_foreign(backend const& of, std::string const& prefix)
{
    int result = 0;
    for (auto const& run : of.runs())
    {
        result += run.target.rfind(prefix, 0) == 0 ? 0 : 1;
    }
    return result;
}

int run(std::string const& record_path)
{
    record log(record_path);
    deployment system({}, log);
    backend stock_1("i-stock-1", "souk-stock", system.backend_address(), log);
    backend stock_2("i-stock-2", "souk-stock", system.backend_address(), log);
    backend bales_1("i-bales-1", "bale-desk", system.backend_address(), log);
    backend bales_2("i-bales-2", "bale-desk", system.backend_address(), log);
    if (!system.put(configuration, "0"))
    {
        log.line("no configuration");
        return could_not_run;
    }
    beats const check_ins({&stock_1, &stock_2, &bales_1, &bales_2},
                          system.controls());
    if (!system.wait_until_ready(milliseconds(20000)))
    {
        log.line("not ready");
        return could_not_run;
    }
    sleep_for(milliseconds(5000));
    send_requests(system, log, "before", 60);
    if (stock_1.runs().empty() || bales_1.runs().empty())
    {
        log.line("no requests before");
        return could_not_run;
    }
    if (has_trouble())
    {
        send_incomplete_check_in(system, log, stock_1);
    }
    std::vector<std::thread> clients;
    for (char const* const phase : {"after-a", "after-b", "after-c"})
    {
        clients.emplace_back([&system, &log, phase]
                             { send_requests(system, log, phase, 200); });
    }
    for (auto& client : clients)
    {
        client.join();
    }
    int const foreign =
        count_foreign(stock_1, "/stock/") + count_foreign(stock_2, "/stock/") +
        count_foreign(bales_1, "/bales/") + count_foreign(bales_2, "/bales/");
    log.line("requests run by a service that no configuration allows: " +
             std::to_string(foreign));
    return foreign > 0 ? rule_broken : rule_held;
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
