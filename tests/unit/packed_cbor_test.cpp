#include "verbenacove/core/packed_cbor.hpp"
#include "verbenacove/process/control_state.hpp"

#include <doctest/doctest.h>

#include <QCborArray>

using namespace verbenacove;

namespace
{

constexpr int large_change_items = 1400;
/** What a link of 2 Mbit/s carries in a quarter of a second. */
constexpr qsizetype maximum_large_change_bytes = 64 * 1024;

route_change change_of(int items)
{
    route_change change;
    change.version = route_version(7);
    change.is_whole = true;
    change.signature = "signature";
    routed_service service;
    service.name = service_name(QStringLiteral("grades"));
    change.services.push_back(service);
    for (int number = 0; number < items; ++number)
    {
        route_record route;
        route.name = QStringLiteral("r-%1").arg(number);
        route.host = QStringLiteral("host-%1.example").arg(number % 7);
        route.path_prefix = QStringLiteral("/lots/%1/").arg(number);
        route.split = {{service_name(QStringLiteral("grades")), 1}};
        route.source = {{QLatin1String("Hostname"), route.host},
                        {QLatin1String("PathPrefix"), route.path_prefix},
                        {QLatin1String("Service"), QLatin1String("grades")},
                        {QLatin1String("Timeout"), QLatin1String("1500ms")}};
        change.routes.push_back(route);
    }
    return change;
}

} // namespace

TEST_CASE("packed CBOR: a map: the same after unpacking")
{
    QCborMap const map{{QLatin1String("version"), 7},
                       {QLatin1String("routes"), QCborArray{1, 2, 3}}};
    CHECK(unpack_cbor(pack_cbor(map)) == map);
}

TEST_CASE("packed CBOR: bytes that are cut or no CBOR: nothing")
{
    auto const packed = pack_cbor({{QLatin1String("version"), 7}});
    for (qsizetype size = 0; size < packed.size(); ++size)
    {
        CHECK_FALSE(unpack_cbor(packed.left(size)));
    }
    CHECK_FALSE(unpack_cbor(qCompress(QByteArray("no map"))));
}

TEST_CASE("packed CBOR: a stated size over the bound: nothing")
{
    auto packed = pack_cbor({{QLatin1String("version"), 7}});
    packed[0] = char(0xff);
    CHECK_FALSE(unpack_cbor(packed));
}

TEST_CASE("large change of routes: as a command of the log: small, and applied")
{
    auto const command = control_state::route_command(
        change_of(large_change_items), control_state::form::latest);
    CHECK(command.toCborValue().toCbor().size() < maximum_large_change_bytes);
    control_state state;
    auto const result = parse_order_result(state.apply(command, log_index(1)));
    CHECK(result.outcome == order_outcome::accepted);
    CHECK(state.routes().current()->routes.size() == large_change_items);
}

TEST_CASE("small change of routes: as a command of the log: as before")
{
    auto const command =
        control_state::route_command(change_of(2), control_state::form::latest);
    CHECK(command.contains(QLatin1String("route")));
    control_state state;
    auto const result = parse_order_result(state.apply(command, log_index(1)));
    CHECK(result.outcome == order_outcome::accepted);
}
