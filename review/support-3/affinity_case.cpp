// Requests of a legal size that carry long values in
// Verbenacove-Affinity-Key: an entry must stay within the memory of its
// machine.

#include "harness.hpp"

#include <algorithm>
#include <atomic>
#include <exception>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>
#include <thread>

using namespace review;

namespace
{

/** A request's headers have at most 16,384 bytes. */
constexpr std::size_t key_bytes = 15500;
constexpr int services = 3;
/** Backends of the three services, as on the sheet: 14, 12 and 14. */
constexpr int backends_of[services] = {14, 12, 14};
constexpr int clients = 16;
constexpr milliseconds sending_time{60000};

std::string configuration()
{
    std::ostringstream routes;
    std::ostringstream table;
    for (int i = 0; i < services; ++i)
    {
        char const* const comma = i == 0 ? "" : ",";
        routes << comma << R"("r-)" << i
               << R"(":{"Hostname":"a.example","PathPrefix":"/p)" << i
               << R"(/","Kind":"safe","Timeout":"1500ms",)"
                  R"("TargetLatency":"400ms","Priority":2,"Service":"s)"
               << i
               << R"(","MaxAttempts":2,"SessionAffinity":true,)"
                  R"("HomeRegions":[]})";
        table << comma << R"("s)" << i
              << R"(":{"HealthPath":"/health","MaxConnections":390,)"
                 R"("Protocol":"h1","Tls":false,"ColdStart":"3s",)"
                 R"("WarmupPerS":5.4})";
    }
    std::ostringstream result;
    result << R"({"Version":"r1","Routes":{)" << routes.str()
           << R"(},"Services":{)" << table.str()
           << R"(},"Limits":{"MaxHeaderBytes":16384,)"
              R"("MaxBodyBytes":67108864,"HeaderTimeout":"3000ms",)"
              R"("IdleTimeout":"15000ms"}})";
    return result.str();
}

struct sender_counts
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::mutex mutex;
    /** Requests on kept connections that ended without an answer before their
        time was over. */
    std::vector<std::string> cut;
};

/** Sends requests one after the other on a kept connection; without trouble
    the long value stands in another header. */
void send_requests(deployment& system, int client, clock::time_point until,
                   sender_counts& counts)
{
    kept_connection connection(system.frontend(0));
    bool is_kept = false;
    for (int i = 0; clock::now() < until; ++i)
    {
        auto const id = std::to_string(client) + '-' + std::to_string(i);
        auto const text = id + std::string(key_bytes - id.size(), 'k');
        bool const is_long = has_trouble();
        ++counts.sent;
        auto const sent_at = clock::now();
        auto const got =
            connection.call({"GET",
                             "/p" + std::to_string(i % services) + "/7",
                             {{"Host", "a.example"},
                              {"Verbenacove-Request-Id", id},
                              {"Verbenacove-Deadline-Ms", "2500"},
                              {"Verbenacove-Affinity-Key", is_long ? text : id},
                              {"X-Note", is_long ? id : text}},
                             {}},
                            milliseconds(2500));
        counts.served += got.status == 200 ? 1 : 0;
        bool const is_cut = got.status == 0 && is_kept &&
                            clock::now() - sent_at < milliseconds(1000);
        if (is_cut)
        {
            std::lock_guard const lock(counts.mutex);
            counts.cut.push_back(id);
        }
        is_kept = got.status != 0 && got.field("Connection") != "close";
        if (got.status == 0 || got.status == 503)
        {
            sleep_for(milliseconds(50));
        }
    }
}

int run(std::string const& record_path)
{
    record log(record_path);
    deployment_settings settings;
    settings.entries = 1;
    deployment system(settings, log);
    std::vector<std::unique_ptr<backend>> all;
    std::vector<backend*> pointers;
    for (int i = 0; i < services; ++i)
    {
        for (int j = 0; j < backends_of[i]; ++j)
        {
            auto const service = "s" + std::to_string(i);
            all.push_back(std::make_unique<backend>(
                "i-" + service + '-' + std::to_string(j), service,
                system.backend_address(), log));
            all.back()->keeps_runs = false;
            all.back()->work_ms = 2;
            pointers.push_back(all.back().get());
        }
    }
    if (!system.put(configuration(), "0"))
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
    sleep_for(milliseconds(3000));
    log.line(std::to_string(clients) + " clients send requests with " +
             std::to_string(key_bytes) + " bytes in " +
             (has_trouble() ? "Verbenacove-Affinity-Key" : "X-Note"));
    sender_counts counts;
    std::vector<std::thread> senders;
    auto const until = clock::now() + sending_time;
    for (int i = 0; i < clients; ++i)
    {
        senders.emplace_back([&system, i, until, &counts]
                             { send_requests(system, i, until, counts); });
    }
    auto& entry = system.entry(0);
    auto next_line = clock::now();
    while (clock::now() < until)
    {
        if (clock::now() >= next_line)
        {
            next_line = clock::now() + milliseconds(2000);
            log.line("sent " + std::to_string(counts.sent) + ", answered 200 " +
                     std::to_string(counts.served) + ", entry uses " +
                     std::to_string(deployment::resident_kb(entry) / 1024) +
                     " MiB");
        }
        system.enforce_memory();
        sleep_for(milliseconds(10));
    }
    for (auto& sender : senders)
    {
        sender.join();
    }
    log.line(entry.name + ": memory of the machine " +
             std::to_string(entry.memory_mb) + " MB, most used " +
             std::to_string(entry.peak_kb / 1024) + " MiB, killed " +
             std::to_string(entry.kills) +
             " times; answered 200: " + std::to_string(counts.served) + " of " +
             std::to_string(counts.sent));
    auto const lost =
        std::count_if(counts.cut.begin(), counts.cut.end(),
                      [&pointers](std::string const& id)
                      {
                          return std::any_of(pointers.begin(), pointers.end(),
                                             [&id](backend const* each)
                                             { return each->has_run(id); });
                      });
    log.line("requests from kept connections that a backend has run and whose "
             "connection was closed without an answer: " +
             std::to_string(lost));
    return lost > 3 ? rule_broken : rule_held;
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
