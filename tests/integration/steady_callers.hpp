#ifndef VERBENACOVE_INTEGRATION_STEADY_CALLERS_HPP
#define VERBENACOVE_INTEGRATION_STEADY_CALLERS_HPP

#include "support/proxy_thread.hpp"

#include <QByteArray>
#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QStringList>
#include <QTime>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <vector>

#include <netinet/tcp.h>

namespace verbenacove::support
{

/** One HTTP/1.1 connection, which never sends a request a second time. */
class kept_connection
{
public:
    explicit kept_connection(socket_address const& to)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        timeval const bound{6, 0};
        int const one = 1;
        ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &bound,
                     sizeof bound);
        ::setsockopt(socket_.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        is_open_ = socket_.connect_to(to);
    }

    /** Returns false when the other side was seen to close. */
    bool is_open() const
    {
        char byte = 0;
        auto const count =
            ::recv(socket_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return is_open_ && count < 0 && errno == EAGAIN;
    }

    /** Returns the whole answer's head and body, or nothing. */
    std::optional<std::pair<QByteArray, QByteArray>>
    exchange(QByteArray const& request)
    {
        if (::send(socket_.get(), request.constData(), size_t(request.size()),
                   MSG_NOSIGNAL) != request.size())
        {
            return std::nullopt;
        }
        QByteArray input;
        qsizetype head_end = -1;
        qsizetype length = 0;
        while (head_end < 0 || input.size() < head_end + 4 + length)
        {
            std::array<char, 16384> piece{};
            auto const count =
                ::recv(socket_.get(), piece.data(), piece.size(), 0);
            if (count <= 0)
            {
                is_open_ = false;
                return std::nullopt;
            }
            input.append(piece.data(), count);
            if (head_end < 0)
            {
                head_end = input.indexOf("\r\n\r\n");
                length =
                    header(input.left(head_end), "content-length").toLongLong();
            }
        }
        auto const head = input.left(head_end);
        is_open_ = header(head, "connection").toLower() != "close";
        return std::pair(head, input.mid(head_end + 4));
    }

    static QByteArray header(QByteArray const& head, QByteArray const& name)
    {
        for (auto const& line : head.split('\n'))
        {
            auto const colon = line.indexOf(':');
            if (line.left(colon).toLower() == name)
            {
                return line.mid(colon + 1).trimmed();
            }
        }
        return {};
    }

private:
    socket_handle socket_;
    bool is_open_ = false;
};

/** Callers that follow look-ups: each keeps an answer for its time to live,
    calls the first entry it names, over kept or new connections, and looks up
    again at any entry it knows. A request is never sent twice. */
class steady_callers
{
public:
    /** Starts them; one request in so many is non-idempotent, 0 for none. */
    steady_callers(std::vector<socket_address> known, int count, quint32 seed,
                   int claimed_one_in = 4)
        : known_(std::move(known))
        , claimed_one_in_(claimed_one_in)
    {
        for (int i = 0; i < count; ++i)
        {
            threads_.emplace_back([this, i, seed]
                                  { run(i, seed * 1000 + quint32(i)); });
        }
    }
    ~steady_callers() { stop(); }
    steady_callers(steady_callers const&) = delete;
    steady_callers& operator=(steady_callers const&) = delete;

    /** Lets each caller end its request. */
    void stop()
    {
        is_stopping_ = true;
        for (auto& thread : threads_)
        {
            if (thread.joinable())
            {
                thread.join();
            }
        }
    }

    int done() const { return done_; }

    /** Returns what each request that failed met. */
    QStringList failures() const
    {
        std::lock_guard const lock(mutex_);
        return failures_;
    }

    /** Returns the keys of the non-idempotent requests; stop first. */
    std::set<QByteArray> const& keys() const { return keys_; }

private:
    struct cached_lookup
    {
        monotonic_time until;
        std::vector<socket_address> entries;
    };
    struct caller
    {
        std::mt19937 random;
        std::map<QByteArray, cached_lookup> lookups;
        std::map<QString, std::unique_ptr<kept_connection>> connections;
    };

    static constexpr milliseconds pause{25};
    static constexpr int slow_ms = 400;

