#include "verbenacove/process/operator_service.hpp"

#include "verbenacove/core/log.hpp"
#include "verbenacove/process/operator_json.hpp"
#include "verbenacove/version/config_change.hpp"

#include <QDateTime>

#include <boost/leaf/handle_errors.hpp>
#include <jsonrpccpp/common/exception.h>

#include <utility>

namespace verbenacove
{

namespace
{

log_part const service_log{"operators"};

constexpr milliseconds usual_timeout{5000};
constexpr milliseconds longest_timeout{60000};

/** A JSON-RPC error that is to be answered. */
struct rpc_failure
{
    operator_error_code code = operator_error_code::invalid_parameters;
    QString message;
    QJsonObject data;
};

[[noreturn]] void raise(rpc_failure const& failure)
{
    throw jsonrpc::JsonRpcException(static_cast<int>(failure.code),
                                    failure.message.toStdString(),
                                    from_qt_json(failure.data));
}

rpc_failure invalid(record_errors const& errors)
{
    return {operator_error_code::invalid_parameters,
            QStringLiteral("Wrong parameters."),
            {{QStringLiteral("faults"), errors.text()}}};
}

rpc_failure failure_of(not_leader const& error)
{
    QJsonObject data;
    if (error.leader)
    {
        data.insert(QStringLiteral("leader"), error.leader->text());
    }
    return {operator_error_code::not_leader,
            QStringLiteral("Another replica leads."), data};
}

rpc_failure failure_of(no_quorum const&)
{
    return {operator_error_code::no_quorum,
            QStringLiteral("No majority of control replicas can be reached; "
                           "nothing was changed."),
            {}};
}

rpc_failure failure_of(outcome_unknown const&)
{
    return {operator_error_code::outcome_unknown,
            QStringLiteral("The time ran out; it may have been accepted: send "
                           "it again with the same change id."),
            {}};
}

/** Returns a call's answer, or throws the error that it ended with. */
template <class Call>
QCborMap answer_of(Call call)
{
    std::optional<rpc_failure> failure;
    auto const answer = boost::leaf::try_handle_all(
        call,
        [&](not_leader const& error)
        {
            failure = failure_of(error);
            return QCborMap();
        },
        [&](no_quorum const& error)
        {
            failure = failure_of(error);
            return QCborMap();
        },
        [&](outcome_unknown const& error)
        {
            failure = failure_of(error);
            return QCborMap();
        },
        [&](record_errors const& errors)
        {
            failure = invalid(errors);
            return QCborMap();
        },
        [&]
        {
            failure = failure_of(outcome_unknown());
            return QCborMap();
        });
    if (failure)
    {
        raise(*failure);
    }
    return answer;
}

/** Takes `timeout_ms` out of a call's parameters. */
milliseconds take_timeout(QJsonObject& parameters)
{
    auto const key = QStringLiteral("timeout_ms");
    QJsonObject own;
    if (parameters.contains(key))
    {
        own.insert(key, parameters.take(key));
    }
    record_errors errors;
    record_reader reader(own, errors);
    milliseconds const timeout(reader.number(
        "timeout_ms", 1, longest_timeout.count(), usual_timeout.count()));
    if (!errors.errors.empty())
    {
        raise(invalid(errors));
    }
    return timeout;
}

/** Returns the change that drains a target or ends its drain. */
config_change read_drain(QJsonObject const& parameters, change_action action)
{
    record_errors errors;
    record_reader reader(parameters, errors);
    drain_record drain;
    drain.scope =
        static_cast<drain_scope>(reader.choice("scope", drain_scope_words()));
    drain.target = reader.name("target");
    config_change change;
    change.id = change_id(reader.name("change_id"));
    change.author = reader.word("author", longest_author);
    change.expected =
        record_version(reader.number("expected_version", 0, highest_count));
    reader.finish();
    if (!errors.errors.empty())
    {
        raise(invalid(errors));
    }
    change.kind = record_kind::drain;
    change.name = drain_name(drain.scope, drain.target);
    change.action = action;
    if (action == change_action::put)
    {
        change.record = record_to_json(drain, change.schema);
    }
    return change;
}

jsonrpc::Procedure procedure(char const* name)
{
    // Parameters are checked here, where all faults are found at once.
    return {name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr};
}

} // namespace

operator_service::operator_service(operator_connector& connector,
                                   control_backend& backend)
    : jsonrpc::AbstractServer<operator_service>(connector)
    , backend_(backend)
{
    bindAndAddMethod(procedure("change"), &operator_service::change);
    bindAndAddMethod(procedure("drain"), &operator_service::drain);
    bindAndAddMethod(procedure("undrain"), &operator_service::undrain);
    bindAndAddMethod(procedure("read"), &operator_service::read);
    bindAndAddMethod(procedure("list"), &operator_service::list);
    bindAndAddMethod(procedure("history"), &operator_service::history);
    bindAndAddMethod(procedure("status"), &operator_service::status);
}

void operator_service::change(Json::Value const& parameters,
                              Json::Value& answer)
{
    auto named = to_qt_json(parameters);
    auto const timeout = take_timeout(named);
    record_errors errors;
    record_reader reader(named, errors);
    auto const change = reader.object("change");
    reader.finish();
    if (!errors.errors.empty())
    {
        raise(invalid(errors));
    }
    answer = submit(QCborMap::fromJsonObject(change), timeout);
}

void operator_service::drain(Json::Value const& parameters, Json::Value& answer)
{
    auto named = to_qt_json(parameters);
    auto const timeout = take_timeout(named);
    auto const change = read_drain(named, change_action::put);
    answer = submit(change_to_cbor(change), timeout);
}

void operator_service::undrain(Json::Value const& parameters,
                               Json::Value& answer)
{
    auto named = to_qt_json(parameters);
    auto const timeout = take_timeout(named);
    auto const change = read_drain(named, change_action::remove);
    answer = submit(change_to_cbor(change), timeout);
}

void operator_service::read(Json::Value const& parameters, Json::Value& answer)
{
    answer = query(QStringLiteral("read"), parameters);
}

void operator_service::list(Json::Value const& parameters, Json::Value& answer)
{
    answer = query(QStringLiteral("list"), parameters);
}

void operator_service::history(Json::Value const& parameters,
                               Json::Value& answer)
{
    answer = query(QStringLiteral("history"), parameters);
}

void operator_service::status(Json::Value const& parameters,
                              Json::Value& answer)
{
    answer = query(QStringLiteral("status"), parameters);
}

Json::Value operator_service::submit(QCborMap change, milliseconds timeout)
{
    change.insert(QStringLiteral("asked_at"),
                  QDateTime::currentDateTimeUtc().toString(Qt::ISODateWithMs));
    auto const answer = answer_of(
        [&]() -> boost::leaf::result<QCborMap>
        {
            BOOST_LEAF_AUTO(parsed, parse_change(change));
            BOOST_LEAF_AUTO(result, backend_.submit(change, timeout));
            service_log.info(
                QStringLiteral("Change %1 of %2 %3 by %4: %5.")
                    .arg(parsed.id.value(), record_kind_word(parsed.kind),
                         parsed.name, parsed.author,
                         result.value(QStringLiteral("outcome")).toString()));
            return result;
        });
    return from_qt_json(answer.toJsonObject());
}

Json::Value operator_service::query(QString const& what,
                                    Json::Value const& parameters)
{
    auto named = to_qt_json(parameters);
    auto const timeout = take_timeout(named);
    named.insert(QStringLiteral("what"), what);
    auto const answer = answer_of(
        [&]
        { return backend_.query(QCborMap::fromJsonObject(named), timeout); });
    return from_qt_json(answer.toJsonObject());
}

} // namespace verbenacove
