// A change takes the last keys away: no request may run by them once the
// revocation time is over, and none by a key that no configuration ever held.

#include "harness.hpp"

#include <algorithm>
#include <exception>
#include <iostream>

using namespace review;

namespace
{

constexpr milliseconds revocation{5000};
constexpr char key[] = "3fgfwrz56aw63is47qdq";
constexpr char unknown_key[] = "zzzzwrz56aw63is47zzz";
constexpr char one_tenant[] =
    R"({"sese880":{"ApiKeys":["3fgfwrz56aw63is47qdq"],"Priority":1,)"
    R"("RatePerS":780,"Burst":780,"HomeRegions":[]}})";
constexpr char no_tenants[] = "{}";

std::string configuration(std::string const& version,
                          std::string const& tenants)
{
    return R"({"Version":")" + version +
           R"(","Routes":{"r-peek":{"Hostname":"a.example",)"
           R"("PathPrefix":"/peek/","Kind":"safe","Timeout":"2000ms",)"
           R"("TargetLatency":"400ms","Priority":1,)"
           R"("Service":"receipt-desk","MaxAttempts":2,"Public":false,)"
           R"("SessionAffinity":false,"HomeRegions":[]}},)"
           R"("Services":{"receipt-desk":{"HealthPath":"/health",)"
           R"("MaxConnections":1440,"Protocol":"h1","Tls":false,)"
           R"("ColdStart":"3s","WarmupPerS":5.9}},)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
           R"("HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},)"
           R"("Tenants":)" +
           tenants + '}';
}

/** Sends requests with a key to all entries, and returns the last status. */
int send_requests(deployment& system, record& log, std::string const& phase,
                  std::string const& by, int count)
{
    int status = 0;
    std::string const authorization = "Bearer " + by;
    for (int i = 0; i < count; ++i)
    {
        auto id = phase;
        id.append("-").append(std::to_string(i));
        auto const got = call(system.frontend(i % system.entry_count()),
                              {"GET",
                               "/peek/7",
                               {{"Host", "a.example"},
                                {"Verbenacove-Request-Id", id},
                                {"Verbenacove-Deadline-Ms", "2500"},
                                {"Authorization", authorization}},
                               {}},
                              milliseconds(2500));
        status = got.status;
        std::string text = "request ";
        text.append(id).append(" key=").append(by).append(" answered ");
        log.line(text.append(std::to_string(status)));
        sleep_for(milliseconds(50));
    }
    return status;
}

bool has_field(request const& run, std::string const& name)
{
    return std::any_of(run.fields.begin(), run.fields.end(),
                       [&name](auto const& each)
                       { return each.first == name; });
}

/** Returns how many runs have an id that begins so. */
int count_runs(std::vector<backend const*> const& backends,
               std::string const& phase, bool with_key_only)
{
    int result = 0;
    for (auto const* const each : backends)
    {
        for (auto const& run : each->runs())
        {
            bool const is_of_phase = std::any_of(
                run.fields.begin(), run.fields.end(),
                [&phase](auto const& field)
                {
                    return field.first == "Verbenacove-Request-Id" &&
                           field.second.rfind(phase, 0) == 0;
                });
            bool const counts =
                is_of_phase &&
                (!with_key_only || has_field(run, "Authorization"));
            result += counts ? 1 : 0;
        }
    }
    return result;
}

int run(std::string const& record_path)
{
    record log(record_path);
    deployment_settings settings;
    settings.fields = {{"Bounds.StrictRevocation", "true"},
                       {"Bounds.Revoke", "5000ms"}};
    deployment system(settings, log);
    backend first("i-peek-1", "receipt-desk", system.backend_address(), log);
    backend second("i-peek-2", "receipt-desk", system.backend_address(), log);
    if (!system.put(configuration("r1", one_tenant), "0"))
    {
        log.line("no configuration");
        return could_not_run;
    }
    beats const check_ins({&first, &second}, system.controls());
    if (!system.wait_until_ready(milliseconds(20000)))
    {
        log.line("not ready");
        return could_not_run;
    }
    sleep_for(milliseconds(5000));
    bool const is_sound =
        send_requests(system, log, "key-before", key, 20) == 200 &&
        send_requests(system, log, "unknown-before", unknown_key, 4) == 401;
    if (!is_sound)
    {
        log.line("the keys do not work before");
        return could_not_run;
    }
    // Without trouble the change leaves the tenant as it is.
    bool const takes_away = has_trouble();
    if (!system.put(configuration("r2", takes_away ? no_tenants : one_tenant),
                    "r1"))
    {
        log.line("no acknowledgement");
        return could_not_run;
    }
    log.line(std::string("acknowledged r2, Tenants: ") +
             (takes_away ? no_tenants : one_tenant));
    sleep_for(revocation + milliseconds(500));
    send_requests(system, log, "key-after", key, 40);
    send_requests(system, log, "unknown-after", unknown_key, 20);
    auto const read = call(system.control(0), {"GET", "/api/config", {}, {}},
                           milliseconds(2000));
    log.line("read back " + std::to_string(read.status) + ' ' + read.body);
    std::vector<backend const*> const backends{&first, &second};
    int const withdrawn =
        takes_away ? count_runs(backends, "key-after", false) : 0;
    int const unknown = count_runs(backends, "unknown", false);
    int const passed_on = count_runs(backends, "", true);
    log.line("runs by the withdrawn key, later than Revoke after the "
             "acknowledgement: " +
             std::to_string(withdrawn));
    log.line("runs by a key that no configuration ever held: " +
             std::to_string(unknown));
    log.line("runs to which the key itself was passed on: " +
             std::to_string(passed_on));
    return withdrawn + unknown + passed_on > 0 ? rule_broken : rule_held;
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
