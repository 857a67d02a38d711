#include "verbenacove/core/cbor.hpp"

#include <doctest/doctest.h>

using namespace verbenacove;

TEST_CASE("cbor: a whole map: read; cut anywhere, or with more behind: not")
{
    QCborMap const map{
        {QLatin1String("m"), QLatin1String("sync")},
        {QLatin1String("list"), QCborArray{1, QByteArray(40, 'x'), 2.5}},
        {QLatin1String("in"), QCborMap{{QLatin1String("a"), true}}}};
    auto const bytes = map.toCborValue().toCbor();
    auto const whole = parse_cbor_map(bytes);
    REQUIRE(whole);
    CHECK(*whole == map);
    for (qsizetype size = 0; size < bytes.size(); ++size)
    {
        CHECK_FALSE(parse_cbor_map(bytes.left(size)));
    }
    CHECK_FALSE(parse_cbor_map(bytes + 'x'));
    CHECK_FALSE(parse_cbor_map(QCborValue(7).toCbor()));
}
