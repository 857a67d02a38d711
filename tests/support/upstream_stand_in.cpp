#include "upstream_stand_in.hpp"

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QFile>
#include <QJsonDocument>
#include <QNetworkReply>
#include <QTcpSocket>
#include <QUrlQuery>

#include <array>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace verbenacove::support
{
namespace
{

using namespace Qt::Literals::StringLiterals;
using ending = stand_in_behaviour::ending;

constexpr qsizetype head_limit_bytes = 64 * 1024;
constexpr qint64 body_limit_bytes = 16 * 1024 * 1024;
constexpr std::size_t requests_kept = 1000;
constexpr milliseconds default_announce_interval{1000};
constexpr milliseconds retry_interval{200};
constexpr milliseconds announce_timeout{1000};
constexpr milliseconds drain_check_interval{5};
constexpr int exit_code_of_crash = 99;

struct ending_word
{
    char const* word;
    ending end;
};

constexpr std::array<ending_word, 6> ending_words{{
    {"answer", ending::answer},
    {"close", ending::close},
    {"reset", ending::reset},
    {"silence", ending::silence},
    {"half", ending::half},
    {"fail", ending::fail},
}};

bool apply_word(stand_in_behaviour& behaviour, QByteArray const& word)
{
    for (auto const& [name, end] : ending_words)
    {
        if (word == name)
        {
            behaviour.end = end;
            return true;
        }
    }
    if (word == "lie" || word == "honest")
    {
        behaviour.lies = word == "lie";
        return true;
    }
    if (word.startsWith("crash="))
    {
        behaviour.crash_marker = word.mid(6);
        return true;
    }
    bool is_number = false;
    behaviour.slow = milliseconds(word.mid(5).toInt(&is_number));
    return word.startsWith("slow=") && is_number;
}

void reset(QTcpSocket& socket)
{
    linger const none{1, 0};
    ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &none, sizeof none);
    socket.abort();
}

QByteArray http_bytes(QString const& upstream, QByteArray const& method,
                      int status, QJsonObject const& body)
{
    auto const bytes = QJsonDocument(body).toJson(QJsonDocument::Compact);
    return "HTTP/1.1 " + QByteArray::number(status) +
           " -\r\nContent-Type: application/json\r\nX-Upstream: " +
           upstream.toUtf8() +
           "\r\nContent-Length: " + QByteArray::number(bytes.size()) +
           "\r\n\r\n" + (method == "HEAD" ? QByteArray() : bytes);
}

QJsonObject object_of(QHash<QByteArray, int> const& counts)
{
    QJsonObject result;
    for (auto i = counts.begin(); i != counts.end(); ++i)
    {
        result.insert(QString::fromUtf8(i.key()), i.value());
    }
    return result;
}

} // namespace

bool apply_words(stand_in_behaviour& behaviour, QByteArray const& words)
{
    for (auto const& word : words.split(','))
    {
        if (!apply_word(behaviour, word.trimmed()))
        {
            return false;
        }
    }
    return true;
}

std::vector<logged_run> read_run_log(QString const& file)
{
    std::vector<logged_run> result;
    QFile log(file);
    if (!log.open(QIODevice::ReadOnly))
    {
        return result;
    }
    for (auto const& line : log.readAll().split('\n'))
    {
        auto const parts = line.split('\t');
        if (parts.size() == 4)
        {
            result.push_back(
                {parts[0].toLongLong(), parts[1], parts[2], parts[3]});
        }
    }
    return result;
}

QByteArray answer_padding(QByteArray const& path, QByteArray const& key,
                          qsizetype size)
{
    auto const block =
        QCryptographicHash::hash(path + ' ' + key, QCryptographicHash::Sha256)
            .toHex();
    return block.repeated(size / block.size() + 1).left(size);
}

/** One request, as read from its caller. */
struct upstream_stand_in::request
{
    QByteArray method;
    QByteArray target;
    QByteArray path;
    QHash<QByteArray, QByteArray> headers;
    QByteArray body;
    qint64 length = 0;
    stand_in_behaviour behaviour;
    /** This upstream's runs of the key, or of all requests without a key. */
    int run = 0;

    QByteArray key() const { return headers.value("idempotency-key"); }

    /** Reads everything before the body; false when it is no request. */
    bool parse_head(QByteArray const& head)
    {
        auto const lines = head.split('\n');
        auto const words = lines.front().trimmed().split(' ');
        if (words.size() != 3 || words[2] != "HTTP/1.1")
        {
            return false;
        }
        method = words[0];
        target = words[1];
        path = target.split('?').front();
        for (qsizetype i = 1; i < lines.size(); ++i)
        {
            auto const colon = lines[i].indexOf(':');
            headers.insert(lines[i].left(colon).toLower(),
                           lines[i].mid(colon + 1).trimmed());
        }
        bool is_number = true;
        length = headers.value("content-length", "0").toLongLong(&is_number);
        return is_number && length >= 0;
    }
};