    void run(int number, quint32 seed)
    {
        caller self{std::mt19937(seed), {}, {}};
        for (int i = 0; !is_stopping_; ++i)
        {
            bool const is_claimed =
                claimed_one_in_ > 0 &&
                int(self.random() % 1024) % claimed_one_in_ == 0;
            auto const id = "c" + QByteArray::number(seed) + "-" +
                            QByteArray::number(number) + "-" +
                            QByteArray::number(i);
            call(self, is_claimed ? "dispatch" : "gradebook", id, is_claimed);
            std::this_thread::sleep_for(pause);
        }
    }

    static QByteArray request(QByteArray const& method,
                              QByteArray const& target,
                              QByteArray const& headers, QByteArray const& body)
    {
        return method + " " + target + " HTTP/1.1\r\nHost: a\r\n" + headers +
               "Content-Length: " + QByteArray::number(body.size()) +
               "\r\n\r\n" + body;
    }

    kept_connection& connection(caller& self, socket_address const& to,
                                bool is_new)
    {
        auto& kept = self.connections[to.text()];
        if (is_new || !kept || !kept->is_open())
        {
            kept = std::make_unique<kept_connection>(to);
        }
        return *kept;
    }

    bool look_up(caller& self, QByteArray const& service)
    {
        auto const first = self.random() % known_.size();
        for (std::size_t i = 0; i < known_.size(); ++i)
        {
            auto const& to = known_[(first + i) % known_.size()];
            auto const answer =
                connection(self, to, false)
                    .exchange(request("GET", "/v1/lookup?service=" + service,
                                      {}, {}));
            if (!answer || !answer->first.startsWith("HTTP/1.1 200"))
            {
                continue;
            }
            auto const body = QJsonDocument::fromJson(answer->second).object();
            auto& cached = self.lookups[service];
            cached = {now() +
                          milliseconds(body[QStringLiteral("ttl_ms")].toInt()),
                      {}};
            for (auto const& entry : body[QStringLiteral("entries")].toArray())
            {
                cached.entries.push_back(
                    parse_socket_address(
                        entry[QStringLiteral("address")].toString())
                        .value_or(socket_address{}));
            }
            return !cached.entries.empty();
        }
        return false;
    }

    void call(caller& self, QByteArray const& service, QByteArray const& id,
              bool is_claimed)
    {
        if (self.lookups[service].until <= now() && !look_up(self, service))
        {
            return fail(id, QStringLiteral("no look-up"));
        }
        auto const& entry = self.lookups[service].entries.front();
        auto headers = is_claimed ? "Idempotency-Key: " + id + "\r\n" : "";
        if (self.random() % 16 == 0)
        {
            headers +=
                "X-Stand-In: slow=" + QByteArray::number(slow_ms) + "\r\n";
        }
        auto const body = id.repeated(1 + qsizetype(self.random() % 200));
        if (is_claimed)
        {
            std::lock_guard const lock(mutex_);
            keys_.insert(id);
        }
        auto& to = connection(self, entry, self.random() % 3 == 0);
        auto const answer = to.exchange(
            request("POST", "/v1/call/" + service + "/" + id, headers, body));
        auto const where =
            QString::fromLatin1(service) + u'@' + entry.text() + u' ';
        if (!answer)
        {
            return fail(id, where + QStringLiteral("no whole answer"));
        }
        auto const sha =
            QCryptographicHash::hash(body, QCryptographicHash::Sha256).toHex();
        auto const told = QJsonDocument::fromJson(answer->second).object();
        bool const is_own =
            told[QStringLiteral("path")].toString().toLatin1() == "/" + id &&
            told[QStringLiteral("body_sha256")].toString().toLatin1() == sha;
        if (!answer->first.startsWith("HTTP/1.1 200") || !is_own ||
            kept_connection::header(answer->first, "run-verdict") != "ran")
        {
            return fail(id, where + QString::fromUtf8(
                                        answer->first.left(24).simplified() +
                                        " " + answer->second.left(120)));
        }
        ++done_;
    }

    void fail(QByteArray const& id, QString const& what)
    {
        std::lock_guard const lock(mutex_);
        failures_ += QStringLiteral("%1 %2: %3")
                         .arg(QTime::currentTime().toString(Qt::ISODateWithMs),
                              QString::fromLatin1(id), what);
    }

    std::vector<socket_address> const known_;
    int const claimed_one_in_;
    std::atomic<bool> is_stopping_ = false;
    std::atomic<int> done_ = 0;
    mutable std::mutex mutex_;
    QStringList failures_;
    std::set<QByteArray> keys_;
    std::vector<std::thread> threads_;
};

} // namespace verbenacove::support

#endif
