#ifndef VERBENACOVE_PROCESS_OPERATOR_OUTPUT_HPP
#define VERBENACOVE_PROCESS_OPERATOR_OUTPUT_HPP

#include <QJsonArray>
#include <QJsonObject>
#include <QString>

namespace verbenacove
{

/** Returns an object as indented JSON. */
QString json_output(QJsonObject const& object);

/** Returns an object for people: a line for each member; below them a table
    for each list of objects. */
QString table_output(QJsonObject const& object);

} // namespace verbenacove

#endif
