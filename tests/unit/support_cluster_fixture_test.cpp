#include "support/cluster_fixture.hpp"
#include "support/fault_proxy.hpp"
#include "support/http_caller.hpp"
#include "support/upstream_stand_in.hpp"
#include "support/wait_until.hpp"

#include <QCoreApplication>
#include <QFileInfo>

#include <doctest/doctest.h>

using namespace verbenacove;
using namespace verbenacove::support;

namespace
{

/** A cluster of one upstream whose two entries are stand-ins in this process:
    one is refused by a proxy, the other takes announcements as runs. */
struct announce_fixture
{
    announce_fixture()
    {
        stand_in_options options;
        options.id = QStringLiteral("entry-2");
        options.listen = {QHostAddress(QHostAddress::LocalHost), free_port()};
        options.run_log = folder.filePath(QStringLiteral("announced"));
        entry = std::make_unique<upstream_stand_in>(options);
        refused = std::make_unique<fault_proxy>(options.listen);
        tcp_faults faults;
        faults.refuse = true;
        refused->set_faults(faults);
        cluster.add_entry(QStringLiteral("entry-1"), here);
        cluster.add_entry(QStringLiteral("entry-2"), here);
        cluster.add_upstream(upstream, QStringLiteral("gradebook"), here);
        cluster.advertise(QStringLiteral("entry-1"), door::http,
                          refused->address());
        cluster.advertise(QStringLiteral("entry-2"), door::http,
                          options.listen);
        REQUIRE(cluster.start(upstream));
    }

    std::size_t announcements() const
    {
        return read_run_log(folder.filePath(QStringLiteral("announced")))
            .size();
    }

    static QString binaries()
    {
        ensure_application();
        return QFileInfo(QCoreApplication::applicationDirPath()).path();
    }

    QTemporaryDir folder;
    place here{QStringLiteral("wcape"), QStringLiteral("wcape-a")};
    QString upstream = QStringLiteral("gradebook-1");
    std::unique_ptr<upstream_stand_in> entry;
    std::unique_ptr<fault_proxy> refused;
    cluster_fixture cluster{binaries()};
};

} // namespace

TEST_CASE_FIXTURE(announce_fixture,
                  "stand-in: first entry refuses: announces to the next one")
{
    CHECK(wait_until([&] { return announcements() >= 1; }));
    CHECK(refused->counters().connections == 0);
    CHECK(cluster.wait_ready(upstream));
}

TEST_CASE_FIXTURE(announce_fixture,
                  "stand-in: told to stop: announces at once, ends with 0")
{
    REQUIRE(wait_until([&] { return announcements() >= 1; }));
    auto const before = announcements();
    auto& process = cluster.process(upstream);
    CHECK(process.stop_gracefully(milliseconds(800)) == 0);
    CHECK(announcements() == before + 1);
}

TEST_CASE("cluster fixture: advertised to one viewer: others see it direct")
{
    cluster_fixture cluster{QString()};
    auto const name = QStringLiteral("control-1");
    auto const viewer = QStringLiteral("control-2");
    socket_address const proxy{QHostAddress(QHostAddress::LocalHost), 9};
    cluster.add_control(name, {});
    cluster.advertise(name, door::internal, proxy, viewer);
    CHECK(cluster.advertised(name, door::internal, viewer) == proxy);
    CHECK(cluster.advertised(name, door::internal) ==
          cluster.address(name, door::internal));
}
