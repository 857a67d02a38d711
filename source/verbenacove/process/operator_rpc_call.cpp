#include "verbenacove/process/operator_rpc_call.hpp"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

#include <memory>

namespace verbenacove
{

namespace
{

using ending = operator_rpc_answer::ending;

/** How the connector begins its message when it got no connection. */
constexpr char const* no_connection_mark = "libcurl error: 7 ";

std::string to_text(Json::Value const& value)
{
    return Json::writeString(Json::StreamWriterBuilder(), value);
}

Json::Value from_text(std::string const& text)
{
    std::unique_ptr<Json::CharReader> const reader(
        Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

/** Returns true for codes that mean that the answer was none of a server of
    this kind. */
bool is_client_error(int code)
{
    return code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR ||
           code == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR ||
           code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
}

operator_rpc_answer answer_of(jsonrpc::JsonRpcException const& failure)
{
    operator_rpc_answer answer;
    answer.code = failure.GetCode();
    answer.message = failure.GetMessage();
    if (!is_client_error(answer.code))
    {
        answer.how = ending::error;
        answer.json = to_text(failure.GetData());
    }
    else if (answer.message.find(no_connection_mark) != std::string::npos)
    {
        answer.how = ending::no_connection;
    }
    return answer;
}

} // namespace

operator_rpc_answer operator_rpc_call(std::string const& url,
                                      std::string const& method,
                                      std::string const& parameters,
                                      long timeout_ms)
{
    try
    {
        jsonrpc::HttpClient connector(url);
        connector.SetTimeout(timeout_ms);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        operator_rpc_answer answer;
        answer.json = to_text(client.CallMethod(method, from_text(parameters)));
        answer.how = ending::result;
        return answer;
    }
    catch (jsonrpc::JsonRpcException const& failure)
    {
        return answer_of(failure);
    }
    catch (std::exception const& failure)
    {
        operator_rpc_answer answer;
        answer.message = failure.what();
        return answer;
    }
}

} // namespace verbenacove
