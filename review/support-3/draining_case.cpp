// The time of day of a backend's machine jumps back between two starts of the
// backend under one id. The second one reports that it is draining, and that is
// acknowledged: from then on it must not get new work.

#include "harness.hpp"

#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

using namespace review;

namespace
{

constexpr int entries = 24;
constexpr int backends = 6;
/** A client waits for so long between its requests. */
constexpr milliseconds pause{600};
constexpr milliseconds drain{2500};
constexpr milliseconds clock_step{2000};
/** How long the backend serves after its departure. */
constexpr milliseconds serving_time{12000};

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

/** When each request was sent. */
class sent_times
{
public:
    void add(std::string const& request_id)
    {
        std::lock_guard const lock(mutex_);
        times_[request_id] = clock::now();
    }

    clock::time_point of(std::string const& request_id) const
    {
        std::lock_guard const lock(mutex_);
        auto const found = times_.find(request_id);
        return found == times_.end() ? clock::time_point() : found->second;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, clock::time_point> times_;
};

/** Sends requests to one entry until the end. */
void send_requests(deployment& system, record& log, int entry,
                   std::atomic<bool> const& is_over, sent_times& times)
{
    for (int i = 0; !is_over; ++i)
    {
        auto id = std::to_string(entry);
        id.append("-").append(std::to_string(i));
        times.add(id);
        auto const got = call(system.frontend(entry),
                              {"GET",
                               "/stock/7",
                               {{"Host", "a.example"},
                                {"Verbenacove-Request-Id", id},
                                {"Verbenacove-Deadline-Ms", "2500"}},
                               {}},
                              milliseconds(2500));
        std::string text = "request ";
        text.append(id).append(" answered ");
        log.line(text.append(std::to_string(got.status)));
        sleep_for(pause);
    }
}

int run(std::string const& record_path)
{
    record log(record_path);
    deployment_settings settings;
    settings.entries = entries;
    deployment system(settings, log);
    std::vector<std::unique_ptr<backend>> all;
    std::vector<backend*> pointers;
    for (int i = 0; i < backends; ++i)
    {
        all.push_back(std::make_unique<backend>("i-stock-" + std::to_string(i),
                                                "souk-stock",
                                                system.backend_address(), log));
        pointers.push_back(all.back().get());
    }
    if (!system.put(configuration, "0"))
    {
        log.line("no configuration");
        return could_not_run;
    }
    beats const check_ins(pointers, system.controls());
    if (!system.wait_until_ready(milliseconds(20000)))
    {
        log.line("not ready");
        return could_not_run;
    }
    sleep_for(milliseconds(6000));
    sent_times times;
    std::atomic<bool> is_over{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < entries; ++i)
    {
        clients.emplace_back(
            [&system, &log, i, &is_over, &times]
            { send_requests(system, log, i, is_over, times); });
    }
    sleep_for(milliseconds(4000));
    auto& leaving = *all.front();
    log.line("backend " + leaving.id() + " starts under its id" +
             (has_trouble() ? ", the clock 2 s ahead" : ""));
    leaving.restart(has_trouble() ? clock_step : milliseconds(0));
    leaving.check_in(system.controls());
    sleep_for(milliseconds(1000));
    log.line("backend " + leaving.id() + " starts again, the clock right");
    leaving.restart();
    leaving.check_in(system.controls());
    sleep_for(milliseconds(300));
    bool const is_acknowledged = leaving.drain(system.controls());
    auto const acknowledged = clock::now();
    sleep_for(serving_time);
    is_over = true;
    for (auto& client : clients)
    {
        client.join();
    }
    if (!is_acknowledged)
    {
        log.line("no acknowledgement");
        return could_not_run;
    }
    int late = 0;
    for (auto const& each : leaving.arrivals())
    {
        late += times.of(each.request_id) > acknowledged + drain ? 1 : 0;
    }
    log.line("requests that reached the backend, sent later than Drain after "
             "the acknowledgement: " +
             std::to_string(late));
    return late > 0 ? rule_broken : rule_held;
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
