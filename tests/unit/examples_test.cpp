#include "verbenacove/process/control_settings.hpp"
#include "verbenacove/process/entry_settings.hpp"

#include <QDir>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

using namespace verbenacove;

namespace
{

QDir examples_of(char const* house)
{
    return QDir(QStringLiteral(VERBENACOVE_EXAMPLES) + QLatin1Char('/') +
                QLatin1String(house));
}

QString errors_of(QString const& file)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<QString>
        {
            BOOST_LEAF_AUTO(document, load_ini(file));
            if (file.contains(QLatin1String("control-")))
            {
                BOOST_LEAF_CHECK(parse_control_settings(document));
            }
            else
            {
                BOOST_LEAF_CHECK(parse_entry_settings(document));
            }
            return QString();
        },
        [](setting_errors const& failures) { return failures.text(); },
        [] { return QStringLiteral("another error"); });
}

} // namespace

TEST_CASE("examples: both houses' settings: all are right")
{
    for (char const* house : {"karoo", "benjelloun"})
    {
        auto const folder = examples_of(house);
        auto const settings = folder.entryList({QStringLiteral("*.ini")});
        CHECK(settings.size() >= 16);
        for (auto const& file : settings)
        {
            CAPTURE(file.toStdString());
            CHECK(errors_of(folder.filePath(file)).toStdString() == "");
        }
    }
}
