#include "http_caller.hpp"

#include <QElapsedTimer>
#include <QJsonDocument>
#include <QTcpSocket>

#include <memory>

#include <curl/curl.h>

namespace verbenacove::support
{
namespace
{

std::size_t take_header(char* data, std::size_t, std::size_t size, void* answer)
{
    auto& headers = static_cast<http_answer*>(answer)->headers;
    auto const line = QByteArray(data, static_cast<qsizetype>(size)).trimmed();
    auto const colon = line.indexOf(':');
    if (line.startsWith("HTTP/"))
    {
        headers.clear();
    }
    else if (colon > 0)
    {
        headers.insert(line.left(colon).toLower(),
                       line.mid(colon + 1).trimmed());
    }
    return size;
}

std::size_t take_body(char* data, std::size_t, std::size_t size, void* answer)
{
    static_cast<http_answer*>(answer)->body.append(
        data, static_cast<qsizetype>(size));
    return size;
}

call_error error_of(CURLcode code, CURL* handle)
{
    curl_off_t connected_us = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connected_us);
    switch (code)
    {
    case CURLE_OK:
        return call_error::none;
    case CURLE_COULDNT_CONNECT:
        return call_error::connect_failed;
    case CURLE_OPERATION_TIMEDOUT:
        return connected_us > 0 ? call_error::timed_out
                                : call_error::connect_failed;
    case CURLE_PARTIAL_FILE:
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
        return call_error::truncated;
    default:
        return call_error::other;
    }
}

// An answer with neither length nor chunks could be cut without a trace.
void check_length(http_answer& answer, bool has_body)
{
    if (!has_body || answer.error != call_error::none ||
        answer.headers.value("transfer-encoding") == "chunked")
    {
        return;
    }
    bool is_number = false;
    auto const length =
        answer.headers.value("content-length").toLongLong(&is_number);
    if (!is_number || length != answer.body.size())
    {
        answer.error = call_error::truncated;
        answer.message = QStringLiteral("body of %1 bytes, length given: %2")
                             .arg(answer.body.size())
                             .arg(is_number ? QString::number(length)
                                            : QStringLiteral("none"));
    }
}

} // namespace

bool http_answer::is(int expected_status) const
{
    return error == call_error::none && status == expected_status;
}

QJsonObject http_answer::json() const
{
    return QJsonDocument::fromJson(body).object();
}

http_answer call_http(http_call const& call)
{
    http_answer answer;
    std::unique_ptr<CURL, void (*)(CURL*)> const owner(curl_easy_init(),
                                                       curl_easy_cleanup);
    auto* const handle = owner.get();
    curl_slist* lines = curl_slist_append(nullptr, "Expect:");
    for (auto const& header : call.headers)
    {
        lines = curl_slist_append(lines, header.constData());
    }
    std::unique_ptr<curl_slist, void (*)(curl_slist*)> const lines_owner(
        lines, curl_slist_free_all);
    auto const url = "http://" + call.address.text().toUtf8() + call.target;
    curl_easy_setopt(handle, CURLOPT_URL, url.constData());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(call.timeout.count()));
    if (!call.body.isEmpty() || call.method == "POST")
    {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.constData());
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.constData());
    curl_easy_setopt(handle, CURLOPT_NOBODY, call.method == "HEAD" ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &answer);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer);

    auto const code = curl_easy_perform(handle);
    answer.error = error_of(code, handle);
    answer.message = QString::fromUtf8(curl_easy_strerror(code));
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    check_length(answer, call.method != "HEAD" && status != 204);
    return answer;
}

QByteArray raw_exchange(socket_address const& address, QByteArray const& bytes,
                        milliseconds timeout)
{
    QElapsedTimer timer;
    timer.start();
    auto const left = [&]
    {
        return static_cast<int>(
            std::max<qint64>(0, timeout.count() - timer.elapsed()));
    };
    QTcpSocket socket;
    socket.connectToHost(address.host, address.port);
    if (!socket.waitForConnected(left()))
    {
        return {};
    }
    socket.write(bytes);
    while (left() > 0 && socket.waitForReadyRead(left()))
    {
    }
    return socket.readAll();
}

} // namespace verbenacove::support
