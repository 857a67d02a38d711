#include "verbenacove/process/operator_client.hpp"

#include <QJsonDocument>
#include <QStringList>
#include <QThread>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace
{

using ending = operator_rpc_answer::ending;

/** What is kept of a try for the server's answer to come back in. */
constexpr milliseconds return_time{500};
constexpr milliseconds shortest_try{50};
/** Time left below which no further try is begun. One that is cut off may have
    run, so a change that no replica took would count as undecided. */
constexpr milliseconds shortest_further_try{250};

/** How often in a row it goes where a replica says that the leader is. */
constexpr int most_follows = 2;

bool has_code(operator_rpc_answer const& answer, operator_error_code code)
{
    return answer.how == ending::error && answer.code == static_cast<int>(code);
}

/** Returns true when the answer says for certain that nothing was changed. */
bool is_surely_not_run(operator_rpc_answer const& answer)
{
    return answer.how == ending::no_connection ||
           has_code(answer, operator_error_code::not_leader) ||
           has_code(answer, operator_error_code::no_quorum);
}

bool is_final(operator_rpc_answer const& answer)
{
    return answer.how == ending::error && !is_surely_not_run(answer) &&
           !has_code(answer, operator_error_code::outcome_unknown);
}

QJsonObject json_of(operator_rpc_answer const& answer)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(answer.json))
        .object();
}

/** Returns the faults that an answer names, or else its message. */
QString reasons_of(operator_rpc_answer const& answer)
{
    auto const faults =
        json_of(answer).value(QStringLiteral("faults")).toString();
    return faults.isEmpty() ? QString::fromStdString(answer.message) : faults;
}

std::optional<socket_address> leader_of(operator_rpc_answer const& answer)
{
    return parse_socket_address(
        json_of(answer).value(QStringLiteral("leader")).toString());
}

} // namespace

operator_client::operator_client(operator_client_settings settings)
    : settings_(std::move(settings))
{
    Q_ASSERT(!settings_.controls.empty());
}

boost::leaf::result<change_result>
operator_client::change(config_change const& change)
{
    attempt request;
    request.method = QStringLiteral("change");
    request.parameters = {
        {QStringLiteral("change"), change_to_cbor(change).toJsonObject()}};
    BOOST_LEAF_AUTO(answer, ask(std::move(request)));
    return change_result_from_cbor(QCborMap::fromJsonObject(answer));
}

boost::leaf::result<QJsonObject>
operator_client::query(QString const& method, QJsonObject const& parameters)
{
    attempt request;
    request.method = method;
    request.parameters = parameters;
    return ask(std::move(request));
}

boost::leaf::result<QJsonObject> operator_client::ask(attempt request)
{
    request.end = clock_.now() + settings_.timeout;
    std::size_t tries = 0;
    do
    {
        auto const address = next_address();
        auto const answer = try_once(request, address);
        if (answer.how == ending::result)
        {
            return json_of(answer);
        }
        if (is_final(answer))
        {
            return boost::leaf::new_error(request_invalid{reasons_of(answer)});
        }
        bool const is_followed = note_failure(request, address, answer);
        ++tries;
        if (!is_followed && tries % settings_.controls.size() == 0)
        {
            auto const left = elapsed(clock_.now(), request.end);
            QThread::msleep(
                std::clamp<qint64>(left.count(), 0, settings_.pause.count()));
        }
    } while (elapsed(clock_.now(), request.end) >= shortest_further_try);
    return give_up(request);
}

operator_rpc_answer
operator_client::try_once(attempt const& request,
                          socket_address const& address) const
{
    auto const left = elapsed(clock_.now(), request.end);
    auto const limit =
        std::max(std::min(left, settings_.try_timeout), shortest_try);
    auto parameters = request.parameters;
    parameters.insert(
        QStringLiteral("timeout_ms"),
        static_cast<qint64>(std::max(limit - return_time, limit / 2).count()));
    auto const url = QStringLiteral("http://%1/").arg(address.text());
    return operator_rpc_call(
        url.toStdString(), request.method.toStdString(),
        QJsonDocument(parameters).toJson(QJsonDocument::Compact).toStdString(),
        limit.count());
}

bool operator_client::note_failure(attempt& request,
                                   socket_address const& address,
                                   operator_rpc_answer const& answer)
{
    request.may_have_run = request.may_have_run || !is_surely_not_run(answer);
    request.reasons[address.text()] = QString::fromStdString(answer.message);
    if (!has_code(answer, operator_error_code::not_leader))
    {
        return false;
    }
    leader_ = leader_of(answer);
    bool const is_followed =
        leader_ && *leader_ != address && request.follows < most_follows;
    if (!is_followed)
    {
        leader_.reset();
        request.follows = 0;
        return false;
    }
    ++request.follows;
    return true;
}

boost::leaf::result<QJsonObject>
operator_client::give_up(attempt const& request) const
{
    bool const is_change = request.method == QLatin1String("change");
    if (is_change && request.may_have_run)
    {
        return boost::leaf::new_error(outcome_unknown());
    }
    QStringList lines;
    for (auto const& [address, reason] : request.reasons)
    {
        lines += address + QStringLiteral(": ") + reason;
    }
    return boost::leaf::new_error(
        control_unreachable{lines.join(QLatin1Char('\n'))});
}

socket_address operator_client::next_address()
{
    if (leader_)
    {
        return *std::exchange(leader_, std::nullopt);
    }
    auto address = settings_.controls.at(next_);
    next_ = (next_ + 1) % settings_.controls.size();
    return address;
}

} // namespace verbenacove
