#include "verbenacove/core/setting_reader.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

QString errors_of(QString const& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<QString>
        {
            BOOST_LEAF_AUTO(document, parse_ini(QStringLiteral("a.ini"), text));
            setting_reader reader(document);
            reader.name("entry", "name");
            reader.duration("entry", "wait", milliseconds(10), milliseconds(1),
                            milliseconds(5000));
            reader.addresses("peers", "addresses");
            BOOST_LEAF_CHECK(reader.finish());
            return QString();
        },
        [](setting_errors const& failures) { return failures.text(); },
        [] { return QStringLiteral("another error"); });
}

} // namespace

TEST_CASE("settings: all keys right: no error")
{
    CHECK(errors_of(QStringLiteral("[entry]\nname = e1\nwait = 2 s\n"
                                   "[peers]\naddresses = 127.0.0.1:1, "
                                   "127.0.0.1:2\n")) == QString());
}

TEST_CASE("settings: several faults: each named with its line, all at once")
{
    auto const errors =
        errors_of(QStringLiteral("[entry]\nname = e 1\nwait = 2 h\n"
                                 "colour = red\n[peers]\n"
                                 "addresses = 127.0.0.1:1,127.0.0.1:1\n"
                                 "[other]\nx = 1\n"));
    CHECK(errors.contains(QStringLiteral("a.ini:2: [entry] name = e 1")));
    CHECK(errors.contains(QStringLiteral("a.ini:3: [entry] wait = 2 h")));
    CHECK(errors.contains(QStringLiteral("a.ini:4: [entry] colour = red: "
                                         "unknown key")));
    CHECK(errors.contains(QStringLiteral("a.ini:6: [peers] addresses")));
    CHECK(errors.contains(QStringLiteral("names 127.0.0.1:1 twice")));
    CHECK(errors.contains(QStringLiteral("a.ini:8: [other] x = 1: "
                                         "unknown section")));
}

TEST_CASE("settings: a key given twice: an error at the second line")
{
    CHECK(errors_of(QStringLiteral("[entry]\nname = a\nname = b\n"))
              .contains(QStringLiteral("a.ini:3: [entry] name = b: "
                                       "given twice")));
}
