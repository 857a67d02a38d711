#include "verbenacove/process/discovery/departure_log.hpp"
#include "verbenacove/process/durable_file.hpp"

#include <doctest/doctest.h>

#include <QFileInfo>
#include <QTemporaryDir>

using namespace verbenacove;

namespace
{

struct departure_fixture
{
    departure_fixture() { log->open(clock.now()); }
    ~departure_fixture() { set_write_fault(nullptr); }

    static upstream_member departure(QString const& id, qint64 started = 1000)
    {
        upstream_member record;
        record.id = id;
        record.started = incarnation(started);
        record.phase = member_phase::gone;
        record.content.service = service_name(QStringLiteral("gradebook"));
        record.content.address =
            *parse_socket_address(QStringLiteral("10.1.0.1:80"));
        return record;
    }

    bool store(QString const& id)
    {
        return log->store({departure(id)}, clock.now());
    }

    /** Opens the file anew, as a replica that starts again. */
    QStringList read_again()
    {
        log = std::make_unique<departure_log>(folder.path());
        QStringList ids;
        for (auto const& record : log->open(clock.now()))
        {
            CHECK(record.phase == member_phase::gone);
            ids += record.id;
        }
        ids.sort();
        return ids;
    }

    QString file() const
    {
        return folder.path() + QStringLiteral("/departures");
    }

    QTemporaryDir folder;
    manual_clock_source clock;
    std::unique_ptr<departure_log> log =
        std::make_unique<departure_log>(folder.path());
};

QStringList ids(std::initializer_list<char const*> names)
{
    QStringList result;
    for (auto const* name : names)
    {
        result += QString::fromLatin1(name);
    }
    return result;
}

} // namespace

TEST_CASE_FIXTURE(
    departure_fixture,
    "departure log: stored and opened again, twice: all are there")
{
    CHECK(store(QStringLiteral("a")));
    CHECK(store(QStringLiteral("b")));
    CHECK(read_again() == ids({"a", "b"}));
    CHECK(store(QStringLiteral("c")));
    CHECK(read_again() == ids({"a", "b", "c"}));
}

TEST_CASE_FIXTURE(departure_fixture,
                  "departure log: stored already: costs no write, a later "
                  "incarnation does")
{
    CHECK(store(QStringLiteral("a")));
    auto const size = QFileInfo(file()).size();
    CHECK(store(QStringLiteral("a")));
    CHECK(QFileInfo(file()).size() == size);
    CHECK_FALSE(log->has(departure(QStringLiteral("a"), 2000)));
}

TEST_CASE_FIXTURE(departure_fixture,
                  "departure log: a record is torn by a loss of power: those "
                  "before it are there")
{
    CHECK(store(QStringLiteral("a")));
    CHECK(store(QStringLiteral("b")));
    QFile stored(file());
    REQUIRE(stored.resize(stored.size() - 3));
    CHECK(read_again() == ids({"a"}));
    CHECK(store(QStringLiteral("c")));
    CHECK(read_again() == ids({"a", "c"}));
}

TEST_CASE_FIXTURE(departure_fixture,
                  "departure log: the disk is full, then has space: refused, "
                  "then stored")
{
    CHECK(store(QStringLiteral("a")));
    set_write_fault([](QString const&) { return true; });
    CHECK_FALSE(store(QStringLiteral("b")));
    set_write_fault(nullptr);
    CHECK(store(QStringLiteral("c")));
    CHECK(read_again() == ids({"a", "c"}));
}

TEST_CASE_FIXTURE(departure_fixture,
                  "departure log: rewritten with what still matters: nothing "
                  "else is there")
{
    CHECK(store(QStringLiteral("a")));
    CHECK(store(QStringLiteral("b")));
    log->rewrite({departure(QStringLiteral("b"))}, clock.now());
    CHECK_FALSE(log->has(departure(QStringLiteral("a"))));
    CHECK(read_again() == ids({"b"}));
}
