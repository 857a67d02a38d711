#ifndef VERBENACOVE_PROCESS_OPERATOR_JSON_HPP
#define VERBENACOVE_PROCESS_OPERATOR_JSON_HPP

#include <QJsonObject>

#include <jsonrpccpp/common/jsonparser.h>

namespace verbenacove
{

/** Returns an object of libjsonrpccpp as one of Qt; an empty one when the
    value is no object. */
QJsonObject to_qt_json(Json::Value const& value);

/** Returns an object of Qt as one of libjsonrpccpp.

    @see to_qt_json
*/
Json::Value from_qt_json(QJsonObject const& object);

} // namespace verbenacove

#endif
