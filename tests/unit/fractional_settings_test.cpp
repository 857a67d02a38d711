#include "verbenacove/process/routing/replica_process.hpp"
#include "verbenacove/process/routing/route_entry_settings.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

// Returns the settings, or nothing and the errors.
template <class Settings>
std::optional<Settings>
settings_of(QString const& text,
            boost::leaf::result<Settings> (*parse)(ini_document const&),
            QString& errors)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Settings>>
        {
            BOOST_LEAF_AUTO(document, parse_ini(QStringLiteral("a.ini"), text));
            BOOST_LEAF_AUTO(settings, parse(document));
            return std::optional<Settings>(std::move(settings));
        },
        [&](setting_errors const& failures) -> std::optional<Settings>
        {
            errors = failures.text();
            return std::nullopt;
        },
        []() -> std::optional<Settings> { return std::nullopt; });
}

std::optional<route_entry_settings> entry_with(char const* steering,
                                               QString& errors)
{
    auto const text =
        QStringLiteral("[entry]\nname = e1\nregion = wcape\nzone = wcape-a\n"
                       "callers = 10.0.0.1:80\nreadiness = 10.0.0.1:81\n"
                       "[discovery]\nreplicas = 10.0.0.2:80\n"
                       "[steering]\n%1\n")
            .arg(QLatin1String(steering));
    return settings_of(text, &parse_route_entry_settings, errors);
}

std::optional<replica_settings> replica_with(char const* line)
{
    QString errors;
    auto const text =
        QStringLiteral("[replica]\nregion = wcape\nzone = wcape-a\n"
                       "data_folder = /tmp/x\nlisten = 10.0.0.1:80\n"
                       "control = 10.0.0.1:81\n%1\n"
                       "[discovery]\nreplicas = 10.0.0.2:80\n")
            .arg(QLatin1String(line));
    return settings_of(text, &parse_replica_settings, errors);
}

} // namespace

TEST_CASE("entry settings: retry slack with a fraction: accepted")
{
    QString errors;
    auto const settings =
        entry_with("retry_slack = 28.666666666666668", errors);
    REQUIRE(settings);
    CHECK(settings->steering.retry_slack == doctest::Approx(28.667));
}

TEST_CASE("entry settings: retry slack that cannot be served: an error that "
          "names the line")
{
    for (char const* const value : {"-1", "ten", "nan", "inf", "1e300"})
    {
        QString errors;
        auto const line = QByteArray("retry_slack = ") + value;
        CHECK_FALSE(entry_with(line.constData(), errors));
        CHECK(errors.contains(QStringLiteral("a.ini:10: [steering] "
                                             "retry_slack")));
    }
}

TEST_CASE("entry settings: duration with many digits: accepted")
{
    QString errors;
    auto const settings =
        entry_with("retry_window = 9.333333333333334s", errors);
    REQUIRE(settings);
    CHECK(settings->steering.retry_window == milliseconds(9333));
}

TEST_CASE("replica settings: tolerated losses with a fraction: rounded up")
{
    REQUIRE(replica_with("tolerated_losses = 1.2"));
    CHECK(replica_with("tolerated_losses = 1.2")->tolerated_losses == 2);
    CHECK(replica_with("tolerated_losses = 2")->tolerated_losses == 2);
    CHECK_FALSE(replica_with("tolerated_losses = 3.1"));
}

TEST_CASE("entry settings: no revocation time: keys need no confirmation")
{
    QString errors;
    auto const settings = entry_with("[teams]", errors);
    REQUIRE(settings);
    CHECK_FALSE(settings->revocation);
}

TEST_CASE("entry settings: revocation time: read; out of range, empty or "
          "without a unit: an error that names it")
{
    QString errors;
    auto const settings = entry_with("[teams]\nrevocation = 5000ms", errors);
    REQUIRE(settings);
    CHECK(settings->revocation == milliseconds(5000));
    for (char const* value : {"999ms", "61s", "0ms", "-5s", "", "5000", "true"})
    {
        CAPTURE(value);
        errors.clear();
        auto const line = QByteArray("[teams]\nrevocation = ") + value;
        CHECK_FALSE(entry_with(line.constData(), errors));
        CHECK(errors.contains(QLatin1String("revocation")));
    }
}

TEST_CASE("entry and replica settings: memory and descriptors of the machine: "
          "callers get their share")
{
    QString errors;
    auto const entry =
        entry_with("[limits]\nmemory_mb = 112.5\nmax_fds = 1000", errors);
    REQUIRE(entry);
    CHECK(entry->callers_share.memory_bytes == 28125000);
    CHECK(entry->callers_share.connections <= 500);
    // A body of any configured size is still taken.
    CHECK(entry->limits.maximum_held_bytes == http_limits().maximum_held_bytes);
    auto const replica = replica_with("[limits]\nmemory_mb = 112.5");
    REQUIRE(replica);
    CHECK(replica->callers_share.memory_bytes == 28125000);
    CHECK_FALSE(entry_with("[limits]\nmax_fds = many", errors));
    CHECK_FALSE(replica_with("[limits]\nmemory_mb = -1"));
}
