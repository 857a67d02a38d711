#include "platform_documents.hpp"

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "verbenacove/core/ini_document.hpp"
#include "verbenacove/process/routing/replica_process.hpp"
#include "verbenacove/process/routing/route_entry_settings.hpp"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <random>

using namespace verbenacove;
using namespace verbenacove::platform;

namespace
{

/** Seeds of a run; VERBENACOVE_SEEDS sets more for a run by hand. */
unsigned seed_count()
{
    constexpr unsigned in_ci = 4000;
    auto const text = qgetenv("VERBENACOVE_SEEDS");
    return text.isEmpty() ? in_ci : text.toUInt();
}

constexpr int most_changes = 6;

/** Pieces that documents are made of, and numbers at the edge. */
std::vector<QByteArray> const pieces{"{",
                                     "}",
                                     "[",
                                     "]",
                                     ":",
                                     ",",
                                     "\"",
                                     "null",
                                     "-1",
                                     "1e9",
                                     "1e99",
                                     "0.1ms",
                                     "true",
                                     "\n",
                                     "= ",
                                     "[limits]\n",
                                     "\\u0000",
                                     QByteArray(1, '\0'),
                                     "99999999999999999999",
                                     "\"Weight\":",
                                     "\"Services\":{}",
                                     "\xff\xfe"};

QByteArray damage(QByteArray text, std::mt19937& random)
{
    auto const below = [&](qsizetype bound)
    {
        return static_cast<qsizetype>(
            random() % static_cast<unsigned>(std::max<qsizetype>(1, bound)));
    };
    auto const changes = 1 + below(most_changes);
    for (qsizetype i = 0; i < changes; ++i)
    {
        auto const at = below(text.size() + 1);
        switch (below(4))
        {
        case 0:
            text.remove(at, 1 + below(20));
            break;
        case 1:
            text.insert(at, pieces[static_cast<std::size_t>(
                                below(static_cast<qsizetype>(pieces.size())))]);
            break;
        case 2:
            text.insert(at, text.mid(below(text.size()), below(60)));
            break;
        default:
            if (at < text.size())
            {
                text[at] = static_cast<char>(below(256));
            }
            break;
        }
    }
    return text;
}

QByteArray const configuration = R"({"Version":"r7","Routes":{"r-1":{
    "Hostname":"g.example","PathPrefix":"/a/","Kind":"safe",
    "Timeout":"1500ms","TargetLatency":"0.4s","Priority":2,
    "TrafficSplit":[{"Service":"a","Weight":90},{"Service":"b","Weight":10}],
    "MaxAttempts":2,"SessionAffinity":true,"HomeRegions":["casa"]}},
    "Services":{"a":{"HealthPath":"/health","MaxConnections":390,
    "ColdStart":"3s","WarmupPerS":5.4},"b":{"HealthPath":"/health",
    "MaxConnections":390}},"Limits":{"MaxHeaderBytes":16384,
    "MaxBodyBytes":67108864,"HeaderTimeout":"3000ms",
    "IdleTimeout":"15000ms"}})";

QByteArray const heartbeat = R"({"Service":"a","Address":"10.0.0.1:80",
    "Zone":"casa-a","Version":"v1","Slots":4,"State":"ready",
    "ColdRemaining":"0ms","Sequence":7,"born":1700000000000})";

QByteArray const entry_settings =
    "[entry]\nname = e1\nregion = wcape\nzone = wcape-a\n"
    "callers = 10.0.0.1:80\nreadiness = 10.0.0.1:81\n"
    "[limits]\nmemory_mb = 112\nmax_fds = 2870\nheld_bytes = 4MiB\n"
    "[discovery]\nreplicas = 10.0.0.2:80\n"
    "[steering]\nretry_slack = 2.5\nretry_window = 2 s\n";

/** Returns whether a document is read; an error is one of the known kinds. */
template <class Read>
bool reads(Read read)
{
    bool is_known = true;
    bool const result = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool>
        {
            BOOST_LEAF_CHECK(read());
            return true;
        },
        [](document_error const& error)
        {
            CHECK(!error.reason.isEmpty());
            return false;
        },
        [](setting_errors const& errors)
        {
            CHECK(!errors.text().isEmpty());
            return false;
        },
        [&]
        {
            is_known = false;
            return false;
        });
    CHECK(is_known);
    return result;
}

template <class Read>
void check_damaged(QByteArray const& whole, Read read)
{
    REQUIRE(reads([&] { return read(whole); }));
    unsigned refused = 0;
    auto const seeds = seed_count();
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        auto const text = damage(whole, random);
        refused += reads([&] { return read(text); }) ? 0 : 1;
    }
    // Most damage is found; some leaves a document that is right.
    CHECK(refused > seeds / 4);
}

} // namespace

TEST_CASE("documents: damaged configurations: read, or refused with a reason")
{
    check_damaged(configuration, [](QByteArray const& text)
                  { return read_change(text, "r5", change_form::whole); });
}

TEST_CASE("documents: damaged heartbeats: read, or refused with a reason")
{
    check_damaged(heartbeat,
                  [](QByteArray const& text) {
                      return read_heartbeat(text, QStringLiteral("i-1"),
                                            monotonic_time());
                  });
}

TEST_CASE("documents: damaged settings: read, or refused with a reason")
{
    check_damaged(entry_settings,
                  [](QByteArray const& text) -> boost::leaf::result<void>
                  {
                      BOOST_LEAF_AUTO(document,
                                      parse_ini(QStringLiteral("a.ini"),
                                                QString::fromUtf8(text)));
                      BOOST_LEAF_CHECK(parse_route_entry_settings(document));
                      return {};
                  });
}