/** A caller's connection and the request that it is at. */
struct upstream_stand_in::connection
{
    QTcpSocket* socket = nullptr;
    QByteArray input;
    bool has_head = false;
    /** The request is whole, and its answer is not yet sent. */
    bool is_in_hand = false;
    bool has_slot = false;
    request current;
    timer_service::subscription timer;
};

upstream_stand_in::upstream_stand_in(stand_in_options options)
    : options_(std::move(options))
    , random_(options_.seed)
    , entries_(options_.entries)
{
    if (!options_.run_log.isEmpty())
    {
        run_log_ = ::open(options_.run_log.toLocal8Bit().constData(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
    QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                     [this] { accept_all(); });
    server_.setListenBacklogSize(options_.connections);
    if (server_.listen(options_.listen.host, options_.listen.port))
    {
        announce();
    }
}

upstream_stand_in::~upstream_stand_in()
{
    for (auto* const socket : server_.findChildren<QTcpSocket*>())
    {
        socket->disconnect();
        delete socket;
    }
    waiting_.clear();
    next_announcement_.cancel();
    drain_check_.cancel();
    // Timers are deleted later, for which no event loop may be left.
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    if (run_log_ >= 0)
    {
        ::close(run_log_);
    }
}

void upstream_stand_in::accept_all()
{
    while (auto* const socket = server_.nextPendingConnection())
    {
        ++connections_;
        auto const made = std::make_shared<connection>();
        made->socket = socket;
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, made] { read(made); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket,
                         [this, made]
                         {
                             cancelled_ += made->is_in_hand ? 1 : 0;
                             release(made);
                             made->socket->deleteLater();
                         });
        read(made);
    }
}

void upstream_stand_in::read(connection_ptr const& from)
{
    if (from->is_in_hand)
    {
        return;
    }
    from->input += from->socket->readAll();
    auto& current = from->current;
    if (!from->has_head)
    {
        auto const end = from->input.indexOf("\r\n\r\n");
        if (end < 0 && from->input.size() < head_limit_bytes)
        {
            return;
        }
        current = request{};
        current.behaviour = options_.behaviour;
        if (end < 0 || !current.parse_head(from->input.left(end)) ||
            current.length > body_limit_bytes)
        {
            reset(*from->socket);
            return;
        }
        from->input.remove(0, end + 4);
        from->has_head = true;
        if (current.headers.contains("expect"))
        {
            from->socket->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
    if (from->input.size() < current.length)
    {
        return;
    }
    current.body = from->input.left(current.length);
    from->input.remove(0, current.length);
    from->has_head = false;
    from->is_in_hand = true;
    handle(from);
}

void upstream_stand_in::handle(connection_ptr const& from)
{
    auto& current = from->current;
    if (current.headers.contains("transfer-encoding"))
    {
        return answer(from, 411, {{u"error"_s, u"length-required"_s}});
    }
    if (current.path == "/health")
    {
        return answer(from, 200,
                      {{u"state"_s, state_},
                       {u"load"_s, load()},
                       {u"incarnation"_s, options_.incarnation}});
    }
    if (current.path == "/control/counts")
    {
        return answer(from, 200, counts());
    }
    if (current.path == "/control")
    {
        return control(from);
    }
    auto const words = current.headers.value("x-stand-in");
    if (!words.isEmpty() && !apply_words(current.behaviour, words))
    {
        return answer(from, 400, {{u"error"_s, u"unknown-behaviour"_s}});
    }
    queue(from);
}

void upstream_stand_in::control(connection_ptr const& from)
{
    auto const wanted = QJsonDocument::fromJson(from->current.body).object();
    auto const words = wanted.value(u"behaviour"_s).toString().toUtf8();
    if (!words.isEmpty() && !apply_words(options_.behaviour, words))
    {
        return answer(from, 400, {{u"error"_s, u"unknown-behaviour"_s}});
    }
    options_.service_time = milliseconds(
        wanted.value(u"service_ms"_s)
            .toInt(static_cast<int>(options_.service_time.count())));
    auto const state = wanted.value(u"state"_s).toString(state_);
    if (state != state_)
    {
        state_ = state;
        announce();
    }
    answer(from, 200, {{u"state"_s, state_}});
}

void upstream_stand_in::queue(connection_ptr const& from)
{
    if (from->current.behaviour.end == ending::fail)
    {
        note_run(from->current);
        return answer(from, 500, {{u"error"_s, u"failed"_s}});
    }
    if (static_cast<int>(waiting_.size()) >= options_.queue_limit)
    {
        ++refused_;
        return answer(from, 503, {{u"error"_s, u"queue-full"_s}});
    }
    waiting_.push_back(from);
    run_next();
}

void upstream_stand_in::run_next()
{
    while (running_ < options_.slots_ && !waiting_.empty())
    {
        auto const next = waiting_.front();
        waiting_.pop_front();
        ++running_;
        next->has_slot = true;
        run(next);
    }
}

void upstream_stand_in::run(connection_ptr const& from)
{
    auto const& current = from->current;
    note_run(from->current);
    auto const& marker = current.behaviour.crash_marker;
    if (!marker.isEmpty() && current.body.contains(marker))
    {
        ::_exit(exit_code_of_crash);
    }
    if (!end_early(from))
    {
        auto const time = draw_service_time() + current.behaviour.slow;
        // The connection owns the timer, so the timer must not own it.
        from->timer = timers_.call_after(
            time, [this, weak = std::weak_ptr(from)] { finish(weak.lock()); });
    }
}

bool upstream_stand_in::end_early(connection_ptr const& from)
{
    switch (from->current.behaviour.end)
    {
    case ending::close:
        from->is_in_hand = false;
        from->socket->disconnectFromHost();
        return true;
    case ending::reset:
        from->is_in_hand = false;
        reset(*from->socket);
        return true;
    case ending::silence:
        return true;
    default:
        return false;
    }
}

void upstream_stand_in::finish(connection_ptr const& from)
{
    auto const bytes = answer_of(from->current);
    bool const is_half = from->current.behaviour.end == ending::half;
    from->socket->write(is_half ? bytes.left(bytes.size() / 2) : bytes);
    release(from);
    if (is_half)
    {
        from->socket->disconnectFromHost();
        return;
    }
    read(from);
}

void upstream_stand_in::release(connection_ptr const& from)
{
    std::erase(waiting_, from);
    from->timer.cancel();
    from->is_in_hand = false;
    if (std::exchange(from->has_slot, false))
    {
        --running_;
        run_next();
    }
}

void upstream_stand_in::note_run(request& noted)
{
    auto const key = noted.key();
    ++runs_;
    ++runs_by_path_[noted.path];
    noted.run = key.isEmpty() ? runs_ : ++runs_by_key_[key];
    auto const time = std::chrono::steady_clock::now().time_since_epoch();
    auto const line = QByteArray::number(qint64(time.count())) + '\t' + key +
                      '\t' + noted.method + '\t' + noted.path + '\n';
    if (run_log_ >= 0 && ::write(run_log_, line.constData(), line.size()) < 0)
    {
        qFatal("stand-in: cannot write the run log");
    }
    requests_.push_back(
        {{u"key"_s, QString::fromUtf8(key)},
         {u"path"_s, QString::fromUtf8(noted.path)},
         {u"deadline_ms"_s,
          noted.headers.value("deadline-ms", "-1").toLongLong()},
         {u"traceparent"_s,
          QString::fromUtf8(noted.headers.value("traceparent"))}});
    if (requests_.size() > requests_kept)
    {
        requests_.pop_front();
    }
}

void upstream_stand_in::answer(connection_ptr const& to, int status,
                               QJsonObject const& body)
{
    auto const& method = to->current.method;
    to->socket->write(http_bytes(options_.id, method, status, body));
    to->is_in_hand = false;
}

QByteArray upstream_stand_in::answer_of(request const& from) const
{
    auto const hash =
        QCryptographicHash::hash(from.body, QCryptographicHash::Sha256);
    QJsonObject body{{u"upstream"_s, options_.id},
                     {u"path"_s, QString::fromUtf8(from.path)},
                     {u"key"_s, QString::fromUtf8(from.key())},
                     {u"body_sha256"_s, QString::fromLatin1(hash.toHex())},
                     {u"run"_s, from.run}};
    QUrlQuery const query(
        QString::fromUtf8(from.target.mid(from.path.size() + 1)));
    auto const size = std::min<qint64>(
        query.queryItemValue(u"size"_s).toLongLong(), body_limit_bytes);
    if (size > 0)
    {
        body.insert(u"padding"_s, QString::fromLatin1(answer_padding(
                                      from.path, from.key(), size)));
    }
    return http_bytes(options_.id, from.method, 200, body);
}

QJsonObject upstream_stand_in::counts() const
{
    QJsonArray requests;
    for (auto const& request : requests_)
    {
        requests.append(request);
    }
    return {{u"runs"_s, runs_},
            {u"runs_by_key"_s, object_of(runs_by_key_)},
            {u"runs_by_path"_s, object_of(runs_by_path_)},
            {u"cancelled"_s, cancelled_},
            {u"refused"_s, refused_},
            {u"connections"_s, connections_},
            {u"requests"_s, requests}};
}

double upstream_stand_in::load() const
{
    return options_.behaviour.lies ? 0.0 : double(running_) / options_.slots_;
}

milliseconds upstream_stand_in::draw_service_time()
{
    if (!options_.is_exponential || options_.service_time.count() == 0)
    {
        return options_.service_time;
    }
    std::exponential_distribution<> times(1.0 / options_.service_time.count());
    return milliseconds(qRound64(times(random_)));
}

void upstream_stand_in::announce()
{
    next_announcement_.cancel();
    if (entries_.empty())
    {
        return;
    }
    if (is_announcing_)
    {
        is_announcement_due_ = true;
        return;
    }
    is_announcing_ = true;
    QNetworkRequest request(QUrl(u"http://"_s +
                                 entries_[entry_ % entries_.size()].text() +
                                 u"/v1/announce"_s));
    request.setHeader(QNetworkRequest::ContentTypeHeader,
                      u"application/json"_s);
    request.setTransferTimeout(static_cast<int>(announce_timeout.count()));
    QJsonObject const body{
        {u"upstream"_s, options_.id},
        {u"service"_s, options_.service},
        {u"address"_s, options_.announced.value_or(options_.listen).text()},
        {u"region"_s, options_.region},
        {u"zone"_s, options_.zone},
        {u"slots"_s, options_.slots_},
        {u"connections"_s, options_.connections},
        {u"load"_s, load()},
        {u"state"_s, state_},
        {u"incarnation"_s, options_.incarnation}};
    auto* const reply = network_.post(
        request, QJsonDocument(body).toJson(QJsonDocument::Compact));
    QObject::connect(
        reply, &QNetworkReply::finished, &server_,
        [this, reply, state = state_]
        {
            reply->deleteLater();
            bool const is_ok = reply->error() == QNetworkReply::NoError;
            has_announced_draining_ |= is_ok && state == u"draining"_s;
            take_announce_result(
                is_ok, QJsonDocument::fromJson(reply->readAll()).object());
        });
}

void upstream_stand_in::take_announce_result(bool is_ok,
                                             QJsonObject const& answer)
{
    is_announcing_ = false;
    failures_in_row_ = is_ok ? 0 : failures_in_row_ + 1;
    if (!is_ok)
    {
        ++entry_;
    }
    for (auto const& listed : answer.value(u"entries"_s).toArray())
    {
        auto const address = parse_socket_address(listed.toString());
        if (address && std::find(entries_.begin(), entries_.end(), *address) ==
                           entries_.end())
        {
            entries_.push_back(*address);
        }
    }
    if (std::exchange(is_announcement_due_, false))
    {
        return announce();
    }
    auto wait = milliseconds(
        answer.value(u"next_ms"_s)
            .toInt(static_cast<int>(default_announce_interval.count())));
    if (!is_ok)
    {
        bool const are_others_left = failures_in_row_ % entries_.size() != 0;
        wait = are_others_left ? milliseconds(0) : retry_interval;
    }
    next_announcement_ = timers_.call_after(wait, [this] { announce(); });
}

void upstream_stand_in::drain(std::function<void()> done)
{
    drained_ = std::move(done);
    drain_started_ = std::chrono::steady_clock::now();
    state_ = u"draining"_s;
    failures_in_row_ = 0;
    announce();
    drain_check_ =
        timers_.call_every(drain_check_interval, [this] { finish_drain(); });
}

bool upstream_stand_in::has_work() const
{
    auto const sockets = server_.findChildren<QTcpSocket*>();
    auto const has_unsent = [](QTcpSocket const* socket)
    {
        return socket->bytesToWrite() > 0;
    };
    return running_ > 0 || !waiting_.empty() ||
           std::any_of(sockets.begin(), sockets.end(), has_unsent);
}

void upstream_stand_in::finish_drain()
{
    bool const is_told = entries_.empty() || has_announced_draining_ ||
                         failures_in_row_ >= entries_.size();
    auto const served =
        elapsed(drain_started_, std::chrono::steady_clock::now());
    if (is_told && served >= options_.linger && !has_work())
    {
        std::exchange(drained_, [] {})();
    }
}

} // namespace verbenacove::support
