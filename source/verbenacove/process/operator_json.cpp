#include "verbenacove/process/operator_json.hpp"

#include <QJsonDocument>

#include <memory>

namespace verbenacove
{

QJsonObject to_qt_json(Json::Value const& value)
{
    auto const text = Json::writeString(Json::StreamWriterBuilder(), value);
    return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

Json::Value from_qt_json(QJsonObject const& object)
{
    auto const text = QJsonDocument(object).toJson(QJsonDocument::Compact);
    std::unique_ptr<Json::CharReader> const reader(
        Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

} // namespace verbenacove
